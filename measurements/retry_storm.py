"""Additional load that retries put on a failing endpoint."""

import abc
import dataclasses
import heapq
import itertools
import random

from fescuestile import clock
from fescuestile import errors
from fescuestile import retries
from measurements import base

REQUESTS_PER_SECOND = 300.0
HEALTHY_SECONDS = 30.0
FAILING_SECONDS = 30.0
DEADLINE_SECONDS = 5.0
FAILING_SHARES = (0.1, 0.5, 0.9, 1.0)
MAX_ATTEMPTS = 4
BUCKET_TOKENS = 100.0
RANK_LEVEL = 0
TARGET_ADDED = 0.1
REFUSED = errors.NotRun("endpoint refused the statement", step="execute")


@dataclasses.dataclass(frozen=True, slots=True)
class StormRow:
    """One policy while a share of the attempts fails.

    :ivar failing: share of the attempts that fail
    :ivar added: ratio of retries to first attempts during the failure
    :ivar added_worst: the highest such ratio in any one second
    :ivar answered: share of the requests that eventually succeeded
    """

    policy: str
    failing: float
    added: float
    added_worst: float
    answered: float


class Policy(abc.ABC):
    """Policy that decides whether a failed attempt is retried."""

    name: str

    @abc.abstractmethod
    def next_delay(self, attempt: retries.Attempt) -> float | None:
        """Return the seconds before the next attempt, or None to stop."""

    @abc.abstractmethod
    def record_success(self) -> None:
        """Record that an attempt succeeded."""


class FixedAttempts(Policy):
    """Baseline: up to ``MAX_ATTEMPTS`` attempts with the library's backoff."""

    name = "four attempts"

    def __init__(self, time_source: clock.Clock, rng: random.Random) -> None:
        """Initialize with a random generator; the clock is not used."""
        self._rng = rng
        self._backoff = retries.Backoff()

    def next_delay(self, attempt: retries.Attempt) -> float | None:
        """Return the delay while attempts are left."""
        if attempt.number >= MAX_ATTEMPTS:
            return None
        return self._backoff.draw(attempt.number, self._rng)

    def record_success(self) -> None:
        """Do nothing."""


class TokenBucket(FixedAttempts):
    """Baseline: retries cost a token, successes add a part of one."""

    name = "token bucket"

    def __init__(self, time_source: clock.Clock, rng: random.Random) -> None:
        """Initialize with a full bucket."""
        super().__init__(time_source, rng)
        self._tokens = BUCKET_TOKENS

    def next_delay(self, attempt: retries.Attempt) -> float | None:
        """Return the delay while a token is left."""
        if self._tokens < 1:
            return None
        self._tokens -= 1
        return self._backoff.draw(attempt.number, self._rng)

    def record_success(self) -> None:
        """Add ``BUDGET_SHARE`` of a token, up to the bucket size."""
        share = retries.BUDGET_SHARE
        self._tokens = min(BUCKET_TOKENS, self._tokens + share)


class LibraryPolicy(Policy):
    """The library's retry policy and budget."""

    name = "ours"

    def __init__(self, time_source: clock.Clock, rng: random.Random) -> None:
        """Initialize with the library's defaults."""
        budget = retries.RetryBudget(time_source)
        self._policy = retries.RetryPolicy(time_source, rng, budget)

    def next_delay(self, attempt: retries.Attempt) -> float | None:
        """Return the delay that the library decides on."""
        return self._policy.next_delay(REFUSED, attempt)

    def record_success(self) -> None:
        """Record the success in the retry budget."""
        self._policy.record_success(RANK_LEVEL)


class RetryStorm(base.Measurement):
    """Ratio of retries to first attempts while an endpoint fails."""

    name = "retry_storm"
    description = "Additional load that retries put on a failing endpoint."

    def run(self, seed: int) -> base.Report:
        """Fail a share of the attempts after a healthy period."""
        rows = tuple(
            _simulate(policy, share, seed)
            for share in FAILING_SHARES
            for policy in (FixedAttempts, TokenBucket, LibraryPolicy)
        )
        library_rows = [
            row for row in rows if row.policy == LibraryPolicy.name
        ]
        added = max(row.added for row in library_rows)
        worst = max(row.added_worst for row in library_rows)
        return base.Report(
            self.name,
            seed,
            rows,
            (
                base.require_at_most(
                    "retries over first attempts, ours", added, TARGET_ADDED
                ),
                base.require_at_most(
                    "the same in the worst second", worst, TARGET_ADDED
                ),
            ),
        )


def create_measurements() -> tuple[base.Measurement, ...]:
    """Return the measurements of this module."""
    return (RetryStorm(),)


def _simulate(
    policy_type: type[FixedAttempts] | type[LibraryPolicy],
    share: float,
    seed: int,
) -> StormRow:
    rng = random.Random(seed)
    time_source = clock.ManualClock()
    policy = policy_type(time_source, rng)
    end = HEALTHY_SECONDS + FAILING_SECONDS
    sequence = itertools.count()
    events = [
        (arrival, next(sequence), 1, arrival + DEADLINE_SECONDS)
        for arrival in _draw_arrivals(end, rng)
    ]
    first_attempts_by_second = [0] * int(end + DEADLINE_SECONDS + 1)
    retries_by_second = [0] * len(first_attempts_by_second)
    answered = 0
    heapq.heapify(events)
    while events:
        at, _, number, deadline = heapq.heappop(events)
        time_source.advance(max(0.0, at - time_source.now()))
        failing = at >= HEALTHY_SECONDS
        if failing:
            counted = (
                first_attempts_by_second if number == 1 else retries_by_second
            )
            counted[int(at)] += 1
        if not failing or rng.random() >= share:
            policy.record_success()
            answered += failing
            continue
        attempt = retries.Attempt(number, RANK_LEVEL, False, deadline)
        delay = policy.next_delay(attempt)
        if delay is not None:
            retry = (at + delay, next(sequence), number + 1, deadline)
            heapq.heappush(events, retry)
    return StormRow(
        policy=policy.name,
        failing=share,
        added=sum(retries_by_second) / sum(first_attempts_by_second),
        added_worst=max(
            retry / first
            for retry, first in zip(
                retries_by_second, first_attempts_by_second, strict=True
            )
            if first
        ),
        answered=answered / sum(first_attempts_by_second),
    )


def _draw_arrivals(end: float, rng: random.Random) -> list[float]:
    arrivals = []
    at = rng.expovariate(REQUESTS_PER_SECOND)
    while at < end:
        arrivals.append(at)
        at += rng.expovariate(REQUESTS_PER_SECOND)
    return arrivals
