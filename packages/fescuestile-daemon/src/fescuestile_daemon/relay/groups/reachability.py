"""How many endpoints of a group answer this daemon.

These decide whom to ask and when to give up. What is true of a group is
decided on its members, see ``groups.Group.count_confirming``.
"""

import time

from fescuestile import endpoint_messages
from fescuestile import promotion
from fescuestile_daemon.relay.endpoints import endpoint_states
from fescuestile_daemon.relay.groups import groups

Role = endpoint_messages.Role
# Time for which a primary must be silent that has never reported here: longer
# than for others, since the first connection may take several attempts.
UNHEARD_SECONDS = 3.0


def is_unreachable(group: groups.Group) -> bool:
    """Return whether too few endpoints answer for a check or a write."""
    return count_answering(group, group.options.isolated_after) < min(
        group.count_known_confirming(), len(group.endpoints)
    )


def reaches_majority(group: groups.Group, seconds: float) -> bool:
    """Return whether a majority of the endpoints answers this daemon.

    Otherwise this daemon itself may be cut off.

    :param seconds: time for which an endpoint may leave requests unanswered
    """
    return count_answering(group, seconds) >= group.make_plan().majority


def count_answering(group: groups.Group, seconds: float) -> int:
    """Return how many endpoints answer this daemon.

    :param seconds: time for which an endpoint may leave requests unanswered
    """
    now = time.monotonic()
    return sum(
        endpoint.has_answered and endpoint.measure_unanswered(now) < seconds
        for endpoint in group.endpoints.values()
    )


def find_unheard_primary(
    group: groups.Group, now: float
) -> endpoint_states.EndpointState | None:
    """Return a silent primary that only the registry names, if there is one.

    A daemon that has started after its failure has no report of it, and may
    be the only one that can replace it. All others report here that they
    follow one term as replicas, so this daemon is not cut off, and no other
    endpoint that it knows leads.

    :param now: monotonic seconds
    """
    claimed = [e for e in group.endpoints.values() if e.entry.claims_primary]
    if len(claimed) != 1 or claimed[0].report is not None:
        return None
    silence = max(
        claimed[0].measure_unanswered(now), claimed[0].measure_refusal(now)
    )
    others = [e for e in group.endpoints.values() if e is not claimed[0]]
    reports = group.list_reports()
    if (
        silence <= UNHEARD_SECONDS
        or len(others) < promotion.UNFENCED_REPLICAS
        or len(reports) < len(others)
        or any(report.role is not Role.REPLICA for report in reports)
        or len({report.term for report in reports}) > 1
    ):
        return None
    return claimed[0]
