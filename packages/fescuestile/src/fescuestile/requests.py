"""Requests of callers and their answers, as the filters see them."""

import dataclasses
import enum

from fescuestile import positions


class Action(enum.StrEnum):
    """What a request asks for."""

    STATEMENT = "statement"
    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    RESOLVE = "resolve"


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request of a caller, checked.

    :ivar request_id: globally unique id, the same on a repeat
    :ivar caller: who asks
    :ivar kind: declared kind of work
    :ivar level: urgency, 0 for the most urgent
    :ivar staleness: seconds that a read may be old
    :ivar deadline: monotonic seconds at which the caller gives up
    :ivar repeatable: running it twice does no harm
    :ivar transaction: id of the open transaction, or empty
    :ivar minimum: position that the session depends on
    :ivar diverted: a read that may be stale but found no replica
    """

    request_id: str
    caller: str
    database: str
    kind: str
    level: int
    staleness: float
    deadline: float
    repeatable: bool
    action: Action
    text: str = ""
    read_only: bool = False
    transaction: str = ""
    minimum: positions.Position = positions.START
    diverted: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Answer to a request that ran.

    :ivar payload: the endpoint's answer
    :ivar endpoint: endpoint that ran it
    :ivar position: position written, or read at
    :ivar replica: a replica served it
    :ivar repeated: answer of an earlier run with the same request id
    :ivar transaction: id of the transaction that Begin opened
    :ivar never_runs: answer to Resolve, the request did not run and
        never will
    """

    payload: bytes
    endpoint: str
    position: positions.Position
    replica: bool = False
    repeated: bool = False
    transaction: str = ""
    never_runs: bool = False
