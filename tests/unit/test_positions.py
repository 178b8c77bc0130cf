from hypothesis import given
from hypothesis import strategies

from fescuestile import positions

HISTORY = positions.TermHistory(
    starts=(
        positions.TermStart(1, 1),
        positions.TermStart(3, 6),
    ),
    last=positions.Position(3, 9),
)


def test_clamp_bounds_an_unconfirmed_tail_by_the_end_of_its_term():
    lost = positions.Position(1, 8)
    assert HISTORY.clamp(lost) == positions.Position(1, 5)


def test_a_later_term_is_not_covered():
    assert not HISTORY.covers(positions.Position(4, 1))


def test_the_longer_log_of_an_older_term_is_behind():
    assert positions.Position(1, 99) < positions.Position(2, 1)


@given(strategies.integers(1, 9))
def test_own_entries_are_covered(index):
    position = positions.Position(HISTORY.find_term(index), index)
    assert HISTORY.covers(position)
