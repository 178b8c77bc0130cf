"""Replicas that start again while the primary is being replaced."""

import asyncio

import pytest
import pytest_asyncio

from tests.platform.standins import writers as wire_writers

# Until a primary that is out of reach is suspected and all are fenced.
FENCE_SECONDS = 4.0
# A promotion that takes long.
PROMOTION_SECONDS = 2.5
# Until the writes that wait for a replica have timed out.
TIMEOUT_SECONDS = 1.0
# For longer than idle connections are kept.
IDLE_SECONDS = 6.0
# Until writes are served again after the promotion.
SERVED_SECONDS = 6.0


@pytest.fixture
def world_size():
    return 1, 2


@pytest.fixture
def dialers(dialer):
    return [dialer]


@pytest.fixture
def group(group):
    group.promotion_delay_seconds = PROMOTION_SECONDS
    return group


@pytest_asyncio.fixture
async def writers(world, group):
    """Yield clients that write through the daemon that reaches all."""
    made = wire_writers.Writers(world, group)
    made.start(*[1] * 8)
    await made.wait_served(2.0)
    yield made
    await made.close()


def find_other(group, name):
    """Return the replica that is not the named one."""
    (other,) = (
        e
        for e in group.endpoints.values()
        if e is not group.primary and e.name != name
    )
    return other


async def request_promotion(world, group, dialer):
    """Return the replica that is fenced and not to be promoted.

    The driver does not reach the primary, which goes on for another daemon.
    """
    dialer.cut.add(group.primary.name)
    async with asyncio.timeout(FENCE_SECONDS):
        while not world.store.promotion_requests:
            await asyncio.sleep(0.001)
    await asyncio.sleep(TIMEOUT_SECONDS)
    return find_other(group, world.store.promotion_requests[0][1])


async def restart(group, endpoint):
    """Start an endpoint again, which follows the primary that it finds."""
    await endpoint.restart_empty()
    group.follow(endpoint)


async def wait_promoted(group):
    async with asyncio.timeout(5.0):
        while not group.successions:
            await asyncio.sleep(0.01)


async def check_kept(writers):
    """Check that nothing acknowledged is lost and that writes are served."""
    await writers.wait_served(SERVED_SECONDS)
    await writers.close()
    assert writers.list_lost() == []


@pytest.mark.parametrize("entry_seconds", [0.3, 2.0])
async def test_a_fenced_replica_that_starts_again_confirms_no_write(
    world, group, writers, dialer, entry_seconds
):
    """Guards against LOST: it holds what it received after its fence.

    The other daemon learns of the new start only with the registry entry.
    """
    other = await request_promotion(world, group, dialer)
    await restart(group, other)
    await asyncio.sleep(entry_seconds)
    world.store.register(other)
    await wait_promoted(group)
    await check_kept(writers)


async def test_a_fenced_replica_that_starts_again_twice_confirms_no_write(
    world, group, writers, dialer
):
    """Guards against LOST: a connection to the first new start vouches.

    The entry of the second new start is the first that comes.
    """
    other = await request_promotion(world, group, dialer)
    for _ in range(2):
        await restart(group, other)
        await asyncio.sleep(0.5)
    world.store.register(other)
    await wait_promoted(group)
    await check_kept(writers)


async def test_a_new_start_that_never_registers_confirms_no_write(
    world, group, writers, dialer
):
    """Guards against LOST: a replica that does not reach the registry."""
    other = await request_promotion(world, group, dialer)
    await restart(group, other)
    await wait_promoted(group)
    await check_kept(writers)


async def test_a_primary_that_starts_again_leaves_its_replica_unconfirmed(
    world, group, writers, dialer
):
    """Guards against LOST: the primary starts again with its log, too."""
    other = await request_promotion(world, group, dialer)
    former = group.primary
    await restart(group, other)
    await former.server.close()
    await former.server.start()
    await wait_promoted(group)
    await check_kept(writers)


async def test_a_replica_fenced_for_no_recorded_promotion_confirms_no_write(
    world, group, writers, dialer
):
    """Guards against LOST: the driver has fenced all and chooses next.

    It holds the lease, but the record names no promotion yet.
    """
    record = {
        "holder": "driver",
        "token": 1,
        "claim": "driver-1",
        "era": world.store.era or 0,
    }
    world.store.put("leases", "promotion", record)
    primary = group.primary
    chosen, other = (e for e in group.endpoints.values() if e is not primary)
    for replica in (chosen, other):
        replica.pause_term = 2
    await asyncio.sleep(TIMEOUT_SECONDS)
    await restart(group, other)
    await asyncio.sleep(TIMEOUT_SECONDS)
    group.promote(chosen.name, "driver", 1, delay=0.0)
    await wait_promoted(group)
    await writers.close()
    assert writers.list_lost() == []


async def test_a_replica_that_starts_again_confirms_once_none_is_fenced(
    world, group, writers
):
    """A lost connection costs a check and no entry, while nobody takes over.

    The other replica receives nothing, so this one alone confirms. Writes
    that waited for it at the primary block the slots until they time out.
    """
    _, deaf, other = group.endpoints.values()
    deaf.faults.deaf = True
    await restart(group, other)
    await asyncio.sleep(0.2)
    await writers.wait_served(2 * TIMEOUT_SECONDS)


async def test_connections_that_come_and_go_cost_no_calls(world, group):
    """Guards against a price on quiet days: each answer vouches for others.

    Idle connections are closed between the bursts.
    """
    writers = wire_writers.Writers(world, group)
    writers.start(0, 1)
    await writers.wait_served(2.0)
    del world.store.calls[:]
    for _ in range(2):
        burst = wire_writers.Writers(world, group)
        burst.start(*[0] * 8, *[1] * 8)
        await asyncio.sleep(1.0)
        await burst.close()
        await asyncio.sleep(IDLE_SECONDS)
    await writers.close()
    read = [
        url
        for _, url in world.store.calls
        if "/leases" in url or "/members" in url
    ]
    assert read == []
