"""Writes after the replicas were silent while the store is away."""

import asyncio
import itertools

import pytest

from tests.platform.standins import writers as wire_writers

# Shorter than a connection is kept whose other end is out of reach.
SILENT_SECONDS = 1.0
AWAY_SECONDS = 8.0
# Until a write is served once the replicas answer.
SERVED_SECONDS = 2.0


@pytest.fixture
def world_size():
    return 1, 1


async def test_replicas_that_were_silent_confirm_while_the_store_is_away(
    world,
):
    """Guards against stopped service: no connection has ended."""
    (group,) = world.groups.values()
    replicas = [e for e in group.endpoints.values() if e is not group.primary]
    writers = wire_writers.Writers(world, group)
    writers.start(0, 0, 0)
    await writers.wait_served(2.0)
    world.store.faults.status = 503
    for endpoint in replicas:
        endpoint.faults.dark = True
    await asyncio.sleep(SILENT_SECONDS)
    for endpoint in replicas:
        endpoint.faults.dark = False
    began_at = asyncio.get_running_loop().time()
    await asyncio.sleep(AWAY_SECONDS)
    await writers.close()
    served = [at for at in writers.acknowledged.values() if at > began_at]
    ends = [began_at, *sorted(served), began_at + AWAY_SECONDS]
    gap = max(later - former for former, later in itertools.pairwise(ends))
    assert gap < SERVED_SECONDS
