"""Reads at a daemon to which a part of a group's members is hidden."""

import asyncio

import pytest

from tests.platform.standins import line_server

# Staleness that the route allows.
STALENESS_SECONDS = 1.5
# Until missing entries are noticed.
NOTICE_SECONDS = 5.0
# Ten readings of the record may begin in a second, beside other calls.
MAX_READINGS = 15


@pytest.fixture
def world_size():
    return 1, 1


@pytest.fixture
def dialers(dialer):
    return (dialer,)


@pytest.fixture
def zones():
    return ("a", "b", "c", "a", "b")


def get_known(world):
    """Return what the daemon knows of the group."""
    return world.daemons[0].node.directory.groups["g0"]


async def hide(world, *endpoints):
    """Take entries away, as an outage of the store does."""
    for endpoint in endpoints:
        world.store.remove("servers", endpoint.name)
    async with asyncio.timeout(NOTICE_SECONDS):
        while any(e.name in get_known(world).endpoints for e in endpoints):
            await asyncio.sleep(0.02)


async def replace_primary(world, group, chosen, is_over):
    """Promote an endpoint as the driver of another daemon does.

    :param is_over: whether the record holds it as over, or else as pending
    """
    spec = dict(world.store.objects["members", "g0"]["spec"])
    if is_over:
        spec["replaced_term"] = 1
    else:
        spec["promotion"] = {
            "endpoint": chosen.name,
            "term": 1,
            "id": "x",
            "started_at": chosen.started_at_ms,
        }
    world.store.put("members", "g0", spec)
    group.promote(chosen.name, "another", 1)
    async with asyncio.timeout(1.0):
        while group.primary is not chosen:
            await asyncio.sleep(0.01)


async def write_at(endpoint, text):
    """Write at an endpoint as a client of another daemon does."""
    client = line_server.LineClient()
    await client.connect(endpoint.address, endpoint.group.name)
    answer = await client.query(text)
    client.close()
    assert line_server.get_error(answer) is None


async def read(world, route, texts):
    """Return the item as the daemon answers it, None if it refuses."""
    client = await world.connect(route)
    rows = [line_server.get_row(await client.query(text)) for text in texts]
    client.close()
    return next(filter(None, rows), None)


async def check_no_stale_read(world, route, texts, since):
    """Read until a second after a time; check what begins after it."""
    loop = asyncio.get_running_loop()
    while loop.time() < since + 1.0:
        began_at = loop.time()
        row = await read(world, route, texts)
        if began_at > since:
            assert row in ("new", None)
        await asyncio.sleep(0.05)


async def restart_daemon(world, dialer):
    """Kill the daemon and start it again; wait until it knows a primary."""
    await world.daemons.pop().abort()
    world.caller_addresses.clear()
    world.ready_addresses.clear()
    started = await world.start_daemon("daemon-0", dialer=dialer)
    async with asyncio.timeout(NOTICE_SECONDS):
        while not (
            (known := started.node.directory.groups.get("g0"))
            and known.find_primary()
        ):
            await asyncio.sleep(0.01)


READS = pytest.mark.parametrize(
    ("route", "texts"),
    [
        ("primary", ("READ item",)),
        ("primary", ("BEGIN", "READ item")),
        ("bounded_staleness", ("READ item",)),
        ("bounded_staleness", ("BEGIN READ", "READ item")),
    ],
    ids=["read", "transaction", "bounded read", "bounded transaction"],
)


@pytest.mark.parametrize("record", ["pending", "replaced", "away"])
@READS
async def test_a_former_primary_and_its_last_follower_serve_nothing_stale(
    world, group, dialer, route, texts, record
):
    """Guards against STALE: two of three known endpoints confirm a term.

    The others have promoted one of them. Two are hidden, one is cut off.
    """
    _, follower, silent, chosen, other = group.endpoints.values()
    await write_at(group.primary, "WRITE item old")
    await hide(world, chosen, other)
    follower.faults.deaf = True
    dialer.cut.add(silent.name)
    await replace_primary(world, group, chosen, record == "replaced")
    await write_at(chosen, "WRITE item new")
    written_at = asyncio.get_running_loop().time()
    if record == "away":
        world.store.faults.status = 503
    allowed = STALENESS_SECONDS if route == "bounded_staleness" else 0.0
    await check_no_stale_read(world, route, texts, written_at + allowed)


@READS
async def test_a_daemon_that_has_not_read_the_members_serves_nothing_stale(
    world, group, dialer, route, texts
):
    """Guards against STALE: what a daemon sees as it starts is not all.

    The record is malformed, so that it is not used for a while.
    """
    _, follower, _, chosen, *_ = group.endpoints.values()
    await write_at(group.primary, "WRITE item old")
    follower.faults.deaf = True
    await replace_primary(world, group, chosen, is_over=True)
    await write_at(chosen, "WRITE item new")
    written_at = asyncio.get_running_loop().time()
    for endpoint in group.endpoints.values():
        if endpoint.term > 1:
            world.store.remove("servers", endpoint.name)
    world.store.put("members", "g0", {"members": 5})
    await restart_daemon(world, dialer)
    allowed = STALENESS_SECONDS if route == "bounded_staleness" else 0.0
    await check_no_stale_read(world, route, texts, written_at + allowed)


@READS
async def test_reads_are_served_beside_hidden_members(
    world, group, dialer, route, texts
):
    """Guards against refusals, and a call for each read, of a primary."""
    _, _, silent, *hidden = group.endpoints.values()
    await write_at(group.primary, "WRITE item kept")
    await hide(world, *hidden)
    dialer.cut.add(silent.name)
    world.store.calls.clear()
    loop = asyncio.get_running_loop()
    until = loop.time() + 1.0
    rows = []
    while loop.time() < until:
        rows.append(await read(world, route, texts))
    assert rows.count("kept") > len(rows) / 2
    assert len(world.store.calls) < MAX_READINGS
