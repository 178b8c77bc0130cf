"""Positions that reads must see to meet their staleness bounds."""

from fescuestile import freshness
from fescuestile import positions

Position = positions.Position


def make_log(*samples):
    log = freshness.FreshnessLog()
    for asked_at, term, index in samples:
        log.add(freshness.Sample(asked_at, Position(term, index)))
    return log


def test_the_oldest_position_within_the_bound_is_asked_for():
    log = make_log((1.0, 1, 10), (2.0, 1, 20), (3.0, 1, 30))
    assert log.find_minimum(3.2, 1.5) == Position(1, 20)
    assert log.find_minimum(3.2, 0.1) is None
    assert log.find_minimum(2.5, 1.5) == Position(1, 10)


def test_a_position_asked_for_after_the_read_arrived_will_do():
    log = make_log((5.0, 1, 10))
    assert log.find_minimum(4.9, 0.0) == Position(1, 10)
    assert log.find_minimum(5.1, 0.0) is None


def test_positions_of_an_ended_term_are_dropped():
    log = make_log((1.0, 1, 99), (1.2, 2, 50))
    assert log.find_minimum(1.2, 1.5) == Position(2, 50)


def test_samples_close_together_and_old_ones_are_not_kept():
    log = make_log(*((n * 0.01, 1, n) for n in range(100)))
    assert len(log._samples) <= 21
    log.add(freshness.Sample(100.0, Position(1, 200)))
    assert len(log._samples) == 1


def test_an_empty_log_has_no_position():
    assert freshness.FreshnessLog().find_minimum(1.0, 9.0) is None
