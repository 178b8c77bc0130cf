"""Confirmation of writes by a majority of their group."""

import asyncio
import collections.abc
import dataclasses

from fescuestile import confirmation
from fescuestile import endpoint_messages
from fescuestile import plans
from fescuestile import positions

RequestReports = collections.abc.Callable[[str, str, positions.Position], None]


@dataclasses.dataclass(eq=False)
class _PendingWrite:
    position: positions.Position
    future: asyncio.Future[confirmation.WriteState]


class _GroupState:
    """Reports of one group, its tracker and its unconfirmed writes."""

    def __init__(self) -> None:
        self.reports: dict[str, endpoint_messages.Report] = {}
        self.tracker: confirmation.ConfirmationTracker | None = None
        self.pending: set[_PendingWrite] = set()

    def update_tracker(
        self, plan: plans.Plan
    ) -> confirmation.ConfirmationTracker:
        """Return the tracker, after applying the plan in force."""
        if self.tracker is None:
            self.tracker = confirmation.ConfirmationTracker(plan)
            for report in self.reports.values():
                self.tracker.observe(report)
        self.tracker.set_plan(plan)
        return self.tracker

    def observe(self, report: endpoint_messages.Report) -> None:
        """Apply a report and end the waits that it decides."""
        self.reports[report.endpoint] = report
        if self.tracker is None or not self.tracker.observe(report):
            return
        for write in tuple(self.pending):
            state = self.tracker.find_state(write.position)
            is_pending = state is confirmation.WriteState.PENDING
            if not is_pending and not write.future.done():
                write.future.set_result(state)


class WriteConfirmations:
    """Confirmed positions of the watched groups and waits for them."""

    def __init__(self, request_reports: RequestReports) -> None:
        """Initialize without reports.

        :param request_reports: requests that the other endpoints of a group
            report as soon as they hold a position; called with database,
            primary and position
        """
        self._request_reports = request_reports
        self._groups: dict[str, _GroupState] = {}

    def observe(self, database: str, report: endpoint_messages.Report) -> None:
        """Apply a report and end the waits that it decides."""
        self._groups.setdefault(database, _GroupState()).observe(report)

    def remove_group(self, database: str) -> None:
        """Remove a group that is no longer watched."""
        self._groups.pop(database, None)

    async def wait(
        self,
        plan: plans.Plan,
        primary: str,
        position: positions.Position,
        timeout: float,
    ) -> confirmation.WriteState:
        """Wait until a majority holds a write or a later term replaced it.

        The answer with the position counts as the primary's vote.

        :param plan: plan of the write's group
        :param primary: endpoint that wrote it
        :param position: position of the write
        :param timeout: seconds
        :returns: state of the write, pending if it was not decided in time
        """
        group = self._groups.setdefault(plan.database, _GroupState())
        tracker = group.update_tracker(plan)
        tracker.record_answer(primary, position)
        state = tracker.find_state(position)
        if state is confirmation.WriteState.PENDING:
            self._request_reports(plan.database, primary, position)
            state = await _wait_for_state(group, position, timeout)
        return state


async def _wait_for_state(
    group: _GroupState, position: positions.Position, timeout: float
) -> confirmation.WriteState:
    write = _PendingWrite(position, asyncio.get_running_loop().create_future())
    group.pending.add(write)
    try:
        return await asyncio.wait_for(write.future, timeout)
    except TimeoutError:
        return confirmation.WriteState.PENDING
    finally:
        group.pending.discard(write)
