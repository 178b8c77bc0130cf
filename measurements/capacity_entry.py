"""Lines of entry daemons and of owners of endpoints."""

from measurements import capacity_costs
from measurements import capacity_lines

Line = capacity_lines.Line
SIZE = capacity_lines.SIZE

PUSHES_PER_SECOND = 20.0
PLANNED_PUSHES_PER_SECOND = 2.0
INTEREST_RENEWALS_PER_SECOND = 0.5
REPORTS_PER_SECOND = 50.0
PLANNED_REPORTS_PER_SECOND = 4.0
CHASES_PER_SECOND = 1 / 0.003

GATHER = (
    "gather sessions by database: alternatives in Opened and Roam name the "
    "owners, so an entry daemon serves about as many databases as it owns"
)
FEWER_PUSHES = (
    f"{GATHER}; push on a new term at once and lag each 500 ms, from the "
    "primary's owner only"
)
IDLE_LINKS = "close links that carried nothing for a while"
FEWER_REPORTS = (
    "subscribe each 250 ms; confirmations ask the replicas themselves"
)


def list_lines(costs: capacity_costs.Costs) -> list[Line]:
    """Return all lines of entry daemons and owners."""
    return [
        *list_entry_lines(costs),
        *list_entry_control_lines(costs),
        *list_owner_lines(costs),
    ]


def list_entry_lines(costs: capacity_costs.Costs) -> list[Line]:
    """Return what statements and sessions cost an entry daemon."""
    role, when = capacity_lines.ENTRY, capacity_lines.ORDINARY
    statement_us = costs.recorded.predict(
        "slope_statements", "CPU µs per statement", 200
    )
    session_kib = costs.recorded.grow("slope_sessions", "memory KiB")
    return [
        Line(
            role,
            when,
            "processor for statements",
            statement_us * SIZE.daemon_statements / 1e4,
            "% of a core",
            f"{SIZE.daemon_statements:.0f}/s x `slope_statements` at 200",
            "caller_server, entry, owner, execution",
            capacity_lines.STATEMENT_BUDGET,
            remedy="a second core or twice the daemons until the profile's "
            "largest parts shrink: gRPC stream, websocket, Result objects",
        ),
        Line(
            role,
            when,
            "processor for forwarding to owners",
            capacity_costs.to_percent(
                2 * costs.forward_ms * SIZE.daemon_statements
            ),
            "% of a core",
            "statements/s x 2 frames x `slope_links_frames` forwards",
            "dispatch, links",
            remedy=GATHER,
        ),
        Line(
            role,
            when,
            "memory of sessions",
            SIZE.sessions * session_kib / 1024,
            "MiB",
            f"{SIZE.sessions:.0f} x `slope_sessions`",
            "caller_server",
            capacity_lines.SESSIONS_BUDGET,
        ),
    ]


def list_entry_control_lines(costs: capacity_costs.Costs) -> list[Line]:
    """Return what an entry daemon spends to know its groups."""
    role, when = capacity_lines.ENTRY, capacity_lines.QUIET
    pushes = (
        SIZE.entry_databases * SIZE.endpoints_per_database * PUSHES_PER_SECOND
    )
    planned = SIZE.owned * PLANNED_PUSHES_PER_SECOND
    renewals = (
        SIZE.entry_databases
        * SIZE.endpoints_per_database
        * INTEREST_RENEWALS_PER_SECOND
    )
    state = (
        "assumed: sessions at random in a region, "
        f"{SIZE.entry_databases:.0f} databases"
    )
    return [
        Line(
            role,
            when,
            "group states received",
            pushes,
            "messages/s",
            f"{state} x 3 owners x 20/s",
            "state_push",
        ),
        Line(
            role,
            when,
            "processor for group states",
            capacity_costs.to_percent(pushes * costs.push_in_ms),
            "% of a core",
            "messages/s x (`slope_state_push` + `slope_reports` + frame)",
            "state_push, groups_actor",
            capacity_lines.CPU_BUDGET,
            remedy=FEWER_PUSHES,
        ),
        Line(
            role,
            when,
            "group states in",
            capacity_costs.to_kilobytes(pushes * costs.push_bytes),
            "KB/s",
            "messages/s x `slope_state_push` bytes",
            "state_push",
            capacity_lines.TRAFFIC_BUDGET,
            remedy=FEWER_PUSHES,
        ),
        Line(
            role,
            when,
            "group states in, sessions gathered",
            capacity_costs.to_kilobytes(planned * costs.push_bytes),
            "KB/s",
            f"{SIZE.owned:.1f} databases x 2/s x `slope_state_push` bytes",
            "state_push",
            capacity_lines.TRAFFIC_BUDGET,
            capacity_lines.PLANNED,
        ),
        Line(
            role,
            when,
            "processor for group states, sessions gathered",
            capacity_costs.to_percent(planned * costs.push_in_ms),
            "% of a core",
            f"{SIZE.owned:.1f} databases x 2/s x as above",
            "state_push, groups_actor",
            capacity_lines.CPU_BUDGET,
            capacity_lines.PLANNED,
        ),
        Line(
            role,
            when,
            "interest renewals sent",
            renewals,
            "messages/s",
            f"{state} x 3 owners / 2 s",
            "state_push",
            remedy=GATHER,
        ),
        Line(
            role,
            when,
            "processor for idle links, one region",
            capacity_costs.to_percent(costs.link_ms * SIZE.region_daemons),
            "% of a core",
            f"{SIZE.region_daemons:.0f} links x `slope_links_memory`",
            "links",
            capacity_lines.CPU_BUDGET,
            remedy=f"{IDLE_LINKS}; {GATHER}",
        ),
        Line(
            role,
            when,
            "memory of links, full mesh at worst",
            costs.link_mebibytes * SIZE.daemons,
            "MiB",
            f"{SIZE.daemons} links x `slope_links_memory`",
            "links",
            capacity_lines.MEMORY_BUDGET,
        ),
    ]


