"""Routes: which group serves the statements on a database name, and how."""

import dataclasses
import enum

from fescuestile import tenants


class Consistency(enum.Enum):
    """Which writes a read on a route must see."""

    CURRENT = "current"
    BOUNDED = "bounded"
    READ_YOUR_WRITES = "read your writes"


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """One route in force.

    :ivar database: database name that callers connect to
    :ivar group: database group that serves it
    :ivar consistency: which writes its reads must see
    :ivar staleness: seconds that reads may be behind, 0 for current reads
    :ivar timeout: seconds that one statement may take
    :ivar target_latency: seconds within which an operation should end
    :ivar level: index of its rank, 0 for the most urgent
    :ivar public: whether callers need no key
    """

    database: str
    group: str
    consistency: Consistency
    staleness: float
    timeout: float
    target_latency: float
    level: int
    public: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class GroupLimits:
    """Declared limits of one group.

    :ivar connections: total number of connections that each endpoint
        accepts
    :ivar replicated: whether a replica has to hold each acknowledged write
    """

    connections: int
    replicated: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTable:
    """Routes and limits of one version of the configuration.

    :ivar version: grows with each change
    :ivar routes: routes by database name
    :ivar groups: limits by group
    :ivar idle_transaction: seconds after which an idle transaction may be
        rolled back
    :ivar tenant_table: tenants, none where callers need no keys
    """

    version: int
    routes: dict[str, Route]
    groups: dict[str, GroupLimits]
    idle_transaction: float
    tenant_table: tenants.TenantTable = dataclasses.field(
        default_factory=tenants.TenantTable
    )

    def find_tenant(
        self, route: Route, key_hash: bytes
    ) -> tenants.Tenant | None:
        """Return who calls on a route, None for an unknown key."""
        if route.public or not self.tenant_table:
            return tenants.Tenant(tenants.ANONYMOUS)
        return self.tenant_table.find(key_hash)
