"""Dissemination of entries between daemons.

New entries are pushed to a few peers and piggybacked on a few later probes.
Anti-entropy repairs what these miss: probes carry a digest of all entries,
and daemons whose digests differ compare buckets and exchange what differs.
"""

import collections
import collections.abc
import dataclasses
import math
import random

import xxhash

from fescuestile import gossip_messages

BUCKETS = 256
PUSH_FANOUT = 3
MAX_PIGGYBACK_ENTRIES = 8
MAX_PIGGYBACK_BYTES = 4 * 1024
MAX_FLUSH_ENTRIES = 64
MAX_PAGE_BYTES = 256 * 1024
SYNC_COOLDOWN_SECONDS = 1.0
DIGEST_SETTLE_SECONDS = 0.3
READINESS_PEERS = 2
REQUEST_RETRY_SECONDS = 2.0

Entry = gossip_messages.Entry


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Action for the caller of a step: send a message to a daemon."""

    to: str
    message: object


class EntryTable:
    """Latest entry of each key, with digests over buckets of keys.

    Tombstones are kept but are not part of the digests, so that daemons
    may drop them at different times.
    """

    def __init__(self) -> None:
        self._entries: dict[str, Entry] = {}
        self._hashes = [0] * BUCKETS
        self._keys: list[set[str]] = [set() for _ in range(BUCKETS)]
        self.digest = 0

    def __len__(self) -> int:
        """Return the number of entries, tombstones included."""
        return len(self._entries)

    @property
    def hashes(self) -> tuple[int, ...]:
        """Digests of the buckets, by bucket index."""
        return tuple(self._hashes)

    def get(self, key: str) -> Entry | None:
        """Return the entry of a key, None for an unknown key."""
        return self._entries.get(key)

    def list_prefix(self, prefix: str) -> list[Entry]:
        """Return the entries whose keys start with a prefix."""
        return [
            entry
            for key, entry in self._entries.items()
            if key.startswith(prefix)
        ]

    def is_newer(self, offered: Entry | gossip_messages.KeyVersion) -> bool:
        """Return whether an entry takes precedence over the one held."""
        held = self._entries.get(offered.key)
        return held is None or offered.precedence > held.precedence

    def merge(self, entry: Entry) -> bool:
        """Replace the held entry if the given one takes precedence.

        :returns: whether the table changed
        """
        if not self.is_newer(entry):
            return False
        self.remove(entry.key)
        self._entries[entry.key] = entry
        if entry.rank != gossip_messages.TOMBSTONE_RANK:
            self._keys[find_bucket(entry.key)].add(entry.key)
            self._toggle_digest(entry)
        return True

    def remove(self, key: str) -> None:
        """Remove a key, also when its entry is a tombstone."""
        held = self._entries.pop(key, None)
        if held is None or held.rank == gossip_messages.TOMBSTONE_RANK:
            return
        self._keys[find_bucket(key)].discard(key)
        self._toggle_digest(held)

    def list_bucket(self, bucket: int) -> list[Entry]:
        """Return the entries of a bucket, tombstones excluded."""
        return [self._entries[key] for key in self._keys[bucket]]

    def _toggle_digest(self, entry: Entry) -> None:
        mixed = xxhash.xxh3_64_intdigest(
            f"{entry.key}\0{entry.version}\0{entry.rank}".encode()
        )
        self._hashes[find_bucket(entry.key)] ^= mixed
        self.digest ^= mixed


def find_bucket(key: str) -> int:
    """Return the index of a key's bucket."""
    return xxhash.xxh3_64_intdigest(key.encode()) % BUCKETS


@dataclasses.dataclass(frozen=True)
class Topology:
    """Gossip peers of a daemon.

    :ivar neighbours: other daemons of the own zone
    :ivar bridges: bridges of each remote zone
    :ivar is_bridge: the daemon is a bridge of its own zone
    """

    neighbours: tuple[str, ...] = ()
    bridges: collections.abc.Mapping[str, tuple[str, ...]] = dataclasses.field(
        default_factory=dict
    )
    is_bridge: bool = False


@dataclasses.dataclass
class PendingPush:
    """A key to push at the next flush.

    :ivar source: daemon that sent the entry; empty if it originated here
    :ivar remote: it came from a remote zone and is pushed in the own only
    """

    source: str
    remote: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _EntryRequest:
    """Latest request for an entry: its peer, precedence and time."""

    peer: str
    precedence: tuple[int, int]
    requested_at: float


