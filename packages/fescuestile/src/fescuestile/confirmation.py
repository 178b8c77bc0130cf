"""Tracks which log positions of a group are confirmed by a majority.

An endpoint's report counts for entries of a term only while the endpoint
works under that term. An entry of an earlier term is confirmed through a
later entry of the new term, never by itself: until then a further failover
may still drop it.
"""

import enum

from fescuestile import endpoint_messages
from fescuestile import plans
from fescuestile import positions

_COUNTING_ROLES = (
    endpoint_messages.Role.PRIMARY,
    endpoint_messages.Role.REPLICA,
)


class WriteState(enum.StrEnum):
    """Whether a written position is confirmed."""

    CONFIRMED = "confirmed"
    PENDING = "pending"
    # A confirmed entry of a later term has replaced it in the log.
    LOST = "lost"


def acknowledges(
    report: endpoint_messages.Report, position: positions.Position
) -> bool:
    """Return whether a report shows that its endpoint holds a write.

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
    """Tracks the highest confirmed position of one group."""

    def __init__(self, plan: plans.Plan) -> None:
        """Start without reports.

        :param plan: names the endpoints and their majority
        """
        self._plan = plan
        self._reports: dict[str, endpoint_messages.Report] = {}
        self._answers: dict[str, positions.Position] = {}
        self._confirmed = positions.START
        self._history = positions.EMPTY_HISTORY

    @property
    def confirmed(self) -> positions.Position:
        """Highest confirmed position; it never decreases."""
        return self._confirmed

    def set_plan(self, plan: plans.Plan) -> None:
        """Count the endpoints of another plan from now on."""
        self._plan = plan

    def observe(self, report: endpoint_messages.Report) -> bool:
        """Apply an endpoint's report.

        One that holds a later revision of the endpoints does not count: the
        majorities of that revision's successor need not meet those here.

        :returns: whether the confirmed position advanced
        """
        if report.endpoint not in self._plan.endpoint_by_name:
            return False
        if report.revision > self._plan.endpoints_revision:
            return False
        self._reports[report.endpoint] = report
        if not acknowledges(report, positions.Position(report.last.term, 0)):
            return False
        if report.last.term >= self._history.last.term:
            self._history = report.history
        return self._confirm(report.last.term)

    def record_answer(
        self, primary: str, position: positions.Position
    ) -> None:
        """Count the primary's answer to a write as its acknowledgement.

        An answer does not say which revision of the endpoints its primary
        knows, so in a group of one it does not count without a report.

        :param position: position of the write, in the primary's term
        """
        known = self._answers.get(primary, positions.START)
        self._answers[primary] = max(known, position)
        self._confirm(position.term)

    def _confirm(self, term: int) -> bool:
        """Advance the confirmed position as far as a majority allows.

        :returns: whether it advanced
        """
        held = sorted(
            (
                self._find_held_index(name, term)
                for name in self._plan.endpoint_by_name
            ),
            reverse=True,
        )
        position = positions.Position(term, held[self._plan.majority - 1])
        if not position.index or position <= self._confirmed:
            return False
        self._confirmed = position
        return True

    def _find_held_index(self, name: str, term: int) -> int:
        """Return the last index that an endpoint holds in a term, or 0."""
        answered = self._answers.get(name, positions.START)
        counts = answered.term == term and len(self._plan.endpoints) > 1
        index = answered.index if counts else 0
        report = self._reports.get(name)
        if report and acknowledges(report, positions.Position(term, 0)):
            index = max(index, report.last.index)
        return index

    def find_state(self, position: positions.Position) -> WriteState:
        """Return whether a written position is confirmed or was lost."""
        confirmed = self._confirmed
        if position.term > confirmed.term:
            return WriteState.PENDING
        if position.term == confirmed.term:
            if position.index <= confirmed.index:
                return WriteState.CONFIRMED
            return WriteState.PENDING
        if self._history.last.term < confirmed.term:
            return WriteState.PENDING
        if self._history.find_term(position.index) == position.term:
            return WriteState.CONFIRMED
        return WriteState.LOST
