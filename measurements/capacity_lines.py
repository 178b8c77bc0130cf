"""Lines of the capacity page, and the size that they are worked out for."""

import dataclasses
import math

ENTRY = "Entry daemon"
OWNER = "Owner of endpoints"
DRIVER = "Failover driver"
WATCHER = "Watcher and spreader of configuration"
MEMBER = "Gossip member"
BRIDGE = "Bridge between zones and regions"
OPERATOR = "Operators' RPC"
PLATFORM = "Platform, all daemons together"
TOTAL = "One daemon in all roles"
ROLES = (
    ENTRY,
    OWNER,
    DRIVER,
    WATCHER,
    MEMBER,
    BRIDGE,
    OPERATOR,
    PLATFORM,
    TOTAL,
)

QUIET = "quiet hour"
ORDINARY = "ordinary day"
RACK = "rack gone"
ZONE = "zone gone and back"
PARTED = "regions parted an hour, joined"
OUTAGE = "platform down an hour, back"

BUILT = "built"
PLANNED = "planned"

CPU_BUDGET = 1.2
MEMORY_BUDGET = 128.0
TRAFFIC_BUDGET = 28.0
PLATFORM_READS_BUDGET = 2000.0
PLATFORM_WRITES_BUDGET = 300.0
IN_FORCE_BUDGET = 5.0
FAILOVER_BUDGET = 9.0
STATEMENT_BUDGET = 100.0
SESSIONS_BUDGET = 128.0

SECONDS_PER_DAY = 86400.0
SECONDS_PER_HOUR = 3600.0
BYTES_PER_KILOBYTE = 1000.0
KIBIBYTES_PER_MEBIBYTE = 1024.0


@dataclasses.dataclass(frozen=True)
class Size:
    """The size to design for, and what is assumed beside it.

    The first block is given; the second is assumed.
    """

    daemons: int = 2500
    databases: int = 4000
    connections: int = 5_500_000
    statements: int = 8_400_000
    primary_changes: int = 7
    regions: int = 7
    zones: int = 27
    plan_changes: int = 3100
    hosts_failed: int = 7
    hosts_restarted: int = 2100

    endpoints_per_database: int = 3
    write_share: float = 0.2
    rack_daemons: int = 30
    changes_per_restart: int = 3
    busiest_hour_share: float = 0.1
    seeds: int = 3

    @property
    def endpoints(self) -> int:
        """Endpoints of all groups."""
        return self.databases * self.endpoints_per_database

    @property
    def zone_daemons(self) -> float:
        """Daemons of one zone."""
        return self.daemons / self.zones

    @property
    def region_daemons(self) -> float:
        """Daemons of one region."""
        return self.daemons / self.regions

    @property
    def sessions(self) -> float:
        """Sessions of one daemon."""
        return self.connections / self.daemons

    @property
    def daemon_statements(self) -> float:
        """Statements/s of one daemon."""
        return self.statements / self.daemons

    @property
    def database_writes(self) -> float:
        """Writes/s of one database."""
        return self.statements / self.databases * self.write_share

    @property
    def owned(self) -> float:
        """Endpoints that one daemon owns."""
        return self.endpoints / self.daemons

    @property
    def watched(self) -> float:
        """Endpoints that one daemon watches: all of each owned group."""
        return self.owned * self.endpoints_per_database

    @property
    def plan_change_rate(self) -> float:
        """Changes of plans per second."""
        return self.plan_changes / SECONDS_PER_DAY

    @property
    def busiest_rate(self) -> float:
        """Changes of plans per second in the busiest hour."""
        return self.plan_changes * self.busiest_hour_share / SECONDS_PER_HOUR

    @property
    def member_change_rate(self) -> float:
        """Changes of members per second."""
        restarted = self.hosts_restarted + self.hosts_failed
        return restarted * self.changes_per_restart / SECONDS_PER_DAY

    @property
    def entry_databases(self) -> float:
        """Distinct databases of one daemon's sessions, drawn at random."""
        nearby = self.databases / self.regions
        missing = math.pow(1 - 1 / nearby, self.sessions)
        return nearby * (1 - missing)

    @property
    def interested(self) -> float:
        """Daemons of the region with sessions on one database."""
        per_database = self.connections / self.databases
        missing = math.pow(1 - 1 / self.region_daemons, per_database)
        return self.region_daemons * (1 - missing)


SIZE = Size()


@dataclasses.dataclass(frozen=True)
class Line:
    """One figure of the page.

    :ivar when: in which hour or day
    :ivar basis: how it is worked out, with the slopes in backquotes
    :ivar mechanism: module that carries it
    :ivar state: BUILT or PLANNED
    :ivar budget: bound, None where none is stated
    :ivar remedy: what would bring it under, where it is over
    """

    role: str
    when: str
    figure: str
    value: float
    unit: str
    basis: str
    mechanism: str
    budget: float | None = None
    state: str = BUILT
    remedy: str = ""

    @property
    def verdict(self) -> str:
        """Whether the figure is within its budget."""
        if self.budget is None:
            return ""
        return "within" if self.value <= self.budget else "OVER"
