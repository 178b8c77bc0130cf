"""Writes while most connections of the endpoints are in use."""

import asyncio

import pytest
import pytest_asyncio

from tests.platform.standins import line_server

# Of 16 connections; the daemon keeps idle ones for 0.3 s then.
OTHER_CONNECTIONS = 13
# Between two writes, longer than that.
PAUSE_SECONDS = 1.0
# Until the daemon knows that connections are scarce.
SETTLE_SECONDS = 4.0
WRITES = 5
# Calls in this time, beside those of a group that nobody uses.
QUIET_SECONDS = 8.0


@pytest.fixture
def world_size():
    return 1, 1


@pytest_asyncio.fixture
async def scarce(world, group):
    """Hold connections as the other daemons of a large deployment do."""
    held = []
    for endpoint in group.endpoints.values():
        for _ in range(OTHER_CONNECTIONS):
            client = line_server.LineClient()
            await client.connect(endpoint.address, group.name)
            held.append(client)
    await asyncio.sleep(SETTLE_SECONDS)
    yield
    for client in held:
        client.close()


async def write(world, count):
    """Write now and then; return the answers."""
    answers = []
    for number in range(count):
        client = await world.connect("primary")
        lines = await client.query(f"WRITE item-{number} kept")
        answers.append(lines[0])
        client.close()
        await asyncio.sleep(PAUSE_SECONDS)
    return answers


async def test_rare_writes_are_served_while_the_store_is_away(world, scarce):
    """Guards against stopped service: nothing has started again."""
    world.store.faults.status = 503
    answers = await write(world, WRITES)
    assert [a for a in answers if not a.startswith("COMPLETE")] == []


async def test_scarce_connections_cost_no_calls(world, scarce):
    """Guards against a price: idle connections are closed and opened."""
    del world.store.calls[:]
    await asyncio.sleep(QUIET_SECONDS)
    read = [
        url
        for _, url in world.store.calls
        if "/leases" in url or "/members" in url
    ]
    assert read == []
