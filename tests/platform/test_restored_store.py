"""A store that comes back from a copy while a promotion is pending."""

import asyncio

import pytest

from tests.platform.standins import drills
from tests.platform.standins import writers as wire_writers

REQUEST_SECONDS = 5.0
PROMOTION_SECONDS = 9.0


@pytest.fixture
def world_size():
    return 1, 2


async def test_a_store_that_forgets_a_pending_promotion_loses_no_write(world):
    """Guards against LOST: nobody knows that a promotion was requested.

    The copy is older than the request. The former primary is back, and the
    daemons that knew of the request go on.
    """
    group = world.groups["g0"]
    writers = wire_writers.Writers(world, group)
    writers.start(0, 1)
    await writers.wait_served(2.0)
    older = drills.take_copy(world.store)
    primary = group.primary
    world.store.faults.promotion_delays = [PROMOTION_SECONDS]
    primary.faults.dark = True
    async with asyncio.timeout(REQUEST_SECONDS):
        while not world.store.promotion_requests:
            await asyncio.sleep(0.002)
    chosen = group.endpoints[world.store.promotion_requests[0][1]]
    chosen.faults.deaf = True
    await drills.restore(world.store, older, drills.Drill(away_seconds=0.5))
    primary.faults.dark = False
    await asyncio.sleep(PROMOTION_SECONDS)
    await writers.close()
    assert group.primary is chosen
    assert writers.list_lost() == []
