"""Daemons that start while the registry names a part of a group only."""

import asyncio

import pytest_asyncio

from tests.platform.standins import line_server
from tests.platform.standins import world as worlds

# A primary without a replica that follows it is suspected after a second.
SUSPICION_SECONDS = 2.5


@pytest_asyncio.fixture
async def world():
    made = worlds.World(groups=1, daemons=1)
    await made.start()
    yield made
    await made.close()


async def write_items(world, count):
    """Write items; all of them have to be acknowledged."""
    client = await world.connect("primary")
    for number in range(count):
        answer = await client.query(f"WRITE item-{number} kept")
        assert line_server.get_error(answer) is None


async def restart_daemon(world):
    """Kill the daemon and start it again, without what it knew."""
    await world.daemons.pop().abort()
    world.caller_addresses.clear()
    world.ready_addresses.clear()
    await world.start_daemon("daemon-0")


def is_leased(world):
    """Return whether a daemon holds the lease."""
    lease = world.store.objects.get(("leases", "promotion"))
    return lease is not None and lease["spec"]["holder"] != ""


async def fail_over(world, lagging):
    """Make the primary dark while one replica receives nothing."""
    group = world.groups["g0"]
    failed = group.primary
    lagging.faults.deaf = True
    await write_items(world, 5)
    failed.faults.dark = True
    async with asyncio.timeout(6.0):
        while group.primary is failed or is_leased(world):
            await asyncio.sleep(0.02)
    return failed


async def test_a_daemon_started_after_a_failover_keeps_the_new_primary(world):
    """Guards against LOST: the replica that lags is promoted instead.

    The entry of the former primary has gone, so two endpoints are known.
    """
    group = world.groups["g0"]
    lagging = list(group.endpoints.values())[1]
    failed = await fail_over(world, lagging)
    world.store.remove("servers", failed.name)
    await restart_daemon(world)
    await asyncio.sleep(SUSPICION_SECONDS)
    assert group.lost == []
    assert group.primary is not lagging
