"""Lines of failures: a lost rack or zone, a partition, an outage."""

from measurements import capacity_costs
from measurements import capacity_lines
from measurements import capacity_roles
from measurements import slope_file

Line = capacity_lines.Line
SIZE = capacity_lines.SIZE

BACKOFF_SECONDS = 5.0
LIST_PAGE_BYTES = 1_000_000.0
# A group's endpoints, and their owners, are in three zones.
SURVIVING_OWNERS_PER_GROUP = 2
DISTRIBUTE_JOINS = (
    "let a joining daemon take the configuration from a random member that "
    "a seed names"
)


def list_lines(recorded: slope_file.SlopeFile) -> list[Line]:
    """Return all lines of failures."""
    costs = capacity_costs.Costs(recorded)
    return [
        *list_loss_lines(costs),
        *list_zone_return_lines(costs),
        *list_partition_lines(costs),
        *list_outage_lines(costs),
    ]


def list_loss_lines(costs: capacity_costs.Costs) -> list[Line]:
    """Return the costs of losing a rack and of losing a zone."""
    lost_primaries = SIZE.databases / SIZE.zones
    drivers = SURVIVING_OWNERS_PER_GROUP * SIZE.daemons_per_zone
    frames = lost_primaries * capacity_roles.FRAMES_PER_FAILOVER
    return [
        Line(
            capacity_lines.MEMBER,
            capacity_lines.RACK,
            "processor until all owners are found",
            SIZE.daemons_per_rack * costs.member_change_ms / 1000,
            "s",
            f"assumed {SIZE.daemons_per_rack} daemons, each its own change, x "
            "(`slope_members` + `slope_groups`)",
            "ownership, groups_actor",
            capacity_lines.FAILOVER_BUDGET_SECONDS,
            remedy=capacity_roles.COALESCE_CHANGES,
        ),
        Line(
            capacity_lines.MEMBER,
            capacity_lines.ZONE,
            "processor until all owners are found",
            costs.member_change_ms / 1000,
            "s",
            "one change: the zone is out of reach as a whole",
            "membership, ownership",
            capacity_lines.FAILOVER_BUDGET_SECONDS,
        ),
        Line(
            capacity_lines.DRIVER,
            capacity_lines.ZONE,
            "failovers of one driver",
            lost_primaries / drivers,
            "",
            "assumed: primaries and owners evenly spread",
            "failover",
        ),
        Line(
            capacity_lines.DRIVER,
            capacity_lines.ZONE,
            "processor of its failovers",
            frames / drivers * costs.ping_ms,
            "ms",
            "failovers x 12 frames x `slope_links_frames`",
            "failover",
        ),
        Line(
            capacity_lines.OWNER,
            capacity_lines.ZONE,
            "endpoints taken up, where the zone's hosts alone are gone",
            SIZE.endpoints
            / SIZE.zones
            / (SIZE.daemons - SIZE.daemons_per_zone),
            "",
            "the zone's endpoints over all other daemons",
            "ownership, owner",
        ),
    ]


def list_zone_return_lines(costs: capacity_costs.Costs) -> list[Line]:
    """Return the costs of a zone's return."""
    hour_seconds = capacity_lines.SECONDS_PER_HOUR
    sent_bytes = SIZE.daemons_per_zone * costs.join_bytes
    return [
        Line(
            capacity_lines.MEMBER,
            capacity_lines.ZONE,
            "taken by one daemon at its start",
            costs.join_bytes / 1e6,
            "MB",
            "`slope_join` + `slope_members`; each entry from one peer",
            "bootstrap, gossip",
        ),
        Line(
            capacity_lines.MEMBER,
            capacity_lines.ZONE,
            "sent by one seed, mean of the hour",
            capacity_costs.to_kilobytes(
                sent_bytes / SIZE.seeds / hour_seconds
            ),
            "KB/s",
            f"{SIZE.daemons_per_zone:.0f} daemons join by the same 3 seeds, "
            "assumed, x `slope_join`",
            "bootstrap, gossip",
            capacity_lines.TRAFFIC_BUDGET_KB_PER_SECOND,
            remedy=DISTRIBUTE_JOINS,
        ),
        Line(
            capacity_lines.MEMBER,
            capacity_lines.ZONE,
            "sent by one daemon, joins spread over all",
            capacity_costs.to_kilobytes(
                sent_bytes / SIZE.daemons / hour_seconds
            ),
            "KB/s",
            "the same over all daemons",
            "bootstrap, gossip",
            capacity_lines.TRAFFIC_BUDGET_KB_PER_SECOND,
            capacity_lines.PLANNED,
        ),
        Line(
            capacity_lines.MEMBER,
            capacity_lines.ZONE,
            "processor for the members that join, mean of the hour",
            capacity_costs.to_percent(
                SIZE.daemons_per_zone * costs.member_change_ms / hour_seconds
            ),
            "% of a core",
            "one change a daemon x (`slope_members` + `slope_groups`)",
            "ownership, groups_actor",
            capacity_lines.CPU_BUDGET_PERCENT,
            remedy=capacity_roles.COALESCE_CHANGES,
        ),
        Line(
            capacity_lines.PLATFORM,
            capacity_lines.ZONE,
            "reads for the daemons that start",
            SIZE.daemons_per_zone,
            "/s",
            "assumed: all within one second, one host list each; plans come "
            "from peers",
            "bootstrap",
            capacity_lines.PLATFORM_READS_PER_SECOND_BUDGET,
        ),
    ]


