"""Writes around a drill of the store that forgets what daemons recorded."""

import asyncio

import pytest

from tests.platform import drill_builders as builders
from tests.platform.standins import cuts
from tests.platform.standins import drills
from tests.platform.standins import writers as wire_writers

# The platform takes up to a second for a promotion.
PROMOTION_SECONDS = 1.0
# Until a primary is replaced, the outage of the store and lost steps included.
PROMOTED_SECONDS = 12.0
# Until writes are served after a promotion.
SERVED_SECONDS = 6.0
# Older than the copy.
EARLIER_SECONDS = 1.0


@pytest.fixture
def world_size():
    return builders.ONE_GROUP


@pytest.fixture
def dialers():
    return [cuts.CutDialer(), cuts.CutDialer()]


@pytest.fixture
def proxied():
    return True


@pytest.fixture
def group(group):
    group.promotion_delay_seconds = PROMOTION_SECONDS
    return group


@pytest.fixture
def writers(world, group):
    return wire_writers.Writers(world, group)


async def check_kept(writers):
    """Check that nothing acknowledged is lost and that writes are served."""
    await writers.wait_served(SERVED_SECONDS)
    await asyncio.sleep(1.0)
    await writers.close()
    assert writers.list_lost() == []


async def join_alone(world, group, writers):
    """Let a replica join and confirm writes that no other one receives.

    :returns: a copy of the store that does not know the replica
    """
    older = drills.take_copy(world.store)
    joined = await builders.join(world, group)
    for endpoint in group.endpoints.values():
        if endpoint not in (group.primary, joined):
            endpoint.faults.deaf = True
    writers.start(0, 1)
    await writers.wait_served(3.0)
    await asyncio.sleep(EARLIER_SECONDS)
    return older


async def wait_reported(daemon, endpoint):
    """Wait until a daemon has an endpoint's report.

    An answer alone may be that of a connection that was opened.
    """
    async with asyncio.timeout(3.0):
        while True:
            groups = daemon.node.directory.groups.values()
            known = [g.endpoints.get(endpoint.name) for g in groups]
            if any(each and each.report is not None for each in known):
                return
            await asyncio.sleep(0.01)


async def wait_replaced(group):
    """Wait until another endpoint leads the group of a silent primary.

    It has the writes that only the joined member received.
    """
    group.primary.faults.dark = True
    await builders.wait_promoted(group, PROMOTED_SECONDS)
    for endpoint in group.endpoints.values():
        endpoint.faults.deaf = False


@pytest.mark.parametrize("times", [1, 2])
async def test_a_member_that_the_copy_lacks_is_not_passed_over(
    world, group, writers, times
):
    """Guards against LOST: the record and the registry forget a member.

    The daemons that know it go on, and its entry is back after a moment.
    """
    async with builders.running(writers):
        older = await join_alone(world, group, writers)
        for _ in range(times):
            await drills.restore(world.store, older, builders.make_drill())
            await asyncio.sleep(0.2)
        await wait_replaced(group)
        await check_kept(writers)


@pytest.mark.parametrize("cut_off", ["member", "daemon"])
async def test_a_daemon_that_starts_after_a_drill_passes_over_no_member(
    world, group, writers, dialers, cut_off
):
    """Guards against LOST: a daemon reads a record that lacks a member.

    The one that knows the member cannot drive: it does not reach a replica.
    One of the two reaches the store late.
    """
    async with builders.running(writers):
        older = await join_alone(world, group, writers)
        silent = next(e for e in group.endpoints.values() if e.faults.deaf)
        dialers[0].cut.add(silent.name)
        await world.daemons[1].abort()
        if cut_off == "daemon":
            builders.cut_off(world, 0)
            drill = builders.make_drill(endpoint_seconds=2.0)
        else:
            drill = builders.make_drill(endpoint_seconds=6.0)
        await drills.restore(world.store, older, drill)
        fresh = await world.start_daemon("fresh")
        await wait_reported(fresh, group.primary)
        await wait_replaced(group)
        builders.rejoin(world, 0)
        await check_kept(writers)