def list_owner_lines(costs: capacity_costs.Costs) -> list[Line]:
    """Return what the owned endpoints cost their owner."""
    role, when = capacity_lines.OWNER, capacity_lines.QUIET
    reports = SIZE.watched * REPORTS_PER_SECOND
    writes = SIZE.owned / SIZE.endpoints_per_database
    planned = SIZE.watched * PLANNED_REPORTS_PER_SECOND
    gathered = (
        SIZE.owned * SIZE.endpoints_per_database * PLANNED_PUSHES_PER_SECOND
    )
    pushes = SIZE.owned * SIZE.interested * PUSHES_PER_SECOND
    state = f"assumed: {SIZE.interested:.0f} interested daemons"
    return [
        Line(
            role,
            when,
            "endpoints owned",
            SIZE.owned,
            "",
            "assumed: 3 endpoints a database, evenly spread",
            "ownership, owner",
        ),
        Line(
            role,
            when,
            "control connections",
            SIZE.watched,
            "",
            "endpoints owned x 3 of their group",
            "group_watch",
        ),
        Line(
            role,
            when,
            "owners that connect to an endpoint for statements",
            1.0,
            "",
            "one owner an endpoint; it keeps the endpoint's cap",
            "ownership, endpoint_pool",
        ),
        Line(
            role,
            when,
            "reports received",
            reports,
            "messages/s",
            "control connections x 50/s, as long as writes go on",
            "group_watch",
        ),
        Line(
            role,
            when,
            "processor for reports",
            capacity_costs.to_percent(reports * costs.report_ms),
            "% of a core",
            "reports/s x (`slope_reports` + half a `slope_links_frames` ping)",
            "group_watch, report_buffer, groups_actor",
            capacity_lines.CPU_BUDGET,
            remedy=FEWER_REPORTS,
        ),
        Line(
            role,
            when,
            "reports in",
            capacity_costs.to_kilobytes(reports * costs.report_bytes),
            "KB/s",
            "reports/s x `slope_state_push` bytes an endpoint",
            "group_watch",
            capacity_lines.TRAFFIC_BUDGET,
            remedy=FEWER_REPORTS,
        ),
        Line(
            role,
            when,
            "reports in, each 250 ms",
            capacity_costs.to_kilobytes(planned * costs.report_bytes),
            "KB/s",
            "control connections x 4 reports/s",
            "group_watch",
            capacity_lines.TRAFFIC_BUDGET,
            capacity_lines.PLANNED,
        ),
        Line(
            role,
            when,
            "processor for reports, each 250 ms",
            capacity_costs.to_percent(planned * costs.report_ms),
            "% of a core",
            "control connections x 4 reports/s x as above",
            "group_watch, report_buffer, groups_actor",
            capacity_lines.CPU_BUDGET,
            capacity_lines.PLANNED,
        ),
        Line(
            role,
            when,
            "processor for group states sent, sessions gathered",
            capacity_costs.to_percent(gathered * costs.push_out_ms),
            "% of a core",
            f"{SIZE.owned:.1f} groups x 3 daemons x 2/s x as above",
            "state_push",
            capacity_lines.CPU_BUDGET,
            capacity_lines.PLANNED,
        ),
        Line(
            role,
            when,
            "group states out, sessions gathered",
            capacity_costs.to_kilobytes(gathered * costs.push_bytes),
            "KB/s",
            f"{SIZE.owned:.1f} groups x 3 daemons x 2/s x bytes",
            "state_push",
            capacity_lines.TRAFFIC_BUDGET,
            capacity_lines.PLANNED,
        ),
        Line(
            role,
            capacity_lines.ORDINARY,
            "confirmations asked of replicas",
            writes
            * (SIZE.endpoints_per_database - 1)
            * min(SIZE.database_writes, CHASES_PER_SECOND),
            "messages/s",
            f"{writes:.1f} primaries x 2 replicas x one request in 3 ms at "
            "most, assumed; a part of the statements, not of control",
            "group_watch, confirmations",
        ),
        Line(
            role,
            when,
            "group states sent",
            pushes,
            "messages/s",
            f"{state} x {SIZE.owned:.1f} groups x 20/s",
            "state_push",
        ),
        Line(
            role,
            when,
            "processor for group states sent",
            capacity_costs.to_percent(pushes * costs.push_out_ms),
            "% of a core",
            "messages/s x (`slope_state_push` encode + half a frame)",
            "state_push",
            capacity_lines.CPU_BUDGET,
            remedy=f"{FEWER_PUSHES}; encode a frame once for all receivers",
        ),
        Line(
            role,
            when,
            "group states out",
            capacity_costs.to_kilobytes(pushes * costs.push_bytes),
            "KB/s",
            "messages/s x `slope_state_push` bytes",
            "state_push",
            capacity_lines.TRAFFIC_BUDGET,
            remedy=FEWER_PUSHES,
        ),
    ]
