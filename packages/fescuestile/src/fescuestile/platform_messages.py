"""Messages between a daemon and the platform.

Each call carries an id that its reply repeats. The hook messages at the
end are sent by tests to the stand-in only.
"""

import dataclasses
import enum

from fescuestile import codec
from fescuestile import ports

MAX_VALUE_BYTES = 1024 * 1024
MAX_PAGE_BYTES = 2 * 1024 * 1024


class Refusal(enum.StrEnum):
    """Why the platform refused a call."""

    VERSION_CONFLICT = "version_conflict"
    INVALID = "invalid"


@dataclasses.dataclass(frozen=True, slots=True)
class ReadObject:
    """Ask for one object."""

    id: int
    path: str


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectRead:
    """Reply to ReadObject; ``found`` is None when there is none."""

    id: int
    found: ports.StoredObject | None


@dataclasses.dataclass(frozen=True, slots=True)
class ListObjects:
    """Ask for a page of the objects under a prefix.

    :ivar after: last path of the page before, or empty
    """

    id: int
    prefix: str
    after: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectsListed:
    """Reply to ListObjects; ``more`` tells that pages follow."""

    id: int
    objects: tuple[ports.StoredObject, ...]
    more: bool


@dataclasses.dataclass(frozen=True, slots=True)
class WriteObject:
    """Write an object on condition of its current version.

    A repeated change id with the same path returns the first outcome.

    :ivar expected_version: 0 to create
    """

    id: int
    path: str
    value: bytes
    expected_version: int
    change_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectWritten:
    """Reply to WriteObject."""

    id: int
    stored: ports.StoredObject


@dataclasses.dataclass(frozen=True, slots=True)
class WatchObjects:
    """Ask for changes under a prefix, as ObjectChanged, from a version on."""

    id: int
    prefix: str
    after_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectChanged:
    """One change under a watched prefix; ``id`` is that of the watch."""

    id: int
    changed: ports.StoredObject


@dataclasses.dataclass(frozen=True, slots=True)
class ListHosts:
    """Ask for the host list.

    :ivar known: version of the list that the caller holds, 0 for none
    """

    id: int
    known: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class HostsListed:
    """Reply to ListHosts; ``hosts`` is None when it has not changed."""

    id: int
    version: int
    hosts: tuple[ports.HostEntry, ...] | None


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Reply to a call that had no effect."""

    id: int
    refusal: Refusal
    message: str
    field: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class SetFaults:
    """Hook: replace the faults of the stand-in.

    :ivar down: end every connection and accept no call
    :ivar slow_ms: delay of each reply
    :ivar lose_replies: so many next replies to writes are not sent,
        after the change took effect
    """

    id: int
    down: bool = False
    slow_ms: int = 0
    lose_replies: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class SetHosts:
    """Hook: replace the host list.

    :ivar lag_ms: delay until the list shows it
    """

    id: int
    hosts: tuple[ports.HostEntry, ...]
    lag_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class MarkLeaving:
    """Hook: set the leaving mark of a host or endpoint."""

    id: int
    name: str
    leaving: bool = True
    lag_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ReadCounters:
    """Hook: ask for the calls counted so far."""

    id: int


@dataclasses.dataclass(frozen=True, slots=True)
class Counters:
    """Reply to ReadCounters.

    :ivar reads: calls that read objects or hosts
    :ivar writes: calls that write, conflicts included
    :ivar watches: calls that watch, each counted once
    :ivar waiting: watches waiting now
    :ivar lost: replies that a fault kept back
    """

    id: int
    reads: int = 0
    writes: int = 0
    watches: int = 0
    waiting: int = 0
    lost: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class HookDone:
    """Reply to the other hooks."""

    id: int


HOOKS = (SetFaults, SetHosts, MarkLeaving, ReadCounters)

CODEC = codec.Codec(
    (
        ReadObject,
        ObjectRead,
        ListObjects,
        ObjectsListed,
        WriteObject,
        ObjectWritten,
        WatchObjects,
        ObjectChanged,
        ListHosts,
        HostsListed,
        Refused,
        Counters,
        HookDone,
        *HOOKS,
    )
)
