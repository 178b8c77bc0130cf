"""Statements of callers, commands to endpoints and their outcomes."""

import dataclasses
import enum

from fescuestile import endpoint_messages
from fescuestile import positions


class Verb(enum.Enum):
    """Kind of a statement."""

    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    READ = "read"
    WRITE = "write"
    SET = "set"
    PREPARE = "prepare"
    EXECUTE = "execute"
    DEALLOCATE = "deallocate"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """One statement of a caller.

    :ivar id: the caller's id, forwarded unchanged
    :ivar text: the statement as the caller sent it, forwarded unchanged
    :ivar name: name of a session value or prepared statement
    :ivar argument: value of a SET, shape of a PREPARE, or what follows the
        name in an EXECUTE
    :ivar writes: whether it is a WRITE, or a PREPARE of one
    :ivar read_only: whether it is a BEGIN of a read-only transaction
    """

    id: str
    verb: Verb
    text: str
    name: str = ""
    argument: str = ""
    writes: bool = False
    read_only: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """Text of a prepared statement without its arguments.

    :ivar writes: whether it may change data
    """

    text: str
    writes: bool


class Kind(enum.Enum):
    """How a command or a statement ended."""

    DONE = "done"
    # Not run:
    BUSY = "busy"
    # Not run, because waiting for a slot would pass the deadline.
    OVERLOADED = "overloaded"
    # Not run, because the primary is leaving and has not been replaced.
    LEAVING = "leaving"
    BEHIND = "behind"
    NOT_PRIMARY = "not primary"
    WRONG_ENDPOINT = "wrong endpoint"
    TOO_MANY_CONNECTIONS = "too many connections"
    UNPREPARED = "unprepared"
    MALFORMED = "malformed"
    UNKNOWN_DATABASE = "unknown database"
    UNKNOWN_KEY = "unknown key"
    # The transaction was rolled back and has no effect.
    ABORTED = "aborted"
    # It ran:
    FAILED = "failed"
    TIMED_OUT = "timed out"
    # It may or may not have run:
    LOST = "lost"
    IN_DOUBT = "in doubt"


NOT_RUN = frozenset(
    {
        Kind.BUSY,
        Kind.OVERLOADED,
        Kind.LEAVING,
        Kind.BEHIND,
        Kind.NOT_PRIMARY,
        Kind.WRONG_ENDPOINT,
        Kind.TOO_MANY_CONNECTIONS,
        Kind.UNPREPARED,
    }
)

# Refusals after which another attempt would be refused, too.
FINAL_REFUSALS = frozenset({Kind.OVERLOADED, Kind.LEAVING})


class State(enum.Enum):
    """Transaction state of a session after a statement."""

    IDLE = "idle"
    IN_TRANSACTION = "in transaction"
    FAILED_TRANSACTION = "failed transaction"


@dataclasses.dataclass(slots=True)
class Outcome:
    """How a statement ended.

    :ivar rows: rows as the endpoint sent them
    :ivar receipt: the endpoint's receipt for the statement, empty when the
        relay answered by itself
    :ivar position: end of the endpoint's log, None when the relay answered
        by itself
    :ivar state: transaction state after it
    :ivar detail: for an error, its text
    :ivar connection_refused: whether the endpoint's host refused the
        connection
    """

    kind: Kind
    rows: list[str] = dataclasses.field(default_factory=list)
    receipt: str = ""
    position: positions.Position | None = None
    state: State = State.IDLE
    detail: str = ""
    connection_refused: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """Run a caller's statement.

    :ivar prepared_as: for an EXECUTE, the name of the prepared statement on
        the connection
    :ivar minimum: position that the endpoint's log must hold
    """

    id: str
    statement: Statement
    prepared_as: str = ""
    minimum: positions.Position | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Begin:
    """Open a transaction.

    :ivar minimum: position that the endpoint's log must hold
    """

    read_only: bool
    minimum: positions.Position | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Rollback:
    """Roll the transaction back."""


@dataclasses.dataclass(frozen=True, slots=True)
class Clear:
    """Remove all session values and prepared statements."""


@dataclasses.dataclass(frozen=True, slots=True)
class SetValue:
    """Set a session value."""

    name: str
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class Prepare:
    """Prepare a statement under a name."""

    name: str
    shape: Shape


@dataclasses.dataclass(frozen=True, slots=True)
class Inspect:
    """Request a status report."""


@dataclasses.dataclass(frozen=True, slots=True)
class Fence:
    """Make the endpoint refuse terms below this one.

    :ivar as_primary: whether it is the primary of its term
    """

    term: int
    as_primary: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Unfence:
    """Let a fenced replica receive from its primary again."""


Command = (
    Run
    | Begin
    | Rollback
    | Clear
    | SetValue
    | Prepare
    | Inspect
    | Fence
    | Unfence
)

Report = endpoint_messages.Report


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointEntry:
    """Entry of an endpoint in the registry.

    :ivar id: unique id
    :ivar group: database group
    :ivar address: ``IP:port``
    :ivar zone: availability zone
    :ivar slots: statements that it runs at a time
    :ivar leaving: whether it accepts no new work
    :ivar claims_primary: whether it has announced itself as the primary
    :ivar started_at: Unix milliseconds of its start; an endpoint with the
        same id and another start holds none of the earlier one's state
    """

    id: str
    group: str
    address: str
    zone: str
    slots: int
    leaving: bool
    claims_primary: bool
    started_at: int
