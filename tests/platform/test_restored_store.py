"""A store that comes back from a copy while a promotion is pending."""

import asyncio
import copy

import pytest
import pytest_asyncio

from tests.platform.standins import drills
from tests.platform.standins import writers as wire_writers

REQUEST_SECONDS = 5.0
PROMOTION_SECONDS = 9.0


@pytest.fixture
def world_size():
    return 1, 2


async def wait_requested(world, group):
    """Let the primary fail, and return the endpoint asked to replace it."""
    world.store.faults.promotion_delays = [PROMOTION_SECONDS]
    group.primary.faults.dark = True
    async with asyncio.timeout(REQUEST_SECONDS):
        while not world.store.promotion_requests:
            await asyncio.sleep(0.002)
    chosen = group.endpoints[world.store.promotion_requests[0][1]]
    chosen.faults.deaf = True
    return chosen


async def check_kept(writers, group, chosen):
    """Check that the promotion has taken effect and nothing is lost."""
    await asyncio.sleep(PROMOTION_SECONDS)
    await writers.close()
    assert group.primary is chosen
    assert writers.list_lost() == []


@pytest_asyncio.fixture
async def writers(world):
    """Return clients whose writes are served."""
    made = wire_writers.Writers(world, world.groups["g0"])
    made.start(0, 1)
    await made.wait_served(2.0)
    return made


async def test_a_store_that_forgets_a_pending_promotion_loses_no_write(
    world, writers
):
    """Guards against LOST: nobody knows that a promotion was requested.

    The copy is older than the request. The former primary is back, and the
    daemons that knew of the request go on.
    """
    group = world.groups["g0"]
    older = drills.take_copy(world.store)
    primary = group.primary
    chosen = await wait_requested(world, group)
    await drills.restore(world.store, older, drills.Drill(away_seconds=0.5))
    primary.faults.dark = False
    await check_kept(writers, group, chosen)


async def test_an_older_record_in_the_same_era_loses_no_write(world, writers):
    """Guards against LOST: likewise, but the store names no new era."""
    group = world.groups["g0"]
    kept = copy.deepcopy(world.store.objects["members", "g0"])
    primary = group.primary
    chosen = await wait_requested(world, group)
    await asyncio.sleep(0.5)
    primary.faults.dark = False
    world.store.objects["members", "g0"] = kept
    await check_kept(writers, group, chosen)