def list_partition_lines(costs: capacity_costs.Costs) -> list[Line]:
    """Return what two sides of a partition exchange once it heals."""
    list_bytes = costs.recorded.predict(
        "slope_plans", "bytes to list all", SIZE.databases + SIZE.daemons
    )
    hour_seconds = capacity_lines.SECONDS_PER_HOUR
    plan_changes = SIZE.peak_plan_change_rate * hour_seconds
    member_changes = SIZE.member_change_rate * hour_seconds
    missed_bytes = (
        plan_changes * costs.plan_bytes + member_changes * costs.member_bytes
    )
    other_zones = SIZE.zones - 1
    return [
        Line(
            capacity_lines.BRIDGE,
            capacity_lines.PARTITION,
            "lists exchanged with all other zones",
            other_zones * list_bytes / 1e6,
            "MB",
            "26 zones x keys of all plans and members, `slope_plans`",
            "gossip",
        ),
        Line(
            capacity_lines.BRIDGE,
            capacity_lines.PARTITION,
            "missed entries from one zone",
            missed_bytes / 1e6,
            "MB",
            "an hour's changes, assumed the busiest, x `slope_plans`, "
            "`slope_members`",
            "gossip",
        ),
        Line(
            capacity_lines.BRIDGE,
            capacity_lines.PARTITION,
            "sent, mean of the next hour",
            capacity_costs.to_kilobytes(
                other_zones * (list_bytes + missed_bytes) / hour_seconds
            ),
            "KB/s",
            "lists and entries to each other zone, at worst",
            "gossip",
            capacity_lines.TRAFFIC_BUDGET_KB_PER_SECOND,
        ),
    ]


def list_outage_lines(costs: capacity_costs.Costs) -> list[Line]:
    """Return the effects of an outage of the platform."""
    watchers = SIZE.zones * capacity_roles.WATCHERS_PER_ZONE
    pages = SIZE.databases * costs.plan_bytes / LIST_PAGE_BYTES + 1
    calls = watchers * (pages + capacity_roles.WATCHES_PER_WATCHER)
    return [
        Line(
            capacity_lines.PLATFORM,
            capacity_lines.OUTAGE,
            "reads when all watchers call at once",
            calls / BACKOFF_SECONDS * 2,
            "/s",
            "54 watchers list all plans in pages of 1 MB and watch again, "
            "jittered over half of a 5 s backoff",
            "platform_watch, platform_adapter",
            capacity_lines.PLATFORM_READS_PER_SECOND_BUDGET,
        ),
        Line(
            capacity_lines.WATCHER,
            capacity_lines.OUTAGE,
            "plans listed by one watcher",
            SIZE.databases * costs.plan_bytes / 1e6,
            "MB",
            "all plans x `slope_plans` bytes, once",
            "platform_watch",
        ),
        Line(
            capacity_lines.OPERATOR,
            capacity_lines.OUTAGE,
            "changes refused",
            SIZE.peak_plan_change_rate * capacity_lines.SECONDS_PER_HOUR,
            "",
            "no change is accepted without the platform; reads and status "
            "go on",
            "plan_changes",
        ),
    ]
