"""Admission of work to one endpoint, at the endpoint's owner.

More urgent ranks are served first, after each rank has had the share of
the service time that its floor guarantees. Within a rank, tenants, kinds and
callers share fairly. Work that cannot meet its deadline is refused on
arrival, and no more runs at a time than the endpoint has slots.
"""

import collections
import dataclasses
import heapq
import typing

import expression

from fescuestile import admission_batches
from fescuestile import admission_options
from fescuestile import concurrency
from fescuestile import errors
from fescuestile import fair_queue
from fescuestile import rank_shares
from fescuestile import results
from fescuestile import service_times
from fescuestile import tenant_queue
from fescuestile import waits

STEP = "admit"
MIN_RETRY_AFTER_SECONDS = 0.01
# Stale entries tolerated before the heap of deadlines is compacted.
MAX_STALE_EXPIRIES = 64

Drop = admission_batches.Drop
Batch = admission_batches.Batch
Work = fair_queue.Work
Ticket = fair_queue.Ticket
AdmissionOptions = admission_options.AdmissionOptions
create_options = admission_options.create_options
describe_work = tenant_queue.describe_work


_EMPTY_BATCH = Batch((), ())


class AdmissionQueue:
    """Admits work to one endpoint.

    :ivar times: service times by kind

    Call ``dequeue`` after each ``offer``, ``release`` or ``withdraw``, and at
    ``next_expiry``.
    """

    def __init__(self, options: AdmissionOptions, peer: str = "") -> None:
        """Initialize an empty queue.

        :param options: limits
        :param peer: endpoint, named in errors
        """
        self._options = options
        self._factors = options.make_safety_factors()
        self._peer = peer
        self._ranks = [rank_shares.Rank(floor) for floor in options.floors]
        self._concurrency = concurrency.create_limit(
            options.way, options.slots
        )
        self.times = service_times.ServiceTimes(
            options.initial_service, options.service_weight
        )
        self._running = 0
        self._running_cost = 0.0
        self._waiting = 0
        self._expiries: list[tuple[float, int, Ticket]] = []
        self._sequence = 0
        self._dropped: collections.deque[Drop] = collections.deque()

    @property
    def running(self) -> int:
        """Number of work items that hold a slot."""
        return self._running

    @property
    def waiting(self) -> int:
        """Number of work items that wait."""
        return self._waiting

    @property
    def rank_count(self) -> int:
        """Number of ranks."""
        return len(self._ranks)

    @property
    def limit(self) -> int:
        """Number of work items that may hold a slot now."""
        return self._concurrency.limit

    @property
    def slots(self) -> int:
        """Highest limit."""
        return self._options.slots

    def offer(
        self, work: Work, now: float
    ) -> expression.Result[Ticket, errors.NotRun]:
        """Enqueue work or refuse it.

        :param work: work to admit
        :param now: monotonic seconds
        :returns: its ticket, which a later ``dequeue`` returns as started
            or dropped, or the reason for the refusal
        """
        rank = self._get_rank(work.level)
        if work.deadline <= now:
            return expression.Error(self._refuse("the deadline passed", 0.0))
        if not self._can_start_at_once() and not work.continues:
            wait = self.estimate_wait(work, now)
            late = self.estimate_lateness(wait, work.kind, work.deadline, now)
            if late > 0:
                message = f"expected wait of {wait:.3f} s exceeds the deadline"
                return expression.Error(self._refuse(message, late))
        if len(rank.queue) >= self._options.rank_queue_limit:
            refused = self._make_room(rank, work, now)
            if refused is not None:
                return expression.Error(refused)
        ticket = Ticket(work=work, offered_at=now)
        self._enqueue(rank, ticket)
        share = self.times.get_mean(work.kind) / self._options.slots
        rank.record_load(share, now, self._options.load_window)
        return results.succeed(ticket)

    def estimate_lateness(
        self, wait: float, kind: str, deadline: float, now: float
    ) -> float:
        """Return by how many seconds work is expected to miss its deadline.

        :param wait: expected seconds in the queue
        :returns: lateness with the safety factors; negative if in time
        """
        needed = self._factors.pad(wait, self.times.get_mean(kind))
        return now + needed - deadline

    def count_waiting(self, level: int) -> int:
        """Return how many work items of a rank wait."""
        return len(self._get_rank(level).queue)

    def count_ahead(self, work: Work) -> int:
        """Return about how many work items of its rank start before work."""
        return self._get_rank(work.level).queue.count_ahead(work)

    def dequeue(
        self, now: float, levels: typing.Collection[int] | None = None
    ) -> Batch:
        """Dequeue the work that may start and the work that was dropped.

        :param now: monotonic seconds
        :param levels: start at most one work item, of one of these ranks;
            None to start as many of any rank as there are free slots
        """
        if not self._waiting and not self._dropped:
            return _EMPTY_BATCH
        self._expire(now)
        started: list[Ticket] = []
        ranks = self._list_ranks(levels)
        while self._running < self._concurrency.limit:
            if levels is not None and started:
                break
            most_urgent = rank_shares.find_most_urgent(ranks)
            if most_urgent is None:
                break
            ticket = self._start_next(ranks, most_urgent, now)
            if ticket is not None:
                started.append(ticket)
        dropped = tuple(self._dropped)
        self._dropped.clear()
        return Batch(tuple(started), dropped)

    def release(
        self,
        ticket: Ticket,
        now: float,
        measured: bool = True,
        ok: bool = True,
    ) -> None:
        """Release the slot of work that ended.

        :param ticket: started ticket
        :param now: monotonic seconds
        :param measured: False for work that did not reach the endpoint
        :param ok: False for work that failed or got no answer
        """
        if ticket.started_at is None:
            raise ValueError("the work holds no slot")
        seconds = max(0.0, now - ticket.started_at)
        ticket.started_at = None
        self._running -= 1
        kind = ticket.work.kind
        rank = self._get_rank(ticket.work.level)
        rank.queue.charge(ticket.work, seconds - ticket.cost)
        self._running_cost -= ticket.cost
        self._distribute_credit(rank, seconds - ticket.cost, ticket.uses_floor)
        if not measured:
            return
        if self.times.record(kind, seconds):
            self.drop_late(now)
        self._concurrency.observe(kind, seconds, self._running + 1, ok)

    def withdraw(self, ticket: Ticket) -> bool:
        """Remove work from the queue; return whether it still waited."""
        rank = self._get_rank(ticket.work.level)
        if not rank.queue.remove(ticket):
            return False
        self._waiting -= 1
        return True

    def drop_late(
        self, now: float, starts: typing.Sequence[waits.Schedule] | None = None
    ) -> None:
        """Drop waiting work that can no longer meet its deadline.

        The next ``dequeue`` returns it as dropped.

        :param now: monotonic seconds
        :param starts: for each rank, when its work may start; None when
            starts are limited by the slots alone
        """
        for ticket in self._estimate_waits().list_late(now, starts):
            self.withdraw(ticket)
            self._drop(ticket, "the deadline can no longer be met")

    def expected_wait(
        self, level: int, now: float, kind: str = "", caller: str = ""
    ) -> float:
        """Return the seconds that new work is expected to wait.

        :param level: rank of the new work
        :param now: monotonic seconds
        :param kind: kind of the new work; empty to wait behind all its rank
        :param caller: caller of the new work
        """
        return self.estimate_wait(Work(level, kind, caller, now), now)

    def estimate_wait(self, work: Work, now: float) -> float:
        """Return the seconds that work is expected to wait if offered now."""
        if self._can_start_at_once():
            return 0.0
        level = self._clamp_level(work.level)
        return self._estimate_waits().estimate_wait(level, now, work)

    def next_expiry(self) -> float | None:
        """Return the earliest deadline in monotonic seconds, if work waits.

        Entries are removed lazily, so it may be that of work that started.
        """
        return self._expiries[0][0] if self._waiting else None

    def set_slots(self, slots: int) -> None:
        """Change how many statements run at a time, at least 1."""
        self._options = dataclasses.replace(self._options, slots=slots)
        self._concurrency.set_cap(slots)

    def set_way(self, way: concurrency.Way) -> None:
        """Change how the limit is found; it starts at the slots again."""
        if way is not self._options.way:
            self._options = dataclasses.replace(self._options, way=way)
            self._concurrency = concurrency.create_limit(
                way, self._options.slots
            )

    def record_congestion(self) -> bool:
        """Record that the endpoint is overloaded; return if the limit fell."""
        return self._concurrency.record_congestion()

    def configure(self, options: AdmissionOptions) -> None:
        """Apply new limits; queued work keeps its order.

        :param options: limits
        """
        waiting = [each for each in self._expiries if self.withdraw(each[2])]
        waiting.sort(key=lambda entry: entry[1])
        self.set_way(options.way)
        self._options = options
        self._factors = options.make_safety_factors()
        self._ranks = [rank_shares.Rank(floor) for floor in options.floors]
        self._concurrency.set_cap(options.slots)
        self._expiries.clear()
        for _, _, ticket in waiting:
            self._enqueue(self._get_rank(ticket.work.level), ticket)

    def _clamp_level(self, level: int) -> int:
        return min(level, len(self._ranks) - 1)

    def _get_rank(self, level: int) -> rank_shares.Rank:
        return self._ranks[self._clamp_level(level)]

    def _estimate_waits(self) -> waits.WaitEstimator:
        return waits.WaitEstimator(
            self._ranks,
            self.times,
            self._factors,
            self._concurrency.limit,
            self._running_cost,
        )

    def _can_start_at_once(self) -> bool:
        return not self._waiting and self._running < self._concurrency.limit

    def _enqueue(self, rank: rank_shares.Rank, ticket: Ticket) -> None:
        rank.queue.push(ticket)
        self._waiting += 1
        self._sequence += 1
        entry = (ticket.work.deadline, self._sequence, ticket)
        heapq.heappush(self._expiries, entry)
        if len(self._expiries) > 2 * self._waiting + MAX_STALE_EXPIRIES:
            self._compact_expiries()

    def _compact_expiries(self) -> None:
        self._expiries = [
            entry
            for entry in self._expiries
            if entry[2] in self._get_rank(entry[2].work.level).queue
        ]
        heapq.heapify(self._expiries)

    def _expire(self, now: float) -> None:
        while self._expiries and self._expiries[0][0] <= now:
            ticket = heapq.heappop(self._expiries)[2]
            if self.withdraw(ticket):
                self._drop(ticket, "the deadline passed in the queue")

    def _make_room(
        self, rank: rank_shares.Rank, work: Work, now: float
    ) -> errors.NotRun | None:
        """Drop the newest work of the longest flow, or refuse the new work."""
        newest = rank.queue.find_eviction_candidate()
        flow = (newest.work.tenant, newest.work.kind, newest.work.caller)
        refuses = flow == (work.tenant, work.kind, work.caller) and (
            not work.continues
        )
        wait = self.estimate_wait(work if refuses else newest.work, now)
        error = self._refuse("the rank's queue is full", wait)
        if refuses:
            return error
        self.withdraw(newest)
        self._dropped.append(Drop(newest, error))
        return None

    def _list_ranks(
        self, levels: typing.Collection[int] | None
    ) -> rank_shares.Ranks:
        if levels is None:
            return self._ranks
        return [
            rank for level, rank in enumerate(self._ranks) if level in levels
        ]

    def _start_next(
        self,
        ranks: rank_shares.Ranks,
        most_urgent: rank_shares.Rank,
        now: float,
    ) -> Ticket | None:
        rank = rank_shares.choose_rank(ranks, most_urgent, self.times.get_mean)
        ticket = rank.queue.pop()
        self._waiting -= 1
        cost = self.times.get_mean(ticket.work.kind)
        needed = self._factors.pad(0.0, cost)
        late = now + needed - ticket.work.deadline
        # With nothing running, the work starts whatever the estimate, so
        # that a wrong estimate is corrected by a new measurement.
        if late > 0 and self._running and not ticket.work.continues:
            self._drop(ticket, "too little time left before the deadline")
            return None
        rank.queue.charge(ticket.work, cost)
        rank.record_cost(cost)
        ticket.uses_floor = rank is not most_urgent
        ticket.started_at = now
        ticket.cost = cost
        self._running += 1
        self._running_cost += cost
        self._distribute_credit(rank, cost, ticket.uses_floor)
        return ticket

    def _distribute_credit(
        self, served: rank_shares.Rank, seconds: float, uses_floor: bool
    ) -> None:
        factor = self._options.floor_factor
        rank_shares.distribute_credit(
            self._ranks, served, seconds, uses_floor, factor
        )

    def _drop(self, ticket: Ticket, message: str) -> None:
        self._dropped.append(Drop(ticket, self._refuse(message, 0.0)))

    def _refuse(self, message: str, retry_after: float) -> errors.NotRun:
        return errors.NotRun(
            message=message,
            step=STEP,
            peer=self._peer,
            retry_after=max(retry_after, MIN_RETRY_AFTER_SECONDS),
        )
