"""Filters at an endpoint's owner that bound or hold what it answers."""

import abc

import expression

from fescuestile import clock
from fescuestile import diversion
from fescuestile import positions
from fescuestile import requests
from fescuestile_daemon import confirmations
from fescuestile_daemon import current_reads
from fescuestile_daemon import execution
from fescuestile_daemon import filters


class DivertFilter(filters.Filter[execution.WorkExchange]):
    """Bounds the reads that a primary takes over from its replicas."""

    def __init__(self, diverted: diversion.DivertedReadLimiter) -> None:
        """Count on a board of all owned endpoints."""
        self._diverted = diverted

    async def handle(
        self,
        exchange: execution.WorkExchange,
        proceed: filters.Proceed[execution.WorkExchange],
    ) -> filters.Outcome:
        """Let a diverted read in, or refuse it."""
        request = exchange.request
        if not request.diverted:
            return await proceed(exchange)
        name = f"{request.database}/{exchange.endpoint}"
        slots = exchange.plan.endpoint_by_name[exchange.endpoint].slots
        entered = self._diverted.enter(name, slots, request.level)
        if entered.is_error():
            return expression.Error(entered.error)
        try:
            return await proceed(exchange)
        finally:
            self._diverted.leave(name)


class HoldFilter(filters.Filter[execution.WorkExchange], abc.ABC):
    """Holds an answer until what it depends on is confirmed."""

    def __init__(self, time_source: clock.Clock, longest_wait: float) -> None:
        """Measure deadlines by a clock.

        :param longest_wait: seconds
        """
        self._clock = time_source
        self._longest_wait = longest_wait

    def _find_patience(self, exchange: execution.WorkExchange) -> float:
        """Return the seconds that an answer may be held."""
        remaining = exchange.request.deadline - self._clock.now()
        return max(0.0, min(remaining, self._longest_wait))


class ConfirmFilter(HoldFilter):
    """Holds a write's answer until a majority of the group has it."""

    def __init__(
        self,
        waits: confirmations.Confirmations,
        time_source: clock.Clock,
        longest_wait: float,
    ) -> None:
        """Wait on a board of reports.

        :param longest_wait: seconds
        """
        super().__init__(time_source, longest_wait)
        self._waits = waits

    async def handle(
        self,
        exchange: execution.WorkExchange,
        proceed: filters.Proceed[execution.WorkExchange],
    ) -> filters.Outcome:
        """Run the rest, then wait for the majority."""
        outcome = await proceed(exchange)
        if outcome.is_error() or not is_write(exchange.request):
            return outcome
        confirmed = await self._waits.wait(
            exchange.plan,
            exchange.endpoint,
            find_target(outcome.ok.position, exchange.term),
            self._find_patience(exchange),
        )
        if confirmed.is_error():
            return expression.Error(confirmed.error)
        return outcome


class CurrentReadFilter(HoldFilter):
    """Holds a current read's answer until the primary is confirmed."""

    def __init__(
        self,
        reads: current_reads.CurrentReads,
        time_source: clock.Clock,
        longest_wait: float,
    ) -> None:
        """Confirm by rounds of questions.

        :param longest_wait: seconds
        """
        super().__init__(time_source, longest_wait)
        self._reads = reads

    async def handle(
        self,
        exchange: execution.WorkExchange,
        proceed: filters.Proceed[execution.WorkExchange],
    ) -> filters.Outcome:
        """Ask for words while the rest runs, then wait for a majority."""
        if not is_current_read(exchange):
            return await proceed(exchange)
        ticket = self._reads.begin(exchange.plan)
        outcome = await proceed(exchange)
        if outcome.is_error():
            return outcome
        confirmed = await self._reads.confirm(
            exchange.plan,
            ticket,
            exchange.term,
            exchange.endpoint,
            self._find_patience(exchange),
        )
        if confirmed.is_error():
            return expression.Error(confirmed.error)
        return outcome


def is_write(request: requests.Request) -> bool:
    """Tell whether a request leaves an entry in the group's log."""
    if request.action is requests.Action.STATEMENT:
        return not request.read_only and not request.transaction
    return request.action in (
        requests.Action.COMMIT,
        requests.Action.RESOLVE,
    )


def is_current_read(exchange: execution.WorkExchange) -> bool:
    """Tell whether the answer must not come from a replaced primary."""
    return (
        exchange.request.action is requests.Action.STATEMENT
        and exchange.request.read_only
        and exchange.request.staleness == 0
        and not exchange.replica
    )


def find_target(position: positions.Position, term: int) -> positions.Position:
    """Return the position whose confirmation confirms a write.

    An entry of an earlier term, as a repeated request's, is confirmed
    only through an entry of the current term, which follows it.

    :param position: position of the write
    :param term: term that the primary works under
    """
    if position.term == term:
        return position
    return positions.Position(term, position.index + 1)
