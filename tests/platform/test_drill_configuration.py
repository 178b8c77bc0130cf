"""Configuration changes around a drill of the store."""

import asyncio

import pytest

from tests.platform import drill_builders as builders
from tests.platform.standins import drills
from tests.platform.standins import line_server

ADDED = "added"
DROPPED = "g1-primary"


@pytest.fixture
def proxied():
    return True


class Visitors:
    """Connects to databases all the time and remembers the answers.

    :ivar answers: for each daemon and database, whether it had a route
    """

    def __init__(self, world):
        self.answers = {}
        self._world = world
        self._tasks = []

    def start(self, *databases):
        """Start a client for each daemon and database."""
        for number in range(len(self._world.daemons)):
            for database in databases:
                self._tasks.append(
                    asyncio.create_task(self._run(number, database))
                )

    async def _run(self, number, database):
        answers = self.answers.setdefault((number, database), [])
        while True:
            client = line_server.LineClient()
            answer = await client.connect(
                self._world.caller_addresses[number], database
            )
            answers.append(answer.startswith("READY"))
            client.close()
            await asyncio.sleep(0.03)

    async def close(self):
        """Stop the clients."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


@pytest.mark.parametrize("way", drills.Way)
@pytest.mark.parametrize("times", [1, 2])
async def test_the_configuration_in_force_does_not_go_back(world, way, times):
    """Guards against CONFIG: the copy holds an older configuration."""
    older = drills.take_copy(world.store)
    builders.put_configuration(world, 5, ADDED, dropped=DROPPED)
    await builders.wait_version(world, 5)
    visitors = Visitors(world)
    visitors.start(ADDED, DROPPED)
    async with builders.running(visitors):
        for _ in range(times):
            await drills.restore(world.store, older, builders.make_drill(way))
            await asyncio.sleep(0.3)
        await asyncio.sleep(builders.REWRITE_SECONDS + 1.0)
        for (_, database), answers in visitors.answers.items():
            assert len(answers) > 10
            assert set(answers) == {database == ADDED}


@pytest.mark.parametrize("way", drills.Way)
@pytest.mark.parametrize("times", [1, 2])
async def test_later_configurations_are_applied(world, way, times):
    """Guards against CONFIG: a watch that waits for a revision of before."""
    older = drills.take_copy(world.store)
    for version in range(5, 15):
        builders.put_configuration(world, version)
    await builders.wait_version(world, 14)
    for _ in range(times):
        await drills.restore(world.store, older, builders.make_drill(way))
        await asyncio.sleep(0.3)
    builders.put_configuration(world, 20, ADDED)
    await builders.wait_version(world, 20)
    builders.put_configuration(world, 21)
    await builders.wait_version(world, 21)


@pytest.mark.parametrize("way", drills.Way)
async def test_writes_right_after_the_return_are_not_missed(world, way):
    """Guards against CONFIG: the endpoints' writes use up the revisions.

    Daemons that are in touch watch from a revision that is there again.
    """
    older = drills.take_copy(world.store)
    builders.put_configuration(world, 5)
    await builders.wait_version(world, 5)
    await drills.restore(
        world.store, older, builders.make_drill(way, operator_seconds=0.0)
    )
    builders.put_configuration(world, 20, ADDED)
    for group in world.groups.values():
        for endpoint in group.endpoints.values():
            world.store.register(endpoint, seq=2)
    await builders.wait_version(world, 20)


async def reuse_revisions(world, change):
    """Let a daemon hear of a drill once its revision is given out again.

    :param change: makes a change just after the drill
    """
    older = drills.take_copy(world.store)
    for version in range(5, 15):
        builders.put_configuration(world, version)
    await builders.wait_version(world, 14)
    # All watches have returned, and go on from the newest revision.
    await asyncio.sleep(builders.APPLY_SECONDS)
    newest = world.store.revision
    builders.cut_off(world, 1)
    drill = builders.make_drill(operator_seconds=0.1)
    await drills.restore(world.store, older, drill)
    await asyncio.sleep(0.2)
    change()
    endpoint = world.groups["g1"].primary
    for seq in range(newest - older.revision + 5):
        world.store.register(endpoint, seq=seq)
    assert world.store.revision > newest
    await asyncio.sleep(2.0)
    builders.rejoin(world, 1)


async def test_a_daemon_that_hears_of_it_late_misses_no_configuration(world):
    """Guards against CONFIG: its revision has been given out again.

    The watch gets no 410 then, and no event of what was written before.
    """
    await reuse_revisions(
        world, lambda: builders.put_configuration(world, 20, ADDED)
    )
    # The calls that were cut off end within a second.
    await builders.wait_version(world, 20, builders.APPLY_SECONDS + 1.0)


async def test_a_daemon_that_hears_of_it_late_misses_no_endpoint(world):
    """Guards against an entry that a daemon never hears of."""
    group = world.groups["g0"]
    joined = await group.add_endpoint("i-g0-joined", "a")
    await reuse_revisions(world, lambda: world.store.register(joined))
    known = world.daemons[1].node.directory.groups["g0"].endpoints
    async with asyncio.timeout(builders.APPLY_SECONDS + 1.0):
        while joined.name not in known:
            await asyncio.sleep(0.02)


async def test_a_daemon_that_hears_of_it_late_misses_no_mark(world):
    """Guards against DRAIN: a mark that a daemon never hears of."""
    replica = next(
        each
        for each in world.groups["g0"].endpoints.values()
        if each.role == "replica"
    )
    await reuse_revisions(
        world, lambda: world.store.register(replica, state="draining")
    )
    known = world.daemons[1].node.directory.groups["g0"].endpoints
    async with asyncio.timeout(builders.APPLY_SECONDS + 1.0):
        while not known[replica.name].entry.leaving:
            await asyncio.sleep(0.02)
