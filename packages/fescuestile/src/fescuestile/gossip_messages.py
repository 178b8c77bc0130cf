"""Gossip messages, exchanged between daemons over links.

An entry is one version of a key's value. Of two entries of a key the one
with the higher (version, rank) takes precedence, in whatever order and from
whichever daemons they arrive.
"""

import dataclasses

from fescuestile import members

TOMBSTONE_RANK = 9


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One version of a key's value.

    :ivar key: ``kind/name``
    :ivar version: grows with each change of the key
    :ivar rank: breaks ties between entries of the same version;
        TOMBSTONE_RANK marks a tombstone, which deletes the key
    :ivar value: encoded content; its form depends on the kind
    """

    key: str
    version: int
    rank: int
    value: bytes

    @property
    def precedence(self) -> tuple[int, int]:
        """Sort key that decides between entries of one key."""
        return (self.version, self.rank)


@dataclasses.dataclass(frozen=True, slots=True)
class KeyVersion:
    """Version of an entry, without its content."""

    key: str
    version: int
    rank: int

    @property
    def precedence(self) -> tuple[int, int]:
        """Sort key that decides between entries of one key."""
        return (self.version, self.rank)


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """Probe a daemon.

    :ivar sequence: number that the Ack repeats
    :ivar digest: digest of all entries that the sender holds
    :ivar entries: recent entries, piggybacked
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
    """Request that a daemon ping the target on the sender's behalf."""

    sequence: int
    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class IndirectAck:
    """Report that the target of an IndirectPing answered."""

    sequence: int
    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class Push:
    """Entries for the receiver to merge."""

    entries: tuple[Entry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SyncRequest:
    """Request the versions in the buckets whose digests differ.

    :ivar hashes: digest of each bucket of keys
    """

    hashes: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SyncReply:
    """Reply to a SyncRequest.

    :ivar buckets: indexes of the buckets whose digests differ
    :ivar listed: versions of the entries that the sender holds in them
    :ivar ready: the sender holds a complete configuration
    """

    buckets: tuple[int, ...]
    listed: tuple[KeyVersion, ...]
    ready: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Want:
    """Request entries by key; the reply is one or more Push."""

    keys: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class MemberRecord:
    """Content of a ``member/`` entry.

    :ivar member: the daemon, as last described by itself or its zone
    :ivar unreachable: zones that it, as a bridge, cannot reach
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
