"""How many endpoints of a group answer this daemon.

These decide whom to ask and when to give up. What is true of a group is
decided on its members, see ``groups.Group.count_confirming``.
"""

import time

from fescuestile_daemon.relay.groups import groups


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
