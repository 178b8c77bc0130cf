"""Lines of each role in a quiet hour and on an ordinary day."""

from measurements import capacity_costs
from measurements import capacity_entry
from measurements import capacity_lines
from measurements import slope_file

Line = capacity_lines.Line
SIZE = capacity_lines.SIZE

HOST_POLLS_PER_SECOND = 1.0
KEY_CHECKS_PER_SECOND = 1 / 30
WATCHERS_PER_ZONE = 2
WATCHES_PER_WATCHER = 2
CALLS_PER_CHANGE = 3
FRAMES_PER_FAILOVER = 12
LIST_CHANGES_PER_HOST = 2

COALESCE_CHANGES = "take only the latest membership of those that wait"
LIST_HOST_CHANGES = (
    "ask the platform for the lines that changed since the known version"
)


def list_lines(recorded: slope_file.SlopeFile) -> list[Line]:
    """Return all lines of all roles."""
    costs = capacity_costs.Costs(recorded)
    return [
        *capacity_entry.list_lines(costs),
        *list_driver_lines(costs),
        *list_watcher_lines(costs),
        *list_member_lines(costs),
        *list_bridge_lines(costs),
        *list_operator_lines(),
        *list_platform_lines(),
    ]


def list_driver_lines(costs: capacity_costs.Costs) -> list[Line]:
    """Return the costs of failovers at a driver."""
    role, when = capacity_lines.DRIVER, capacity_lines.ORDINARY
    return [
        Line(
            role,
            when,
            "failovers of all daemons",
            float(SIZE.primary_changes_per_day),
            "/day",
            "given",
            "failover",
        ),
        Line(
            role,
            when,
            "frames of one failover",
            float(FRAMES_PER_FAILOVER),
            "",
            "counted: 3 fences, 1 promotion, 2 follows and their replies",
            "failover, failover_steps",
        ),
        Line(
            role,
            when,
            "processor of one failover",
            FRAMES_PER_FAILOVER * costs.ping_ms,
            "ms",
            "frames x `slope_links_frames` pings",
            "failover",
        ),
    ]


def list_watcher_lines(costs: capacity_costs.Costs) -> list[Line]:
    """Return the costs of watching the platform at one watcher."""
    role, when = capacity_lines.WATCHER, capacity_lines.ORDINARY
    host_list_rate = (
        (SIZE.restarted_hosts_per_day + SIZE.failed_hosts_per_day)
        * LIST_CHANGES_PER_HOST
        / capacity_lines.SECONDS_PER_DAY
    )
    return [
        Line(
            role,
            when,
            "waiting watches",
            float(WATCHES_PER_WATCHER),
            "",
            "plans and session keys",
            "platform_watch",
        ),
        Line(
            role,
            when,
            "plans from the platform",
            capacity_costs.to_kilobytes(
                SIZE.peak_plan_change_rate * costs.plan_bytes
            ),
            "KB/s",
            "busiest hour, assumed a tenth of the day's changes, x "
            "`slope_plans` bytes",
            "platform_watch",
            capacity_lines.TRAFFIC_BUDGET_KB_PER_SECOND,
        ),
        Line(
            role,
            when,
            "host list from the platform",
            capacity_costs.to_kilobytes(
                host_list_rate * costs.host_list_bytes
            ),
            "KB/s",
            "2 changes a restart, whole list each x `slope_hosts`",
            "platform_watch",
            capacity_lines.TRAFFIC_BUDGET_KB_PER_SECOND,
            remedy=LIST_HOST_CHANGES,
        ),
        Line(
            role,
            when,
            "plan in force in a fleet of its zone size",
            costs.propagation_seconds,
            "s",
            "`slope_gossip_entry`; links' own time assumed small",
            "gossip, membership",
            capacity_lines.IN_FORCE_BUDGET_SECONDS,
        ),
    ]


