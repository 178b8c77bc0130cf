"""Waits of writes for the majority of their group."""

import asyncio
import collections.abc
import dataclasses

import expression

from fescuestile import confirmation
from fescuestile import endpoint_messages
from fescuestile import errors
from fescuestile import plans
from fescuestile import positions

STEP = "confirm"
LATE = "no majority confirmed the write in time"
LOST = "the write was dropped by a failover"

Chase = collections.abc.Callable[[str, str, positions.Position], None]


@dataclasses.dataclass(eq=False)
class _Wait:
    position: positions.Position
    future: asyncio.Future[confirmation.WriteState]


class _Group:
    """Reports of one group, its tracker and the waits on it."""

    def __init__(self) -> None:
        self.reports: dict[str, endpoint_messages.Report] = {}
        self.tracker: confirmation.ConfirmationTracker | None = None
        self.waits: set[_Wait] = set()

    def track(self, plan: plans.Plan) -> confirmation.ConfirmationTracker:
        """Return the tracker, by the plan in force."""
        if self.tracker is None:
            self.tracker = confirmation.ConfirmationTracker(plan)
            for report in self.reports.values():
                self.tracker.observe(report)
        self.tracker.set_plan(plan)
        return self.tracker

    def observe(self, report: endpoint_messages.Report) -> None:
        """Take a report and end the waits that it completes."""
        self.reports[report.endpoint] = report
        if self.tracker is None or not self.tracker.observe(report):
            return
        for wait in tuple(self.waits):
            standing = self.tracker.find_state(wait.position)
            pending = standing is confirmation.WriteState.PENDING
            if not pending and not wait.future.done():
                wait.future.set_result(standing)


class Confirmations:
    """Confirmed positions of the watched groups, and the waits on them."""

    def __init__(self, chase: Chase) -> None:
        """Start without reports.

        :param chase: asks a group's endpoints to report a position soon
        """
        self._chase = chase
        self._groups: dict[str, _Group] = {}

    def observe(self, database: str, report: endpoint_messages.Report) -> None:
        """Take a report and end the waits that it completes."""
        self._groups.setdefault(database, _Group()).observe(report)

    def forget(self, database: str) -> None:
        """Drop the reports of a group that is no longer watched."""
        self._groups.pop(database, None)

    async def wait(
        self,
        plan: plans.Plan,
        primary: str,
        position: positions.Position,
        timeout: float,
    ) -> expression.Result[None, errors.UnknownOutcome]:
        """Wait until a majority holds a write.

        The answer that gave the position is the primary's own word.

        :param plan: plan of the write's group
        :param primary: endpoint that wrote it
        :param position: position of the write
        :param timeout: seconds
        :returns: nothing, or UnknownOutcome when it was not confirmed
        """
        group = self._groups.setdefault(plan.database, _Group())
        tracker = group.track(plan)
        tracker.record_answer(primary, position)
        standing = tracker.find_state(position)
        if standing is confirmation.WriteState.PENDING:
            self._chase(plan.database, primary, position)
            standing = await _wait(group, position, timeout)
        match standing:
            case confirmation.WriteState.CONFIRMED:
                return expression.Ok(None)
            case confirmation.WriteState.LOST:
                return _fail(plan, LOST)
            case confirmation.WriteState.PENDING:
                return _fail(plan, LATE)


async def _wait(
    group: _Group, position: positions.Position, timeout: float
) -> confirmation.WriteState:
    wait = _Wait(position, asyncio.get_running_loop().create_future())
    group.waits.add(wait)
    try:
        return await asyncio.wait_for(wait.future, timeout)
    except TimeoutError:
        return confirmation.WriteState.PENDING
    finally:
        group.waits.discard(wait)


def _fail(
    plan: plans.Plan, message: str
) -> expression.Result[None, errors.UnknownOutcome]:
    return expression.Error(
        errors.UnknownOutcome(message=message, step=STEP, peer=plan.database)
    )
