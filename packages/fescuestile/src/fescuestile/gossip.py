"""Spread of entries between daemons.

New entries are pushed to a few others at once and piggy-backed on probes a
bounded number of times. What pushes miss is found by digests: a digest of
all entries travels on each probe, and two daemons whose digests differ
compare buckets of keys and exchange only the entries that differ.
"""

import collections
import collections.abc
import dataclasses
import math
import random

import xxhash

from fescuestile import gossip_messages

BUCKETS = 256
FANOUT = 3
PIGGYBACK_ENTRIES = 8
PIGGYBACK_BYTES = 4 * 1024
FLUSH_ENTRIES = 64
PAGE_BYTES = 256 * 1024
SYNC_COOLDOWN_SECONDS = 1.0
SETTLE_SECONDS = 0.3
SEEK_PEERS = 2
ASK_AGAIN_SECONDS = 2.0

Entry = gossip_messages.Entry


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Action: send a message to a daemon."""

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
        """Digest of each bucket."""
        return tuple(self._hashes)

    def get(self, key: str) -> Entry | None:
        """Return the entry of a key."""
        return self._entries.get(key)

    def list_prefix(self, prefix: str) -> list[Entry]:
        """Return the entries whose keys start with a prefix."""
        return [
            entry
            for key, entry in self._entries.items()
            if key.startswith(prefix)
        ]

    def is_newer(self, offered: Entry | gossip_messages.KeyVersion) -> bool:
        """Tell whether an entry is above the one held."""
        held = self._entries.get(offered.key)
        return held is None or offered.order > held.order

    def offer(self, entry: Entry) -> bool:
        """Take an entry if it is above the one held.

        :returns: whether it was taken
        """
        if not self.is_newer(entry):
            return False
        self.remove(entry.key)
        self._entries[entry.key] = entry
        if entry.rank != gossip_messages.TOMBSTONE_RANK:
            self._keys[find_bucket(entry.key)].add(entry.key)
            self._mix(entry)
        return True

    def remove(self, key: str) -> None:
        """Forget a key."""
        held = self._entries.pop(key, None)
        if held is None or held.rank == gossip_messages.TOMBSTONE_RANK:
            return
        self._keys[find_bucket(key)].discard(key)
        self._mix(held)

    def list_bucket(self, bucket: int) -> list[Entry]:
        """Return the entries of a bucket, tombstones excluded."""
        return [self._entries[key] for key in self._keys[bucket]]

    def _mix(self, entry: Entry) -> None:
        mixed = xxhash.xxh3_64_intdigest(
            f"{entry.key}\0{entry.version}\0{entry.rank}".encode()
        )
        self._hashes[find_bucket(entry.key)] ^= mixed
        self.digest ^= mixed


def find_bucket(key: str) -> int:
    """Return the bucket of a key."""
    return xxhash.xxh3_64_intdigest(key.encode()) % BUCKETS


@dataclasses.dataclass(frozen=True)
class Topology:
    """Whom a daemon gossips with.

    :ivar neighbours: other daemons of the own zone
    :ivar bridges: bridges of each other zone
    :ivar is_bridge: the daemon is a bridge of its own zone
    """

    neighbours: tuple[str, ...] = ()
    bridges: collections.abc.Mapping[str, tuple[str, ...]] = dataclasses.field(
        default_factory=dict
    )
    is_bridge: bool = False


@dataclasses.dataclass
class Fresh:
    """A key to push at the next flush.

    :ivar source: daemon that it came from, or empty
    :ivar abroad: it came from another zone, and is not sent to others
    """

    source: str
    abroad: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _Asked:
    """Whom an entry was asked of, in which order and when."""

    peer: str
    order: tuple[int, int]
    at: float


class Gossip:
    """Pushes, piggy-backing and exchange of differences."""

    def __init__(
        self, table: EntryTable, random_source: random.Random
    ) -> None:
        self.table = table
        self.topology = Topology()
        self.ready = False
        self.synced: set[str] = set()
        self._random = random_source
        self._fresh: dict[str, Fresh] = {}
        self._repeats: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._wanted: dict[str, dict[str, tuple[int, int]]] = {}
        self._asked: dict[str, _Asked] = {}
        self._answering: set[str] = set()
        self._sync_at: dict[str, float] = {}
        self._changed_at = float("-inf")

    def offer(
        self, entry: Entry, now: float, source: str = "", abroad: bool = False
    ) -> bool:
        """Take an entry and spread it if it is new.

        :param source: daemon that sent it, or empty
        :param abroad: that daemon stands in another zone
        """
        if not self.table.offer(entry):
            return False
        self._changed_at = now
        if self.ready or not source:
            self._fresh[entry.key] = Fresh(source, abroad)
            self._repeats[entry.key] = self._count_repeats()
        return True

    def correct(
        self, to: str, entries: collections.abc.Iterable[Entry]
    ) -> list[Send]:
        """Answer entries that are below those held with the held ones."""
        newer = []
        for entry in entries:
            held = self.table.get(entry.key)
            if held is not None and held.order > entry.order:
                newer.append(held)
        if not newer:
            return []
        return [Send(to, gossip_messages.Push(tuple(newer)))]

    def flush(self) -> list[Send]:
        """Push fresh entries to a few neighbours and, as a bridge, on."""
        keys = list(self._fresh)[:FLUSH_ENTRIES]
        batches: dict[str, list[Entry]] = collections.defaultdict(list)
        for key in keys:
            fresh = self._fresh.pop(key)
            entry = self.table.get(key)
            if entry is None:
                continue
            for to in self._choose_receivers(fresh):
                batches[to].append(entry)
        return [
            Send(to, gossip_messages.Push(tuple(entries)))
            for to, entries in batches.items()
        ]

    def take_piggyback(self) -> tuple[Entry, ...]:
        """Return recent entries to add to a probe."""
        chosen: list[Entry] = []
        size = 0
        for key in list(self._repeats)[:PIGGYBACK_ENTRIES]:
            entry = self.table.get(key)
            if entry is None:
                del self._repeats[key]
                continue
            size += len(entry.value)
            if size > PIGGYBACK_BYTES:
                break
            chosen.append(entry)
            self._spend_repeat(key)
        return tuple(chosen)

    def request_sync(self, peer: str, now: float) -> list[Send]:
        """Ask a daemon for what differs, at most once a cool-down."""
        last = self._sync_at.get(peer, float("-inf"))
        if now - last < SYNC_COOLDOWN_SECONDS:
            return []
        self._sync_at[peer] = now
        request = gossip_messages.SyncRequest(self.table.hashes)
        return [Send(peer, request)]

    def seek_ready(self, others: list[str], now: float) -> list[Send]:
        """Ask a few daemons whether they are ready meanwhile."""
        chosen = self._random.sample(others, min(len(others), SEEK_PEERS))
        return [
            send for peer in chosen for send in self.request_sync(peer, now)
        ]

    def compare(self, peer: str, digest: int, now: float) -> list[Send]:
        """Start an exchange with a daemon whose digest stays different."""
        if digest == self.table.digest:
            return []
        if now - self._changed_at < SETTLE_SECONDS:
            return []
        return self.request_sync(peer, now)

    def answer_sync(
        self, peer: str, request: gossip_messages.SyncRequest
    ) -> list[Send]:
        """List what is held in the buckets that differ."""
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

    def take_reply(
        self, peer: str, reply: gossip_messages.SyncReply, now: float
    ) -> list[Send]:
        """Send what the peer lacks and ask for what is lacking here.

        A peer that is not ready asks for what it lacks itself.
        """
        theirs = {listed.key: listed for listed in reply.listed}
        surplus = [
            entry
            for bucket in reply.buckets
            if 0 <= bucket < BUCKETS
            for entry in self.table.list_bucket(bucket)
            if entry.key not in theirs or entry.order > theirs[entry.key].order
        ]
        lacking = {
            listed.key: listed.order
            for listed in reply.listed
            if self.table.is_newer(listed)
        }
        sends = []
        if reply.ready:
            self._answering.add(peer)
        if surplus and reply.ready:
            sends = self._push_pages(peer, surplus)
        if lacking:
            self._wanted[peer] = lacking
        elif reply.ready:
            self.synced.add(peer)
        wanted = self._choose_wanted(peer, lacking, now)
        if wanted:
            sends.append(Send(peer, gossip_messages.Want(wanted)))
        return sends

    def answer_want(self, peer: str, want: gossip_messages.Want) -> list[Send]:
        """Send the wanted entries, in pages."""
        found = (self.table.get(key) for key in want.keys)
        return self._push_pages(
            peer, [entry for entry in found if entry is not None]
        )

    def note_received(self, entries: collections.abc.Iterable[Entry]) -> None:
        """Count entries that arrived as answers to what is wanted."""
        keys = [entry.key for entry in entries]
        for key in keys:
            self._asked.pop(key, None)
        for peer, wanted in list(self._wanted.items()):
            for key in keys:
                if key in wanted and self._holds(key, wanted[key]):
                    del wanted[key]
            if not wanted:
                del self._wanted[peer]
                if peer in self._answering:
                    self.synced.add(peer)

    def forget(self, peer: str) -> None:
        """Drop what is kept about a daemon that is gone."""
        self.synced.discard(peer)
        self._answering.discard(peer)
        self._wanted.pop(peer, None)
        self._sync_at.pop(peer, None)

    def _holds(self, key: str, order: tuple[int, int]) -> bool:
        held = self.table.get(key)
        return held is not None and held.order >= order

    def _choose_wanted(
        self, peer: str, lacking: dict[str, tuple[int, int]], now: float
    ) -> tuple[str, ...]:
        """Return what to ask this peer for, not asked of others lately."""
        chosen = []
        for key, order in lacking.items():
            asked = self._asked.get(key)
            if (
                asked is None
                or asked.order < order
                or asked.peer == peer
                or now - asked.at >= ASK_AGAIN_SECONDS
            ):
                self._asked[key] = _Asked(peer, order, now)
                chosen.append(key)
        return tuple(chosen)

    def _push_pages(self, peer: str, entries: list[Entry]) -> list[Send]:
        pages: list[list[Entry]] = [[]]
        size = 0
        for entry in entries:
            size += len(entry.value) + len(entry.key)
            if size > PAGE_BYTES and pages[-1]:
                pages.append([])
                size = len(entry.value) + len(entry.key)
            pages[-1].append(entry)
        return [
            Send(peer, gossip_messages.Push(tuple(page))) for page in pages
        ]

    def _choose_receivers(self, fresh: Fresh) -> list[str]:
        near = [
            name for name in self.topology.neighbours if name != fresh.source
        ]
        chosen = self._random.sample(near, min(FANOUT, len(near)))
        if self.topology.is_bridge and not fresh.abroad:
            chosen += [
                self._random.choice(bridges)
                for bridges in self.topology.bridges.values()
                if bridges
            ]
        return chosen

    def _count_repeats(self) -> int:
        return 2 * math.ceil(math.log2(len(self.topology.neighbours) + 2))

    def _spend_repeat(self, key: str) -> None:
        self._repeats[key] -= 1
        self._repeats.move_to_end(key)
        if self._repeats[key] <= 0:
            del self._repeats[key]
