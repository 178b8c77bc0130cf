"""What a drill of the store costs callers and failovers."""

import asyncio

import pytest

from tests.platform import drill_builders as builders
from tests.platform.standins import drills
from tests.platform.standins import readers as wire_readers
from tests.platform.standins import writers as wire_writers

AWAY_SECONDS = 1.0
# What a drill may cost writes beside the outage.
WRITE_GAP_SECONDS = 1.0
ROUTES = ("primary", "bounded_staleness", "read_your_writes")
# Most takeovers differ by less.
TOLERANCE_SECONDS = 1.0
PROMOTED_SECONDS = 12.0
# A lease of before the drill has ended.
CALM_SECONDS = 6.0


@pytest.fixture
def proxied():
    return True


def make_older(world):
    """Return a copy, after which the endpoints have written again."""
    older = drills.take_copy(world.store)
    for group in world.groups.values():
        for endpoint in group.endpoints.values():
            world.store.register(endpoint, seq=2)
    return older


@pytest.mark.parametrize("times", [1, 2])
@pytest.mark.parametrize("way", drills.Way)
async def test_a_drill_alone_costs_little_service(world, way, times):
    """Guards against writes and reads that stop longer than the store.

    In two drills in a row writes may stop until the second is over.
    """
    writers = wire_writers.Writers(world, world.groups["g0"])
    readers = wire_readers.Readers(world, "g0")
    writers.start(0, 1)
    for route_type in ROUTES:
        readers.start(route_type, 0, 1)
    drill = builders.make_drill(way, away_seconds=AWAY_SECONDS)
    loop = asyncio.get_running_loop()
    async with builders.running(writers, readers):
        await writers.wait_served(3.0)
        older = make_older(world)
        await asyncio.sleep(1.0)
        began_at = loop.time()
        for _ in range(times):
            await drills.restore(world.store, older, drill)
        back_at = loop.time()
        await asyncio.sleep(4.0)
        until = loop.time()
    written = list(writers.acknowledged.values())
    gap = builders.find_longest_gap(written, began_at, until)
    assert gap < back_at - began_at + WRITE_GAP_SECONDS
    builders.check_served(readers, began_at, until)
    assert world.store.promotion_requests == []
    assert writers.list_lost() == []


async def measure_failover(group):
    """Return the seconds until a dark primary has been replaced."""
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    count = len(group.successions) + 1
    group.primary.faults.dark = True
    await builders.wait_promoted(group, PROMOTED_SECONDS, count)
    return group.successions[-1].at - began_at


async def test_a_failover_after_a_drill_takes_as_long_as_before(world):
    """Guards against a lease or a record that is waited for in vain."""
    first, second = world.groups.values()
    before = await measure_failover(first)
    older = make_older(world)
    await asyncio.sleep(1.0)
    await drills.restore(world.store, older, builders.make_drill())
    await asyncio.sleep(CALM_SECONDS)
    assert await measure_failover(second) < before + TOLERANCE_SECONDS


async def test_a_failover_right_after_a_drill_is_not_put_off_for_long(world):
    """Guards against waits on top of the lease that the store forgot."""
    (group, _) = world.groups.values()
    older = make_older(world)
    await asyncio.sleep(1.0)
    await drills.restore(world.store, older, builders.make_drill())
    await measure_failover(group)
    builders.check_tokens(world)
