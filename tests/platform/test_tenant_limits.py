"""Daemons on loopback enforce the limits of tenants together."""

import asyncio

import pytest
import pytest_asyncio

from fescuestile_platform import peers as peers_adapter
from tests.platform.standins import line_server
from tests.platform.standins import world as worlds

KEY = "key-of-tenant"


@pytest_asyncio.fixture
async def limited(monkeypatch):
    """Two daemons that list each other soon, and one limited tenant."""
    monkeypatch.setattr(peers_adapter, "FIRST_DELAY_SECONDS", (0.2, 0.3))
    world = worlds.World(daemons=2)
    await world.start()
    configuration = worlds.make_configuration(world.groups, version=2)
    configuration["tenants"] = [
        {"name": "t", "api_keys": [KEY], "rate_per_s": 2.0, "burst": 4}
    ]
    world.store.put("config", "main", configuration)
    async with asyncio.timeout(10.0):
        while not all(each.node.limiter._limits for each in world.daemons):
            await asyncio.sleep(0.02)
    yield world
    await world.close()


async def connect(world, number):
    client = line_server.LineClient()
    world.clients.append(client)
    opened = await client.connect(
        world.caller_addresses[number], "g0-bounded_staleness", KEY
    )
    assert opened == "READY I -"
    return client


async def test_two_daemons_admit_one_limit(limited):
    """Guards against a limit for each daemon, and a refusal that waits."""
    clients = [await connect(limited, number) for number in range(2)]
    async with asyncio.timeout(15.0):
        while True:
            answer = await clients[0].query("READ item")
            if line_server.get_error(answer) is None:
                break
            await asyncio.sleep(0.1)
    await asyncio.sleep(1.0)
    answers = [
        await client.query("READ item")
        for _ in range(60)
        for client in clients
    ]
    errors = [line_server.get_error(answer) for answer in answers]
    served = errors.count(None)
    assert 1 <= served < 40
    assert all(error is None or "BUSY" in error for error in errors)


async def test_a_refused_transaction_holds_nothing(limited):
    """Guards against connections held for refused transactions."""
    client = await connect(limited, 0)
    for _ in range(30):
        await client.query("BEGIN")
        answer = await client.query("READ item")
        if line_server.get_error(answer) is not None:
            break
        await client.query("COMMIT")
    else:
        pytest.fail("nothing was refused")
    session = next(iter(limited.daemons[0].node.sessions))
    assert session._transaction.connection is None
    await client.query("ROLLBACK")