class Gossip:
    """Push, piggyback and anti-entropy exchange of entries.

    :ivar ready: until it is set, received entries are not forwarded
    :ivar synced: ready peers whose entries are all held here
    """

    def __init__(
        self, table: EntryTable, random_source: random.Random
    ) -> None:
        self.table = table
        self.topology = Topology()
        self.ready = False
        self.synced: set[str] = set()
        self._random = random_source
        self._pending: dict[str, PendingPush] = {}
        self._piggybacks_left: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._missing: dict[str, dict[str, tuple[int, int]]] = {}
        self._requests: dict[str, _EntryRequest] = {}
        self._ready_peers: set[str] = set()
        self._sync_requested_at: dict[str, float] = {}
        self._changed_at = float("-inf")

    def merge(
        self, entry: Entry, now: float, source: str = "", remote: bool = False
    ) -> bool:
        """Merge an entry and schedule its dissemination if it is new.

        :param source: daemon that sent it; empty if it originated here
        :param remote: the source is in a remote zone
        """
        if not self.table.merge(entry):
            return False
        self._changed_at = now
        if self.ready or not source:
            self._pending[entry.key] = PendingPush(source, remote)
            self._piggybacks_left[entry.key] = self._count_piggybacks()
        return True

    def push_newer(
        self, to: str, entries: collections.abc.Iterable[Entry]
    ) -> list[Send]:
        """Send back the held entries that supersede the received ones."""
        newer = []
        for entry in entries:
            held = self.table.get(entry.key)
            if held is not None and held.precedence > entry.precedence:
                newer.append(held)
        if not newer:
            return []
        return [Send(to, gossip_messages.Push(tuple(newer)))]

    def flush(self) -> list[Send]:
        """Push pending entries to peers; a bridge also to remote zones."""
        keys = list(self._pending)[:MAX_FLUSH_ENTRIES]
        batches: dict[str, list[Entry]] = collections.defaultdict(list)
        for key in keys:
            pending = self._pending.pop(key)
            entry = self.table.get(key)
            if entry is None:
                continue
            for to in self._choose_receivers(pending):
                batches[to].append(entry)
        return [
            Send(to, gossip_messages.Push(tuple(entries)))
            for to, entries in batches.items()
        ]

    def pop_piggyback(self) -> tuple[Entry, ...]:
        """Return recent entries to send along with a probe."""
        chosen: list[Entry] = []
        size = 0
        for key in list(self._piggybacks_left)[:MAX_PIGGYBACK_ENTRIES]:
            entry = self.table.get(key)
            if entry is None:
                del self._piggybacks_left[key]
                continue
            size += len(entry.value)
            if size > MAX_PIGGYBACK_BYTES:
                break
            chosen.append(entry)
            self._record_piggyback(key)
        return tuple(chosen)

    def request_sync(self, peer: str, now: float) -> list[Send]:
        """Request a sync unless the peer's cool-down is still running."""
        last = self._sync_requested_at.get(peer, float("-inf"))
        if now - last < SYNC_COOLDOWN_SECONDS:
            return []
        self._sync_requested_at[peer] = now
        request = gossip_messages.SyncRequest(self.table.hashes)
        return [Send(peer, request)]

    def query_readiness(self, others: list[str], now: float) -> list[Send]:
        """Send sync requests to a few daemons to find a ready one."""
        chosen = self._random.sample(others, min(len(others), READINESS_PEERS))
        return [
            send for peer in chosen for send in self.request_sync(peer, now)
        ]

    def compare_digest(self, peer: str, digest: int, now: float) -> list[Send]:
        """Request a sync if digests differ and the table has settled."""
        if digest == self.table.digest:
            return []
        if now - self._changed_at < DIGEST_SETTLE_SECONDS:
            return []
        return self.request_sync(peer, now)

    def handle_sync_request(
        self, peer: str, request: gossip_messages.SyncRequest
    ) -> list[Send]:
        """Reply with the versions held in the buckets that differ."""
        own = self.table.hashes
        theirs = request.hashes
        if len(theirs) != BUCKETS:
            return []
        buckets = tuple(n for n in range(BUCKETS) if own[n] != theirs[n])
        listed = tuple(
            gossip_messages.KeyVersion(entry.key, entry.version, entry.rank)
            for bucket in buckets
            for entry in self.table.list_bucket(bucket)
        )
        reply = gossip_messages.SyncReply(buckets, listed, self.ready)
        return [Send(peer, reply)]

    def handle_sync_reply(
        self, peer: str, reply: gossip_messages.SyncReply, now: float
    ) -> list[Send]:
        """Push what the peer is missing and request what is missing here.

        A peer that is not ready requests what it is missing itself.
        """
        theirs = {listed.key: listed for listed in reply.listed}
        surplus = [
            entry
            for bucket in reply.buckets
            if 0 <= bucket < BUCKETS
            for entry in self.table.list_bucket(bucket)
            if entry.key not in theirs
            or entry.precedence > theirs[entry.key].precedence
        ]
        missing = {
            listed.key: listed.precedence
            for listed in reply.listed
            if self.table.is_newer(listed)
        }
        sends = []
        if reply.ready:
            self._ready_peers.add(peer)
        if surplus and reply.ready:
            sends = self._push_pages(peer, surplus)
        if missing:
            self._missing[peer] = missing
        elif reply.ready:
            self.synced.add(peer)
        requested = self._choose_requests(peer, missing, now)
        if requested:
            sends.append(Send(peer, gossip_messages.Want(requested)))
        return sends

    def handle_want(self, peer: str, want: gossip_messages.Want) -> list[Send]:
        """Send the requested entries, in pages."""
        found = (self.table.get(key) for key in want.keys)
        return self._push_pages(
            peer, [entry for entry in found if entry is not None]
        )

    def on_received(self, entries: collections.abc.Iterable[Entry]) -> None:
        """Update what is still missing, and which peers are synced."""
        keys = [entry.key for entry in entries]
        for key in keys:
            self._requests.pop(key, None)
        for peer, missing in list(self._missing.items()):
            for key in keys:
                if key in missing and self._holds(key, missing[key]):
                    del missing[key]
            if not missing:
                del self._missing[peer]
                if peer in self._ready_peers:
                    self.synced.add(peer)

    def remove_peer(self, peer: str) -> None:
        """Drop the sync state of a daemon that has left or died."""
        self.synced.discard(peer)
        self._ready_peers.discard(peer)
        self._missing.pop(peer, None)
        self._sync_requested_at.pop(peer, None)

    def _holds(self, key: str, precedence: tuple[int, int]) -> bool:
        held = self.table.get(key)
        return held is not None and held.precedence >= precedence

    def _choose_requests(
        self, peer: str, missing: dict[str, tuple[int, int]], now: float
    ) -> tuple[str, ...]:
        """Return the missing keys not lately requested from another peer."""
        chosen = []
        for key, precedence in missing.items():
            previous = self._requests.get(key)
            if (
                previous is None
                or previous.precedence < precedence
                or previous.peer == peer
                or now - previous.requested_at >= REQUEST_RETRY_SECONDS
            ):
                self._requests[key] = _EntryRequest(peer, precedence, now)
                chosen.append(key)
        return tuple(chosen)

    def _push_pages(self, peer: str, entries: list[Entry]) -> list[Send]:
        pages: list[list[Entry]] = [[]]
        size = 0
        for entry in entries:
            size += len(entry.value) + len(entry.key)
            if size > MAX_PAGE_BYTES and pages[-1]:
                pages.append([])
                size = len(entry.value) + len(entry.key)
            pages[-1].append(entry)
        return [
            Send(peer, gossip_messages.Push(tuple(page))) for page in pages
        ]

    def _choose_receivers(self, pending: PendingPush) -> list[str]:
        peers = [
            name for name in self.topology.neighbours if name != pending.source
        ]
        chosen = self._random.sample(peers, min(PUSH_FANOUT, len(peers)))
        if self.topology.is_bridge and not pending.remote:
            chosen += [
                self._random.choice(bridges)
                for bridges in self.topology.bridges.values()
                if bridges
            ]
        return chosen

    def _count_piggybacks(self) -> int:
        return 2 * math.ceil(math.log2(len(self.topology.neighbours) + 2))

    def _record_piggyback(self, key: str) -> None:
        self._piggybacks_left[key] -= 1
        self._piggybacks_left.move_to_end(key)
        if self._piggybacks_left[key] <= 0:
            del self._piggybacks_left[key]
