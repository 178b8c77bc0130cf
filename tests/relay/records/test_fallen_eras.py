"""A store whose era falls, for a moment or for good."""

import random
import time

import pytest
import structlog.testing

from fescuestile import clock
from fescuestile_daemon.relay.records import leases
from fescuestile_platform import eras
from tests import lease_stores

STEP_SECONDS = 0.5


class World:
    """Answers of a store, and what a daemon makes of them.

    :ivar now: monotonic seconds
    :ivar heard: changes that were heard, with the number before
    """

    def __init__(self):
        self.now = 100.0
        self.heard: list[tuple[int, int]] = []
        self.eras = eras.Eras()
        self.eras.add_listener(
            lambda before, era: self.heard.append((before, era))
        )

    def answer(self, named, sent_before=0.0, is_stale=False):
        """Record the answer to a call; return the number of its era.

        :param sent_before: seconds since the call was sent
        """
        self.now += 0.01
        headers = {} if named is None else {"store-era": str(named)}
        return self.eras.record(headers, self.now - sent_before, is_stale)

    def answer_steadily(self, named, seconds, **fields):
        """Record answers for some time; return the last one's number."""
        until = self.now + seconds
        number = None
        while self.now < until:
            self.now += STEP_SECONDS
            number = self.answer(named, **fields)
        return number


@pytest.fixture
def world(monkeypatch):
    made = World()
    monkeypatch.setattr(time, "monotonic", lambda: made.now)
    return made


def test_an_era_that_stays_lower_is_a_change(world):
    world.answer(3)
    with structlog.testing.capture_logs() as logs:
        number = world.answer_steadily(2, eras.FALL_SECONDS + 2.0)
    assert number is not None
    assert number > 3
    assert world.heard == [(3, number)]
    assert world.eras.named == 2
    assert len(logs) == 2
    assert (logs[1]["before"], logs[1]["era"]) == (3, 2)


def test_it_is_not_believed_at_once(world):
    """Guards against ONE and LOST: one answer may be wrong."""
    world.answer(3)
    assert world.answer_steadily(2, eras.FALL_SECONDS - 1.0) is None
    assert world.heard == []


def test_calls_sent_before_do_not_show_a_fall(world):
    """Guards against ONE and LOST: they may have been answered late."""
    world.answer(3)
    for _ in range(20):
        world.now += 1.0
        sent_before = world.now - 99.0
        assert world.answer(2, sent_before) is None
    assert world.answer(3) == 3
    assert world.heard == []


def test_stale_answers_do_not_show_a_fall(world):
    world.answer(3)
    assert world.answer_steadily(2, 20.0, is_stale=True) is None
    assert world.heard == []


@pytest.mark.parametrize("between", [3, 1])
def test_eras_that_alternate_do_not_show_a_fall(world, between):
    world.answer(3)
    for _ in range(10):
        world.answer_steadily(2, eras.FALL_SECONDS - 2.0)
        world.answer(between)
    assert world.eras.current == 3


def test_a_moment_with_a_lower_era_may_hide_a_copy(world):
    world.answer(3)
    for _ in range(3):
        assert world.answer(2) is None
        assert world.answer(3) == 3
    assert world.heard == [(3, 3)]


def test_answers_of_the_former_life_are_not_applied(world):
    """Guards against ONE: their era is a later one by its name."""
    world.answer(3)
    number = world.answer_steadily(2, eras.FALL_SECONDS + 2.0)
    assert world.answer(3, sent_before=10.0) is None
    assert world.answer(2) == number
    assert len(world.heard) == 1


def test_the_next_drill_is_one_change(world):
    world.answer(3)
    number = world.answer_steadily(2, eras.FALL_SECONDS + 2.0)
    assert world.answer(3) == number + 1
    assert world.heard[1:] == [(number, number + 1)]


def test_daemons_that_saw_the_same_falls_number_alike(world, monkeypatch):
    """One of them has missed the highest era."""
    other = World()
    world.answer(3)
    world.answer(4)
    other.answer(3)
    first = world.answer_steadily(2, eras.FALL_SECONDS + 2.0)
    monkeypatch.setattr(time, "monotonic", lambda: other.now)
    assert other.answer_steadily(2, eras.FALL_SECONDS + 2.0) == first


@pytest.mark.parametrize("seed", range(20))
def test_the_number_never_falls(world, seed):
    source = random.Random(seed)
    highest = 0
    for _ in range(40):
        named = source.choice((None, 1, 2, 5, 900, 5000, 2_000_000))
        seconds = source.choice((0.1, 2.0, eras.FALL_SECONDS + 2.0))
        number = world.answer_steadily(named, seconds)
        assert number is None or number >= highest
        highest = max(highest, number or 0)
        assert world.eras.current == highest
        if seconds > eras.FALL_SECONDS and named is not None:
            assert world.eras.named == named
    assert world.eras.changes == len(world.heard)


async def test_tokens_rise_in_the_next_life(world):
    """Guards against ONE: the copy has an older lease object."""
    manual = clock.ManualClock()
    store = lease_stores.MemoryStore()
    manager = leases.LeaseManager(store, "d1", manual)
    tokens = []
    for named in (3, 2, 1, 2):
        seconds = eras.FALL_SECONDS + 2.0
        store.era = world.answer_steadily(named, seconds)
        store.stored = leases.StoredRecord(leases.Record("d", 1, "x"), 1)
        manager.record_era(store.era)
        assert manager.lease is None
        await manager.observe()
        manual.advance(leases.WAIT_SECONDS + 0.1)
        lease = await manager.acquire()
        assert lease is not None
        tokens.append(lease.token)
    assert sorted(set(tokens)) == tokens
