"""Serializable form of errors, for messages between processes."""

import dataclasses
import enum

from fescuestile import errors


class FailureCode(enum.StrEnum):
    """Outcome of the failed request."""

    INVALID = "invalid"
    NOT_RUN = "not_run"
    UNKNOWN_OUTCOME = "unknown_outcome"
    STATEMENT_FAILED = "statement_failed"
    TOKEN_REFUSED = "token_refused"


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """An error as a message field; see ``errors.FescuestileError``.

    :ivar code: outcome of the request
    :ivar message: human-readable description
    :ivar step: processing step at which the error occurred
    :ivar peer: process, endpoint or file on the other side, or empty
    :ivar field: invalid field, or empty
    :ivar retry_after: seconds to wait before a retry, or None
    """

    code: FailureCode
    message: str
    step: str
    peer: str = ""
    field: str = ""
    retry_after: float | None = None


_CLASSES: dict[FailureCode, type[errors.FescuestileError]] = {
    FailureCode.INVALID: errors.InvalidInput,
    FailureCode.NOT_RUN: errors.NotRun,
    FailureCode.UNKNOWN_OUTCOME: errors.UnknownOutcome,
    FailureCode.STATEMENT_FAILED: errors.StatementFailed,
    FailureCode.TOKEN_REFUSED: errors.TokenRefused,
}


def find_code(error: errors.FescuestileError) -> FailureCode:
    """Return the code of an error.

    An error class that does not determine the outcome maps to
    ``UNKNOWN_OUTCOME``.
    """
    for code, cls in _CLASSES.items():
        if isinstance(error, cls):
            return code
    return FailureCode.UNKNOWN_OUTCOME


def describe_error(error: errors.FescuestileError) -> Failure:
    """Return the serializable form of an error."""
    return Failure(
        code=find_code(error),
        message=error.message,
        step=error.step,
        peer=error.peer,
        field=error.field,
        retry_after=error.retry_after,
    )


def restore_error(failure: Failure) -> errors.FescuestileError:
    """Return the error for its serializable form."""
    return _CLASSES[failure.code](
        message=failure.message,
        step=failure.step,
        peer=failure.peer,
        field=failure.field,
        retry_after=failure.retry_after,
    )
