"""Admission to one endpoint for coroutines."""

import asyncio
import time

from fescuestile import admission
from fescuestile import errors

Work = admission.Work
Ticket = admission.Ticket


class Gate:
    """Holds work until the admission queue starts it."""

    def __init__(self, queue: admission.AdmissionQueue) -> None:
        """Take the queue that decides."""
        self.queue = queue
        self._waiting: dict[Ticket, asyncio.Future[Ticket]] = {}
        self._timer: asyncio.TimerHandle | None = None

    async def enter(self, work: Work) -> Ticket:
        """Wait for a slot.

        :param work: its deadline is in seconds of the steady clock
        :raises NotRun: it will not run in time
        """
        now = time.monotonic()
        offered = self.queue.offer(work, now)
        if offered.is_error():
            raise offered.error
        ticket: Ticket = offered.ok
        self._hand_out(now)
        if ticket.started_at is not None:
            return ticket
        future: asyncio.Future[Ticket] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting[ticket] = future
        self._hand_out(now)
        try:
            return await future
        except asyncio.CancelledError:
            self._waiting.pop(ticket, None)
            if not self.queue.withdraw(ticket):
                self.leave(ticket, measured=False)
            raise

    def leave(self, ticket: Ticket, measured: bool = True) -> None:
        """Give a slot back.

        :param measured: False for work that did not run
        """
        if ticket.started_at is None:
            return
        now = time.monotonic()
        self.queue.release(ticket, now, measured)
        self._hand_out(now)

    def close(self) -> None:
        """Refuse what waits."""
        waiting, self._waiting = self._waiting, {}
        for ticket, future in waiting.items():
            self.queue.withdraw(ticket)
            if not future.done():
                error = errors.NotRun("the endpoint left", step="admit")
                future.set_exception(error)
        if self._timer is not None:
            self._timer.cancel()

    def _hand_out(self, now: float) -> None:
        batch = self.queue.take(now)
        for ticket in batch.started:
            future = self._waiting.pop(ticket, None)
            if future is not None and not future.done():
                future.set_result(ticket)
        for drop in batch.dropped:
            future = self._waiting.pop(drop.ticket, None)
            if future is not None and not future.done():
                future.set_exception(drop.error)
        self._schedule(now)

    def _schedule(self, now: float) -> None:
        expiry = self.queue.next_expiry()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if expiry is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(max(0.0, expiry - now), self._expire)

    def _expire(self) -> None:
        self._timer = None
        self._hand_out(time.monotonic())
