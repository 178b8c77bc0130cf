"""Asynchronous admission control in front of one endpoint.

Statements wait here, ordered by rank, until the endpoint has a free slot and
the pacer allows another start.
"""

import asyncio
import dataclasses
import random
import time

from fescuestile import admission
from fescuestile import errors
from fescuestile import pacing
from fescuestile_daemon.relay.core import events

Work = admission.Work
Ticket = admission.Ticket

MOST_URGENT = 0
# Shortest sleep before the next start.
MIN_SLEEP_SECONDS = 0.002


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectedStart:
    """Estimate of when new work would start.

    :ivar wait: expected seconds until the start
    :ivar in_time: work that starts then could end by its deadline
    """

    wait: float
    in_time: bool


class AdmissionController:
    """Queues work until the admission queue and the pacer let it start.

    :ivar queue: decides which work gets a slot and which is refused
    :ivar pacer: spaces out starts while the endpoint is saturated
    """

    def __init__(
        self,
        queue: admission.AdmissionQueue,
        source: random.Random,
        endpoint: str = "",
    ) -> None:
        """Initialize with an admission queue.

        :param source: random source of the pauses between two starts
        :param endpoint: name of the endpoint, for the log
        """
        self.queue = queue
        self.pacer = pacing.Pacer(source)
        self._waiting: dict[Ticket, asyncio.Future[Ticket]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._limits = events.LimitEvents(endpoint)

    @property
    def is_pacing_work(self) -> bool:
        """Whether work waits or runs that the pacer spaces out."""
        return bool(self.pacer.mean_pause) and bool(
            self._waiting or self.queue.running
        )

    async def acquire(self, work: Work) -> Ticket:
        """Wait for a slot.

        :param work: its deadline is in monotonic seconds
        :returns: the ticket to pass to ``release`` afterwards
        :raises NotRun: the work cannot run by its deadline
        """
        now = time.monotonic()
        wait = self.estimate_pacing_delay(work, now)
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
        # Registered first: the dispatch below may start or drop it at once.
        self._waiting[ticket] = future
        self._dispatch(now)
        try:
            return await future
        except asyncio.CancelledError:
            self._waiting.pop(ticket, None)
            if not self.queue.withdraw(ticket):
                self.release(ticket, measured=False)
            raise

    def estimate_start(self, work: Work, now: float) -> ExpectedStart:
        """Estimate when new work would start if it were queued now."""
        queued = self.queue.estimate_wait(work, now)
        paced = self.estimate_pacing_delay(work, now)
        in_time = now + paced <= work.deadline
        if queued and in_time:
            late = self.queue.estimate_lateness(
                queued, work.kind, work.deadline, now
            )
            in_time = late <= 0
        return ExpectedStart(max(queued, paced), in_time)

    def estimate_pacing_delay(self, work: Work, now: float) -> float:
        """Return the seconds for which pacing would delay new work."""
        ahead = self.queue.count_ahead(work)
        return self.pacer.find_start(work.level, ahead, now) - now

    def release(
        self,
        ticket: Ticket,
        measured: bool = True,
        refused: bool = False,
        ok: bool = True,
    ) -> None:
        """Release a slot.

        :param measured: whether the time that the slot was held counts as a
            sample of the service time; False for work that did not run
        :param refused: whether the endpoint refused the work at capacity
        :param ok: False for work that failed or got no answer
        """
        now = time.monotonic()
        if refused:
            self.record_refusal()
        elif measured:
            self.pacer.record_success(now)
        if ticket.started_at is None:
            return
        self.queue.release(ticket, now, measured, ok)
        self._limits.record(self.queue.limit, self.queue.slots, now)
        self._dispatch(now)

    def record_round_trip(self, seconds: float) -> None:
        """Record the round-trip time of a status report, in seconds."""
        slower = self.pacer.mean_pause
        now = time.monotonic()
        if self.pacer.is_delayed(seconds) and self._lower_limit(now):
            return
        self.pacer.record_round_trip(seconds, now)
        if self.pacer.mean_pause > slower:
            self._drop_late(now)
        self._dispatch(now)

    def record_refusal(self) -> None:
        """Record that the endpoint refused work at capacity."""
        now = time.monotonic()
        if self._lower_limit(now):
            return
        self.pacer.record_refusal(now)
        self._drop_late(now)
        self._dispatch(now)

    def refuse_new(self, message: str) -> None:
        """Refuse queued work, except what continues a transaction."""
        self._refuse(
            [each for each in self._waiting if not each.work.continues],
            message,
        )

    def close(self) -> None:
        """Refuse all queued work."""
        self._refuse(list(self._waiting), "the endpoint left")
        if self._timer is not None:
            self._timer.cancel()

    def _lower_limit(self, now: float) -> bool:
        """Lower the limit of an overloaded endpoint.

        Where several daemons use one, each may be at one statement at a time
        and their sum still be too much, which only pauses reduce.

        :returns: False if the limit can't be lowered
        """
        if not self.queue.record_congestion():
            return False
        self._limits.record(self.queue.limit, self.queue.slots, now)
        self.queue.drop_late(now)
        self._dispatch(now)
        return True

    def _refuse(self, tickets: list[Ticket], message: str) -> None:
        for ticket in tickets:
            self.queue.withdraw(ticket)
            future = self._waiting.pop(ticket)
            if not future.done():
                future.set_exception(errors.NotRun(message, step="admit"))

    def _drop_late(self, now: float) -> None:
        """Drop queued work that longer pauses make miss its deadline."""
        self.queue.drop_late(now, self.pacer.list_starts(now))

    def _dispatch(self, now: float) -> None:
        levels = self._list_startable(now) if self.pacer.mean_pause else None
        batch = self.queue.dequeue(now, levels)
        if levels is not None:
            for ticket in batch.started:
                self.pacer.record_start(ticket.work.level, now)
        for ticket in batch.started:
            future = self._waiting.pop(ticket, None)
            if future is not None and not future.done():
                future.set_result(ticket)
        for drop in batch.dropped:
            future = self._waiting.pop(drop.ticket, None)
            if future is not None and not future.done():
                future.set_exception(drop.error)
        self._schedule(now)

    def _list_startable(self, now: float) -> list[int]:
        """Return the levels of which one request may start now.

        Called while the endpoint is saturated: this daemon then runs one
        request at a time, except that the most urgent level does not wait
        for requests already running.
        """
        levels = self.pacer.list_ready(now)
        if self.queue.running:
            return [level for level in levels if level == MOST_URGENT]
        return levels

    def _find_next_start(self, now: float) -> float:
        return min(
            self.pacer.find_start(level, 0, now)
            for level in range(self.queue.rank_count)
            if self.queue.count_waiting(level)
        )

    def _schedule(self, now: float) -> None:
        expiry = self.queue.next_expiry()
        if expiry is not None and self.pacer.mean_pause:
            start = max(self._find_next_start(now), now + MIN_SLEEP_SECONDS)
            expiry = min(expiry, start)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if expiry is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(
                max(0.0, expiry - now), self._on_timer
            )

    def _on_timer(self) -> None:
        self._timer = None
        self._dispatch(time.monotonic())
