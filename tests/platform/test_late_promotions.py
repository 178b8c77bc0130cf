"""Promotions that take effect long after they were requested."""

import asyncio

import pytest
import pytest_asyncio

from tests.platform.standins import writers as wire_writers

# Until a failed primary is suspected and its replacement is requested.
REQUEST_SECONDS = 5.0
# Until writes are served again after a late promotion.
SERVED_SECONDS = 8.0


@pytest.fixture
def world_size():
    return 1, 2


@pytest_asyncio.fixture
async def writers(world, group):
    """Yield clients that write through both daemons."""
    made = wire_writers.Writers(world, group)
    made.start(0, 1)
    await made.wait_served(2.0)
    yield made
    await made.close()


async def wait_requested(world, count=1):
    """Wait for promotion requests; return the latest one's endpoint."""
    requests = world.store.promotion_requests
    async with asyncio.timeout(REQUEST_SECONDS):
        while len(requests) < count:
            await asyncio.sleep(0.002)
    return world.groups["g0"].endpoints[requests[-1][1]]


async def wait_promoted(group, endpoint, seconds):
    """Wait until an endpoint leads, or the time is over."""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    while loop.time() < until and group.primary is not endpoint:
        await asyncio.sleep(0.01)


def end_former_primaries(group):
    """Make former primaries follow, as when they reach the newest one."""
    for endpoint in group.endpoints.values():
        if endpoint.role == "primary" and endpoint is not group.primary:
            group.follow(endpoint)


async def check_kept(writers):
    """Check that nothing acknowledged is lost and that writes are served."""
    await writers.wait_served(SERVED_SECONDS)
    await writers.close()
    assert writers.list_lost() == []


@pytest.mark.parametrize(
    ("delay", "back"), [(2.5, 0.5), (4.0, 0.5), (6.0, 0.5), (6.0, 2.0)]
)
async def test_a_promotion_that_takes_effect_late_loses_no_write(
    world, group, writers, delay, back
):
    """Guards against LOST: the replaced primary goes on until the promotion.

    Its driver stops waiting, and the replica that was not chosen lets the
    primary acknowledge writes again.
    """
    primary = group.primary
    world.store.faults.promotion_delays = [delay]
    primary.faults.dark = True
    chosen = await wait_requested(world)
    chosen.faults.deaf = True
    await asyncio.sleep(back)
    primary.faults.dark = False
    await wait_promoted(group, chosen, delay + 1.0 - back)
    await check_kept(writers)


async def test_a_late_promotion_of_a_driver_that_has_ended_loses_no_write(
    world, group, writers
):
    """Guards against LOST: nobody knows that a promotion was requested.

    The driver ends after its request. The other daemon lifts its fences.
    """
    primary = group.primary
    world.store.faults.promotion_delays = [9.0]
    primary.faults.dark = True
    chosen = await wait_requested(world)
    chosen.faults.deaf = True
    driver = world.store.promotion_requests[-1][2]
    await world.daemons[int(driver.removeprefix("daemon-"))].abort()
    primary.faults.dark = False
    await wait_promoted(group, chosen, 10.0)
    await check_kept(writers)


async def test_a_switchover_that_takes_effect_late_loses_no_write(
    world, group, writers
):
    """Guards against LOST: another endpoint was promoted instead meanwhile.

    The primary is leaving, and the driver stops waiting for its target.
    """
    world.store.faults.promotion_delays = [6.0]
    world.store.register(group.primary, state="draining")
    target = await wait_requested(world)
    target.faults.deaf = True
    await wait_promoted(group, target, 7.0)
    await check_kept(writers)


async def test_a_switchover_back_before_a_late_promotion_loses_no_write(
    world, group, writers
):
    """Guards against LOST: the former primary was promoted again meanwhile.

    It stays after all, and the others are leaving instead.
    """
    primary, *others = group.endpoints.values()
    world.store.faults.promotion_delays = [6.0]
    world.store.register(primary, state="draining")
    target = await wait_requested(world)
    target.faults.deaf = True
    world.store.register(primary)
    for endpoint in others:
        world.store.register(endpoint, state="draining")
    await wait_promoted(group, target, 7.0)
    for endpoint in others:
        world.store.register(endpoint)
    end_former_primaries(group)
    await check_kept(writers)


