"""Messages of the gossip between daemons, sent over links.

An entry is the latest word on one key. Of two entries of a key the one
with the higher (version, rank) holds, whatever path it came by.
"""

import dataclasses

from fescuestile import members

TOMBSTONE_RANK = 9


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """Latest word on a key.

    :ivar key: ``kind/name``
    :ivar version: grows with each change of the key
    :ivar rank: decides between two entries of one version;
        TOMBSTONE_RANK marks an entry that ends the key
    :ivar value: content, in the form of its kind
    """

    key: str
    version: int
    rank: int
    value: bytes

    @property
    def order(self) -> tuple[int, int]:
        """What entries of one key are compared by."""
        return (self.version, self.rank)


@dataclasses.dataclass(frozen=True, slots=True)
class KeyVersion:
    """Version of an entry, without its content."""

    key: str
    version: int
    rank: int

    @property
    def order(self) -> tuple[int, int]:
        """What entries of one key are compared by."""
        return (self.version, self.rank)


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """Ask a daemon for a sign of life.

    :ivar sequence: repeated by the Ack
    :ivar digest: digest of all entries that the sender holds
    :ivar entries: recent entries, piggy-backed
    """

    sequence: int
    digest: int
    entries: tuple[Entry, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Ack:
    """Reply to a Ping, with the same fields."""

    sequence: int
    digest: int
    entries: tuple[Entry, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class IndirectPing:
    """Ask a daemon to ping another one for the sender."""

    sequence: int
    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class IndirectAck:
    """Tell that the target of an IndirectPing answered."""

    sequence: int
    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class Push:
    """Entries for the receiver."""

    entries: tuple[Entry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SyncRequest:
    """Ask for what differs.

    :ivar hashes: digest of each bucket of keys
    """

    hashes: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SyncReply:
    """What the sender holds in the buckets that differ.

    :ivar ready: the sender holds a configuration it can answer for
    """

    buckets: tuple[int, ...]
    listed: tuple[KeyVersion, ...]
    ready: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Want:
    """Ask for entries by key."""

    keys: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class MemberRecord:
    """Content of a ``member/`` entry.

    :ivar member: the daemon, as it or its zone last described it
    :ivar unreachable: zones that it, as a bridge, hears nothing from
    """

    member: members.Member
    unreachable: tuple[str, ...] = ()


CLASSES = (
    Ping,
    Ack,
    IndirectPing,
    IndirectAck,
    Push,
    SyncRequest,
    SyncReply,
    Want,
)
