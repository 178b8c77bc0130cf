import random

from hypothesis import given
from hypothesis import Phase
from hypothesis import settings
from hypothesis import strategies
import pytest

from fescuestile import clock
from fescuestile import errors
from fescuestile import retries
from tests import own_time

REFUSED = errors.NotRun("refused", step="admit")
DELAYED = errors.NotRun("refused", step="admit", retry_after=0.5)
UNCERTAIN = errors.UnknownOutcome("no answer", step="execute")
LOST = errors.ConnectionLost("lost", step="execute")
FAILED = errors.StatementFailed("syntax", step="execute")
# What an example may take; hypothesis limits it on the wall by default.
EXAMPLE_SECONDS = 0.2


def build_policy(successes=100):
    manual = clock.ManualClock()
    budget = retries.RetryBudget(manual)
    for _ in range(successes):
        budget.record_success(0)
    return retries.RetryPolicy(manual, random.Random(1), budget)


def build_attempt(repeatable=False, deadline=5.0, number=1):
    return retries.Attempt(number, 0, repeatable, deadline)


@pytest.mark.parametrize(
    ("error", "repeatable", "retried"),
    [
        (REFUSED, False, True),
        (DELAYED, False, True),
        (UNCERTAIN, False, False),
        (LOST, False, False),
        (UNCERTAIN, True, True),
        (LOST, True, True),
        (FAILED, True, False),
    ],
)
def test_only_safe_requests_are_retried(error, repeatable, retried):
    delay = build_policy().next_delay(error, build_attempt(repeatable))
    assert (delay is not None) == retried


def test_a_refusal_is_retried_no_sooner_than_it_asks():
    assert (
        build_policy(successes=0).next_delay(DELAYED, build_attempt()) >= 0.5
    )


def test_no_retry_past_the_deadline():
    assert (
        build_policy().next_delay(DELAYED, build_attempt(deadline=0.4)) is None
    )


@given(strategies.integers(1, 5000), strategies.randoms())
def test_a_delay_stays_within_the_doubled_base_and_the_limit(number, source):
    delay = retries.Backoff(0.02, 1.0).draw(number, source)
    assert 0 <= delay <= min(1.0, 0.02 * 2 ** min(number, 30))


def run_storm(failing, seed):
    """Return how many requests were sent and how many were retried."""
    source = random.Random(seed)
    manual = clock.ManualClock()
    budget = retries.RetryBudget(manual)
    sent = retried = 0
    for step in range(6000):
        manual.advance(0.01)
        failing_now = failing if step > 2000 else 0.0
        again = True
        sent += 1
        while source.random() < failing_now and again:
            again = budget.withdraw(0)
            retried += again
        if source.random() >= failing_now:
            budget.record_success(0)
    return sent, retried


@settings(
    derandomize=True,
    max_examples=30,
    deadline=None,
    # To shorten an example that is too slow takes minutes.
    phases=(Phase.explicit, Phase.generate),
)
@given(strategies.floats(0, 1), strategies.integers(0, 1000))
def test_a_retry_storm_adds_at_most_a_tenth_of_the_load(failing, seed):
    with own_time.limit(EXAMPLE_SECONDS):
        sent, retried = run_storm(failing, seed)
    assert retried <= 0.1 * sent


def test_ranks_have_budgets_of_their_own():
    budget = retries.RetryBudget(clock.ManualClock())
    for _ in range(10):
        budget.record_success("billing")
    assert not budget.withdraw("fault reports")
    assert budget.withdraw("billing")
    assert not budget.withdraw("billing")


def test_the_minimum_allows_few_retries_without_a_success():
    manual = clock.ManualClock()
    budget = retries.RetryBudget(manual, min_retries=1)
    assert budget.withdraw(0)
    assert not budget.withdraw(0)
    manual.advance(10.1)
    assert budget.withdraw(0)
