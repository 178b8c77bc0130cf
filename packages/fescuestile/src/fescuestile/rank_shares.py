"""Choice of the rank that is served next.

The most urgent rank with waiting work is served first. Each rank is credited
its floor, a share of all service time given, up to a limit. A rank whose
credit covers its next work item is served before more urgent ranks.
"""

import collections.abc
import math
import typing

from fescuestile import fair_queue

# Credit that is enough for a rank to be served, however long its work takes.
SUFFICIENT_CREDIT_SECONDS = 0.1
# Credit limit in work items of the rank, for work so long that these exceed
# SUFFICIENT_CREDIT_SECONDS.
MAX_CREDIT_ITEMS = 2


class Rank:
    """Queue, credit and load of one rank.

    :ivar floor: guaranteed share of the service time
    :ivar queue: waiting work
    :ivar credit: seconds of service by which the rank is below its
        guaranteed share
    """

    def __init__(self, floor: float) -> None:
        """Initialize with an empty queue and no credit.

        :param floor: guaranteed share of the service time
        """
        self.floor = floor
        self.queue = fair_queue.FairQueue()
        self.credit = 0.0
        self._last_cost = 0.0
        self._load = 0.0
        self._load_at = -math.inf

    def record_cost(self, seconds: float) -> None:
        """Record the expected service time of the work that starts now."""
        self._last_cost = seconds

    def add_credit(self, seconds: float) -> None:
        """Add service time to the credit, up to its limit."""
        limit = max(
            SUFFICIENT_CREDIT_SECONDS, MAX_CREDIT_ITEMS * self._last_cost
        )
        self.credit = min(self.credit + seconds, limit)

    def record_load(self, share: float, now: float, window: float) -> None:
        """Add admitted work to the load.

        :param share: seconds of service it takes, divided by the slots
        :param now: monotonic seconds
        :param window: seconds over which the load is averaged
        """
        self._load = self.measure_load(now, window) + share / window
        self._load_at = now

    def measure_load(self, now: float, window: float) -> float:
        """Return the share of the slots that admitted work takes.

        :param now: monotonic seconds
        :param window: seconds over which the load is averaged
        """
        return self._load * math.exp((self._load_at - now) / window)


Ranks = typing.Sequence[Rank]


def find_most_urgent(ranks: Ranks) -> Rank | None:
    """Return the most urgent rank with waiting work, None without any."""
    return next((rank for rank in ranks if rank.queue), None)


def choose_rank(
    ranks: Ranks,
    most_urgent: Rank,
    get_service: collections.abc.Callable[[str], float],
) -> Rank:
    """Return the rank to serve next.

    It is the one with the most credit left after its next work item, or the
    most urgent one if no credit covers an item.

    :param ranks: ranks to choose from, most urgent first
    :param most_urgent: most urgent rank with waiting work
    :param get_service: returns the mean service time of a kind, in seconds
    """
    chosen = most_urgent
    highest = 0.0
    for rank in ranks:
        if rank is most_urgent or not rank.queue or rank.credit <= 0:
            continue
        cost = get_service(rank.queue.next_kind)
        balance = rank.credit - min(cost, SUFFICIENT_CREDIT_SECONDS)
        if balance >= highest:
            chosen = rank
            highest = balance
    return chosen


def distribute_credit(
    ranks: Ranks,
    served: Rank,
    seconds: float,
    uses_floor: bool,
    floor_factor: float,
) -> None:
    """Credit all ranks with their shares of service given to one of them.

    :param ranks: all ranks, most urgent first
    :param served: rank that received the service
    :param seconds: at the start, the expected service time; at the end, the
        actual time minus the expected one
    :param uses_floor: whether it was served before more urgent work
    :param floor_factor: factor by which the credited shares exceed the
        floors
    """
    for rank in ranks:
        rank.add_credit(rank.floor * seconds * floor_factor)
    if uses_floor:
        served.credit -= seconds
    elif served.credit > 0:
        served.credit = max(0.0, served.credit - seconds)
