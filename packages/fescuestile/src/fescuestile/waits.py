"""How long work will wait in an admission queue, and what waits in vain."""

import dataclasses
import math
import typing

from fescuestile import fair_queue
from fescuestile import rank_shares
from fescuestile import service_times


@dataclasses.dataclass(frozen=True, slots=True)
class Margins:
    """What estimates allow for.

    :ivar floor: factor by which floors are exceeded, since a slot is held
        while work travels to the endpoint and back
    :ivar wait: factor of the expected wait that a deadline allows
    :ivar service: factor of the mean service time, likewise
    :ivar load_window: seconds over which a rank's load is averaged
    """

    floor: float
    wait: float
    service: float
    load_window: float

    def add(self, wait: float, service: float) -> float:
        """Return the seconds that a deadline must leave."""
        return wait * self.wait + service * self.service


@dataclasses.dataclass(frozen=True, slots=True)
class Starts:
    """When work of one rank may start.

    :ivar first: monotonic seconds
    :ivar gap: seconds between two starts
    """

    first: float
    gap: float


@dataclasses.dataclass(frozen=True, slots=True)
class Waits:
    """Estimates from a queue as it stands.

    :ivar ranks: most urgent first
    :ivar slots: pieces of work that run at a time
    :ivar running_cost: seconds of service that the running work takes
    """

    ranks: rank_shares.Ranks
    times: service_times.ServiceTimes
    margins: Margins
    slots: int
    running_cost: float

    def expect(self, place: int, now: float, kind: str, caller: str) -> float:
        """Return the seconds that new work is expected to wait.

        :param place: its rank
        :param kind: its kind; without one, it goes behind all of its rank
        """
        rank = self.ranks[place]
        ahead = self._sum_service(
            rank.queue.list_ahead(kind, caller)
            if kind
            else rank.queue.list_waiting()
        )
        # What runs is on average half done.
        until_free = self.running_cost / 2 / self.slots
        more_urgent, free_share = self._measure_others(place, now)
        wait = math.inf
        if rank.floor > 0:
            needed = ahead + self.times.get_mean(kind)
            owed_share = rank.floor * self.margins.floor
            missing = max(0.0, needed - rank.credit)
            wait = missing / (self.slots * owed_share)
        if free_share > 0:
            wait = min(wait, (ahead + more_urgent) / (self.slots * free_share))
        return until_free + wait

    def list_late(
        self, now: float, starts: typing.Sequence[Starts] | None
    ) -> list[fair_queue.Ticket]:
        """Return what waits and can't be served in time any more.

        :param starts: for each rank, when its work may start; None when only
            the slots decide
        """
        late = []
        ahead = self.running_cost / 2
        for place, rank in enumerate(self.ranks):
            kept = 0
            own = 0.0
            for ticket in rank.queue.list_tickets():
                cost = self.times.get_mean(ticket.work.kind)
                wait = (ahead + own) / self.slots
                if rank.floor > 0:
                    wait = min(wait, own / (self.slots * rank.floor))
                if starts is not None:
                    start = starts[place].first + kept * starts[place].gap
                    wait = max(wait, start - now)
                work = ticket.work
                end = now + self.margins.add(wait, cost)
                if end > work.deadline and not work.continues:
                    late.append(ticket)
                else:
                    kept += 1
                    own += cost
            ahead += own
        return late

    def _sum_service(self, counts: typing.Iterable[tuple[str, int]]) -> float:
        return sum(self.times.get_mean(kind) * count for kind, count in counts)

    def _measure_others(self, place: int, now: float) -> tuple[float, float]:
        """Return the more urgent seconds that wait and the share left."""
        more_urgent = 0.0
        free_share = 1.0
        window = self.margins.load_window
        for rank in self.ranks[:place]:
            more_urgent += self._sum_service(rank.queue.list_waiting())
            free_share -= rank.measure_load(now, window)
        for rank in self.ranks[place + 1 :]:
            if rank.queue:
                free_share -= rank.floor
        return more_urgent, free_share
