"""Conversion between the schema's frames and the library's classes."""

import dataclasses
import math

import expression

from fescuestile import errors
from fescuestile import positions
from fescuestile import requests
from fescuestile_api import fescuestile_pb2 as pb

STEP = "assemble answer"

AnswerResult = expression.Result[requests.Answer, errors.FescuestileError]

_ERROR_BY_CODE: dict[int, type[errors.FescuestileError]] = {
    pb.INVALID: errors.InvalidInput,
    pb.NOT_RUN: errors.NotRun,
    pb.UNKNOWN_OUTCOME: errors.UnknownOutcome,
    pb.STATEMENT_FAILED: errors.StatementFailed,
    pb.TOKEN_REFUSED: errors.TokenRefused,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One request as the caller makes it.

    :ivar rank: rank to lower the urgency to, empty for the kind's own
    :ivar staleness: seconds to tighten the kind's bound to, or None
    :ivar repeatable: running it twice does no harm
    :ivar deadline: monotonic seconds at which the caller gives up
    """

    request_id: str
    database: str
    kind: str
    action: requests.Action
    deadline: float
    repeatable: bool = False
    text: str = ""
    read_only: bool = False
    rank: str = ""
    staleness: float | None = None
    transaction: str = ""


def build_open(caller: str, token: bytes) -> pb.CallerFrame:
    """Return the first frame of a stream."""
    return pb.CallerFrame(open=pb.Open(caller=caller, token=token))


def build_request(call: Call, sequence: int, now: float) -> pb.CallerFrame:
    """Return the frame of a call.

    :param sequence: number of the request on its stream
    :param now: monotonic seconds
    """
    left = max(1, math.floor((call.deadline - now) * 1000))
    request = pb.Request(
        sequence=sequence,
        request_id=call.request_id,
        database=call.database,
        kind=call.kind,
        rank=call.rank,
        deadline_ms=left,
        repeatable=call.repeatable,
        transaction=call.transaction,
    )
    if call.staleness is not None:
        request.staleness_ms = math.floor(call.staleness * 1000)
    _set_action(request, call)
    return pb.CallerFrame(request=request)


def _set_action(request: pb.Request, call: Call) -> None:
    match call.action:
        case requests.Action.STATEMENT:
            request.statement.text = call.text
            request.statement.read_only = call.read_only
        case requests.Action.BEGIN:
            request.begin.read_only = call.read_only
        case requests.Action.COMMIT:
            request.commit.SetInParent()
        case requests.Action.ROLLBACK:
            request.rollback.SetInParent()
        case requests.Action.RESOLVE:
            request.resolve.SetInParent()


def read_failure(failure: pb.Failure, daemon: str) -> errors.FescuestileError:
    """Return the error of a failure.

    :param daemon: peer to name when the failure names none
    """
    kind = _ERROR_BY_CODE.get(failure.code, errors.UnknownOutcome)
    paused = failure.retry_after_ms / 1000 if failure.retry_after_ms else None
    return kind(
        message=failure.message,
        step=failure.step or "execute",
        peer=failure.peer or daemon,
        field=failure.field,
        retry_after=paused,
    )


class Assembler:
    """Puts the chunks of one answer together."""

    def __init__(self, daemon: str, max_bytes: int) -> None:
        """Wait for chunk 0.

        :param daemon: peer, for errors
        :param max_bytes: largest answer accepted
        """
        self._daemon = daemon
        self._max_bytes = max_bytes
        self._pieces: list[bytes] = []
        self._size = 0

    def add(self, chunk: pb.AnswerChunk) -> AnswerResult | None:
        """Take in the next chunk.

        :returns: None until the answer is whole; an answer with a
            missing, repeated or misplaced chunk ends as UnknownOutcome,
            since the request may have run
        """
        if chunk.chunk != len(self._pieces):
            return self._fail(
                f"chunk {chunk.chunk} came where {len(self._pieces)} is due"
            )
        self._pieces.append(chunk.payload)
        self._size += len(chunk.payload)
        if self._size > self._max_bytes:
            return self._fail("the answer is larger than the caller accepts")
        if not chunk.last:
            return None
        if chunk.HasField("failure"):
            return expression.Error(read_failure(chunk.failure, self._daemon))
        return expression.Ok(self._join(chunk.execution))

    def _join(self, execution: pb.Execution) -> requests.Answer:
        written = execution.position
        return requests.Answer(
            payload=b"".join(self._pieces),
            endpoint=execution.endpoint,
            position=positions.Position(written.term, written.index),
            replica=execution.replica,
            repeated=execution.repeated,
            transaction=execution.transaction,
            never_runs=execution.never_runs,
        )

    def _fail(self, message: str) -> AnswerResult:
        return expression.Error(
            errors.UnknownOutcome(
                message=message, step=STEP, peer=self._daemon, field="chunk"
            )
        )
