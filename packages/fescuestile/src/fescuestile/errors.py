"""Errors of the library and the daemons.

Each error names the step and the peer at which it arose. Functions return
them in ``expression.Result``; outermost commands print them without a
traceback.
"""

import dataclasses


@dataclasses.dataclass(eq=False)
class FescuestileError(Exception):
    """Base of all errors shown to users.

    :ivar message: what went wrong, for a person
    :ivar step: step of the work at which it arose, for example ``route``
    :ivar peer: process, endpoint or file on the other side, or empty
    :ivar field: field at fault, or empty
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
    """The input is wrong; nothing ran."""


class TokenRefused(FescuestileError):
    """The session token is garbled, forged or signed by an unknown key."""


class NotRun(FescuestileError):
    """The request provably did not run; it may be sent again."""


class UnknownOutcome(FescuestileError):
    """The request may or may not have run."""


class StatementFailed(FescuestileError):
    """The endpoint ran the statement and reported an error."""


class TermRefused(NotRun):
    """The endpoint refused a term lower than the one it promised."""


class ConnectionLost(FescuestileError):
    """A connection ended, went silent or could not be opened."""


class PlatformUnavailable(FescuestileError):
    """The platform gave no answer; a change may have taken effect."""


class PlatformRefused(PlatformUnavailable):
    """The platform refused a call; it was not executed."""


class VersionConflict(FescuestileError):
    """A conditional update named a version that is not the current one."""
