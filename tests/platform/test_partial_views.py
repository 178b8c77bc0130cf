"""Daemons that know a part of a group's members only."""

import asyncio

import pytest

from tests.platform.standins import line_server

# A primary without a replica that follows it is suspected after a second.
SUSPICION_SECONDS = 2.5
# Entries that an outage of the store hid are back within about two seconds.
LAST_ENTRY_SECONDS = 1.9


@pytest.fixture
def world_size():
    return 1, 1


@pytest.fixture
def replicas(group):
    return list(group.endpoints.values())[1:]


async def write_items(world, count):
    """Write items; all of them have to be acknowledged."""
    client = await world.connect("primary")
    for number in range(count):
        answer = await client.query(f"WRITE item-{number} kept")
        assert line_server.get_error(answer) is None


def is_leased(world):
    """Return whether a daemon holds the lease."""
    lease = world.store.objects.get(("leases", "promotion"))
    return lease is not None and lease["spec"]["holder"] != ""


async def fail_over(world, lagging):
    """Make the primary dark while one replica receives nothing."""
    group = world.groups["g0"]
    failed = group.primary
    lagging.faults.deaf = True
    await write_items(world, 5)
    failed.faults.dark = True
    await wait_replaced(world, failed)
    return failed


async def wait_replaced(world, failed):
    """Wait until a failed primary has been replaced."""
    async with asyncio.timeout(6.0):
        while world.groups["g0"].primary is failed or is_leased(world):
            await asyncio.sleep(0.02)


async def wait_writable(world):
    """Wait until a write is acknowledged."""
    async with asyncio.timeout(8.0):
        while True:
            client = await world.connect("primary")
            answer = await client.query("WRITE after value")
            if line_server.get_error(answer) is None:
                return
            await asyncio.sleep(0.05)


async def test_a_daemon_started_after_a_failover_keeps_the_new_primary(
    world, group, replicas
):
    """Guards against LOST: the replica that lags is promoted instead.

    The entry of the former primary has gone, so two endpoints are known.
    """
    failed = await fail_over(world, replicas[0])
    world.store.remove("servers", failed.name)
    await world.restart_daemon()
    await asyncio.sleep(SUSPICION_SECONDS)
    assert group.lost == []
    assert group.primary is replicas[1]


async def test_the_failure_of_two_primaries_in_a_row_loses_no_write(
    world, group, replicas
):
    """Guards against LOST: the replica that lags seems to be all.

    A daemon starts after the first failover, and the second primary fails,
    too. Both come back with their logs.
    """
    failed = await fail_over(world, replicas[0])
    world.store.remove("servers", failed.name)
    await world.restart_daemon()
    await world.wait_ready()
    replicas[1].faults.dark = True
    await asyncio.sleep(SUSPICION_SECONDS)
    assert group.lost == []
    replicas[0].faults.deaf = failed.faults.dark = False
    replicas[1].faults.dark = False
    group.follow(failed)
    world.store.register(failed)
    await wait_writable(world)
    assert group.lost == []


@pytest.mark.parametrize("fails", [False, True], ids=["working", "failed"])
async def test_a_registry_that_fills_again_loses_no_write(
    world, group, replicas, fails
):
    """Guards against LOST: a daemon starts before all entries are back.

    The replica that acknowledges the writes is not known yet.
    """
    primary = group.primary
    replicas[0].faults.deaf = True
    await write_items(world, 5)
    world.store.remove("servers", replicas[1].name)
    await world.restart_daemon()
    await world.wait_ready()
    primary.faults.dark = fails
    await asyncio.sleep(LAST_ENTRY_SECONDS)
    world.store.register(replicas[1])
    if fails:
        await wait_replaced(world, primary)
    replicas[0].faults.deaf = False
    await wait_writable(world)
    assert group.lost == []
    assert group.primary is (replicas[1] if fails else primary)


async def test_a_group_without_a_record_is_first_observed(
    world, group, replicas
):
    """Guards against LOST: there is no record when a daemon starts."""
    world.store.remove("members", "g0")
    primary = group.primary
    replicas[0].faults.deaf = True
    await write_items(world, 5)
    world.store.remove("servers", replicas[1].name)
    await world.restart_daemon()
    known = world.daemons[0].node.directory.groups
    async with asyncio.timeout(2.0):
        while (
            not known or not known["g0"].endpoints[primary.name].has_answered
        ):
            await asyncio.sleep(0.01)
    primary.faults.dark = True
    await asyncio.sleep(LAST_ENTRY_SECONDS)
    assert group.promotions == []
    world.store.register(replicas[1])
    await wait_replaced(world, primary)
    assert group.lost == []
    assert group.primary is replicas[1]


async def test_a_replica_that_started_again_empty_holds_nothing(
    world, group, replicas
):
    """Guards against LOST: an empty replica counts as holding the writes."""
    primary = group.primary
    replicas[0].faults.deaf = True
    await write_items(world, 5)
    primary.faults.dark = True
    await replicas[1].restart_empty()
    world.store.register(replicas[1])
    await asyncio.sleep(SUSPICION_SECONDS)
    assert group.lost == []
    primary.faults.dark = replicas[0].faults.deaf = False
    await wait_writable(world)
    assert group.lost == []


async def test_no_read_is_stale_while_the_registry_fills_again(
    world, group, replicas
):
    """Guards against STALE: a replica that lags is taken for all of them."""
    replicas[0].faults.deaf = True
    await write_items(world, 5)
    world.store.remove("servers", replicas[1].name)
    await world.restart_daemon()
    await asyncio.sleep(1.5)
    group.primary.faults.dark = True
    loop = asyncio.get_running_loop()
    until = loop.time() + LAST_ENTRY_SECONDS
    while loop.time() < until:
        reader = await world.connect("bounded_staleness")
        answer = await reader.query("READ item-4")
        assert line_server.get_row(answer) in ("kept", None)
        await asyncio.sleep(0.05)


async def test_no_read_is_stale_beside_a_replica_that_can_not_register(
    world, group, replicas
):
    """Guards against STALE: the replica that confirms a write is unknown.

    It starts while the store is down. Nobody may rely on the write before the
    replica is recorded; then the primary fails, and the entry is hidden again.
    """
    for replica in replicas:
        replica.faults.deaf = True
    world.store.faults.status = 503
    added = await group.add_endpoint("i-g0-3", "a")
    client = await world.connect("primary")
    answer = await client.query("WRITE item unseen")
    assert line_server.get_error(answer) == "INDOUBT"
    world.store.faults.status = 0
    world.store.register(added)
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(4.0):
        while line_server.get_error(await client.query("WRITE item new")):
            await asyncio.sleep(0.02)
    written_at = loop.time()
    world.store.faults.status = 503
    group.primary.faults.dark = True
    while loop.time() < written_at + 3.5:
        began_at = loop.time()
        reader = await world.connect("bounded_staleness")
        row = line_server.get_row(await reader.query("READ item"))
        if began_at > written_at + 1.5:
            assert row in ("new", None)
        await asyncio.sleep(0.05)
