"""Each check of the soak finds a violation of its guarantee."""

import asyncio

import pytest

from soak import faults
from soak import history as histories
from soak import keys
from soak import leaving


@pytest.fixture
def history():
    recorded = histories.History()
    recorded.record_attempt("k", 1)
    recorded.record_outcome("k", 1, "a1", "", at=10.0)
    recorded.record_attempt("k", 2)
    recorded.record_outcome("k", 2, "a2", "", at=20.0)
    return recorded


def test_a_correct_history_has_no_violations(history):
    history.check_read("k", "2", 20.1, 0.0, "who")
    history.check_read("k", "1", 21.0, 1.5, "who")
    history.check_logs({"g": ["a1", "a2", "other"]})
    history.check_promotions([("g", "e", "d1", 1), ("g", "e", "d2", 2)])
    assert history.violations == []


@pytest.mark.parametrize(
    ("row", "began_at", "staleness"),
    [("1", 20.1, 0.0), ("1", 22.0, 1.5), ("none", 30.0, 1.5), ("3", 30.0, 0)],
)
def test_stale_or_invented_reads_are_found(history, row, began_at, staleness):
    history.check_read("k", row, began_at, staleness, "who")
    assert len(history.violations) == 1


def test_a_lost_write_is_found(history):
    history.check_logs({"g": ["a1"]})
    assert history.violations == ["acknowledged write a2 of k lost"]


def test_a_write_that_took_effect_twice_is_found(history):
    history.check_logs({"g": ["a1", "a2", "a1"]})
    assert history.violations == ["write a1 took effect 2 times"]


def test_a_refused_write_that_was_committed_is_found(history):
    history.record_outcome("k", 3, "a3", "BUSY", at=30.0)
    history.check_logs({"g": ["a1", "a2", "a3"]})
    assert len(history.violations) == 1
    assert "refused (BUSY)" in history.violations[0]


def test_a_write_in_doubt_may_or_may_not_be_committed(history):
    history.record_outcome("k", 3, "a3", "INDOUBT", at=30.0)
    history.check_logs({"g": ["a1", "a2", "a3"]})
    history.check_logs({"g": ["a1", "a2"]})
    assert history.violations == []


def test_fencing_tokens_that_decrease_or_have_two_holders_are_found(history):
    history.check_promotions([("g", "e", "d1", 2), ("g", "e", "d2", 1)])
    history.check_promotions([("g", "e", "d1", 2), ("g", "e", "d2", 2)])
    assert len(history.violations) == 2


async def test_work_that_began_too_late_at_a_leaving_endpoint_is_found():
    now = asyncio.get_running_loop().time()
    marked = leaving.Interval(now - 10.0, now - 1.0)
    disturbances = leaving.Disturbances()
    on_time = (now - 9.0, "on time")
    late = (now - 10.0 + leaving.DRAIN_SECONDS + 0.1, "late")
    after = (now - 0.5, "stays again")
    begun = [(now - 11.0, "before"), on_time, late, after]
    found = leaving.list_late_work(begun, marked, disturbances)
    assert found == ["late"]


def test_a_store_fault_delays_when_a_mark_is_known():
    disturbances = leaving.Disturbances()
    disturbances.learning = [
        leaving.Interval(8.0, 10.5),
        leaving.Interval(10.9, 12.0),
        leaving.Interval(14.0, 20.0),
    ]
    assert disturbances.find_known_at(10.0) == 12.0
    begun = [(14.9, "in time"), (15.1, "late")]
    marked = leaving.Interval(10.0, 30.0)
    found = leaving.list_late_work(begun, marked, disturbances)
    assert found == ["late"]


def test_a_daemon_that_restarts_learns_of_a_mark_anew():
    disturbances = leaving.Disturbances()
    disturbances.restarts = [leaving.Interval(12.0, 14.0)]
    begun = [(13.5, "while it restarts"), (16.9, "in time"), (17.1, "late")]
    marked = leaving.Interval(10.0, 30.0)
    found = leaving.list_late_work(begun, marked, disturbances)
    assert found == ["late"]


async def test_a_disturbance_is_recorded():
    intervals: list[leaving.Interval] = []
    started_at = asyncio.get_running_loop().time()
    with leaving.record(intervals, seconds_after=1.0):
        await asyncio.sleep(0.01)
    assert intervals[0].start == pytest.approx(started_at, abs=0.1)
    assert intervals[0].end == pytest.approx(started_at + 1.01, abs=0.1)


def test_the_same_seed_gives_the_same_faults():
    assert faults.draw_faults(7, 15.0) == faults.draw_faults(7, 15.0)
    kinds = {
        f.kind for seed in range(60) for f in faults.draw_faults(seed, 15)
    }
    in_series = {kind for each in faults.SERIES for kind in each.kinds}
    apart = {*faults.KEY_CHANGES, faults.DRILL}
    assert kinds == {*faults.KINDS, *in_series, *apart}


@pytest.mark.parametrize(
    ("began_at", "tenant", "is_found"),
    [
        (9.0, "north", False),
        (9.0, "south", True),
        (11.0, "north", False),
        (11.0, "south", False),
        (13.0, "north", True),
        (23.0, "south", True),
    ],
)
def test_a_statement_under_a_wrong_tenant_is_found(began_at, tenant, is_found):
    used = keys.Keys()
    used.change("moves", 10.0)
    used.change("revoked", 20.0)
    used.record("a1", keys.Use(keys.SPARE, began_at, began_at + 0.1))
    found = used.check([("a1", tenant)], leaving.Disturbances())
    assert bool(found) == is_found


def test_a_refusal_of_a_key_in_force_is_found():
    used = keys.Keys()
    used.change("revoked", 10.0)
    used.record("", keys.Use(keys.SPARE, 9.0, 9.1, is_refused=True))
    used.record("", keys.Use(keys.SPARE, 10.5, 10.6, is_refused=True))
    used.record("", keys.Use("k-south", 10.5, 10.6, is_refused=True))
    assert len(used.check([], leaving.Disturbances())) == 2


def test_a_fault_delays_when_a_key_change_is_known():
    used = keys.Keys()
    used.change("moves", 10.0)
    used.record("a1", keys.Use(keys.SPARE, 13.0, 13.1))
    disturbances = leaving.Disturbances()
    disturbances.learning = [leaving.Interval(10.5, 12.0)]
    assert not used.check([("a1", "north")], disturbances)