async def test_a_primary_that_fails_unheard_after_a_drill_is_replaced(
    world, group, writers
):
    """Guards against a takeover that waits until the record is settled.

    The daemon has started after the drill and has no report of the primary.
    """
    async with builders.running(writers):
        older = await join_alone(world, group, writers)
        await world.daemons[1].abort()
        builders.cut_off(world, 0)
        group.primary.faults.dark = True
        await drills.restore(world.store, older, builders.make_drill())
        await world.start_daemon("fresh")
        await wait_replaced(group)
        builders.rejoin(world, 0)
        await check_kept(writers)


async def test_a_member_that_the_copy_lacks_is_recorded_again(world, group):
    """Guards against a record that stays as old as the copy."""
    older = drills.take_copy(world.store)
    await builders.join(world, group)
    await drills.restore(world.store, older, builders.make_drill())
    assert builders.list_recorded(world) != set(group.endpoints)
    await builders.wait_recorded(world, set(group.endpoints))


async def test_a_member_that_never_writes_again_is_recorded_again(
    world, group
):
    """Guards against LOST: the one who knows a member forgets it, too.

    The member does not reach the store after the drill.
    """
    older = drills.take_copy(world.store)
    await builders.join(world, group)
    drill = builders.make_drill(endpoint_seconds=float("inf"))
    await drills.restore(world.store, older, drill)
    await builders.wait_recorded(world, set(group.endpoints))


async def test_a_released_member_delays_no_promotion(world, group, writers):
    """Guards against a member that comes back with the copy only.

    It has left for good. The copy names it in the record and the registry.
    """
    joined = await builders.join(world, group)
    older = drills.take_copy(world.store)
    world.store.register(joined, state="draining")
    await asyncio.sleep(0.5)
    await group.remove_endpoint(joined.name)
    world.store.remove("servers", joined.name)
    await builders.wait_recorded(world, set(group.endpoints), 30.0)
    async with builders.running(writers):
        writers.start(0, 1)
        await writers.wait_served(3.0)
        await drills.restore(world.store, older, builders.make_drill())
        await asyncio.sleep(0.2)
        group.primary.faults.dark = True
        await builders.wait_promoted(group, PROMOTED_SECONDS)
        await check_kept(writers)


@pytest.mark.parametrize("times", [1, 2])
@pytest.mark.parametrize("moment", ["suspected", "requested", "promoted"])
@pytest.mark.parametrize("way", [drills.Way.RESET, drills.Way.SILENT])
async def test_a_drill_during_a_failover_loses_no_write(
    world, group, writers, moment, way, times
):
    """Guards against LOST and ONE: the store forgets steps of a failover."""
    async with builders.running(writers):
        writers.start(0, 1)
        await writers.wait_served(2.0)
        await asyncio.sleep(EARLIER_SECONDS)
        older = drills.take_copy(world.store)
        primary = group.primary
        primary.faults.dark = True
        if moment == "suspected":
            await asyncio.sleep(1.0)
        elif moment == "requested":
            await builders.wait_requested(world)
        else:
            await builders.wait_promoted(group, PROMOTED_SECONDS)
        for _ in range(times):
            await drills.restore(world.store, older, builders.make_drill(way))
            await asyncio.sleep(0.2)
        # An order that is under way takes effect beside the former primary.
        primary.faults.dark = moment == "suspected"
        await builders.wait_promoted(group, PROMOTED_SECONDS)
        await check_kept(writers)
        builders.check_tokens(world)


async def test_a_driver_that_hears_of_a_drill_late_loses_no_write(
    world, group, writers
):
    """Guards against LOST and ONE: half of the daemons are cut off meanwhile.

    The driver goes on for a while with what the store has forgotten.
    """
    async with builders.running(writers):
        writers.start(0, 1)
        await writers.wait_served(2.0)
        older = drills.take_copy(world.store)
        primary = group.primary
        primary.faults.dark = True
        await builders.wait_requested(world)
        _, _, holder, _ = world.store.promotion_requests[0]
        driver = int(holder.removeprefix("daemon-"))
        builders.cut_off(world, driver)
        await drills.restore(world.store, older, builders.make_drill())
        primary.faults.dark = False
        await asyncio.sleep(4.0)
        builders.rejoin(world, driver)
        await check_kept(writers)
        builders.check_tokens(world)
