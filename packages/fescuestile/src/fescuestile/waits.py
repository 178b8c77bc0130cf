"""Estimates of the wait in an admission queue and of missed deadlines."""

import dataclasses
import math
import typing

from fescuestile import fair_queue
from fescuestile import rank_shares
from fescuestile import service_times


@dataclasses.dataclass(frozen=True, slots=True)
class SafetyFactors:
    """Safety factors of estimates.

    :ivar floor: factor by which the credited floors exceed the declared
        ones, since a slot is also held during the round trip to the endpoint
    :ivar wait: factor of the expected wait when compared with a deadline
    :ivar service: factor of the mean service time when compared with a
        deadline
    :ivar load_window: seconds over which a rank's load is averaged
    """

    floor: float
    wait: float
    service: float
    load_window: float

    def pad(self, wait: float, service: float) -> float:
        """Return the seconds that must be left before the deadline.

        :param wait: expected wait in seconds
        :param service: mean service time in seconds
        """
        return wait * self.wait + service * self.service


@dataclasses.dataclass(frozen=True, slots=True)
class Schedule:
    """Times at which work of one rank may start.

    :ivar first: monotonic seconds of the first start
    :ivar interval: seconds between two starts
    """

    first: float
    interval: float


@dataclasses.dataclass(frozen=True, slots=True)
class WaitEstimator:
    """Estimates for the current contents of a queue.

    :ivar ranks: all ranks, most urgent first
    :ivar times: service times by kind
    :ivar factors: safety factors
    :ivar slots: work items that run at a time
    :ivar running_cost: expected seconds of service of all running work
    """

    ranks: rank_shares.Ranks
    times: service_times.ServiceTimes
    factors: SafetyFactors
    slots: int
    running_cost: float

    def estimate_wait(
        self, level: int, now: float, work: fair_queue.Work
    ) -> float:
        """Return the seconds that new work is expected to wait.

        :param level: rank of the new work
        :param now: monotonic seconds
        :param work: the new work; with an empty kind it is assumed to wait
            behind all queued work of its rank
        """
        rank = self.ranks[level]
        kind = work.kind
        ahead = (
            rank.queue.measure_ahead(work, self.times.get_mean)
            if kind
            else self._sum_service(rank.queue.list_waiting())
        )
        # Running work is half done on average.
        until_free = self.running_cost / 2 / self.slots
        more_urgent, free_share = self._measure_others(level, now)
        wait = math.inf
        if rank.floor > 0:
            needed = ahead + self.times.get_mean(kind)
            guaranteed_share = rank.floor * self.factors.floor
            missing = max(0.0, needed - rank.credit)
            wait = missing / (self.slots * guaranteed_share)
        if free_share > 0:
            wait = min(wait, (ahead + more_urgent) / (self.slots * free_share))
        return until_free + wait

    def list_late(
        self, now: float, starts: typing.Sequence[Schedule] | None
    ) -> list[fair_queue.Ticket]:
        """Return waiting work that can no longer meet its deadline.

        :param now: monotonic seconds
        :param starts: for each rank, when its work may start; None when
            starts are limited by the slots alone
        """
        late = []
        ahead = self.running_cost / 2
        for level, rank in enumerate(self.ranks):
            kept = 0
            own = 0.0
            for ticket in rank.queue.list_tickets(self.times.get_mean):
                cost = self.times.get_mean(ticket.work.kind)
                wait = (ahead + own) / self.slots
                if rank.floor > 0:
                    wait = min(wait, own / (self.slots * rank.floor))
                if starts is not None:
                    start = starts[level].first + kept * starts[level].interval
                    wait = max(wait, start - now)
                work = ticket.work
                end = now + self.factors.pad(wait, cost)
                if end > work.deadline and not work.continues:
                    late.append(ticket)
                else:
                    kept += 1
                    own += cost
            ahead += own
        return late

    def _sum_service(self, counts: typing.Iterable[tuple[str, int]]) -> float:
        return sum(self.times.get_mean(kind) * count for kind, count in counts)

    def _measure_others(self, level: int, now: float) -> tuple[float, float]:
        """Return the waiting seconds of more urgent work and the free share.

        The free share is what the load of more urgent ranks and the floors
        of less urgent ranks with waiting work leave of the slots.
        """
        more_urgent = 0.0
        free_share = 1.0
        window = self.factors.load_window
        for rank in self.ranks[:level]:
            more_urgent += self._sum_service(rank.queue.list_waiting())
            free_share -= rank.measure_load(now, window)
        for rank in self.ranks[level + 1 :]:
            if rank.queue:
                free_share -= rank.floor
        return more_urgent, free_share
