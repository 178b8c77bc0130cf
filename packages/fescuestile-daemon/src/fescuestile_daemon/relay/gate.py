"""Admission to one endpoint for coroutines."""

import asyncio
import dataclasses
import random
import time

from fescuestile import admission
from fescuestile import errors
from fescuestile import pacing

Work = admission.Work
Ticket = admission.Ticket

MOST_URGENT = 0
# Shortest sleep before the next start, in seconds.
LEAST_SLEEP_SECONDS = 0.002


@dataclasses.dataclass(frozen=True, slots=True)
class Turn:
    """When new work would have its turn.

    :ivar wait: seconds that it is expected to wait
    :ivar in_time: it could then end by its deadline
    """

    wait: float
    in_time: bool


class Gate:
    """Holds work until the admission queue and the pace let it start.

    :ivar pace: pauses between two starts
    """

    def __init__(
        self, queue: admission.AdmissionQueue, source: random.Random
    ) -> None:
        """Take the queue that decides.

        :param source: draws pauses
        """
        self.queue = queue
        self.pace = pacing.Pace(source)
        self._waiting: dict[Ticket, asyncio.Future[Ticket]] = {}
        self._timer: asyncio.TimerHandle | None = None

    async def enter(self, work: Work) -> Ticket:
        """Wait for a slot.

        :param work: its deadline is in seconds of the steady clock
        :raises NotRun: it will not run in time
        """
        now = time.monotonic()
        wait = self.expect_wait(work.level, now)
        if now + wait > work.deadline and not work.continues:
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

    def expect_turn(self, work: Work, now: float) -> Turn:
        """Return when new work would have its turn."""
        queued = self.queue.expected_wait(
            work.level, now, work.kind, work.caller
        )
        paced = self.expect_wait(work.level, now)
        in_time = now + paced <= work.deadline
        if queued and in_time:
            late = self.queue.measure_lateness(
                queued, work.kind, work.deadline, now
            )
            in_time = late <= 0
        return Turn(max(queued, paced), in_time)

    def expect_wait(self, level: int, now: float) -> float:
        """Return the seconds that the pace makes new work wait.

        :param level: urgency of the new work
        """
        ahead = self.queue.count_waiting(level)
        return self.pace.find_start(level, ahead, now) - now

    def leave(
        self, ticket: Ticket, measured: bool = True, refused: bool = False
    ) -> None:
        """Give a slot back.

        :param measured: False for work that did not run
        :param refused: the endpoint was full
        """
        now = time.monotonic()
        if refused:
            self.note_full()
        elif measured:
            self.pace.note_success(now)
        if ticket.started_at is None:
            return
        self.queue.release(ticket, now, measured)
        self._hand_out(now)

    def note_trip(self, seconds: float) -> None:
        """Note how long the endpoint took for a report."""
        slower = self.pace.seconds
        now = time.monotonic()
        self.pace.note_trip(seconds, now)
        if self.pace.seconds > slower:
            self._review(now)
        self._hand_out(now)

    def note_full(self) -> None:
        """Note that the endpoint had no room."""
        now = time.monotonic()
        self.pace.note_refusal(now)
        self._review(now)
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

    def _review(self, now: float) -> None:
        """Give up what the longer pauses make too late."""
        self.queue.review(now, self.pace.list_starts(now))

    def _hand_out(self, now: float) -> None:
        levels = self._list_open(now) if self.pace.seconds else None
        batch = self.queue.take(now, levels)
        if levels is not None:
            for ticket in batch.started:
                self.pace.note_start(ticket.work.level, now)
        for ticket in batch.started:
            future = self._waiting.pop(ticket, None)
            if future is not None and not future.done():
                future.set_result(ticket)
        for drop in batch.dropped:
            future = self._waiting.pop(drop.ticket, None)
            if future is not None and not future.done():
                future.set_exception(drop.error)
        self._schedule(now)

    def _list_open(self, now: float) -> list[int]:
        """Return the ranks of which one piece of work may start.

        While the endpoint is crowded, one runs at a time here, but the most
        urgent work waits for no other.
        """
        levels = self.pace.list_open(now)
        if self.queue.running:
            return [level for level in levels if level == MOST_URGENT]
        return levels

    def _find_next_start(self, now: float) -> float:
        return min(
            self.pace.find_start(level, 0, now)
            for level in range(self.queue.ranks)
            if self.queue.count_waiting(level)
        )

    def _schedule(self, now: float) -> None:
        expiry = self.queue.next_expiry()
        if expiry is not None and self.pace.seconds:
            start = max(self._find_next_start(now), now + LEAST_SLEEP_SECONDS)
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
