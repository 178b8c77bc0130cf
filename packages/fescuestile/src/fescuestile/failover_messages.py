"""Messages over links between daemons, about the primary of a group."""

import dataclasses

from fescuestile import failures


@dataclasses.dataclass(frozen=True, slots=True)
class PrimarySilence:
    """How long a primary has not answered the sender.

    :ivar silence: seconds since its last answer
    :ivar ask: the receiver is to reply with its own observation
    """

    database: str
    primary: str
    silence: float
    ask: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class SwitchoverRequest:
    """Request a switchover from a daemon that watches the group.

    :ivar id: repeated in the reply
    :ivar target: endpoint to promote
    """

    id: int
    database: str
    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class SwitchoverReply:
    """Result of a switchover.

    :ivar id: id of the request
    :ivar term: term of the new primary
    :ivar primary: the new primary
    :ivar failure: why there was no switchover, None on success
    """

    id: int
    term: int = 0
    primary: str = ""
    failure: failures.Failure | None = None


CLASSES = (PrimarySilence, SwitchoverRequest, SwitchoverReply)
