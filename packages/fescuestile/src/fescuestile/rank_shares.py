"""Which rank's turn it is.

The most urgent rank that waits goes first. Of all service given, each rank
is credited its floor, up to a limit; one that waits has its turn before
more urgent ones once its credit pays for its next work.
"""

import collections.abc
import math
import typing

from fescuestile import fair_queue

# Credit with which a rank gets its turn, however long its work takes.
TURN_CREDIT_SECONDS = 0.1
# Pieces of its work that a rank's credit pays for at most, if they are long.
CREDIT_PIECES = 2


class Rank:
    """Queue of one rank, what it is owed and how loaded it is.

    :ivar floor: share of the service that it is owed
    :ivar credit: seconds of service that it is owed
    """

    def __init__(self, floor: float) -> None:
        """Start empty."""
        self.floor = floor
        self.queue = fair_queue.FairQueue()
        self.credit = 0.0
        self._cost = 0.0
        self._load = 0.0
        self._load_at = -math.inf

    def note_cost(self, seconds: float) -> None:
        """Note what the work that starts now is expected to take."""
        self._cost = seconds

    def add_credit(self, seconds: float) -> None:
        """Credit service time, up to the limit."""
        limit = max(TURN_CREDIT_SECONDS, CREDIT_PIECES * self._cost)
        self.credit = min(self.credit + seconds, limit)

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
        left = rank.credit - min(cost, TURN_CREDIT_SECONDS)
        if left >= most:
            chosen = rank
            most = left
    return chosen


def share_out(
    ranks: Ranks, served: Rank, seconds: float, owed: bool, margin: float
) -> None:
    """Credit all ranks with their part of service given.

    :param ranks: all ranks, most urgent first
    :param served: rank that got the service
    :param seconds: expected at the start; at the end, what it took beyond
    :param owed: it was served before more urgent work
    :param margin: factor by which floors are exceeded
    """
    for rank in ranks:
        rank.add_credit(rank.floor * seconds * margin)
    if owed:
        served.credit -= seconds
    elif served.credit > 0:
        served.credit = max(0.0, served.credit - seconds)
