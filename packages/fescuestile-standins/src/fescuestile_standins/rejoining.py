"""When an endpoint that lost its state counts again.

It forgot which entries it held and which terms it promised. Entries come
back with a copy of the primary's log. Promises are dealt with by time and
by the others' word: it waits until no promise of its earlier life can
lead to a promotion, then asks so many of the others that every elected
term is known to one of them.
"""

import typing

from fescuestile import endpoint_messages
from fescuestile import failover
from fescuestile_standins import endpoint_state

MARGIN_SECONDS = 1.0
QUARANTINE_SECONDS = (
    failover.GRANT_LIFETIME_SECONDS
    + endpoint_state.PROMOTION_WINDOW_SECONDS
    + MARGIN_SECONDS
)
Role = endpoint_messages.Role


def count_needed(group_size: int) -> int:
    """Return how many other endpoints must answer.

    Every majority of the group contains one of them, even when this
    endpoint was in it.
    """
    majority = group_size // 2 + 1
    return group_size - majority + 1


def may_rejoin(
    own: endpoint_messages.Report,
    others: typing.Sequence[endpoint_messages.Report],
    group_size: int,
) -> bool:
    """Tell whether the endpoint may count and grant again.

    :param own: its own report, made after the others'
    :param others: reports of other endpoints, all made after the
        quarantine
    :param group_size: number of endpoints in the group
    """
    kept = [report for report in others if report.role is not Role.REJOINING]
    if len(kept) < count_needed(group_size):
        return False
    term = max(report.term for report in kept)
    for report in kept:
        if report.role is Role.PRIMARY and report.term == term:
            return (
                (own.term, own.primary) == (term, report.endpoint)
                and own.last.term == term
                and own.last >= report.last
            )
    return False
