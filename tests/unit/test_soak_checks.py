"""Each check of the soak finds a violation of its guarantee."""

import pytest

from soak import faults
from soak import history as histories


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


def test_the_same_seed_gives_the_same_faults():
    assert faults.draw_faults(7, 15.0) == faults.draw_faults(7, 15.0)
    kinds = {
        f.kind for seed in range(60) for f in faults.draw_faults(seed, 15)
    }
    assert kinds == set(faults.KINDS)
