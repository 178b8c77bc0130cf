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
# A replica is asked at most once in 3 ms.
MAX_CONFIRMATION_REQUESTS_PER_SECOND = 1 / 0.003

COLOCATE_SESSIONS = (
    "gather sessions by database: alternatives in Opened and Roam name the "
    "owners, so an entry daemon serves about as many databases as it owns"
)
FEWER_PUSHES = (
    f"{COLOCATE_SESSIONS}; push on a new term at once and lag each 500 ms, "
    "from the primary's owner only"
)
CLOSE_IDLE_LINKS = "close links that carried nothing for a while"
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
    """Return the costs of statements and sessions at an entry daemon."""
    role, when = capacity_lines.ENTRY, capacity_lines.ORDINARY
    statement_us = costs.recorded.predict(
        "slope_statements", "CPU µs per statement", 200
    )
    session_kib = costs.recorded.get_slope("slope_sessions", "memory KiB")
    return [
        Line(
            role,
            when,
            "processor for statements",
            statement_us * SIZE.statements_per_daemon / 1e4,
            "% of a core",
            f"{SIZE.statements_per_daemon:.0f}/s x `slope_statements` at 200",
            "caller_server, entry, owner, execution",
            capacity_lines.STATEMENT_CPU_BUDGET_PERCENT,
            remedy="a second core or twice the daemons until the profile's "
            "largest parts shrink: gRPC stream, websocket, Result objects",
        ),
        Line(
            role,
            when,
            "processor for forwarding to owners",
            capacity_costs.to_percent(
                2 * costs.forward_ms * SIZE.statements_per_daemon
            ),
            "% of a core",
            "statements/s x 2 frames x `slope_links_frames` forwards",
            "dispatch, links",
            remedy=COLOCATE_SESSIONS,
        ),
        Line(
            role,
            when,
            "memory of sessions",
            SIZE.sessions_per_daemon * session_kib / 1024,
            "MiB",
            f"{SIZE.sessions_per_daemon:.0f} x `slope_sessions`",
            "caller_server",
            capacity_lines.SESSION_MEMORY_BUDGET_MIB,
        ),
    ]


def list_entry_control_lines(costs: capacity_costs.Costs) -> list[Line]:
    """Return the costs of an entry daemon to follow its groups' states."""
    role, when = capacity_lines.ENTRY, capacity_lines.QUIET
    push_rate = (
        SIZE.databases_per_entry_daemon
        * SIZE.endpoints_per_database
        * PUSHES_PER_SECOND
    )
    planned_push_rate = SIZE.owned_endpoints * PLANNED_PUSHES_PER_SECOND
    renewal_rate = (
        SIZE.databases_per_entry_daemon
        * SIZE.endpoints_per_database
        * INTEREST_RENEWALS_PER_SECOND
    )
    assumption = (
        "assumed: sessions at random in a region, "
        f"{SIZE.databases_per_entry_daemon:.0f} databases"
    )
    return [
        Line(
            role,
            when,
            "group states received",
            push_rate,
            "messages/s",
            f"{assumption} x 3 owners x 20/s",
            "state_push",
        ),
        Line(
            role,
            when,
            "processor for group states",
            capacity_costs.to_percent(push_rate * costs.push_receive_ms),
            "% of a core",
            "messages/s x (`slope_state_push` + `slope_reports` + frame)",
            "state_push, groups_actor",
            capacity_lines.CPU_BUDGET_PERCENT,
            remedy=FEWER_PUSHES,
        ),
        Line(
            role,
            when,
            "group states in",
            capacity_costs.to_kilobytes(push_rate * costs.push_bytes),
            "KB/s",
            "messages/s x `slope_state_push` bytes",
            "state_push",
            capacity_lines.TRAFFIC_BUDGET_KB_PER_SECOND,
            remedy=FEWER_PUSHES,
        ),
        Line(
            role,
            when,
            "group states in, sessions gathered",
            capacity_costs.to_kilobytes(planned_push_rate * costs.push_bytes),
            "KB/s",
            f"{SIZE.owned_endpoints:.1f} databases x 2/s x "
            "`slope_state_push` bytes",
            "state_push",
            capacity_lines.TRAFFIC_BUDGET_KB_PER_SECOND,
            capacity_lines.PLANNED,
        ),
        Line(
            role,
            when,
            "processor for group states, sessions gathered",
            capacity_costs.to_percent(
                planned_push_rate * costs.push_receive_ms
            ),
            "% of a core",
            f"{SIZE.owned_endpoints:.1f} databases x 2/s x as above",
            "state_push, groups_actor",
            capacity_lines.CPU_BUDGET_PERCENT,
            capacity_lines.PLANNED,
        ),
        Line(
            role,
            when,
            "interest renewals sent",
            renewal_rate,
            "messages/s",
            f"{assumption} x 3 owners / 2 s",
            "state_push",
            remedy=COLOCATE_SESSIONS,
        ),
        Line(
            role,
            when,
            "processor for idle links, one region",
            capacity_costs.to_percent(
                costs.idle_link_ms * SIZE.daemons_per_region
            ),
            "% of a core",
            f"{SIZE.daemons_per_region:.0f} links x `slope_links_memory`",
            "links",
            capacity_lines.CPU_BUDGET_PERCENT,
            remedy=f"{CLOSE_IDLE_LINKS}; {COLOCATE_SESSIONS}",
        ),
        Line(
            role,
            when,
            "memory of links, full mesh at worst",
            costs.link_mebibytes * SIZE.daemons,
            "MiB",
            f"{SIZE.daemons} links x `slope_links_memory`",
            "links",
            capacity_lines.MEMORY_BUDGET_MIB,
        ),
    ]


