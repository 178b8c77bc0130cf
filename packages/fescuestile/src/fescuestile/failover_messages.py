"""Messages between daemons about a group's primary, over links."""

import dataclasses

from fescuestile import failures


@dataclasses.dataclass(frozen=True, slots=True)
class PrimarySilence:
    """For how long the sender has not heard a primary.

    :ivar silence: seconds
    :ivar ask: the receiver shall tell the same of itself
    """

    database: str
    primary: str
    silence: float
    ask: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class SwitchoverRequest:
    """Ask a daemon that watches the group for a planned switchover."""

    id: int
    database: str
    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class SwitchoverReply:
    """How the switchover ended; ``failure`` is set when it did not."""

    id: int
    term: int = 0
    primary: str = ""
    failure: failures.Failure | None = None


CLASSES = (PrimarySilence, SwitchoverRequest, SwitchoverReply)
