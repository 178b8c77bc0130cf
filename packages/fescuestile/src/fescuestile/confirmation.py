"""Which positions of a group's log a majority holds for good.

An endpoint's report counts for entries of a term only while the endpoint
works under that term. An entry of an earlier term is confirmed through an
entry of the new term that follows it, never by itself: until then a later
failover may still drop it.
"""

import enum
import typing

from fescuestile import endpoint_messages
from fescuestile import plans
from fescuestile import positions

_COUNTING_ROLES = (
    endpoint_messages.Role.PRIMARY,
    endpoint_messages.Role.REPLICA,
)


class Standing(enum.StrEnum):
    """What is known of a written position."""

    CONFIRMED = "confirmed"
    PENDING = "pending"
    # A confirmed entry of a later term took its place in the log.
    LOST = "lost"


def counts_for(
    report: endpoint_messages.Report, position: positions.Position
) -> bool:
    """Tell whether a report shows that its endpoint holds a write.

    :param report: the endpoint's report
    :param position: position of the write
    """
    return (
        report.role in _COUNTING_ROLES
        and report.term == position.term
        and report.last.term == position.term
        and report.last.index >= position.index
    )


class ConfirmationTracker:
    """Highest confirmed position of one group."""

    def __init__(self, plan: plans.Plan) -> None:
        """Start without reports.

        :param plan: names the endpoints and their majority
        """
        self._plan = plan
        self._reports: dict[str, endpoint_messages.Report] = {}
        self._confirmed = positions.START
        self._history = positions.EMPTY_HISTORY

    @property
    def confirmed(self) -> positions.Position:
        """Highest confirmed position; it never goes back."""
        return self._confirmed

    def set_plan(self, plan: plans.Plan) -> None:
        """Count the endpoints of another plan from now on."""
        self._plan = plan

    def observe(self, report: endpoint_messages.Report) -> bool:
        """Take a report.

        :returns: whether the confirmed position moved
        """
        if report.endpoint not in self._plan.endpoint_by_name:
            return False
        self._reports[report.endpoint] = report
        holding = self._list_holding(report.last)
        if len(holding) < self._plan.majority:
            return False
        index = holding[self._plan.majority - 1].last.index
        position = positions.Position(report.last.term, index)
        if position <= self._confirmed:
            return False
        self._confirmed = position
        self._history = holding[0].history
        return True

    def settle(self, position: positions.Position) -> Standing:
        """Return what is known of a written position."""
        confirmed = self._confirmed
        if position.term > confirmed.term:
            return Standing.PENDING
        if position.term == confirmed.term:
            if position.index <= confirmed.index:
                return Standing.CONFIRMED
            return Standing.PENDING
        if self._history.find_term(position.index) == position.term:
            return Standing.CONFIRMED
        return Standing.LOST

    def _list_holding(
        self, position: positions.Position
    ) -> list[endpoint_messages.Report]:
        """Return reports that count in a term, the longest log first."""
        first = positions.Position(position.term, 0)
        holding = [
            report
            for name, report in self._reports.items()
            if name in self._plan.endpoint_by_name
            and counts_for(report, first)
        ]
        return sorted(holding, key=_find_index, reverse=True)


def _find_index(report: endpoint_messages.Report) -> int:
    return report.last.index


def find_confirmed(
    plan: plans.Plan,
    reports: typing.Iterable[endpoint_messages.Report],
) -> positions.Position:
    """Return the highest position that reports show as confirmed."""
    tracker = ConfirmationTracker(plan)
    for report in reports:
        tracker.observe(report)
    return tracker.confirmed
