"""Writes after connections were reset, while another group is replaced."""

import asyncio
import itertools

import pytest

from tests.platform.standins import writers as wire_writers

# Until the other group's primary is suspected.
SUSPECT_SECONDS = 3.0
WATCHED_SECONDS = 6.0
# More than are sent meanwhile.
REQUESTS = 100
# Until connections are open again and a write is served.
MAX_GAP_SECONDS = 1.5


@pytest.fixture
def world_size():
    return 2, 2


def reset(group):
    """Reset the connections to the replicas of a group."""
    for endpoint in group.endpoints.values():
        if endpoint is not group.primary:
            for connection in list(endpoint.connections):
                connection.transport.abort()


async def test_reset_connections_stop_no_writes_beside_a_takeover(world):
    """Guards against stopped service: nothing of the group has started.

    The other group's promotion has no effect, so its takeover is repeated.
    """
    group, other = world.groups.values()
    writers = wire_writers.Writers(world, group)
    writers.start(0, 0, 1, 1)
    await writers.wait_served(2.0)
    world.store.faults.promotion_delays = [60.0] * REQUESTS
    other.primary.faults.dark = True
    async with asyncio.timeout(SUSPECT_SECONDS):
        while not world.store.promotion_requests:
            await asyncio.sleep(0.01)
    began_at = asyncio.get_running_loop().time()
    reset(group)
    await asyncio.sleep(WATCHED_SECONDS)
    await writers.close()
    served = [at for at in writers.acknowledged.values() if at > began_at]
    ends = [began_at, *sorted(served), began_at + WATCHED_SECONDS]
    gap = max(later - former for former, later in itertools.pairwise(ends))
    assert gap < MAX_GAP_SECONDS
