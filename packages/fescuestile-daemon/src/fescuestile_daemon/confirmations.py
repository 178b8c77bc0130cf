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

Chase = collections.abc.Callable[[str, str, positions.Position], None]


@dataclasses.dataclass(eq=False)
class _Wait:
    position: positions.Position
    majority: int
    primary: str
    endpoints: frozenset[str]
    future: asyncio.Future[None]


class Confirmations:
    """Latest report of each watched endpoint, and the waits on them."""

    def __init__(self, chase: Chase) -> None:
        """Start without reports.

        :param chase: asks a group's endpoints to report a position soon
        """
        self._chase = chase
        self._reports: dict[tuple[str, str], endpoint_messages.Report] = {}
        self._waits: dict[str, set[_Wait]] = {}

    def observe(self, database: str, report: endpoint_messages.Report) -> None:
        """Take a report and end the waits that it completes."""
        self._reports[(database, report.endpoint)] = report
        for wait in tuple(self._waits.get(database, ())):
            if self._is_confirmed(database, wait) and not wait.future.done():
                wait.future.set_result(None)

    def forget(self, database: str) -> None:
        """Drop the reports of a group that is no longer watched."""
        for key in tuple(self._reports):
            if key[0] == database:
                del self._reports[key]

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
        wait = _Wait(
            position,
            plan.majority,
            primary,
            frozenset(plan.endpoint_by_name),
            asyncio.get_running_loop().create_future(),
        )
        if self._is_confirmed(plan.database, wait):
            return expression.Ok(None)
        waits = self._waits.setdefault(plan.database, set())
        waits.add(wait)
        self._chase(plan.database, primary, position)
        try:
            await asyncio.wait_for(wait.future, timeout)
        except TimeoutError:
            return expression.Error(
                errors.UnknownOutcome(
                    message="no majority confirmed the write in time",
                    step=STEP,
                    peer=plan.database,
                )
            )
        finally:
            waits.discard(wait)
        return expression.Ok(None)

    def _is_confirmed(self, database: str, wait: _Wait) -> bool:
        held = 1
        for endpoint in wait.endpoints - {wait.primary}:
            report = self._reports.get((database, endpoint))
            if report is not None and confirmation.counts_for(
                report, wait.position
            ):
                held += 1
        return held >= wait.majority
