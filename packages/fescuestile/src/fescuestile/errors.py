"""Errors of the library and the daemons.

Each error names the step and the peer at which it occurred. Functions return
errors in ``expression.Result``; commands print them without a traceback.
"""

import dataclasses


@dataclasses.dataclass(eq=False)
class FescuestileError(Exception):
    """Base class of all errors shown to users.

    :ivar message: human-readable description
    :ivar step: processing step at which it occurred, for example ``route``
    :ivar peer: process, endpoint or file on the other side, or empty
    :ivar field: invalid field, or empty
    :ivar retry_after: seconds to wait before a retry, or None
    """

    message: str
    step: str
    peer: str = ""
    field: str = ""
    retry_after: float | None = None

    def __str__(self) -> str:
        """Return the message with step, peer and field."""
        text = f"{self.message} (step {self.step}"
        if self.peer:
            text += f", peer {self.peer}"
        if self.field:
            text += f", field {self.field}"
        return text + ")"


class InvalidInput(FescuestileError):
    """The input is invalid; nothing was executed."""


class TokenRefused(FescuestileError):
    """The session token is malformed, forged or signed by an unknown key."""


class NotRun(FescuestileError):
    """The request was provably not executed; it may be sent again."""


class UnknownOutcome(FescuestileError):
    """The request may or may not have been executed."""


class StatementFailed(FescuestileError):
    """The endpoint executed the statement and reported an error."""


class TermRefused(NotRun):
    """The endpoint refused a term lower than the one it promised."""


class ConnectionLost(FescuestileError):
    """A connection was closed, unresponsive or could not be opened."""


class PlatformUnavailable(FescuestileError):
    """The platform did not respond; a change may have taken effect."""


class PlatformRefused(PlatformUnavailable):
    """The platform refused a call, which was not executed."""


class VersionConflict(FescuestileError):
    """The expected version of a conditional update is not the current one."""
