"""Replicas that start while the primary is being replaced."""

import asyncio

import pytest
import pytest_asyncio

from fescuestile_daemon.relay.records import member_records
from tests.platform.standins import writers as wire_writers

# Until a primary that is out of reach is suspected and all are fenced.
FENCE_SECONDS = 4.0
# The platform takes up to a second for a promotion.
PROMOTION_SECONDS = 1.0
# Until it has taken effect, also if replicas are fenced again.
PROMOTED_SECONDS = 8.0
# Until a change of the members is recorded without a delay.
RECORD_SECONDS = 2.5
# Until writes are served again after the promotion.
SERVED_SECONDS = 6.0
JOINER = "i-g0-3"


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
    made.start(1)
    await made.wait_served(2.0)
    yield made
    await made.close()


async def wait_fenced(group):
    """Wait until all replicas are fenced."""
    replicas = [e for e in group.endpoints.values() if e is not group.primary]
    async with asyncio.timeout(FENCE_SECONDS):
        while not all(replica.pause_term for replica in replicas):
            await asyncio.sleep(0.001)


async def wait_promoted(group):
    """Wait until a promotion has taken effect."""
    async with asyncio.timeout(PROMOTED_SECONDS):
        while not group.successions:
            await asyncio.sleep(0.01)


async def check_kept(writers):
    """Check that nothing acknowledged is lost and that writes are served."""
    await writers.wait_served(SERVED_SECONDS)
    await writers.close()
    assert writers.list_lost() == []


async def test_a_replica_that_joins_before_the_promotion_loses_no_write(
    world, group, writers, dialer
):
    """Guards against LOST: a replica that nobody has fenced confirms writes.

    The driver does not reach the primary, which goes on for another daemon.
    The entry of the new replica appears before the promotion takes effect.
    """
    dialer.cut.add(group.primary.name)
    await wait_fenced(group)
    joiner = await group.add_endpoint(JOINER, "a")
    await asyncio.sleep(PROMOTION_SECONDS / 3)
    world.store.register(joiner)
    await wait_promoted(group)
    await check_kept(writers)


async def test_a_replica_that_never_registers_loses_no_write(
    group, writers, dialer
):
    """Guards against LOST: likewise, but the replica stays unknown."""
    dialer.cut.add(group.primary.name)
    await wait_fenced(group)
    await group.add_endpoint(JOINER, "a")
    await wait_promoted(group)
    await check_kept(writers)


async def test_a_replica_recorded_before_the_request_loses_no_write(
    world, group, writers, dialer, monkeypatch
):
    """Guards against LOST: a member joins while a promotion is requested.

    The promotion service refuses requests for longer than it takes to record
    the new replica.
    """
    monkeypatch.setattr(member_records, "RECORD_DELAY_SECONDS", (0.0, 0.0))
    monkeypatch.setattr(member_records, "JOIN_DELAY_SECONDS", (0.0, 0.0))
    world.store.faults.promotion_status = 503
    dialer.cut.add(group.primary.name)
    await wait_fenced(group)
    world.store.register(await group.add_endpoint(JOINER, "a"))
    await asyncio.sleep(RECORD_SECONDS)
    world.store.faults.promotion_status = 0
    await wait_promoted(group)
    await check_kept(writers)
