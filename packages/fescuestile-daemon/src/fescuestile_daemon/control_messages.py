"""Messages between daemons, over links, that serve operators' calls."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class StatusQuery:
    """Query which plan revisions are in force at a daemon.

    :ivar id: repeated in the reply
    :ivar database: database to return the revision of, empty for all
    """

    id: int
    database: str


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionInForce:
    """Plan revision in force of one database."""

    database: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class StatusReply:
    """Reply to StatusQuery, with the daemon's own state."""

    id: int
    state: str
    revisions: tuple[RevisionInForce, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class DrainOrder:
    """Request a daemon to drain."""

    id: int
    operator: str


@dataclasses.dataclass(frozen=True, slots=True)
class DrainReply:
    """Reply to DrainOrder, with the daemon's new state."""

    id: int
    state: str


CLASSES = (StatusQuery, StatusReply, DrainOrder, DrainReply)
