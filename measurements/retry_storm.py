"""Load that retries add to an endpoint that fails."""

import abc
import dataclasses
import heapq
import itertools
import random

from fescuestile import clock
from fescuestile import errors
from fescuestile import retries
from measurements import frame

REQUESTS_PER_SECOND = 300.0
HEALTHY_SECONDS = 30.0
FAILING_SECONDS = 30.0
DEADLINE_SECONDS = 5.0
FAILING_SHARES = (0.1, 0.5, 0.9, 1.0)
MAX_ATTEMPTS = 4
BUCKET_SIZE = 100.0
RANK = 0
TARGET_ADDED = 0.1
REFUSED = errors.NotRun("the endpoint refused", step="execute")


@dataclasses.dataclass(frozen=True, slots=True)
class StormRow:
    """One policy while a share of the attempts fails.

    :ivar failing: share of the attempts that fail
    :ivar added: retries over first attempts, over the whole failure
    :ivar added_worst: the same in the worst second
    :ivar answered: share of the requests that succeeded in the end
    """

    policy: str
    failing: float
    added: float
    added_worst: float
    answered: float


class Policy(abc.ABC):
    """Decides whether a failed attempt is made again."""

    name: str

    @abc.abstractmethod
    def plan(self, attempt: retries.Attempt) -> float | None:
        """Return the delay before the next attempt, None for no more."""

    @abc.abstractmethod
    def note_success(self) -> None:
        """Take in a success."""


class FixedAttempts(Policy):
    """Baseline: up to four attempts with the same backoff."""

    name = "four attempts"

    def __init__(self, time: clock.Clock, source: random.Random) -> None:
        """Use a source of randomness."""
        self._random = source
        self._backoff = retries.Backoff()

    def plan(self, attempt: retries.Attempt) -> float | None:
        """Return the delay until the last attempt was made."""
        if attempt.number >= MAX_ATTEMPTS:
            return None
        return self._backoff.draw(attempt.number, self._random)

    def note_success(self) -> None:
        """Take no notice."""


class TokenBucket(FixedAttempts):
    """Baseline: a bucket that each success fills by a tenth of a retry."""

    name = "token bucket"

    def __init__(self, time: clock.Clock, source: random.Random) -> None:
        """Start with a full bucket."""
        super().__init__(time, source)
        self._tokens = BUCKET_SIZE

    def plan(self, attempt: retries.Attempt) -> float | None:
        """Return the delay while a token is left."""
        if self._tokens < 1:
            return None
        self._tokens -= 1
        return self._backoff.draw(attempt.number, self._random)

    def note_success(self) -> None:
        """Add a part of a token."""
        share = retries.BUDGET_SHARE
        self._tokens = min(BUCKET_SIZE, self._tokens + share)


class Ours(Policy):
    """The library's policy and budget."""

    name = "ours"

    def __init__(self, time: clock.Clock, source: random.Random) -> None:
        """Use the library's defaults."""
        budget = retries.RetryBudget(time)
        self._policy = retries.RetryPolicy(time, source, budget)

    def plan(self, attempt: retries.Attempt) -> float | None:
        """Return what the library plans."""
        return self._policy.next_delay(REFUSED, attempt)

    def note_success(self) -> None:
        """Count it in the budget."""
        self._policy.record_success(RANK)


class RetryStorm(frame.Measurement):
    """Retries over first attempts while an endpoint fails."""

    name = "retry_storm"
    description = "Load that retries add to a failing endpoint."

    def run(self, seed: int) -> frame.Report:
        """Fail a share of the attempts, after a time without failures."""
        rows = tuple(
            _fail(policy, share, seed)
            for share in FAILING_SHARES
            for policy in (FixedAttempts, TokenBucket, Ours)
        )
        ours = [row for row in rows if row.policy == Ours.name]
        added = max(row.added for row in ours)
        worst = max(row.added_worst for row in ours)
        return frame.Report(
            self.name,
            seed,
            rows,
            (
                frame.require_at_most(
                    "retries over first attempts, ours", added, TARGET_ADDED
                ),
                frame.require_at_most(
                    "the same in the worst second", worst, TARGET_ADDED
                ),
            ),
        )


def create_measurements() -> tuple[frame.Measurement, ...]:
    """Return the measurements of this module."""
    return (RetryStorm(),)


def _fail(
    policy_type: type[FixedAttempts] | type[Ours], share: float, seed: int
) -> StormRow:
    source = random.Random(seed)
    time = clock.ManualClock()
    policy = policy_type(time, source)
    end = HEALTHY_SECONDS + FAILING_SECONDS
    numbers = itertools.count()
    events = [
        (arrival, next(numbers), 1, arrival + DEADLINE_SECONDS)
        for arrival in _draw_arrivals(end, source)
    ]
    first_by_second = [0] * int(end + DEADLINE_SECONDS + 1)
    again_by_second = [0] * len(first_by_second)
    answered = 0
    heapq.heapify(events)
    while events:
        at, _, number, deadline = heapq.heappop(events)
        time.advance(max(0.0, at - time.now()))
        failing = at >= HEALTHY_SECONDS
        if failing:
            counted = first_by_second if number == 1 else again_by_second
            counted[int(at)] += 1
        if not failing or source.random() >= share:
            policy.note_success()
            answered += failing
            continue
        attempt = retries.Attempt(number, RANK, False, deadline)
        delay = policy.plan(attempt)
        if delay is not None:
            again = (at + delay, next(numbers), number + 1, deadline)
            heapq.heappush(events, again)
    return StormRow(
        policy=policy.name,
        failing=share,
        added=sum(again_by_second) / sum(first_by_second),
        added_worst=max(
            again / first
            for again, first in zip(
                again_by_second, first_by_second, strict=True
            )
            if first
        ),
        answered=answered / sum(first_by_second),
    )


def _draw_arrivals(end: float, source: random.Random) -> list[float]:
    arrivals = []
    at = source.expovariate(REQUESTS_PER_SECOND)
    while at < end:
        arrivals.append(at)
        at += source.expovariate(REQUESTS_PER_SECOND)
    return arrivals
