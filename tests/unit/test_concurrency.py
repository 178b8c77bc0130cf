"""Limits of one endpoint's concurrency under simulated loads."""

import pytest

from fescuestile import concurrency
from measurements import concurrency_limits
from measurements import endpoint_model

SEED = 21
Way = concurrency.Way
LOADS = {load.name: load for load in endpoint_model.LOADS}
# Least of its goodput under the declared slots that each load may keep. Two
# of its loads slow down without queueing, where any lower limit only loses.
LEAST_KEPT = {
    "calm": 0.99,
    "calm, busy": 0.99,
    "2 of 4 slots": 1.25,
    "2 of 4 slots, full": 1.25,
    "8 times slow for 6 s": 0.97,
    "slow for a zone": 0.95,
    "fails 0.4": 0.99,
    "hangs for 3 s": 0.98,
    "flaps": 0.85,
    "slow primary": 0.99,
    "cold": 0.99,
}


def run(load, way=Way.QUEUEING):
    return concurrency_limits.run_load(LOADS[load], way, SEED)


def observe(limit, seconds, count, ok=True):
    """Return the limits after statements that fill the limit."""
    return [
        limit.observe("kind", seconds, limit.limit, ok) for _ in range(count)
    ]


@pytest.mark.parametrize("load", LOADS)
def test_goodput_is_kept_under_each_load(load):
    """Guards against a limit that costs more than it gains."""
    declared = run(load, Way.DECLARED)
    assert run(load).all >= LEAST_KEPT[load] * declared.all


@pytest.mark.parametrize("load", ["2 of 4 slots", "2 of 4 slots, full"])
def test_the_limit_of_an_endpoint_that_takes_2_of_4_is_near_2(load):
    """Guards against urgent work that waits in the endpoint."""
    row = run(load)
    assert 1.5 <= row.last <= 2.6
    assert row.urgent >= 0.93


@pytest.mark.parametrize("load", ["8 times slow for 6 s", "hangs for 3 s"])
def test_the_limit_is_as_declared_after_a_fault(load):
    """Guards against an endpoint that stays limited once it recovered."""
    assert run(load).last >= 3.5


@pytest.mark.parametrize("way", Way)
def test_one_slow_statement_lowers_no_limit(way):
    """Guards against a limit that follows one outlier."""
    usual = concurrency.create_limit(way, 4)
    limit = concurrency.create_limit(way, 4)
    for each, seconds in ((usual, 0.01), (limit, 2.0)):
        observe(each, 0.01, 50)
        observe(each, seconds, 1)
    assert observe(limit, 0.01, 50) == observe(usual, 0.01, 50)


@pytest.mark.parametrize("way", [Way.GRADIENT, Way.LITTLE, Way.QUEUEING])
def test_queueing_lowers_the_limit_within_two_rounds(way):
    """Guards against a limit that falls too late; and below one."""
    limit = concurrency.create_limit(way, 4)
    observe(limit, 0.01, 50)
    assert min(observe(limit, 0.04, 16)) < 4
    assert min(observe(limit, 0.5, 500)) >= 1


@pytest.mark.parametrize("way", Way)
def test_quick_failures_raise_no_limit(way):
    """Guards against a failing endpoint that attracts work."""
    limit = concurrency.create_limit(way, 4)
    observe(limit, 0.01, 50)
    if not limit.record_congestion():
        return
    limit.record_congestion()
    assert set(observe(limit, 0.001, 200, ok=False)) == {2}
    assert max(observe(limit, 0.01, 200)) == 4


def test_statements_without_an_answer_lower_the_limit():
    """Guards against failures that hide that an endpoint hangs."""
    limit = concurrency.create_limit(Way.QUEUEING, 4)
    observe(limit, 0.01, 50)
    assert min(observe(limit, 0.1, 16, ok=False)) < 4


def test_congestion_lowers_the_limit_to_one_and_no_further():
    """Guards against a daemon that neither lowers its limit nor pauses."""
    limit = concurrency.create_limit(Way.QUEUEING, 3)
    assert [limit.record_congestion() for _ in range(3)] == [True, True, False]
    assert limit.limit == 1
