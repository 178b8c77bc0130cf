"""Which replica can take the place of a primary that still works."""

import time

from fescuestile import endpoint_messages
from fescuestile import promotion
from fescuestile import promotion_order
from fescuestile_daemon.relay.endpoints import endpoint_states
from fescuestile_daemon.relay.groups import groups

Role = endpoint_messages.Role
# Longest age of a report that a decision uses.
REPORT_VALID_SECONDS = 2.0


def has_successor(
    group: groups.Group, primary: endpoint_states.EndpointState
) -> bool:
    """Return whether a replica could safely replace a primary that works.

    Otherwise a takeover only makes it step down for a while.
    """
    chosen = promotion.choose_promotion(
        group.make_plan(),
        {report.endpoint: report for report in group.list_reports()},
        primary.name,
        absent=group.members.absent,
        ended=group.members.ended,
        leaving=group.list_leaving(),
        pending=group.pending_promotion,
    )
    return chosen not in (None, primary.name)


def find_target(
    group: groups.Group, primary: endpoint_states.EndpointState
) -> endpoint_states.EndpointState | None:
    """Return the replica with the longest log, for a switchover."""
    now = time.monotonic()
    pending = group.pending_promotion
    candidates = [
        endpoint
        for endpoint in group.list_candidates()
        if endpoint is not primary
        and pending in ("", endpoint.name)
        and endpoint.report is not None
        and endpoint.report.role is Role.REPLICA
        and now - endpoint.reported_at < REPORT_VALID_SECONDS
    ]
    return max(
        candidates,
        key=lambda e: (
            promotion_order.make_log_key(e.report) if e.report else (0, 0)
        ),
        default=None,
    )
