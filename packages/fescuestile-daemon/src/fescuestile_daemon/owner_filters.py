"""Filters at an endpoint's owner that limit reads and hold answers."""

import abc

import expression

from fescuestile import clock
from fescuestile import confirmation
from fescuestile import diversion
from fescuestile import errors
from fescuestile import positions
from fescuestile import requests
from fescuestile_daemon import execution
from fescuestile_daemon import filters
from fescuestile_daemon import read_confirmations
from fescuestile_daemon import write_confirmations

STEP_CONFIRM = "confirm"
NOT_CONFIRMED = "the write was not confirmed by a majority in time"
REPLACED = "a later term replaced the write"


class DivertedReadFilter(filters.Filter[execution.OwnerExchange]):
    """Limits the reads that a primary serves in place of its replicas."""

    def __init__(self, limiter: diversion.DivertedReadLimiter) -> None:
        """Initialize with the limiter of all owned endpoints."""
        self._limiter = limiter

    async def handle(
        self,
        exchange: execution.OwnerExchange,
        proceed: filters.Proceed[execution.OwnerExchange],
    ) -> filters.Outcome:
        """Admit a diverted read or refuse it."""
        request = exchange.request
        if not request.diverted:
            return await proceed(exchange)
        name = f"{request.database}/{exchange.endpoint}"
        slots = exchange.plan.endpoint_by_name[exchange.endpoint].slots
        admitted = self._limiter.acquire(name, slots, request.level)
        if admitted.is_error():
            return expression.Error(admitted.error)
        try:
            return await proceed(exchange)
        finally:
            self._limiter.release(name)


class ConfirmationFilter(filters.Filter[execution.OwnerExchange], abc.ABC):
    """Base of filters that hold an answer until it is confirmed."""

    def __init__(self, time_source: clock.Clock, max_wait: float) -> None:
        """Initialize with the clock that deadlines refer to.

        :param max_wait: seconds that an answer is held at most
        """
        self._clock = time_source
        self._max_wait = max_wait

    def _find_timeout(self, exchange: execution.OwnerExchange) -> float:
        """Return the seconds that an answer may be held.

        The request's deadline may be earlier than the longest wait.
        """
        remaining = exchange.request.deadline - self._clock.now()
        return max(0.0, min(remaining, self._max_wait))


class WriteConfirmationFilter(ConfirmationFilter):
    """Holds the answer of a write until a majority of the group has it."""

    def __init__(
        self,
        confirmations: write_confirmations.WriteConfirmations,
        time_source: clock.Clock,
        max_wait: float,
    ) -> None:
        """Initialize with the confirmations of the watched groups.

        :param max_wait: seconds that an answer is held at most
        """
        super().__init__(time_source, max_wait)
        self._confirmations = confirmations

    async def handle(
        self,
        exchange: execution.OwnerExchange,
        proceed: filters.Proceed[execution.OwnerExchange],
    ) -> filters.Outcome:
        """Run the next filters, then wait for the majority."""
        outcome = await proceed(exchange)
        if outcome.is_error() or not is_write(exchange.request):
            return outcome
        written = outcome.ok.position
        position = find_confirming_position(written, exchange.term)
        state = await self._confirmations.wait(
            exchange.plan,
            exchange.endpoint,
            position,
            self._find_timeout(exchange),
        )
        if state is confirmation.WriteState.CONFIRMED:
            return outcome
        # That the entry after an earlier run's was replaced says nothing of
        # that run's own.
        is_lost = state is confirmation.WriteState.LOST
        if is_lost and position == written:
            return expression.Error(_make_replaced(exchange))
        return expression.Error(_make_unconfirmed(exchange))


class ReadConfirmationFilter(ConfirmationFilter):
    """Holds a current read's answer until a majority confirms the primary.

    The endpoints are queried while the read runs.
    """

    def __init__(
        self,
        confirmations: read_confirmations.ReadConfirmations,
        time_source: clock.Clock,
        max_wait: float,
    ) -> None:
        """Initialize with the confirmations of the watched groups.

        :param max_wait: seconds that an answer is held at most
        """
        super().__init__(time_source, max_wait)
        self._confirmations = confirmations

    async def handle(
        self,
        exchange: execution.OwnerExchange,
        proceed: filters.Proceed[execution.OwnerExchange],
    ) -> filters.Outcome:
        """Run the next filters, then wait for the majority."""
        if not is_current_read(exchange):
            return await proceed(exchange)
        ticket = self._confirmations.begin_read(exchange.plan)
        outcome = await proceed(exchange)
        if outcome.is_error():
            return outcome
        confirmed = await self._confirmations.confirm(
            exchange.plan,
            ticket,
            exchange.term,
            exchange.endpoint,
            self._find_timeout(exchange),
        )
        if confirmed.is_error():
            return expression.Error(confirmed.error)
        return outcome


def _make_replaced(
    exchange: execution.OwnerExchange,
) -> errors.TermRefused:
    return errors.TermRefused(
        message=REPLACED, step=STEP_CONFIRM, peer=exchange.endpoint
    )


def _make_unconfirmed(
    exchange: execution.OwnerExchange,
) -> errors.UnknownOutcome:
    return errors.UnknownOutcome(
        message=NOT_CONFIRMED, step=STEP_CONFIRM, peer=exchange.plan.database
    )


def is_write(request: requests.Request) -> bool:
    """Return whether a request appends an entry to the group's log."""
    if request.action is requests.Action.STATEMENT:
        return not request.read_only and not request.transaction
    return request.action in (
        requests.Action.COMMIT,
        requests.Action.RESOLVE,
    )


def is_current_read(exchange: execution.OwnerExchange) -> bool:
    """Return whether the answer must not come from a replaced primary."""
    return (
        exchange.request.action is requests.Action.STATEMENT
        and exchange.request.read_only
        and exchange.request.staleness == 0
        and not exchange.replica
    )


def find_confirming_position(
    position: positions.Position, term: int
) -> positions.Position:
    """Return the position whose confirmation confirms a write.

    An entry of an earlier term, such as that of a repeated request, counts
    as confirmed only once a later entry of the current term is.

    :param position: position of the write
    :param term: term of the primary
    """
    if position.term == term:
        return position
    return positions.Position(term, position.index + 1)
