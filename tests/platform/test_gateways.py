"""Daemons forward to a gateway where connections are scarce."""

import asyncio
import time

import pytest
import pytest_asyncio

from tests.platform.standins import line_server
from tests.platform.standins import world as worlds

get_row = line_server.get_row


@pytest.fixture
def world_size():
    """One group, and more daemons than connections."""
    return 1, 4


@pytest_asyncio.fixture
async def daemons(world):
    """Daemons that know each other and use gateways."""
    configuration = worlds.make_configuration(world.groups, version=2)
    configuration["services"][0]["max_conns"] = 3
    world.store.put("config", "main", configuration)
    async with asyncio.timeout(5.0):
        while not all(is_in_use(each) for each in world.daemons):
            await asyncio.sleep(0.05)
            for each in world.daemons:
                await each._peers.refresh()
    return world.daemons


def is_in_use(daemon):
    table = daemon.node._gateways
    return len(table._peers) == 4 and "g0" in table._in_use


def find_gateway(daemons):
    """Return the daemon that serves the group; all are in one zone."""
    return next(each for each in daemons if each.node._gateways._own)


def count(daemon, name):
    return sum(
        value
        for (counter, _), value in daemon.node.recorder.counters.items()
        if counter == name
    )


async def test_statements_of_all_daemons_run_at_the_gateway(world, daemons):
    """Guards against sessions that lose their guarantees by a hop."""
    gateway = find_gateway(daemons)
    before = count(gateway, "statements")
    for number in range(len(daemons)):
        client = await world.connect("read_your_writes", number=number)
        for text in ("BEGIN", f"WRITE item {number}", "COMMIT"):
            answer = await client.query(text)
            assert answer[0].startswith("COMPLETE"), (number, text, answer)
        assert get_row(await client.query("READ item")) == str(number)
    assert count(gateway, "statements") == before + 3 * len(daemons)
    assert count(gateway, "statements_for_peers") == 3 * (len(daemons) - 1)


async def test_a_gateway_that_is_gone_costs_half_a_second(world, daemons):
    gateway = find_gateway(daemons)
    others = [
        number for number, each in enumerate(daemons) if each is not gateway
    ]
    clients = [await world.connect("primary", number=n) for n in others]
    for client in clients:
        assert (await client.query("WRITE item a"))[0].startswith("COMPLETE")
    await gateway.abort()
    world.daemons.remove(gateway)
    for client in clients:
        began = time.monotonic()
        assert get_row(await client.query("READ item")) == "a"
        assert time.monotonic() - began < 0.5
        assert (await client.query("WRITE item a"))[0].startswith("COMPLETE")


async def test_a_gateway_hands_over_when_it_stops(world, daemons):
    gateway = find_gateway(daemons)
    number = next(n for n, each in enumerate(daemons) if each is not gateway)
    client = await world.connect("primary", number=number)
    await client.query("BEGIN")
    await client.query("WRITE item a")
    world.daemons.remove(gateway)
    closing = asyncio.create_task(gateway.close())
    await asyncio.sleep(0.1)
    other = await world.connect("primary", number=number)
    assert (await other.query("WRITE other b"))[0].startswith("COMPLETE")
    assert (await client.query("COMMIT"))[0].startswith("COMPLETE")
    await closing