async def test_unanswered_requests_that_are_executed_late_lose_no_write(
    world, group, writers
):
    """Guards against LOST: requests without an answer count as not executed.

    The primary and the replica that was not chosen go on meanwhile.
    """
    primary = group.primary
    group.promotion_delay_seconds = 6.0
    world.store.faults.lose_promotions = True
    primary.faults.dark = True
    chosen = await wait_requested(world)
    chosen.faults.deaf = True
    primary.faults.dark = False
    await wait_promoted(group, chosen, 7.0)
    world.store.faults.lose_promotions = False
    await check_kept(writers)


async def test_a_late_promotion_after_a_second_failure_loses_no_write(
    world, group, writers
):
    """Guards against LOST: a former order replaces a sound new primary.

    The primary goes on once its driver has stopped waiting, and fails again.
    Then the replica that holds its writes is promoted.
    """
    primary = group.primary
    world.store.faults.promotion_delays = [8.0]
    primary.faults.dark = True
    chosen = await wait_requested(world)
    chosen.faults.deaf = True
    primary.faults.dark = False
    writing = asyncio.create_task(writers.wait_served(8.0))
    ordered = asyncio.create_task(wait_promoted(group, chosen, 9.0))
    await asyncio.wait([writing, ordered], return_when="FIRST_COMPLETED")
    await asyncio.sleep(0.5)
    primary.faults.dark = True
    await ordered
    await asyncio.gather(writing, return_exceptions=True)
    end_former_primaries(group)
    await check_kept(writers)


async def wait_given_up(group, writers, delay, back=0.5):
    """Request a promotion that is late until its driver stops waiting.

    The primary is back, and one replica stays fenced.

    :param delay: seconds until the promotion takes effect
    :returns: the former primary and the endpoint that will be promoted
    """
    world = writers.world
    primary = group.primary
    world.store.faults.promotion_delays = [delay]
    primary.faults.dark = True
    chosen = await wait_requested(world)
    chosen.faults.deaf = True
    await asyncio.sleep(back)
    primary.faults.dark = False
    await asyncio.sleep(3.3 - back)
    return primary, chosen


async def test_a_takeover_that_chooses_nobody_lifts_no_fence_meanwhile(
    group, writers
):
    """Guards against LOST: a second takeover ends an earlier one's fence.

    The endpoint whose promotion is pending is too busy for a fence, so the
    second takeover requests none. The other replica confirms writes then.
    """
    primary, chosen = await wait_given_up(group, writers, 9.0)
    chosen.faults.refuse_fences = True
    primary.faults.dark = True
    await asyncio.sleep(2.5)
    primary.faults.dark = chosen.faults.refuse_fences = False
    await wait_promoted(group, chosen, 8.0)
    await writers.close()
    assert writers.list_lost() == []


async def test_a_refused_repetition_lifts_no_fence_meanwhile(
    world, group, writers
):
    """Guards against LOST: the earlier request has not been refused.

    A second takeover requests the pending promotion again and is refused.
    """
    primary, chosen = await wait_given_up(group, writers, 9.0)
    (other,) = set(group.endpoints.values()) - {primary, chosen}
    world.store.faults.promotion_status = 409
    primary.faults.dark = True
    loop = asyncio.get_running_loop()
    until = loop.time() + 3.0
    while other.pause_term and loop.time() < until:
        await asyncio.sleep(0.001)
    primary.faults.dark = False
    world.store.faults.promotion_status = 0
    await wait_promoted(group, chosen, 8.0)
    await writers.close()
    assert writers.list_lost() == []


async def test_no_write_is_confirmed_beside_a_primary_out_of_reach(
    group, writers
):
    """Guards against LOST: the promotion has lifted the replica's fence.

    The promoted endpoint is cut off just before it leads. The former primary
    is back, and the replica that has not learned the new term follows it.
    """
    group.promotion_delay_seconds = 1.0
    primary = group.primary
    primary.faults.dark = True
    chosen = await wait_requested(writers.world)
    await asyncio.sleep(0.8)
    chosen.faults.dark = True
    await asyncio.sleep(0.5)
    primary.faults.dark = False
    await asyncio.sleep(3.0)
    chosen.faults.dark = False
    await writers.close()
    assert group.primary is chosen
    assert writers.list_lost() == []
