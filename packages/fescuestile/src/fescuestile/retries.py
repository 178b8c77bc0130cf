"""When a failed request is sent again, and how soon."""

import collections
import dataclasses
import math
import random
import typing

from fescuestile import clock as clocks
from fescuestile import errors

BUDGET_SHARE = 0.1
BUDGET_WINDOW_SECONDS = 1.0
BACKOFF_BASE_SECONDS = 0.02
BACKOFF_LIMIT_SECONDS = 1.0
_BUCKETS_PER_WINDOW = 10
_MAX_DOUBLINGS = 30


@dataclasses.dataclass(frozen=True, slots=True)
class Backoff:
    """Exponential backoff with full jitter.

    :ivar base: seconds that the first delay stays under
    :ivar limit: seconds that every delay stays under
    """

    base: float = BACKOFF_BASE_SECONDS
    limit: float = BACKOFF_LIMIT_SECONDS

    def draw(self, attempt: int, source: random.Random) -> float:
        """Return the delay before the next attempt, in seconds.

        :param attempt: attempts made so far, from 1
        """
        doublings = min(attempt - 1, _MAX_DOUBLINGS)
        return source.uniform(0, min(self.limit, self.base * 2**doublings))


class _Window:
    """Count of events in the last seconds, by buckets of equal length."""

    def __init__(self, seconds: float) -> None:
        self._length = seconds / _BUCKETS_PER_WINDOW
        self._buckets: collections.deque[tuple[int, int]] = collections.deque()
        self._total = 0

    def add(self, now: float) -> None:
        number = math.floor(now / self._length)
        if self._buckets and self._buckets[-1][0] == number:
            self._buckets[-1] = (number, self._buckets[-1][1] + 1)
        else:
            self._buckets.append((number, 1))
        self._total += 1

    def count(self, now: float) -> int:
        oldest = math.floor(now / self._length) - _BUCKETS_PER_WINDOW
        while self._buckets and self._buckets[0][0] <= oldest:
            self._total -= self._buckets.popleft()[1]
        return self._total


class RetryBudget:
    """Retries allowed per rank: a share of the recent successes.

    Once an endpoint fails, the successes that pay for retries run out
    within a window, and a retry storm ends by itself.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        share: float = BUDGET_SHARE,
        window: float = BUDGET_WINDOW_SECONDS,
        floor: int = 0,
    ) -> None:
        """Start with no successes.

        :param share: retries allowed per success
        :param window: seconds that a success or a retry counts for
        :param floor: retries allowed in a window without any success
        """
        self._clock = clock
        self._share = share
        self._floor = floor
        self._successes: dict[typing.Hashable, _Window] = (
            collections.defaultdict(lambda: _Window(window))
        )
        self._retries: dict[typing.Hashable, _Window] = (
            collections.defaultdict(lambda: _Window(window))
        )

    def record_success(self, rank: typing.Hashable) -> None:
        """Count a request that succeeded."""
        self._successes[rank].add(self._clock.now())

    def withdraw(self, rank: typing.Hashable) -> bool:
        """Take one retry out of the budget.

        :returns: whether the retry may be made
        """
        now = self._clock.now()
        earned = self._share * self._successes[rank].count(now)
        if self._retries[rank].count(now) + 1 > max(earned, self._floor):
            return False
        self._retries[rank].add(now)
        return True


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """A failed attempt that may be followed by another.

    :ivar number: attempts made so far, from 1
    :ivar rank: rank whose budget pays for the retry
    :ivar repeatable: running the request twice does no harm
    :ivar deadline: monotonic seconds at which the caller gives up
    :ivar charged: the retry may add to a failing endpoint's load; not so
        when only the connection to a daemon was lost
    """

    number: int
    rank: typing.Hashable
    repeatable: bool
    deadline: float
    charged: bool = True


def is_safe(error: errors.FescuestileError, repeatable: bool) -> bool:
    """Tell whether a retry cannot run a request twice to any harm."""
    if isinstance(error, errors.NotRun):
        return True
    unclear = (errors.UnknownOutcome, errors.ConnectionLost)
    return repeatable and isinstance(error, unclear)


class RetryPolicy:
    """Decides on retries within safety, deadline and budget."""

    def __init__(
        self,
        clock: clocks.Clock,
        source: random.Random,
        budget: RetryBudget,
        backoff: Backoff | None = None,
    ) -> None:
        """Take the sources of time, randomness and budget."""
        self._clock = clock
        self._random = source
        self._budget = budget
        self._backoff = backoff or Backoff()

    def record_success(self, rank: typing.Hashable) -> None:
        """Count a request that succeeded."""
        self._budget.record_success(rank)

    def plan(
        self, error: errors.FescuestileError, attempt: Attempt
    ) -> float | None:
        """Return the seconds until the next attempt, None for no retry.

        A refusal that names its own delay is paced by whoever refused
        and reached no endpoint, so it costs no budget; its delay grows
        by the backoff all the same.
        """
        if not is_safe(error, attempt.repeatable):
            return None
        delay = self._backoff.draw(attempt.number, self._random)
        paced = isinstance(error, errors.NotRun) and error.retry_after
        if paced:
            delay += error.retry_after or 0.0
        if self._clock.now() + delay >= attempt.deadline:
            return None
        free = paced or not attempt.charged
        if not free and not self._budget.withdraw(attempt.rank):
            return None
        return delay
