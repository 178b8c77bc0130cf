"""Configuration and endpoints while the store comes back from a copy."""

import asyncio

import pytest

from fescuestile_platform import boot
from tests.platform.standins import drills
from tests.platform.standins import line_server
from tests.platform.standins import world as worlds

APPLY_SECONDS = boot.Bounds().config_apply_ms / 1000
# Until the copy has been written over, and daemons have heard of it.
REWRITTEN_SECONDS = 2.5


@pytest.fixture
def world_size():
    return 1, 2


def put_version(world, version):
    """Write a version of the configuration, as the operator."""
    configuration = worlds.make_configuration(world.groups, version)
    world.store.put("config", "main", configuration)


def list_versions(world):
    return [each.node.directory.table.version for each in world.daemons]


def list_states(world, name):
    """Return each daemon's state of an endpoint, None if it has none."""
    return [
        each.node.directory.groups["g0"].endpoints.get(name)
        for each in world.daemons
    ]


async def wait_until(condition, seconds):
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.005)


async def watch_until(condition, seconds):
    """Return whether a condition held all the time."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + seconds
    while loop.time() < deadline:
        if not condition():
            return False
        await asyncio.sleep(0.005)
    return True


@pytest.mark.parametrize("way", drills.Way)
async def test_the_configuration_stays_and_later_ones_come(world, way):
    """Guards against CONFIG: a store whose revisions fell is heard again."""
    older = drills.take_copy(world.store)
    put_version(world, 2)
    await wait_until(lambda: list_versions(world) == [2, 2], APPLY_SECONDS)
    drill = drills.Drill(way=way)
    restoring = asyncio.create_task(drills.restore(world.store, older, drill))
    assert await watch_until(
        lambda: list_versions(world) == [2, 2], REWRITTEN_SECONDS
    )
    await restoring
    put_version(world, 3)
    await wait_until(lambda: list_versions(world) == [3, 3], APPLY_SECONDS)


async def test_two_copies_in_a_row_are_followed(world):
    older = drills.take_copy(world.store)
    put_version(world, 2)
    await wait_until(lambda: list_versions(world) == [2, 2], APPLY_SECONDS)
    for _ in range(2):
        await drills.restore(world.store, older, drills.Drill())
    put_version(world, 3)
    await wait_until(lambda: list_versions(world) == [3, 3], APPLY_SECONDS)


async def test_a_leaving_endpoint_stays_leaving(world):
    """Guards against DRAIN: the copy is older than its notice."""
    older = drills.take_copy(world.store)
    leaving = list(world.groups["g0"].endpoints.values())[-1]
    world.store.register(leaving, state="draining")
    states = list_states(world, leaving.name)
    await wait_until(lambda: all(s.entry.leaving for s in states), 2.0)
    since = [each.leaving_since for each in states]
    await drills.restore(world.store, older)
    assert await watch_until(
        lambda: [s.leaving_since for s in states] == since, REWRITTEN_SECONDS
    )
    assert list_states(world, leaving.name) == states


async def test_an_endpoint_that_has_left_stays_away(world):
    """The copy still holds its entry, which is removed later."""
    older = drills.take_copy(world.store)
    leaving = list(world.groups["g0"].endpoints.values())[-1]
    world.store.register(leaving, state="draining")
    states = list_states(world, leaving.name)
    await wait_until(lambda: all(s.entry.leaving for s in states), 2.0)
    await world.groups["g0"].remove_endpoint(leaving.name)
    world.store.remove("servers", leaving.name)
    await wait_until(
        lambda: list_states(world, leaving.name) == [None, None], 8.0
    )
    await drills.restore(world.store, older)
    assert await watch_until(
        lambda: list_states(world, leaving.name) == [None, None],
        REWRITTEN_SECONDS,
    )


async def test_an_endpoint_that_the_copy_lacks_is_kept(world):
    """Reads are served by it while its entry is missing."""
    older = drills.take_copy(world.store)
    added = await world.groups["g0"].add_endpoint("i-g0-3", "a")
    world.store.register(added)
    await wait_until(lambda: all(list_states(world, added.name)), 2.0)
    states = list_states(world, added.name)
    client = await world.connect("bounded_staleness")
    await drills.restore(world.store, older)
    async with asyncio.timeout(5):
        while ("servers", added.name) not in world.store.objects:
            answer = await client.query("READ item")
            assert line_server.get_row(answer) == "none"
            assert list_states(world, added.name) == states
            await asyncio.sleep(0.01)
    assert await watch_until(
        lambda: list_states(world, added.name) == states, REWRITTEN_SECONDS
    )
    assert all(s.dropped_at is None for s in states)
