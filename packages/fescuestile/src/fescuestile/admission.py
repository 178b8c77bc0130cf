"""Admission of work to one endpoint, at the endpoint's owner.

More urgent ranks go first, but each rank is owed its floor of the service
time before that. Within a rank, kinds and callers share fairly.
Work that cannot make its deadline is refused at once, and only as much
runs at a time as the endpoint has slots for.
"""

import collections
import dataclasses
import heapq
import typing

import expression

from fescuestile import admission_options
from fescuestile import concurrency
from fescuestile import errors
from fescuestile import fair_queue
from fescuestile import rank_shares
from fescuestile import requests
from fescuestile import results
from fescuestile import service_times
from fescuestile import waits

STEP = "admit"
MIN_RETRY_AFTER_SECONDS = 0.01
# Entries of work that waits no longer, kept before they are cleared out.
EXPIRIES_SLACK = 64

Work = fair_queue.Work
Ticket = fair_queue.Ticket
AdmissionOptions = admission_options.AdmissionOptions
create_options = admission_options.create_options


@dataclasses.dataclass(frozen=True, slots=True)
class Drop:
    """Work that waited and will not run."""

    ticket: Ticket
    error: errors.NotRun


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """What a queue hands out at one moment.

    :ivar started: work to run now
    :ivar dropped: work to answer with its error
    """

    started: tuple[Ticket, ...]
    dropped: tuple[Drop, ...]


def describe_work(request: requests.Request) -> Work:
    """Return what admission needs to know of a request."""
    return Work(
        level=request.level,
        kind=request.kind,
        caller=request.caller,
        deadline=request.deadline,
        continues=bool(request.transaction),
    )


_EMPTY_BATCH = Batch((), ())


