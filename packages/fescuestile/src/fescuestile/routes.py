"""Routes: how the statements on one database name are served."""

import dataclasses
import enum


class Consistency(enum.Enum):
    """What a read on a route must see."""

    CURRENT = "current"
    BOUNDED = "bounded"
    READ_YOUR_WRITES = "read your writes"


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """One route in force.

    :ivar database: database name that callers connect to
    :ivar group: database group that serves it
    :ivar consistency: what its reads must see
    :ivar staleness: seconds that reads may be stale, 0 for current
    :ivar timeout: seconds that one statement may take
    :ivar target_latency: seconds within which an operation should end
    :ivar level: urgency, 0 for the most urgent
    """

    database: str
    group: str
    consistency: Consistency
    staleness: float
    timeout: float
    target_latency: float
    level: int


@dataclasses.dataclass(frozen=True, slots=True)
class GroupLimits:
    """What operators declared for one group.

    :ivar connections: connections that each endpoint accepts in all
    """

    connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTable:
    """All routes of one version of the configuration.

    :ivar version: grows with each change
    :ivar routes: routes by database name
    :ivar groups: limits by group
    :ivar idle_transaction: seconds after which an idle transaction may be
        rolled back
    """

    version: int
    routes: dict[str, Route]
    groups: dict[str, GroupLimits]
    idle_transaction: float
