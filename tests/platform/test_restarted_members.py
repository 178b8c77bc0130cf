"""Members that start again without a log while the primary is out of reach.

One replica receives nothing for a while, so the other one alone holds the
latest writes beside the primary. It starts again before its entry says so.
"""

import asyncio

import pytest

from tests.platform.standins import line_server

# Staleness that the route allows.
STALENESS_SECONDS = 1.5
# Until a takeover has taken place or was given up.
TAKEOVER_SECONDS = 5.0


@pytest.fixture
def world_size():
    return 1, 1


@pytest.fixture
def dialers(dialer):
    return [dialer]


async def write(world, text):
    client = await world.connect("primary")
    lines = await client.query(text)
    client.close()
    assert lines[0].startswith("COMPLETE")


async def restart_holder(world, group, dialer):
    """Start the replica again that holds a write; cut off the primary."""
    primary, deaf, holder = group.endpoints.values()
    await write(world, "WRITE item old")
    await asyncio.sleep(0.1)
    deaf.faults.deaf = True
    await write(world, "WRITE item new")
    await asyncio.sleep(STALENESS_SECONDS)
    holder.faults.deaf = True
    dialer.cut.add(primary.name)
    await holder.restart_empty()


async def test_a_member_without_its_log_shows_no_fresh_position(
    world, group, dialer
):
    """Guards against STALE: the write was acknowledged long before."""
    await restart_holder(world, group, dialer)
    loop = asyncio.get_running_loop()
    until = loop.time() + TAKEOVER_SECONDS
    while not group.successions and loop.time() < until:
        client = await world.connect("bounded_staleness")
        row = line_server.get_row(await client.query("READ item"))
        client.close()
        if not group.successions:
            assert row in ("new", None)
        await asyncio.sleep(0.02)


async def test_a_member_without_its_log_is_no_evidence_for_a_takeover(
    world, group, dialer
):
    """Guards against LOST: the primary is alive and has the write."""
    await restart_holder(world, group, dialer)
    await asyncio.sleep(TAKEOVER_SECONDS)
    assert group.lost == [], [each.endpoint for each in group.successions]
