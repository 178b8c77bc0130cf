"""Waits for admission: an admission queue on the event loop."""

import asyncio

import expression

from fescuestile import admission
from fescuestile import clock
from fescuestile import errors
from fescuestile import results

Admitted = expression.Result[admission.Ticket, errors.NotRun]


class SlotQueue:
    """Lets coroutines wait for the tickets of an admission queue."""

    def __init__(
        self, queue: admission.AdmissionQueue, own_clock: clock.Clock
    ) -> None:
        """Take over a queue.

        :param queue: the queue, used by nothing else from now on
        :param own_clock: clock that deadlines are named by
        """
        self._queue = queue
        self._clock = own_clock
        self._futures: dict[admission.Ticket, asyncio.Future[Admitted]] = {}
        self._timer: asyncio.TimerHandle | None = None

    @property
    def running(self) -> int:
        """Tickets that hold a slot."""
        return self._queue.running

    @property
    def waiting(self) -> int:
        """Tickets that wait."""
        return self._queue.waiting

    async def acquire(self, work: admission.Work) -> Admitted:
        """Wait for a slot; the result's ticket holds it until released."""
        offered = self._queue.offer(work, self._clock.now())
        if offered.is_error():
            # A refusal may have come with room made for others.
            self._advance()
            return offered
        ticket = offered.ok
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Admitted] = loop.create_future()
        self._futures[ticket] = future
        self._advance()
        try:
            return await future
        except asyncio.CancelledError:
            self._abandon(ticket, future)
            raise

    def release(self, ticket: admission.Ticket, measured: bool = True) -> None:
        """Give back a slot.

        :param ticket: the ticket that holds it
        :param measured: False for work that did not reach the endpoint
        """
        self._queue.release(ticket, self._clock.now(), measured)
        self._advance()

    def estimate_wait(self, level: int) -> float:
        """Return the seconds that new work of a level waits."""
        return self._queue.expected_wait(level, self._clock.now())

    def configure(self, options: admission.AdmissionOptions) -> None:
        """Put other limits in force."""
        self._queue.configure(options)
        self._advance()

    def refuse_waiting(self, error: errors.NotRun) -> None:
        """Answer waiting work with an error, but let transactions go on."""
        for ticket, future in tuple(self._futures.items()):
            if not ticket.work.continues and self._queue.withdraw(ticket):
                del self._futures[ticket]
                _settle(future, expression.Error(error))

    def close(self) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _abandon(
        self, ticket: admission.Ticket, future: asyncio.Future[Admitted]
    ) -> None:
        self._futures.pop(ticket, None)
        if ticket.started_at is not None:
            self.release(ticket, measured=False)
        elif self._queue.withdraw(ticket):
            self._advance()

    def _advance(self) -> None:
        batch = self._queue.dequeue(self._clock.now())
        for ticket in batch.started:
            _settle(self._futures.pop(ticket), results.succeed(ticket))
        for drop in batch.dropped:
            future = self._futures.pop(drop.ticket)
            _settle(future, expression.Error(drop.error))
        self._set_timer()

    def _set_timer(self) -> None:
        expiry = self._queue.next_expiry()
        if expiry is None:
            return
        loop = asyncio.get_running_loop()
        at = loop.time() + max(0.0, expiry - self._clock.now())
        if self._timer is not None:
            if self._timer.when() <= at:
                return
            self._timer.cancel()
        self._timer = loop.call_at(at, self._expire)

    def _expire(self) -> None:
        self._timer = None
        self._advance()


def _settle(future: asyncio.Future[Admitted], result: Admitted) -> None:
    if not future.done():
        future.set_result(result)
