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


@pytest.fixture
def group(world):
    return world.groups["g0"]


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
