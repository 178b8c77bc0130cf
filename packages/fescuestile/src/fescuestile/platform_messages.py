"""Messages between a daemon and the platform.

Each call carries an id that its reply repeats. The hook messages at the
end are only sent by tests, to the platform stand-in.
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
    """Read one object."""

    id: int
    path: str


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectRead:
    """Reply to ReadObject; ``found`` is None if the object doesn't exist."""

    id: int
    found: ports.StoredObject | None


@dataclasses.dataclass(frozen=True, slots=True)
class ListObjects:
    """List a page of the objects under a prefix.

    :ivar after: last path of the previous page, empty for the first page
    """

    id: int
    prefix: str
    after: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectsListed:
    """Reply to ListObjects; ``more`` is set if further pages follow."""

    id: int
    objects: tuple[ports.StoredObject, ...]
    more: bool


@dataclasses.dataclass(frozen=True, slots=True)
class WriteObject:
    """Write an object if its current version is the expected one.

    A repeated change id with the same path returns the first outcome.

    :ivar expected_version: 0 to create the object
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
    """Subscribe to the ObjectChanged of a prefix, after a version."""

    id: int
    prefix: str
    after_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectChanged:
    """A change under a watched prefix; ``id`` is that of WatchObjects."""

    id: int
    changed: ports.StoredObject


@dataclasses.dataclass(frozen=True, slots=True)
class ListHosts:
    """Read the host list.

    :ivar known: version of the list that the sender holds, 0 for none
    """

    id: int
    known: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class HostsListed:
    """Reply to ListHosts; ``hosts`` is None if the list is unchanged."""

    id: int
    version: int
    hosts: tuple[ports.HostEntry, ...] | None


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Reply to a call that was refused and had no effect."""

    id: int
    refusal: Refusal
    message: str
    field: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class SetFaults:
    """Hook: replace the faults of the stand-in.

    :ivar down: close all connections and accept no call
    :ivar slow_ms: delay of each reply, in milliseconds
    :ivar lose_replies: number of next writes that are applied but whose
        replies are not sent
    """

    id: int
    down: bool = False
    slow_ms: int = 0
    lose_replies: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class SetHosts:
    """Hook: replace the host list.

    :ivar lag_ms: delay until the new list is visible, in milliseconds
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
    """Hook: read the call counters."""

    id: int


@dataclasses.dataclass(frozen=True, slots=True)
class Counters:
    """Reply to ReadCounters.

    :ivar reads: calls that read objects or hosts
    :ivar writes: calls that write, conflicts included
    :ivar watches: calls that watch, each counted once
    :ivar waiting: watches that are waiting now
    :ivar lost: replies dropped because of a fault
    """

    id: int
    reads: int = 0
    writes: int = 0
    watches: int = 0
    waiting: int = 0
    lost: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class HookDone:
    """Reply to every hook but ReadCounters."""

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
