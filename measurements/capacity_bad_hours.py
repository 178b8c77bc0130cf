"""Lines of the bad hours."""

from measurements import capacity_costs
from measurements import capacity_lines
from measurements import capacity_roles
from measurements import slope_file

Line = capacity_lines.Line
SIZE = capacity_lines.SIZE

BACKOFF_SECONDS = 5.0
PAGE_BYTES = 1_000_000.0
OWNERS_LEFT = 2
SPREAD_JOINS = (
    "let a joining daemon take the configuration from a random member that "
    "a seed names"
)


def list_lines(recorded: slope_file.SlopeFile) -> list[Line]:
    """Return all lines of the bad hours."""
    costs = capacity_costs.Costs(recorded)
    return [
        *list_loss_lines(costs),
        *list_return_lines(costs),
        *list_parted_lines(costs),
        *list_outage_lines(costs),
    ]


def list_loss_lines(costs: capacity_costs.Costs) -> list[Line]:
    """Return what a rack's and a zone's loss cost."""
    groups = SIZE.databases / SIZE.zones
    drivers = OWNERS_LEFT * SIZE.zone_daemons
    frames = groups * capacity_roles.FRAMES_PER_FAILOVER
    return [
        Line(
            capacity_lines.MEMBER,
            capacity_lines.RACK,
            "processor until all owners are found",
            SIZE.rack_daemons * costs.member_change_ms / 1000,
            "s",
            f"assumed {SIZE.rack_daemons} daemons, each its own change, x "
            "(`slope_members` + `slope_groups`)",
            "ownership, groups_actor",
            capacity_lines.FAILOVER_BUDGET,
            remedy=capacity_roles.COALESCE,
        ),
        Line(
            capacity_lines.MEMBER,
            capacity_lines.ZONE,
            "processor until all owners are found",
            costs.member_change_ms / 1000,
            "s",
            "one change: the zone is out of reach as a whole",
            "membership, ownership",
            capacity_lines.FAILOVER_BUDGET,
        ),
        Line(
            capacity_lines.DRIVER,
            capacity_lines.ZONE,
            "failovers of one driver",
            groups / drivers,
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
            SIZE.endpoints / SIZE.zones / (SIZE.daemons - SIZE.zone_daemons),
            "",
            "the zone's endpoints over all other daemons",
            "ownership, owner",
        ),
    ]


def list_return_lines(costs: capacity_costs.Costs) -> list[Line]:
    """Return what a zone's return costs the others."""
    seconds = capacity_lines.SECONDS_PER_HOUR
    joins = SIZE.zone_daemons * costs.join_bytes
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
            capacity_costs.to_kilobytes(joins / SIZE.seeds / seconds),
            "KB/s",
            f"{SIZE.zone_daemons:.0f} daemons join by the same 3 seeds, "
            "assumed, x `slope_join`",
            "bootstrap, gossip",
            capacity_lines.TRAFFIC_BUDGET,
            remedy=SPREAD_JOINS,
        ),
        Line(
            capacity_lines.MEMBER,
            capacity_lines.ZONE,
            "sent by one daemon, joins spread over all",
            capacity_costs.to_kilobytes(joins / SIZE.daemons / seconds),
            "KB/s",
            "the same over all daemons",
            "bootstrap, gossip",
            capacity_lines.TRAFFIC_BUDGET,
            capacity_lines.PLANNED,
        ),
        Line(
            capacity_lines.MEMBER,
            capacity_lines.ZONE,
            "processor for the members that join, mean of the hour",
            capacity_costs.to_percent(
                SIZE.zone_daemons * costs.member_change_ms / seconds
            ),
            "% of a core",
            "one change a daemon x (`slope_members` + `slope_groups`)",
            "ownership, groups_actor",
            capacity_lines.CPU_BUDGET,
            remedy=capacity_roles.COALESCE,
        ),
        Line(
            capacity_lines.PLATFORM,
            capacity_lines.ZONE,
            "reads for the daemons that start",
            SIZE.zone_daemons,
            "/s",
            "assumed: all within one second, one host list each; plans come "
            "from peers",
            "bootstrap",
            capacity_lines.PLATFORM_READS_BUDGET,
        ),
    ]


def list_parted_lines(costs: capacity_costs.Costs) -> list[Line]:
    """Return what two parted halves exchange when they join again."""
    listing = costs.recorded.predict(
        "slope_plans", "bytes to list all", SIZE.databases + SIZE.daemons
    )
    hour = capacity_lines.SECONDS_PER_HOUR
    changes = SIZE.busiest_rate * hour
    members = SIZE.member_change_rate * hour
    missed = changes * costs.plan_bytes + members * costs.member_bytes
    zones = SIZE.zones - 1
    return [
        Line(
            capacity_lines.BRIDGE,
            capacity_lines.PARTED,
            "lists exchanged with all other zones",
            zones * listing / 1e6,
            "MB",
            "26 zones x keys of all plans and members, `slope_plans`",
            "gossip",
        ),
        Line(
            capacity_lines.BRIDGE,
            capacity_lines.PARTED,
            "missed entries from one zone",
            missed / 1e6,
            "MB",
            "an hour's changes, assumed the busiest, x `slope_plans`, "
            "`slope_members`",
            "gossip",
        ),
        Line(
            capacity_lines.BRIDGE,
            capacity_lines.PARTED,
            "sent, mean of the next hour",
            capacity_costs.to_kilobytes(zones * (listing + missed) / hour),
            "KB/s",
            "lists and entries to each other zone, at worst",
            "gossip",
            capacity_lines.TRAFFIC_BUDGET,
        ),
    ]


def list_outage_lines(costs: capacity_costs.Costs) -> list[Line]:
    """Return what the platform meets after an outage."""
    watchers = SIZE.zones * capacity_roles.WATCHERS_PER_ZONE
    pages = SIZE.databases * costs.plan_bytes / PAGE_BYTES + 1
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
            capacity_lines.PLATFORM_READS_BUDGET,
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
            SIZE.busiest_rate * capacity_lines.SECONDS_PER_HOUR,
            "",
            "no change is accepted without the platform; reads and status "
            "go on",
            "plan_changes",
        ),
    ]