def list_owner_lines(costs: capacity_costs.Costs) -> list[Line]:
    """Return the costs of owned endpoints at their owner."""
    role, when = capacity_lines.OWNER, capacity_lines.QUIET
    report_rate = SIZE.watched_endpoints * REPORTS_PER_SECOND
    owned_primaries = SIZE.owned_endpoints / SIZE.endpoints_per_database
    planned_report_rate = SIZE.watched_endpoints * PLANNED_REPORTS_PER_SECOND
    colocated_push_rate = (
        SIZE.owned_endpoints
        * SIZE.endpoints_per_database
        * PLANNED_PUSHES_PER_SECOND
    )
    push_rate = (
        SIZE.owned_endpoints * SIZE.interested_daemons * PUSHES_PER_SECOND
    )
    assumption = f"assumed: {SIZE.interested_daemons:.0f} interested daemons"
    return [
        Line(
            role,
            when,
            "endpoints owned",
            SIZE.owned_endpoints,
            "",
            "assumed: 3 endpoints a database, evenly spread",
            "ownership, owner",
        ),
        Line(
            role,
            when,
            "control connections",
            SIZE.watched_endpoints,
            "",
            "endpoints owned x 3 of their group",
            "endpoint_watch",
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
            report_rate,
            "messages/s",
            "control connections x 50/s, as long as writes go on",
            "endpoint_watch",
        ),
        Line(
            role,
            when,
            "processor for reports",
            capacity_costs.to_percent(report_rate * costs.report_ms),
            "% of a core",
            "reports/s x (`slope_reports` + half a `slope_links_frames` ping)",
            "endpoint_watch, report_buffer, groups_actor",
            capacity_lines.CPU_BUDGET_PERCENT,
            remedy=FEWER_REPORTS,
        ),
        Line(
            role,
            when,
            "reports in",
            capacity_costs.to_kilobytes(report_rate * costs.report_bytes),
            "KB/s",
            "reports/s x `slope_state_push` bytes an endpoint",
            "endpoint_watch",
            capacity_lines.TRAFFIC_BUDGET_KB_PER_SECOND,
            remedy=FEWER_REPORTS,
        ),
        Line(
            role,
            when,
            "reports in, each 250 ms",
            capacity_costs.to_kilobytes(
                planned_report_rate * costs.report_bytes
            ),
            "KB/s",
            "control connections x 4 reports/s",
            "endpoint_watch",
            capacity_lines.TRAFFIC_BUDGET_KB_PER_SECOND,
            capacity_lines.PLANNED,
        ),
        Line(
            role,
            when,
            "processor for reports, each 250 ms",
            capacity_costs.to_percent(planned_report_rate * costs.report_ms),
            "% of a core",
            "control connections x 4 reports/s x as above",
            "endpoint_watch, report_buffer, groups_actor",
            capacity_lines.CPU_BUDGET_PERCENT,
            capacity_lines.PLANNED,
        ),
        Line(
            role,
            when,
            "processor for group states sent, sessions gathered",
            capacity_costs.to_percent(
                colocated_push_rate * costs.push_send_ms
            ),
            "% of a core",
            f"{SIZE.owned_endpoints:.1f} groups x 3 daemons x 2/s x as above",
            "state_push",
            capacity_lines.CPU_BUDGET_PERCENT,
            capacity_lines.PLANNED,
        ),
        Line(
            role,
            when,
            "group states out, sessions gathered",
            capacity_costs.to_kilobytes(
                colocated_push_rate * costs.push_bytes
            ),
            "KB/s",
            f"{SIZE.owned_endpoints:.1f} groups x 3 daemons x 2/s x bytes",
            "state_push",
            capacity_lines.TRAFFIC_BUDGET_KB_PER_SECOND,
            capacity_lines.PLANNED,
        ),
        Line(
            role,
            capacity_lines.ORDINARY,
            "confirmations asked of replicas",
            owned_primaries
            * (SIZE.endpoints_per_database - 1)
            * min(
                SIZE.writes_per_database, MAX_CONFIRMATION_REQUESTS_PER_SECOND
            ),
            "messages/s",
            f"{owned_primaries:.1f} primaries x 2 replicas x one request in "
            "3 ms at most, assumed; a part of the statements, not of control",
            "endpoint_watch, write_confirmations",
        ),
        Line(
            role,
            when,
            "group states sent",
            push_rate,
            "messages/s",
            f"{assumption} x {SIZE.owned_endpoints:.1f} groups x 20/s",
            "state_push",
        ),
        Line(
            role,
            when,
            "processor for group states sent",
            capacity_costs.to_percent(push_rate * costs.push_send_ms),
            "% of a core",
            "messages/s x (`slope_state_push` encode + half a frame)",
            "state_push",
            capacity_lines.CPU_BUDGET_PERCENT,
            remedy=f"{FEWER_PUSHES}; encode a frame once for all receivers",
        ),
        Line(
            role,
            when,
            "group states out",
            capacity_costs.to_kilobytes(push_rate * costs.push_bytes),
            "KB/s",
            "messages/s x `slope_state_push` bytes",
            "state_push",
            capacity_lines.TRAFFIC_BUDGET_KB_PER_SECOND,
            remedy=FEWER_PUSHES,
        ),
    ]
