"""Which rank's turn it is.

The most urgent rank that waits goes first. Of all service given meanwhile,
each other rank that waits is credited its floor, and has its turn once the
credit pays for its next work.
"""

import collections.abc
import math
import typing

from fescuestile import fair_queue

# Credit with which a rank gets its turn, however long its work takes.
LONGEST_CREDIT_SECONDS = 0.1


class Rank:
    """Queue of one rank, what it is owed and how loaded it is.

    :ivar floor: share of the service owed to it while it waits
    :ivar credit: seconds of service that it is owed
    """

    def __init__(self, floor: float) -> None:
        """Start empty."""
        self.floor = floor
        self.queue = fair_queue.FairQueue()
        self.credit = 0.0
        self._load = 0.0
        self._load_at = -math.inf

    def note_load(self, share: float, now: float, window: float) -> None:
        """Note admitted work.

        :param share: seconds of service it takes, over the slots
        :param now: monotonic seconds
        :param window: seconds over which the load is averaged
        """
        self._load = self.measure_load(now, window) + share / window
        self._load_at = now

    def measure_load(self, now: float, window: float) -> float:
        """Return the share of the slots that admitted work takes."""
        return self._load * math.exp((self._load_at - now) / window)


Ranks = typing.Sequence[Rank]


def find_top(ranks: Ranks) -> Rank | None:
    """Return the most urgent rank that waits."""
    return next((rank for rank in ranks if rank.queue), None)


def choose_rank(
    ranks: Ranks,
    top: Rank,
    get_service: collections.abc.Callable[[str], float],
) -> Rank:
    """Return the rank that is owed most, or else the most urgent.

    :param ranks: all ranks, most urgent first
    :param top: most urgent rank that waits
    :param get_service: returns the seconds that a kind takes
    """
    chosen = top
    most = 0.0
    for rank in ranks:
        if rank is top or not rank.queue or rank.credit <= 0:
            continue
        cost = get_service(rank.queue.next_kind)
        left = rank.credit - min(cost, LONGEST_CREDIT_SECONDS)
        if left > most:
            chosen = rank
            most = left
    return chosen


def share_out(
    ranks: Ranks, served: Rank, seconds: float, owed: bool, margin: float
) -> None:
    """Credit the ranks that wait with their part of service given.

    :param ranks: all ranks, most urgent first
    :param served: rank that got the service
    :param seconds: expected at the start; at the end, what it took beyond
    :param owed: it was served before more urgent work
    :param margin: factor by which floors are exceeded
    """
    top = find_top(ranks)
    for rank in ranks:
        if not rank.queue:
            rank.credit = min(rank.credit, 0.0)
        elif rank is not top:
            rank.credit += rank.floor * seconds * margin
    if owed:
        served.credit -= seconds
    elif served.credit > 0:
        served.credit = max(0.0, served.credit - seconds)
