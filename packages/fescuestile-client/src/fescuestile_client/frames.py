"""Conversion between protobuf frames and the library's classes."""

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
    """One request as made by the caller.

    :ivar rank: less urgent rank to use, empty for the kind's own
    :ivar staleness: bound in seconds, stricter than the kind's, or None
        for the kind's own
    :ivar repeatable: the request is idempotent and may be executed twice
    :ivar deadline: monotonic seconds after which the caller does not wait
    :ivar transaction: id of an open transaction, empty outside of one
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
    """Return the Open frame, the first of a stream."""
    return pb.CallerFrame(open=pb.Open(caller=caller, token=token))


def build_request(call: Call, sequence: int, now: float) -> pb.CallerFrame:
    """Return the request frame of a call.

    :param sequence: sequence number of the request on its stream
    :param now: monotonic seconds
    """
    time_left_ms = max(1, math.floor((call.deadline - now) * 1000))
    request = pb.Request(
        sequence=sequence,
        request_id=call.request_id,
        database=call.database,
        kind=call.kind,
        rank=call.rank,
        deadline_ms=time_left_ms,
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


def decode_failure(
    failure: pb.Failure, daemon: str
) -> errors.FescuestileError:
    """Return the error that a failure message stands for.

    :param daemon: peer of the error when the failure names none
    """
    error_class = _ERROR_BY_CODE.get(failure.code, errors.UnknownOutcome)
    retry_after = (
        failure.retry_after_ms / 1000 if failure.retry_after_ms else None
    )
    return error_class(
        message=failure.message,
        step=failure.step or "execute",
        peer=failure.peer or daemon,
        field=failure.field,
        retry_after=retry_after,
    )


class Assembler:
    """Reassembles the chunks of one answer."""

    def __init__(self, daemon: str, max_bytes: int) -> None:
        """Initialize with no chunks.

        :param daemon: id or address of the daemon, for errors
        :param max_bytes: maximum size of the payload
        """
        self._daemon = daemon
        self._max_bytes = max_bytes
        self._payloads: list[bytes] = []
        self._size = 0

    def add(self, chunk: pb.AnswerChunk) -> AnswerResult | None:
        """Add the next chunk.

        :returns: None until the answer is complete. A missing, repeated
            or out-of-order chunk or an oversized answer gives
            UnknownOutcome, since the request may have run
        """
        if chunk.chunk != len(self._payloads):
            return self._fail_unknown(
                f"got chunk {chunk.chunk}, expected {len(self._payloads)}"
            )
        self._payloads.append(chunk.payload)
        self._size += len(chunk.payload)
        if self._size > self._max_bytes:
            return self._fail_unknown(
                "the answer is larger than the caller accepts"
            )
        if not chunk.last:
            return None
        if chunk.HasField("failure"):
            return expression.Error(
                decode_failure(chunk.failure, self._daemon)
            )
        return expression.Ok(self._build_answer(chunk.execution))

    def _build_answer(self, execution: pb.Execution) -> requests.Answer:
        position = execution.position
        return requests.Answer(
            payload=b"".join(self._payloads),
            endpoint=execution.endpoint,
            position=positions.Position(position.term, position.index),
            replica=execution.replica,
            repeated=execution.repeated,
            transaction=execution.transaction,
            never_runs=execution.never_runs,
        )

    def _fail_unknown(self, message: str) -> AnswerResult:
        return expression.Error(
            errors.UnknownOutcome(
                message=message, step=STEP, peer=self._daemon, field="chunk"
            )
        )
