"""The lease of the promotions when the store forgets it.

The stand-in's promotion service keeps all requests with their tokens.
"""

import asyncio

import pytest

from tests.platform import drill_builders as builders
from tests.platform.standins import drills

# Until a daemon has taken a lease over from one that keeps it.
TAKEN_SECONDS = 20.0
SEND_SECONDS = 0.05
# Requests under a lease that is not renewed end within this time.
KEPT_SECONDS = 8.0


@pytest.fixture
def world_size():
    return 1, 3


@pytest.fixture
def proxied():
    return True


class Driver:
    """Requests promotions of the present primary, which change nothing.

    :ivar name: of its daemon
    """

    def __init__(self, world, daemon):
        self.name = daemon._settings.node
        self._group = world.groups["g0"]
        self._promoter = daemon.node._monitor._promoter
        self._lease = None
        self._task = None

    async def acquire(self, seconds=TAKEN_SECONDS):
        """Acquire the lease; keep it."""
        async with asyncio.timeout(seconds):
            while self._lease is None:
                self._lease = await self._promoter.acquire()
                await asyncio.sleep(0.05)

    async def request(self):
        """Request a promotion under the lease that was acquired."""
        return await self._promoter.promote(
            "g0", self._group.primary.name, self._lease
        )

    async def release(self):
        """Release the lease."""
        await self._promoter.release(self._lease)
        self._lease = None

    def start(self, renews):
        """Request promotions all the time.

        :param renews: whether the lease is renewed, as for a new takeover
        """
        self._task = asyncio.create_task(self._run(renews))

    async def _run(self, renews):
        while True:
            if renews:
                found = await self._promoter.acquire()
                self._lease = found or self._lease
            if self._lease is not None:
                await self.request()
            await asyncio.sleep(SEND_SECONDS)

    async def close(self):
        """Stop to request promotions."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)


def make_drivers(world):
    return [Driver(world, daemon) for daemon in world.daemons]


def list_turns(world):
    """Return the holders in the order of their requests, once a turn."""
    turns: list[str] = []
    for _, _, holder, _ in world.store.promotion_requests:
        if turns[-1:] != [holder]:
            turns.append(holder)
    return turns


async def take_turn(driver):
    await driver.acquire()
    assert await driver.request()
    await driver.release()


@pytest.mark.parametrize("times", [1, 2])
async def test_tokens_that_the_store_forgot_are_not_used_again(world, times):
    """Guards against ONE: the copy holds a token that was used before."""
    drivers = make_drivers(world)
    for driver in drivers:
        await take_turn(driver)
    older = drills.take_copy(world.store)
    for driver in drivers:
        await take_turn(driver)
    for _ in range(times):
        await drills.restore(world.store, older, builders.make_drill())
        for driver in drivers:
            await take_turn(driver)
    builders.check_tokens(world)


async def test_a_store_that_never_held_a_lease_repeats_no_token(world):
    """Guards against ONE: the copy is older than the first lease."""
    older = drills.take_copy(world.store)
    first, second, _ = make_drivers(world)
    await take_turn(first)
    await take_turn(second)
    await drills.restore(world.store, older, builders.make_drill())
    await take_turn(second)
    await take_turn(first)
    builders.check_tokens(world)


async def test_a_daemon_that_starts_after_a_drill_repeats_no_token(world):
    """Guards against ONE: the others do not reach the store meanwhile."""
    drivers = make_drivers(world)
    older = drills.take_copy(world.store)
    for driver in drivers:
        await take_turn(driver)
    builders.cut_off(world, 0, 1, 2)
    await drills.restore(world.store, older, builders.make_drill())
    fresh = Driver(world, await world.start_daemon("fresh"))
    await take_turn(fresh)
    builders.check_tokens(world)


@pytest.mark.parametrize("renews", [False, True], ids=["kept", "renewed"])
@pytest.mark.parametrize("hears", ["at once", "late", "never"])
@pytest.mark.parametrize("way", drills.Way)
async def test_a_lease_that_the_store_forgot_ends_before_another(
    world, hears, renews, way
):
    """Guards against ONE: two daemons promote by turns.

    The holder goes on for as long as its lease allows, and hears of the drill
    with the others, later than they do, or not at all.
    """
    holder, other, _ = make_drivers(world)
    older = drills.take_copy(world.store)
    async with builders.running(holder, other):
        await holder.acquire()
        holder.start(renews)
        await asyncio.sleep(0.3)
        if hears != "at once":
            builders.cut_off(world, 0)
        await drills.restore(world.store, older, builders.make_drill(way))
        other.start(renews=True)
        if hears == "late":
            await asyncio.sleep(1.0)
            builders.rejoin(world, 0)
        await asyncio.sleep(KEPT_SECONDS)
    turns = list_turns(world)
    assert turns == sorted(set(turns), key=turns.index)
    builders.check_tokens(world)


async def test_a_write_that_arrives_after_the_drill_grants_no_lease(world):
    """Guards against ONE: a write of before meets its revision again.

    It gets no answer and is executed late. The copy's object has the revision
    that the write names, but another holder.
    """
    first, second, third = make_drivers(world)
    await take_turn(first)
    older = drills.take_copy(world.store)
    await take_turn(second)
    world.store.faults.late_writes = 1.0
    late = asyncio.create_task(third.acquire())
    await asyncio.sleep(0.1)
    world.store.faults.late_writes = 0.0
    await drills.restore(
        world.store, older, builders.make_drill(away_seconds=0.2)
    )
    await take_turn(second)
    await late
    assert await third.request()
    builders.check_tokens(world)
