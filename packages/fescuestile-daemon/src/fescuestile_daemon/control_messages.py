"""Messages between daemons about operators' calls, over links."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class StatusQuery:
    """Ask a daemon which revisions are in force there.

    :ivar database: empty for all
    """

    id: int
    database: str


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionInForce:
    """Revision of one database."""

    database: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class StatusReply:
    """Reply to StatusQuery."""

    id: int
    state: str
    revisions: tuple[RevisionInForce, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class DrainOrder:
    """Ask a daemon to drain."""

    id: int
    operator: str


@dataclasses.dataclass(frozen=True, slots=True)
class DrainReply:
    """Reply to DrainOrder, with the daemon's new state."""

    id: int
    state: str


CLASSES = (StatusQuery, StatusReply, DrainOrder, DrainReply)
