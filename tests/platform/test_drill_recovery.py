"""Service around a drill of the store beside one other failure."""

import asyncio

import pytest

from tests.platform import drill_builders as builders
from tests.platform.standins import drills
from tests.platform.standins import writers as wire_writers

# As in ``test_drill_service``.
WRITE_GAP_SECONDS = 1.0
WATCHED_SECONDS = 18.0


@pytest.fixture
def world_size():
    return builders.ONE_GROUP


@pytest.fixture
def proxied():
    return True


@pytest.fixture
def writers(world, group):
    return wire_writers.Writers(world, group)


async def take_served_copy(world, writers):
    """Return a copy of the store, taken a second after writes are served."""
    writers.start(0, 1)
    await writers.wait_served(3.0)
    await asyncio.sleep(1.0)
    return drills.take_copy(world.store)


@pytest.mark.parametrize("has_drill", [False, True])
async def test_a_silent_replica_and_a_drill_stop_writes_no_longer(
    world, group, writers, has_drill
):
    """One replica confirms writes; the other was silent before the drill."""
    loop = asyncio.get_running_loop()
    async with builders.running(writers):
        older = await take_served_copy(world, writers)
        silent = next(
            each
            for each in group.endpoints.values()
            if each is not group.primary
        )
        silent.faults.dark = silent.faults.deaf = True
        await asyncio.sleep(3.0)
        began_at = loop.time()
        if has_drill:
            await drills.restore(world.store, older, builders.make_drill())
        back_at = loop.time()
        await asyncio.sleep(WATCHED_SECONDS)
        until = loop.time()
    written = list(writers.acknowledged.values())
    gap = builders.find_longest_gap(written, began_at, until)
    assert world.store.promotion_requests == []
    assert gap < back_at - began_at + WRITE_GAP_SECONDS


@pytest.mark.parametrize("has_drill", [False, True])
async def test_a_takeover_cut_short_by_a_drill_leaves_no_fences_for_long(
    world, group, writers, has_drill
):
    """The primary is back when its takeover has stopped the replicas."""
    loop = asyncio.get_running_loop()
    async with builders.running(writers):
        older = await take_served_copy(world, writers)
        primary = group.primary
        primary.faults.dark = True
        async with asyncio.timeout(8.0):
            while not any(e.pause_term for e in group.endpoints.values()):
                await asyncio.sleep(0.001)
        primary.faults.dark = False
        began_at = loop.time()
        if has_drill:
            await drills.restore(world.store, older, builders.make_drill())
        await asyncio.sleep(WATCHED_SECONDS)
        until = loop.time()
    written = list(writers.acknowledged.values())
    gap = builders.find_longest_gap(written, began_at, until)
    # A lease of before the drill has to end.
    assert gap < 6.0
