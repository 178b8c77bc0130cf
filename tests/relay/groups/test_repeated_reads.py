"""A driver reads a record again before it requests a promotion."""

import pytest

from fescuestile import errors
from tests import record_worlds


@pytest.fixture
def world(monkeypatch):
    made = record_worlds.World(monkeypatch)
    made.put("p", "r1", "r2")
    return made


@pytest.mark.parametrize(
    ("failures", "seconds", "calls"),
    [(1, 0.1, 2), (2, 0.1, 2), (1, 1.0, 1)],
)
async def test_a_driver_asks_again_when_the_store_fails_quickly(
    world, monkeypatch, failures, seconds, calls
):
    """A call that is silent may cost the lease, and is not repeated."""
    _, records = await world.start_loaded("p", "r1", "r2")
    assert await records.record_request("g", "r1")
    read = world.store.read
    results: list[bool] = []

    async def read_later(group):
        results.append(len(results) >= failures)
        if not results[-1]:
            world.now += seconds
            raise errors.PlatformUnavailable("no answer", step="read")
        return await read(group)

    monkeypatch.setattr(world.store, "read", read_later)
    assert await records.is_current("g") is results[-1]
    assert len(results) == calls


async def test_a_forgotten_request_is_written_again_at_once(world):
    """Guards against LOST: the next driver lifts the fences."""
    _, records = await world.start_loaded("p", "r1", "r2")
    assert await records.record_request("g", "r1")
    pending = world.store.find("g").pending
    world.go_back("p", "r1", "r2")
    assert not await records.is_current("g")
    assert world.store.find("g").pending == pending
