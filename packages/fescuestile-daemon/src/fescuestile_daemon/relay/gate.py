"""Admission to one endpoint for coroutines."""

import asyncio
import random
import time

from fescuestile import admission
from fescuestile import errors

Work = admission.Work
Ticket = admission.Ticket


# A refusal by a full endpoint doubles the pause between two starts, from and
# up to these, in seconds: from about one statement's time to a part of the
# timeouts in use. A success shortens it by the factor.
LEAST_PACE_SECONDS = 0.01
MOST_PACE_SECONDS = 0.32
PACE_FACTOR = 0.9
# The most urgent work pauses for this share.
URGENT_SHARE = 0.1
MOST_URGENT = 0
# Pauses shorter than this are none, in seconds.
NO_PACE_SECONDS = 0.002


class Gate:
    """Holds work until the admission queue starts it.

    Several daemons share an endpoint and none knows what the others send, so
    an endpoint that refuses is given pauses; the work waits here, in the order
    of its urgency, and not in attempts.

    :ivar pace: seconds between two starts, 0 for no pause
    """

    def __init__(self, queue: admission.AdmissionQueue) -> None:
        """Take the queue that decides."""
        self.queue = queue
        self.pace = 0.0
        self._next_start = 0.0
        self._next_urgent = 0.0
        self._waiting: dict[Ticket, asyncio.Future[Ticket]] = {}
        self._timer: asyncio.TimerHandle | None = None

    async def enter(self, work: Work) -> Ticket:
        """Wait for a slot.

        :param work: its deadline is in seconds of the steady clock
        :raises NotRun: it will not run in time
        """
        now = time.monotonic()
        ahead = self.queue.count_waiting(work.level)
        share = URGENT_SHARE if work.level == MOST_URGENT else 1.0
        pause = self.pace * share
        if pause and now + pause * (ahead + 1) > work.deadline:
            raise errors.NotRun(
                "the endpoint is full and its pace too slow", step="admit"
            )
        offered = self.queue.offer(work, now)
        if offered.is_error():
            raise offered.error
        ticket: Ticket = offered.ok
        future: asyncio.Future[Ticket] = (
            asyncio.get_running_loop().create_future()
        )
        # The queue may start it or give it up at this very moment.
        self._waiting[ticket] = future
        self._hand_out(now)
        try:
            return await future
        except asyncio.CancelledError:
            self._waiting.pop(ticket, None)
            if not self.queue.withdraw(ticket):
                self.leave(ticket, measured=False)
            raise

    def leave(
        self, ticket: Ticket, measured: bool = True, refused: bool = False
    ) -> None:
        """Give a slot back.

        :param measured: False for work that did not run
        :param refused: the endpoint was full
        """
        self._adapt(measured, refused)
        if ticket.started_at is None:
            return
        now = time.monotonic()
        self.queue.release(ticket, now, measured)
        self._hand_out(now)

    def _adapt(self, measured: bool, refused: bool) -> None:
        if refused:
            slower = max(LEAST_PACE_SECONDS, self.pace * 2)
            self.pace = min(MOST_PACE_SECONDS, slower)
            now = time.monotonic()
            self._next_start = now + self._draw_pause()
            self._next_urgent = now + self._draw_pause() * URGENT_SHARE
        elif measured and self.pace:
            self.pace *= PACE_FACTOR
            if self.pace < NO_PACE_SECONDS:
                self.pace = 0.0

    def _find_next_start(self) -> float:
        """Return when the next work may start; the most urgent sooner."""
        if self.queue.count_waiting(MOST_URGENT):
            return min(self._next_start, self._next_urgent)
        return self._next_start

    def _draw_pause(self) -> float:
        """Return a pause; daemons that were refused together part."""
        return self.pace * random.uniform(0.5, 1.5)

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
        most = None
        if self.pace:
            most = int(now >= self._find_next_start())
        batch = self.queue.take(now, most)
        if most and batch.started:
            self._next_start = now + self._draw_pause()
            self._next_urgent = now + self._draw_pause() * URGENT_SHARE
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
        if expiry is not None and self.pace:
            start = max(self._find_next_start(), now + NO_PACE_SECONDS)
            expiry = min(expiry, start)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if expiry is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(max(0.0, expiry - now), self._expire)

    def _expire(self) -> None:
        self._timer = None
        self._hand_out(time.monotonic())