def list_member_lines(costs: capacity_costs.Costs) -> list[Line]:
    """Return the costs of the membership at every daemon."""
    role = capacity_lines.MEMBER
    message_rate = costs.predict_gossip("messages/s sent per daemon")
    byte_rate = costs.predict_gossip("bytes/s sent per daemon")
    gossip_ms = costs.predict_gossip("CPU ms/s per daemon, without links")
    entry_byte_rate = costs.copies_per_change * (
        SIZE.peak_plan_change_rate * costs.plan_bytes
        + SIZE.member_change_rate * costs.member_bytes
    )
    return [
        Line(
            role,
            capacity_lines.QUIET,
            "messages, each way",
            message_rate,
            "messages/s",
            "`slope_gossip_quiet`, zones of 93",
            "membership, gossip",
        ),
        Line(
            role,
            capacity_lines.QUIET,
            "bytes, each way",
            capacity_costs.to_kilobytes(byte_rate),
            "KB/s",
            "`slope_gossip_quiet`",
            "membership, gossip",
            capacity_lines.TRAFFIC_BUDGET_KB_PER_SECOND,
        ),
        Line(
            role,
            capacity_lines.QUIET,
            "processor for gossip",
            capacity_costs.to_percent(
                gossip_ms + message_rate * costs.ping_ms
            ),
            "% of a core",
            "`slope_gossip_quiet` + messages/s x `slope_links_frames`",
            "membership, membership_actor, links",
            capacity_lines.CPU_BUDGET_PERCENT,
        ),
        Line(
            role,
            capacity_lines.QUIET,
            "processor for idle links to the zone",
            capacity_costs.to_percent(
                costs.idle_link_ms * SIZE.daemons_per_zone
            ),
            "% of a core",
            f"{SIZE.daemons_per_zone:.0f} links x `slope_links_memory`",
            "links",
            capacity_lines.CPU_BUDGET_PERCENT,
            remedy=capacity_entry.CLOSE_IDLE_LINKS,
        ),
        Line(
            role,
            capacity_lines.QUIET,
            "memory without sessions",
            costs.control_mebibytes
            + costs.link_mebibytes * SIZE.daemons_per_region,
            "MiB",
            "`slope_sessions` at 0 + `slope_members` + `slope_plans` + "
            "`slope_groups` + a region's links",
            "all actors",
            capacity_lines.MEMORY_BUDGET_MIB,
        ),
        Line(
            role,
            capacity_lines.ORDINARY,
            "changed entries, each way, busiest hour",
            capacity_costs.to_kilobytes(entry_byte_rate),
            "KB/s",
            "(plan + member changes)/s x `slope_gossip_entry` copies x bytes",
            "gossip",
            capacity_lines.TRAFFIC_BUDGET_KB_PER_SECOND,
        ),
        Line(
            role,
            capacity_lines.ORDINARY,
            "processor for changed members",
            capacity_costs.to_percent(
                SIZE.member_change_rate * costs.member_change_ms
            ),
            "% of a core",
            "assumed 3 changes a restart x (`slope_members` + `slope_groups`)",
            "ownership, groups_actor",
            capacity_lines.CPU_BUDGET_PERCENT,
            remedy=COALESCE_CHANGES,
        ),
        Line(
            role,
            capacity_lines.ORDINARY,
            "processor for changed plans, busiest hour",
            capacity_costs.to_percent(
                SIZE.peak_plan_change_rate * costs.plan_change_ms
            ),
            "% of a core",
            "changes/s x `slope_groups` plan change",
            "configuration_actor, groups_actor",
            capacity_lines.CPU_BUDGET_PERCENT,
        ),
        Line(
            role,
            capacity_lines.ORDINARY,
            "processor for joining daemons",
            capacity_costs.to_percent(
                SIZE.restarted_hosts_per_day
                / SIZE.daemons
                / capacity_lines.SECONDS_PER_DAY
                * costs.recorded.predict(
                    "slope_join",
                    "CPU ms of both, without links",
                    SIZE.databases,
                )
            ),
            "% of a core",
            "restarts of a daemon a day x `slope_join`",
            "gossip, bootstrap",
            capacity_lines.CPU_BUDGET_PERCENT,
        ),
    ]