class AdmissionQueue:
    """Admits work to one endpoint.

    :ivar times: how long its work takes

    Call ``take`` after each ``offer``, ``release`` or ``withdraw``, and at
    ``next_expiry``.
    """

    def __init__(self, options: AdmissionOptions, peer: str = "") -> None:
        """Start empty.

        :param options: limits
        :param peer: endpoint, for errors
        """
        self._options = options
        self._margins = options.make_margins()
        self._peer = peer
        self._ranks = [rank_shares.Rank(floor) for floor in options.floors]
        self._concurrency = concurrency.ConcurrencyLimit(options.slots)
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
        """Pieces of work that hold a slot."""
        return self._running

    @property
    def waiting(self) -> int:
        """Pieces of work that wait."""
        return self._waiting

    @property
    def ranks(self) -> int:
        """How many ranks there are."""
        return len(self._ranks)

    @property
    def limit(self) -> int:
        """Pieces of work that may hold a slot now."""
        return self._concurrency.limit

    def offer(
        self, work: Work, now: float
    ) -> expression.Result[Ticket, errors.NotRun]:
        """Queue work or refuse it.

        :param work: the work
        :param now: monotonic seconds
        :returns: its ticket, which a later ``take`` hands out as started
            or dropped, or why it will not run
        """
        rank = self._get_rank(work.level)
        if work.deadline <= now:
            return expression.Error(self._refuse("the deadline passed", 0.0))
        if not self._can_start_at_once() and not work.continues:
            wait = self.expected_wait(work.level, now, work.kind, work.caller)
            late = self.measure_lateness(wait, work.kind, work.deadline, now)
            if late > 0:
                message = f"expected wait of {wait:.3f} s passes the deadline"
                return expression.Error(self._refuse(message, late))
        if len(rank.queue) >= self._options.rank_length:
            refused = self._make_room(rank, work, now)
            if refused is not None:
                return expression.Error(refused)
        ticket = Ticket(work=work, offered_at=now)
        self._enqueue(rank, ticket)
        share = self.times.get_mean(work.kind) / self._options.slots
        rank.note_load(share, now, self._options.load_window)
        return results.succeed(ticket)

    def measure_lateness(
        self, wait: float, kind: str, deadline: float, now: float
    ) -> float:
        """Return by how many seconds work would miss its deadline.

        :param wait: seconds that it is expected to wait
        :returns: with the margins of estimates; negative for in time
        """
        return (
            now + self._margins.add(wait, self.times.get_mean(kind)) - deadline
        )

    def count_waiting(self, level: int) -> int:
        """Return how many of a rank wait."""
        return len(self._get_rank(level).queue)

    def take(
        self, now: float, levels: typing.Collection[int] | None = None
    ) -> Batch:
        """Hand out the work that may start and the work that expired.

        :param now: monotonic seconds
        :param levels: ranks of which one piece may start at most, None for
            all that there are slots for
        """
        if not self._waiting and not self._dropped:
            return _EMPTY_BATCH
        self._expire(now)
        started: list[Ticket] = []
        ranks = self._list_ranks(levels)
        while self._running < self._concurrency.limit:
            if levels is not None and started:
                break
            top = rank_shares.find_top(ranks)
            if top is None:
                break
            ticket = self._start_next(ranks, top, now)
            if ticket is not None:
                started.append(ticket)
        dropped = tuple(self._dropped)
        self._dropped.clear()
        return Batch(tuple(started), dropped)

    def release(
        self, ticket: Ticket, now: float, measured: bool = True
    ) -> None:
        """Give back the slot of work that ended.

        :param ticket: a started ticket
        :param now: monotonic seconds
        :param measured: False for work that did not reach the endpoint
        """
        if ticket.started_at is None:
            raise ValueError("the work holds no slot")
        seconds = max(0.0, now - ticket.started_at)
        ticket.started_at = None
        self._running -= 1
        kind = ticket.work.kind
        rank = self._get_rank(ticket.work.level)
        rank.queue.charge(kind, seconds - ticket.cost)
        self._running_cost -= ticket.cost
        self._share_out(rank, seconds - ticket.cost, ticket.owed)
        if not measured:
            return
        if self.times.note(kind, seconds):
            self.review(now)
        if self._options.follows_latency:
            self._concurrency.observe(kind, seconds)

    def withdraw(self, ticket: Ticket) -> bool:
        """Take back work that waits; tell whether it did."""
        rank = self._get_rank(ticket.work.level)
        if not rank.queue.remove(ticket):
            return False
        self._waiting -= 1
        return True

    def review(
        self, now: float, starts: typing.Sequence[waits.Starts] | None = None
    ) -> None:
        """Give up waiting work that can't be served in time any more.

        The next ``take`` hands it out as dropped.

        :param now: monotonic seconds
        :param starts: for each rank, when its work may start; None when
            only the slots decide
        """
        for ticket in self._estimate_waits().list_late(now, starts):
            self.withdraw(ticket)
            self._drop(ticket, "can't be served in time any more")

    def expected_wait(
        self, level: int, now: float, kind: str = "", caller: str = ""
    ) -> float:
        """Return the seconds that new work is expected to wait.

        :param level: urgency of the new work
        :param now: monotonic seconds
        :param kind: its kind; without one, it goes behind all of its rank
        :param caller: its caller
        """
        if self._can_start_at_once():
            return 0.0
        place = self._clamp(level)
        return self._estimate_waits().expect(place, now, kind, caller)

    def next_expiry(self) -> float | None:
        """Return the next deadline in the queue, in monotonic seconds.

        Work that started keeps its entry for a while, so the deadline may
        be that of work that waits no more; None while nothing waits.
        """
        return self._expiries[0][0] if self._waiting else None

    def set_slots(self, slots: int) -> None:
        """Change how much may run at a time.

        :param slots: slots, at least 1
        """
        self._options = dataclasses.replace(self._options, slots=slots)
        self._concurrency.set_cap(slots)

    def configure(self, options: AdmissionOptions) -> None:
        """Put other limits in force; work that waits keeps its order.

        :param options: limits
        """
        waiting = [
            entry for entry in self._expiries if self.withdraw(entry[2])
        ]
        waiting.sort(key=lambda entry: entry[1])
        self._options = options
        self._margins = options.make_margins()
        self._ranks = [rank_shares.Rank(floor) for floor in options.floors]
        self._concurrency.set_cap(options.slots)
        self._expiries.clear()
        for _, _, ticket in waiting:
            self._enqueue(self._get_rank(ticket.work.level), ticket)

    def _clamp(self, level: int) -> int:
        return min(level, len(self._ranks) - 1)

    def _get_rank(self, level: int) -> rank_shares.Rank:
        return self._ranks[self._clamp(level)]

    def _estimate_waits(self) -> waits.Waits:
        return waits.Waits(
            self._ranks,
            self.times,
            self._margins,
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
        if len(self._expiries) > 2 * self._waiting + EXPIRIES_SLACK:
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
        """Drop the newest of the longest line, or refuse the new work."""
        newest = rank.queue.find_newest_of_longest()
        line = (newest.work.kind, newest.work.caller)
        refuses = line == (work.kind, work.caller) and not work.continues
        refused = work if refuses else newest.work
        wait = self.expected_wait(
            refused.level, now, refused.kind, refused.caller
        )
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
            rank for place, rank in enumerate(self._ranks) if place in levels
        ]

    def _start_next(
        self,
        ranks: rank_shares.Ranks,
        top: rank_shares.Rank,
        now: float,
    ) -> Ticket | None:
        rank = rank_shares.choose_rank(ranks, top, self.times.get_mean)
        ticket = rank.queue.pop()
        self._waiting -= 1
        cost = self.times.get_mean(ticket.work.kind)
        margin = self._margins.add(0.0, cost)
        late = now + margin - ticket.work.deadline
        # With nothing running it starts whatever the estimate, so that a
        # wrong estimate is measured again.
        if late > 0 and self._running and not ticket.work.continues:
            self._drop(ticket, "waited too long for its deadline")
            return None
        rank.queue.charge(ticket.work.kind, cost)
        rank.note_cost(cost)
        ticket.owed = rank is not top
        ticket.started_at = now
        ticket.cost = cost
        self._running += 1
        self._running_cost += cost
        self._share_out(rank, cost, ticket.owed)
        return ticket

    def _share_out(
        self, served: rank_shares.Rank, seconds: float, owed: bool
    ) -> None:
        margin = self._options.floor_margin
        rank_shares.share_out(self._ranks, served, seconds, owed, margin)

    def _drop(self, ticket: Ticket, message: str) -> None:
        self._dropped.append(Drop(ticket, self._refuse(message, 0.0)))

    def _refuse(self, message: str, retry_after: float) -> errors.NotRun:
        return errors.NotRun(
            message=message,
            step=STEP,
            peer=self._peer,
            retry_after=max(retry_after, MIN_RETRY_AFTER_SECONDS),
        )
