"""Daemons that are cut off from the store for long."""

import asyncio

import pytest_asyncio

from soak import proxies
from tests.platform.standins import cuts
from tests.platform.standins import world as worlds
from tests.platform.standins import writers as wire_writers

# Until a replica that joins is recorded.
RECORD_SECONDS = 6.0
# Until members that are missing are released and others are promoted.
PROMOTED_SECONDS = 40.0


@pytest_asyncio.fixture
async def dialers():
    return [cuts.CutDialer(), cuts.CutDialer()]


@pytest_asyncio.fixture
async def world(dialers):
    """Yield a daemon, and one that reaches the store through a proxy."""
    made = worlds.World(daemons=1, dialers=dialers[:1])
    await made.start()
    yield made
    await made.close()


@pytest_asyncio.fixture
async def proxy(world, dialers):
    """Yield the second daemon's connection to the store."""
    made = proxies.Proxy(world.store.address)
    await made.start()
    await world.start_daemon("inside", made.address, dialers[1])
    await world.wait_ready()
    yield made
    await made.close()


async def test_a_member_that_others_released_confirms_no_write(
    world, proxy, dialers
):
    """Guards against LOST: a record that was read long ago names a member.

    The primary, a replica and a daemon are cut off together. Outside, both
    entries expire, both members are released, and another is promoted.
    """
    group = world.groups["g0"]
    outside, inside = dialers
    primary = group.primary
    others = [e for e in group.endpoints.values() if e is not primary]
    joined = await group.add_endpoint("i-g0-3", "a")
    world.store.register(joined)
    async with asyncio.timeout(RECORD_SECONDS):
        while len(world.store.objects["members", "g0"]["spec"]["members"]) < 4:
            await asyncio.sleep(0.02)
    await asyncio.sleep(3.0)
    writers = wire_writers.Writers(world, group)
    writers.start(1)
    await writers.wait_served(3.0)
    outside.cut.update((primary.name, joined.name))
    inside.cut.update(e.name for e in others)
    for other in others:
        other.faults.deaf = True
    await proxy.close()
    await asyncio.sleep(3.0)
    world.store.remove("servers", primary.name)
    world.store.remove("servers", joined.name)
    async with asyncio.timeout(PROMOTED_SECONDS):
        while not group.successions:
            await asyncio.sleep(0.05)
    await writers.close()
    assert writers.list_lost() == []