def list_bridge_lines(costs: capacity_costs.Costs) -> list[Line]:
    """Return the costs of gossip between zones at a bridge."""
    role, when = capacity_lines.BRIDGE, capacity_lines.QUIET
    message_rate = costs.predict_bridge("messages/s sent per daemon")
    gossip_ms = costs.predict_bridge("CPU ms/s per daemon, without links")
    forwarded_byte_rate = (
        SIZE.peak_plan_change_rate * (SIZE.zones - 1) * costs.plan_bytes
    )
    return [
        Line(
            role,
            when,
            "messages, each way",
            message_rate,
            "messages/s",
            "`slope_gossip_bridges`, 27 zones",
            "membership, probes",
        ),
        Line(
            role,
            when,
            "bytes, each way",
            capacity_costs.to_kilobytes(
                costs.predict_bridge("bytes/s sent per daemon")
            ),
            "KB/s",
            "`slope_gossip_bridges`",
            "membership, probes",
            capacity_lines.TRAFFIC_BUDGET_KB_PER_SECOND,
        ),
        Line(
            role,
            when,
            "processor",
            capacity_costs.to_percent(
                gossip_ms + message_rate * costs.ping_ms
            ),
            "% of a core",
            "`slope_gossip_bridges` + messages/s x `slope_links_frames`",
            "membership, links",
            capacity_lines.CPU_BUDGET_PERCENT,
        ),
        Line(
            role,
            capacity_lines.ORDINARY,
            "changed plans to other zones, busiest hour",
            capacity_costs.to_kilobytes(forwarded_byte_rate),
            "KB/s",
            "changes/s x 26 zones x `slope_plans` bytes",
            "gossip",
            capacity_lines.TRAFFIC_BUDGET_KB_PER_SECOND,
        ),
    ]


def list_operator_lines() -> list[Line]:
    """Return the costs of operators' changes."""
    role = capacity_lines.OPERATOR
    return [
        Line(
            role,
            capacity_lines.ORDINARY,
            "changes, busiest hour",
            SIZE.peak_plan_change_rate,
            "/s",
            "assumed a tenth of the day's changes",
            "operator_server, plan_changes",
        ),
        Line(
            role,
            capacity_lines.ORDINARY,
            "platform calls of one change",
            2.0 * CALLS_PER_CHANGE,
            "",
            "counted: plan, kept revision and audit, each read and written",
            "plan_changes, audit",
        ),
    ]


def list_platform_lines() -> list[Line]:
    """Return the load of all daemons on the platform."""
    role, when = capacity_lines.PLATFORM, capacity_lines.ORDINARY
    watchers = SIZE.zones * WATCHERS_PER_ZONE
    polls = watchers * (HOST_POLLS_PER_SECOND + KEY_CHECKS_PER_SECOND)
    waiting_watches = watchers * WATCHES_PER_WATCHER
    starts = SIZE.restarted_hosts_per_day / capacity_lines.SECONDS_PER_DAY
    change_calls = SIZE.peak_plan_change_rate * CALLS_PER_CHANGE
    return [
        Line(
            role,
            when,
            "waiting watches",
            float(waiting_watches),
            "",
            "27 zones x 2 watchers x 2",
            "platform_watch",
            capacity_lines.PLATFORM_READS_PER_SECOND_BUDGET,
        ),
        Line(
            role,
            when,
            "reads, waiting watches counted",
            polls + waiting_watches + starts + change_calls,
            "/s",
            "watchers x (host list + keys) + watches + starts + changes",
            "platform_watch, bootstrap, plan_changes",
            capacity_lines.PLATFORM_READS_PER_SECOND_BUDGET,
        ),
        Line(
            role,
            when,
            "writes, busiest hour",
            change_calls,
            "/s",
            "changes/s x 3",
            "plan_changes, audit",
            capacity_lines.PLATFORM_WRITES_PER_SECOND_BUDGET,
        ),
    ]
