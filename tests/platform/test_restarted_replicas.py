"""Replicas that start again while the primary is being replaced."""

import asyncio

import pytest

from tests.platform.standins import cuts
from tests.platform.standins import writers as wire_writers

# Until a primary that is out of reach is suspected and all are fenced.
FENCE_SECONDS = 4.0
# A promotion that takes long.
PROMOTION_SECONDS = 2.5
# Until the writes that wait for a replica have timed out.
TIMEOUT_SECONDS = 1.0


@pytest.fixture
def world_size():
    return 1, 2


@pytest.fixture
def dialer():
    """Return how the first daemon reaches endpoints, until it is cut off."""
    return cuts.CutDialer()


@pytest.fixture
def dialers(dialer):
    return [dialer]


@pytest.mark.parametrize("entry_seconds", [0.3, 2.0])
async def test_a_fenced_replica_that_starts_again_confirms_no_write(
    world, dialer, entry_seconds
):
    """Guards against LOST: it holds what it received after its fence.

    The driver does not reach the primary, which goes on for another daemon.
    That daemon learns of the new start only with the registry entry.
    """
    group = world.groups["g0"]
    group.promotion_delay_seconds = PROMOTION_SECONDS
    writers = wire_writers.Writers(world, group)
    writers.start(*[1] * 8)
    await writers.wait_served(2.0)
    dialer.cut.add(group.primary.name)
    async with asyncio.timeout(FENCE_SECONDS):
        while not world.store.promotion_requests:
            await asyncio.sleep(0.001)
    chosen = world.store.promotion_requests[0][1]
    (other,) = (
        e
        for e in group.endpoints.values()
        if e is not group.primary and e.name != chosen
    )
    await asyncio.sleep(TIMEOUT_SECONDS)
    await other.restart_empty()
    group.follow(other)
    await asyncio.sleep(entry_seconds)
    world.store.register(other)
    async with asyncio.timeout(5.0):
        while not group.successions:
            await asyncio.sleep(0.01)
    await writers.close()
    assert writers.list_lost() == []
