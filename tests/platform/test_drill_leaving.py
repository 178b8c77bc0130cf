"""Endpoints that leave or have left around a drill of the store.

The copy holds their entries as they were before the mark.
"""

import asyncio
import math

import pytest
import pytest_asyncio

from tests.platform import drill_builders as builders
from tests.platform.standins import drills
from tests.platform.standins import readers as wire_readers

# Work that was sent before the mark was known has arrived.
SETTLE_SECONDS = 0.5
# Entries that an outage hid are back within two seconds; an older entry is
# replaced within that time, too.
REWRITE_SECONDS = 2.0
ROUTES = ("bounded_staleness", "read_your_writes")


@pytest.fixture
def world_size():
    return builders.ONE_GROUP


@pytest.fixture
def proxied():
    return True


@pytest_asyncio.fixture
async def readers(world):
    """Yield clients that read through both daemons."""
    made = wire_readers.Readers(world, "g0")
    for route_type in ROUTES:
        made.start(route_type, 0, 1)
    yield made
    await made.close()


def list_begun(endpoint, since):
    """Return the work that began to arrive at an endpoint since a time."""
    return [id_ for at, id_ in endpoint.begun if at > since]


async def mark_leaving(world, endpoint):
    """Mark an endpoint as leaving; return when no new work arrives."""
    world.store.register(endpoint, state="draining")
    await asyncio.sleep(SETTLE_SECONDS)


def find_replica(group):
    return next(e for e in group.endpoints.values() if e.role == "replica")


@pytest.mark.parametrize("times", [1, 2])
@pytest.mark.parametrize("way", drills.Way)
async def test_a_leaving_replica_is_not_used_again(
    world, group, readers, way, times
):
    """Guards against DRAIN: the copy says that it is ready."""
    async with builders.running(readers):
        await asyncio.sleep(SETTLE_SECONDS)
        older = drills.take_copy(world.store)
        replica = find_replica(group)
        await mark_leaving(world, replica)
        marked_at = asyncio.get_running_loop().time()
        drill = builders.make_drill(way, endpoint_seconds=REWRITE_SECONDS)
        for _ in range(times):
            await drills.restore(world.store, older, drill)
            await asyncio.sleep(0.3)
        await asyncio.sleep(REWRITE_SECONDS + 1.0)
    assert list_begun(replica, marked_at) == []


async def test_a_leaving_primary_is_not_used_again(world, group, readers):
    """Guards against DRAIN: it was replaced, and follows as a replica."""
    async with builders.running(readers):
        await asyncio.sleep(SETTLE_SECONDS)
        older = drills.take_copy(world.store)
        primary = group.primary
        await mark_leaving(world, primary)
        await builders.wait_promoted(group, 6.0)
        await asyncio.sleep(1.0)
        replaced_at = asyncio.get_running_loop().time()
        drill = builders.make_drill(endpoint_seconds=REWRITE_SECONDS)
        await drills.restore(world.store, older, drill)
        await asyncio.sleep(REWRITE_SECONDS + 1.0)
    assert list_begun(primary, replaced_at) == []


async def test_a_daemon_that_hears_of_it_late_uses_no_leaving_replica(
    world, group, readers
):
    """Guards against DRAIN: it lists the entries before they are corrected."""
    async with builders.running(readers):
        older = drills.take_copy(world.store)
        replica = find_replica(group)
        await mark_leaving(world, replica)
        marked_at = asyncio.get_running_loop().time()
        builders.cut_off(world, 1)
        drill = builders.make_drill(endpoint_seconds=REWRITE_SECONDS)
        await drills.restore(world.store, older, drill)
        await asyncio.sleep(1.0)
        builders.rejoin(world, 1)
        await asyncio.sleep(REWRITE_SECONDS + 1.0)
    assert list_begun(replica, marked_at) == []


async def test_an_endpoint_that_has_left_costs_no_read(world, group, readers):
    """Guards against work for an entry that only the copy still holds."""
    older = drills.take_copy(world.store)
    replica = find_replica(group)
    async with builders.running(readers):
        await mark_leaving(world, replica)
        await group.remove_endpoint(replica.name)
        world.store.remove("servers", replica.name)
        await asyncio.sleep(SETTLE_SECONDS)
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        await drills.restore(world.store, older, builders.make_drill())
        await asyncio.sleep(5.0)
        until = loop.time()
    builders.check_served(readers, began_at, until)


async def test_an_endpoint_that_the_copy_lacks_is_used(world, group):
    """Guards against an endpoint that is given up too early or for good.

    Its entry is back within two seconds.
    """
    older = drills.take_copy(world.store)
    joined = await builders.join(world, group)
    drill = builders.make_drill(endpoint_seconds=REWRITE_SECONDS)
    await drills.restore(world.store, older, drill)
    await asyncio.sleep(REWRITE_SECONDS + 1.0)
    for daemon in world.daemons:
        known = daemon.node.directory.groups["g0"].endpoints[joined.name]
        assert known.dropped_at is None


async def test_an_endpoint_that_never_writes_again_is_given_up(world, group):
    """Guards against an entry that daemons keep though it is missing.

    An entry that is missing two seconds after the return counts as gone.
    """
    older = drills.take_copy(world.store)
    joined = await builders.join(world, group)
    drill = builders.make_drill(endpoint_seconds=math.inf)
    await drills.restore(world.store, older, drill)
    known = [d.node.directory.groups["g0"].endpoints for d in world.daemons]
    async with asyncio.timeout(REWRITE_SECONDS + 3.0):
        while any(joined.name in endpoints for endpoints in known):
            await asyncio.sleep(0.02)
