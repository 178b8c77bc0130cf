"""Messages between a daemon that has a caller and a gateway.

All values are relative to the receiver's clock: an age and the time left, no
times of another host.
"""

import dataclasses
import enum
import typing

import pydantic

from fescuestile import positions
from fescuestile import routes
from fescuestile_daemon.relay.core import messages


class Step(enum.Enum):
    """How a statement relates to a transaction."""

    SINGLE = "single"
    FIRST = "first"
    LATER = "later"


class Refusal(enum.Enum):
    """Why a gateway did not run a statement."""

    NONE = ""
    MALFORMED = "malformed request"
    STOPPING = "stopping"
    STARTING = "starting"
    UNKNOWN_GROUP = "unknown group"
    OLDER = "older configuration"
    NEWER = "newer configuration"
    LINK_LOST = "link lost"
    UNREACHABLE = "endpoints unreachable"


@dataclasses.dataclass(frozen=True, slots=True)
class RunRequest:
    """Run a statement or the commit of a transaction.

    :ivar step: its place in the transaction ``number``
    :ivar read_only: whether that transaction is read-only
    :ivar version: the sender's configuration version
    :ivar route: as it is in force for the statement at the sender
    :ivar tenant: tenant of the session
    :ivar values: session values
    :ivar prepared: the prepared statement that an EXECUTE uses
    :ivar last_write: position of the session's last confirmed write
    :ivar age: seconds since the statement arrived
    :ivar left: seconds within which the answer is needed
    """

    step: Step
    number: str
    read_only: bool
    version: int
    route: routes.Route
    tenant: str
    values: dict[str, str]
    prepared: messages.Shape | None
    last_write: positions.Position
    statement: messages.Statement
    age: float
    left: float


@dataclasses.dataclass(frozen=True, slots=True)
class AbandonRequest:
    """Roll a transaction back."""

    number: str


@dataclasses.dataclass(slots=True)
class Answer:
    """A gateway's answer.

    :ivar outcome: None if the statement was not run
    :ivar last_write: position of the session's last confirmed write
    :ivar refusal: why it was not run
    :ivar version: the gateway's configuration version
    :ivar is_unknown: the gateway has no such transaction; it was rolled back
    """

    outcome: messages.Outcome | None = None
    last_write: positions.Position = positions.START
    refusal: Refusal = Refusal.NONE
    version: int = 0
    is_unknown: bool = False


_RUN = pydantic.TypeAdapter(RunRequest)
_ABANDON = pydantic.TypeAdapter(AbandonRequest)
_ANSWER = pydantic.TypeAdapter(Answer)
_RUN_KIND = "run"
_ABANDON_KIND = "abandon"


def encode_request(
    request: RunRequest | AbandonRequest,
) -> dict[str, typing.Any]:
    """Return a request as plain values."""
    if isinstance(request, RunRequest):
        return {_RUN_KIND: _RUN.dump_python(request, mode="json")}
    return {_ABANDON_KIND: _ABANDON.dump_python(request, mode="json")}


def decode_request(
    request: dict[str, typing.Any],
) -> RunRequest | AbandonRequest | None:
    """Return the request of plain values, None if they are malformed."""
    try:
        if _RUN_KIND in request:
            return _RUN.validate_python(request[_RUN_KIND])
        return _ABANDON.validate_python(request.get(_ABANDON_KIND))
    except ValueError:
        return None


def encode_answer(answer: Answer) -> dict[str, typing.Any]:
    """Return an answer as plain values."""
    found = _ANSWER.dump_python(answer, mode="json")
    return typing.cast(dict[str, typing.Any], found)


def decode_answer(answer: dict[str, typing.Any]) -> Answer | None:
    """Return the answer of plain values, None if they are malformed."""
    try:
        return _ANSWER.validate_python(answer)
    except ValueError:
        return None
