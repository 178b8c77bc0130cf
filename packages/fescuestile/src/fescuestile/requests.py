"""Requests of callers and their answers, as the filters process them."""

import dataclasses
import enum

from fescuestile import positions


class Action(enum.StrEnum):
    """Operation that a request is for."""

    STATEMENT = "statement"
    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    RESOLVE = "resolve"


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One validated request of a caller.

    :ivar request_id: globally unique id, the same when the request is
        repeated
    :ivar caller: name of the caller
    :ivar database: name of the database
    :ivar kind: declared kind of work
    :ivar level: index of the rank, 0 for the most urgent
    :ivar staleness: seconds that a read may be behind
    :ivar deadline: monotonic seconds after which the caller has no use for
        an answer
    :ivar repeatable: whether the request may run twice without harm
    :ivar action: operation
    :ivar text: text of the statement
    :ivar read_only: whether the request writes nothing
    :ivar transaction: id of the open transaction, or empty
    :ivar minimum: position that the session depends on
    :ivar diverted: whether this is a read that may be stale but goes to the
        primary because no replica could serve it
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
    """Answer to a request that was executed.

    :ivar payload: the endpoint's answer
    :ivar endpoint: endpoint that executed the request
    :ivar position: position of the write, or position that was read at
    :ivar replica: whether a replica served the request
    :ivar repeated: whether this is the stored answer of an earlier execution
        with the same request id
    :ivar transaction: id of the transaction that Begin opened, or empty
    :ivar never_runs: for Resolve, whether the request was not executed and
        never will be
    """

    payload: bytes
    endpoint: str
    position: positions.Position
    replica: bool = False
    repeated: bool = False
    transaction: str = ""
    never_runs: bool = False
