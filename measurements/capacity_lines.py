"""Lines of the capacity page, and the design size they are computed for."""

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
PARTITION = "regions parted an hour, joined"
OUTAGE = "platform down an hour, back"

BUILT = "built"
PLANNED = "planned"

CPU_BUDGET_PERCENT = 1.2
MEMORY_BUDGET_MIB = 128.0
TRAFFIC_BUDGET_KB_PER_SECOND = 28.0
PLATFORM_READS_PER_SECOND_BUDGET = 2000.0
PLATFORM_WRITES_PER_SECOND_BUDGET = 300.0
IN_FORCE_BUDGET_SECONDS = 5.0
FAILOVER_BUDGET_SECONDS = 9.0
STATEMENT_CPU_BUDGET_PERCENT = 100.0
SESSION_MEMORY_BUDGET_MIB = 128.0

SECONDS_PER_DAY = 86400.0
SECONDS_PER_HOUR = 3600.0
BYTES_PER_KILOBYTE = 1000.0
KIBIBYTES_PER_MEBIBYTE = 1024.0


@dataclasses.dataclass(frozen=True)
class Size:
    """Design size of a deployment.

    The first block of fields is given; the second is assumed.
    """

    daemons: int = 2500
    databases: int = 4000
    caller_connections: int = 5_500_000
    statements_per_second: int = 8_400_000
    primary_changes_per_day: int = 7
    regions: int = 7
    zones: int = 27
    plan_changes_per_day: int = 3100
    failed_hosts_per_day: int = 7
    restarted_hosts_per_day: int = 2100

    endpoints_per_database: int = 3
    write_share: float = 0.2
    daemons_per_rack: int = 30
    member_changes_per_restart: int = 3
    peak_hour_share: float = 0.1
    seeds: int = 3

    @property
    def endpoints(self) -> int:
        """Endpoints of all groups."""
        return self.databases * self.endpoints_per_database

    @property
    def daemons_per_zone(self) -> float:
        """Daemons of one zone."""
        return self.daemons / self.zones

    @property
    def daemons_per_region(self) -> float:
        """Daemons of one region."""
        return self.daemons / self.regions

    @property
    def sessions_per_daemon(self) -> float:
        """Sessions of one daemon."""
        return self.caller_connections / self.daemons

    @property
    def statements_per_daemon(self) -> float:
        """Statements/s of one daemon."""
        return self.statements_per_second / self.daemons

    @property
    def writes_per_database(self) -> float:
        """Writes/s of one database."""
        return self.statements_per_second / self.databases * self.write_share

    @property
    def owned_endpoints(self) -> float:
        """Endpoints that one daemon owns."""
        return self.endpoints / self.daemons

    @property
    def watched_endpoints(self) -> float:
        """Endpoints that one daemon watches: all of an owned one's group."""
        return self.owned_endpoints * self.endpoints_per_database

    @property
    def plan_change_rate(self) -> float:
        """Changes of plans per second."""
        return self.plan_changes_per_day / SECONDS_PER_DAY

    @property
    def peak_plan_change_rate(self) -> float:
        """Changes of plans per second in the busiest hour."""
        return (
            self.plan_changes_per_day * self.peak_hour_share / SECONDS_PER_HOUR
        )

    @property
    def member_change_rate(self) -> float:
        """Changes of members per second."""
        changed_hosts = (
            self.restarted_hosts_per_day + self.failed_hosts_per_day
        )
        return (
            changed_hosts * self.member_changes_per_restart / SECONDS_PER_DAY
        )

    @property
    def databases_per_entry_daemon(self) -> float:
        """Expected number of databases that one daemon's sessions use.

        Each session uses a random database of the region.
        """
        nearby = self.databases / self.regions
        unused = math.pow(1 - 1 / nearby, self.sessions_per_daemon)
        return nearby * (1 - unused)

    @property
    def interested_daemons(self) -> float:
        """Expected number of daemons with sessions on one database.

        Each session is at a random daemon of the region.
        """
        per_database = self.caller_connections / self.databases
        unused = math.pow(1 - 1 / self.daemons_per_region, per_database)
        return self.daemons_per_region * (1 - unused)


SIZE = Size()


@dataclasses.dataclass(frozen=True)
class Line:
    """One figure of the page.

    :ivar when: hour or day that the figure is for
    :ivar basis: how the value is computed, with the slopes in backquotes
    :ivar mechanism: modules that cause the cost
    :ivar state: BUILT or PLANNED
    :ivar budget: upper bound in the same unit, None if none is stated
    :ivar remedy: change that would bring the figure within its budget
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
        """``within`` or ``OVER`` the budget; empty without a budget."""
        if self.budget is None:
            return ""
        return "within" if self.value <= self.budget else "OVER"
