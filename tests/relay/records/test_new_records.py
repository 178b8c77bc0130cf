"""Records that are missing: of a new store, or of an older copy."""

import pytest

from fescuestile_daemon.relay.records import record_eras
from tests import member_stores
from tests import record_worlds

# Well before a request of a former era can have no effect any more.
EARLY_SECONDS = record_eras.FORGOTTEN_SECONDS - 4.0


@pytest.fixture
def world(monkeypatch):
    return record_worlds.World(monkeypatch)


async def test_the_first_record_of_a_group_is_settled(world):
    """Members of which no daemon knows anything yet may join and fail."""
    group, records = world.start_daemon("p", "r1")
    await world.run(records, 12.0)
    assert await records.load(group)
    assert world.store.find("g").settled_era == 3


async def test_a_missing_record_is_not_settled_at_once(world):
    """Guards against LOST: others have not written it again yet."""
    group, records = world.start_daemon("p", "r1")
    world.now += 10.0
    assert not await records.load(group)
    await world.run(records, 0.6)
    assert not await records.load(group)


async def test_a_record_that_is_written_again_settles_nothing(world):
    """Guards against LOST: its promotion may be forgotten by all."""
    group, records = world.start_daemon("p", "r1")
    await world.run(records, 1.0)
    world.store.put("g", member_stores.make_members("p", "r1"))
    await world.run(records, EARLY_SECONDS)
    assert not await records.load(group)


async def test_a_record_that_goes_missing_in_a_drill_is_not_new(world):
    """Guards against LOST: this daemon knows that there was one."""
    world.put("p", "r1")
    group, records = await world.start_loaded("p", "r1")
    world.store.restore({})
    await world.run(records, EARLY_SECONDS)
    assert world.store.find("g").members
    assert not await records.load(group)


async def test_a_record_of_a_later_era_is_not_new(world):
    """Guards against LOST: another daemon may have written the first one."""
    group, records = world.start_daemon("p", "r1")
    await world.run(records, 1.0)
    world.store.restore({})
    await world.run(records, EARLY_SECONDS)
    assert not await records.load(group)


async def test_a_malformed_record_is_not_new(world):
    """Guards against LOST: it may have held a promotion."""
    world.store.put("g", None)
    group, records = world.start_daemon("p", "r1")
    await world.run(records, EARLY_SECONDS)
    assert not await records.load(group)
