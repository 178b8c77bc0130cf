"""Records that are missing: of a new store, or of an older copy."""

import pytest

from fescuestile_daemon.relay import record_eras
from tests.unit import test_record_eras as record_worlds

# Well before a request of a former era can have no effect any more.
EARLY_SECONDS = record_eras.FORGOTTEN_SECONDS - 4.0


@pytest.fixture
def world(monkeypatch):
    return record_worlds.World(monkeypatch)


async def test_a_record_that_goes_missing_in_a_drill_is_not_new(world):
    """Guards against LOST: this daemon knows that there was one."""
    world.put("p", "r1")
    group, records = await world.start_loaded("p", "r1")
    world.store.restore({})
    await world.run(records, EARLY_SECONDS)
    assert world.store.find("g").members
    assert not await records.load(group)
