"""Encoding of answers and errors as frames of a caller's stream."""

import collections.abc

from fescuestile import errors
from fescuestile import failures
from fescuestile import requests
from fescuestile_api import fescuestile_pb2 as pb

MILLISECONDS_PER_SECOND = 1000

_CODES = {
    failures.FailureCode.INVALID: pb.INVALID,
    failures.FailureCode.NOT_RUN: pb.NOT_RUN,
    failures.FailureCode.UNKNOWN_OUTCOME: pb.UNKNOWN_OUTCOME,
    failures.FailureCode.STATEMENT_FAILED: pb.STATEMENT_FAILED,
    failures.FailureCode.TOKEN_REFUSED: pb.TOKEN_REFUSED,
}


def encode_failure(
    sequence: int, error: errors.FescuestileError, token: bytes = b""
) -> pb.DaemonFrame:
    """Return the frame that reports an error to a caller.

    :param sequence: number of the request, 0 for an error of the stream
    """
    retry_after = error.retry_after or 0.0
    return pb.DaemonFrame(
        answer=pb.AnswerChunk(
            sequence=sequence,
            last=True,
            failure=pb.Failure(
                code=_CODES[failures.find_code(error)],
                message=error.message,
                step=error.step,
                peer=error.peer,
                field=error.field,
                retry_after_ms=round(retry_after * MILLISECONDS_PER_SECOND),
            ),
            token=token,
        )
    )


def split_answer(
    sequence: int, answer: requests.Answer, token: bytes, chunk_bytes: int
) -> collections.abc.Iterator[pb.DaemonFrame]:
    """Yield the frames of an answer.

    :param chunk_bytes: maximum payload of one frame
    """
    payload = answer.payload
    last = max(0, (len(payload) - 1) // chunk_bytes)
    for number in range(last):
        start = number * chunk_bytes
        yield pb.DaemonFrame(
            answer=pb.AnswerChunk(
                sequence=sequence,
                chunk=number,
                payload=payload[start : start + chunk_bytes],
            )
        )
    yield pb.DaemonFrame(
        answer=pb.AnswerChunk(
            sequence=sequence,
            chunk=last,
            last=True,
            payload=payload[last * chunk_bytes :],
            token=token,
            execution=pb.Execution(
                endpoint=answer.endpoint,
                position=pb.Position(
                    term=answer.position.term, index=answer.position.index
                ),
                replica=answer.replica,
                repeated=answer.repeated,
                transaction=answer.transaction,
                never_runs=answer.never_runs,
            ),
        )
    )
