"""Admission queue of an endpoint's slots, on the event loop."""

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
        self, queue: admission.AdmissionQueue, time_source: clock.Clock
    ) -> None:
        """Initialize with a queue.

        :param queue: the queue, which nothing else may use
        :param time_source: clock that deadlines refer to
        """
        self._queue = queue
        self._clock = time_source
        self._futures: dict[admission.Ticket, asyncio.Future[Admitted]] = {}
        self._timer: asyncio.TimerHandle | None = None

    @property
    def running(self) -> int:
        """Number of tickets that hold a slot."""
        return self._queue.running

    @property
    def waiting(self) -> int:
        """Number of tickets that wait for a slot."""
        return self._queue.waiting

    async def acquire(self, work: admission.Work) -> Admitted:
        """Wait for a slot; the returned ticket holds it until released."""
        offered = self._queue.offer(work, self._clock.now())
        if offered.is_error():
            # A refusal may have made room for other work.
            self._process_queue()
            return offered
        ticket = offered.ok
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Admitted] = loop.create_future()
        self._futures[ticket] = future
        self._process_queue()
        try:
            return await future
        except asyncio.CancelledError:
            self._cancel(ticket, future)
            raise

    def release(self, ticket: admission.Ticket, measured: bool = True) -> None:
        """Release a slot.

        :param ticket: the ticket that holds it
        :param measured: whether the time that it was held counts as a
            service time; False for work that did not reach the endpoint
        """
        self._queue.release(ticket, self._clock.now(), measured)
        self._process_queue()

    def estimate_wait(self, level: int) -> float:
        """Return the expected wait of new work of a level, in seconds."""
        return self._queue.expected_wait(level, self._clock.now())

    def configure(self, options: admission.AdmissionOptions) -> None:
        """Apply other limits."""
        self._queue.configure(options)
        self._process_queue()

    def refuse_waiting(self, error: errors.NotRun) -> None:
        """Refuse waiting work, except statements of open transactions."""
        for ticket, future in tuple(self._futures.items()):
            if not ticket.work.continues and self._queue.withdraw(ticket):
                del self._futures[ticket]
                _set_result(future, expression.Error(error))

    def close(self) -> None:
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _cancel(
        self, ticket: admission.Ticket, future: asyncio.Future[Admitted]
    ) -> None:
        self._futures.pop(ticket, None)
        if ticket.started_at is not None:
            self.release(ticket, measured=False)
        elif self._queue.withdraw(ticket):
            self._process_queue()

    def _process_queue(self) -> None:
        batch = self._queue.dequeue(self._clock.now())
        for ticket in batch.started:
            _set_result(self._futures.pop(ticket), results.succeed(ticket))
        for drop in batch.dropped:
            future = self._futures.pop(drop.ticket)
            _set_result(future, expression.Error(drop.error))
        self._set_timer()

    def _set_timer(self) -> None:
        expiry = self._queue.next_expiry()
        if expiry is None:
            return
        loop = asyncio.get_running_loop()
        fires_at = loop.time() + max(0.0, expiry - self._clock.now())
        if self._timer is not None:
            if self._timer.when() <= fires_at:
                return
            self._timer.cancel()
        self._timer = loop.call_at(fires_at, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._process_queue()


def _set_result(future: asyncio.Future[Admitted], result: Admitted) -> None:
    if not future.done():
        future.set_result(result)
