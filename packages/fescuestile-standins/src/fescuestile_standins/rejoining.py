"""Conditions under which an endpoint that lost its state rejoins.

It has lost its log entries and its promises of terms. The entries are
restored by a copy of the primary's log. The promises need no copy: the
endpoint waits until no promise from before the loss can lead to a
promotion any more. Then it queries so many other endpoints that at least
one of them knows each elected term.
"""

import typing

from fescuestile import endpoint_messages
from fescuestile import failover
from fescuestile_standins import endpoint_state

HEADROOM_SECONDS = 1.0
QUARANTINE_SECONDS = (
    failover.GRANT_LIFETIME_SECONDS
    + endpoint_state.PROMOTION_WINDOW_SECONDS
    + HEADROOM_SECONDS
)
Role = endpoint_messages.Role


def count_required_reports(group_size: int) -> int:
    """Return how many other endpoints must send a report.

    Every majority of the group contains at least one of their senders,
    even if this endpoint was part of that majority.
    """
    majority = group_size // 2 + 1
    return group_size - majority + 1


def may_rejoin(
    own: endpoint_messages.Report,
    others: typing.Sequence[endpoint_messages.Report],
    group_size: int,
) -> bool:
    """Return whether the endpoint may vote and promise terms again.

    :param own: the endpoint's own report, made after the others
    :param others: reports of other endpoints, all made after the
        quarantine
    :param group_size: number of endpoints in the group
    """
    reports = [
        report for report in others if report.role is not Role.REJOINING
    ]
    if len(reports) < count_required_reports(group_size):
        return False
    term = max(report.term for report in reports)
    for report in reports:
        if report.role is Role.PRIMARY and report.term == term:
            return (
                (own.term, own.primary) == (term, report.endpoint)
                and own.last.term == term
                and own.last >= report.last
            )
    return False
