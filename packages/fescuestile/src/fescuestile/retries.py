"""Retry policy: which failed requests are sent again, and after what delay."""

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

    :ivar base: upper bound of the first delay, in seconds
    :ivar limit: upper bound of all delays, in seconds
    """

    base: float = BACKOFF_BASE_SECONDS
    limit: float = BACKOFF_LIMIT_SECONDS

    def draw(self, attempt: int, source: random.Random) -> float:
        """Return a random delay before the next attempt, in seconds.

        :param attempt: number of attempts made so far, at least 1
        :param source: random source
        """
        doublings = min(attempt - 1, _MAX_DOUBLINGS)
        return source.uniform(0, min(self.limit, self.base * 2**doublings))


class _Window:
    """Sliding-window count of events, in buckets of equal length."""

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
    """Limits the retries of each rank to a share of its recent successes.

    When an endpoint fails, successes cease and the budget is used up within
    one window, so that retries do not amplify the overload.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        share: float = BUDGET_SHARE,
        window: float = BUDGET_WINDOW_SECONDS,
        min_retries: int = 0,
    ) -> None:
        """Initialize without successes.

        :param clock: time source
        :param share: retries allowed per success
        :param window: seconds for which a success or a retry is counted
        :param min_retries: retries allowed per window even without successes
        """
        self._clock = clock
        self._share = share
        self._min_retries = min_retries
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
        """Withdraw one retry from the budget.

        :returns: whether the budget allowed it
        """
        now = self._clock.now()
        earned = self._share * self._successes[rank].count(now)
        if self._retries[rank].count(now) + 1 > max(earned, self._min_retries):
            return False
        self._retries[rank].add(now)
        return True


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """A failed attempt that may be followed by another.

    :ivar number: number of attempts made so far, at least 1
    :ivar rank: rank whose budget the retry is charged to
    :ivar repeatable: whether the request may run twice without harm
    :ivar deadline: monotonic seconds after which no attempt is made
    :ivar charged: whether the retry counts against the budget, since it may
        add load to a failing endpoint; False when only the connection to a
        daemon was lost
    """

    number: int
    rank: typing.Hashable
    repeatable: bool
    deadline: float
    charged: bool = True


def is_safe_to_retry(error: errors.FescuestileError, repeatable: bool) -> bool:
    """Return whether a retry cannot do harm by running a request twice."""
    if isinstance(error, errors.NotRun):
        return True
    uncertain = (errors.UnknownOutcome, errors.ConnectionLost)
    return repeatable and isinstance(error, uncertain)


class RetryPolicy:
    """Allows retries that are safe, in time and within the budget."""

    def __init__(
        self,
        clock: clocks.Clock,
        source: random.Random,
        budget: RetryBudget,
        backoff: Backoff | None = None,
    ) -> None:
        """Initialize the policy.

        :param clock: time source
        :param source: random source of the backoff
        :param budget: budget that retries are charged to
        :param backoff: backoff, the default one if None
        """
        self._clock = clock
        self._random = source
        self._budget = budget
        self._backoff = backoff or Backoff()

    def record_success(self, rank: typing.Hashable) -> None:
        """Count a request that succeeded."""
        self._budget.record_success(rank)

    def next_delay(
        self, error: errors.FescuestileError, attempt: Attempt
    ) -> float | None:
        """Return the seconds until the next attempt, None for no retry.

        A refusal with ``retry_after`` is not charged to the budget: the
        process that refused sets the rate, and the request reached no
        endpoint. The backoff is added to its delay all the same.

        :param error: error of the failed attempt
        :param attempt: the failed attempt
        """
        if not is_safe_to_retry(error, attempt.repeatable):
            return None
        delay = self._backoff.draw(attempt.number, self._random)
        names_delay = isinstance(error, errors.NotRun) and error.retry_after
        if names_delay:
            delay += error.retry_after or 0.0
        if self._clock.now() + delay >= attempt.deadline:
            return None
        free = names_delay or not attempt.charged
        if not free and not self._budget.withdraw(attempt.rank):
            return None
        return delay
