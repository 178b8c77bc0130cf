"""No caller is served by an older configuration than the bounds allow."""

import asyncio
import functools

import pytest

from fescuestile_daemon.relay.groups import suspensions
from fescuestile_daemon.relay.peers import configuration_spread
from fescuestile_daemon.relay.peers import peer_configurations
from tests.platform.standins import line_server
from tests.platform.standins import world as worlds

BEFORE = {"north": ["k-north", "k-gone"]}
AFTER = {"north": ["k-north"]}
VERSION = 7


@pytest.fixture
def world_size():
    return 1, 2


@pytest.fixture
def proxied():
    return True


def put(world, tenants, version):
    spec = worlds.make_configuration(world.groups, version, tenants)
    world.store.put("config", "main", spec)
    return spec


async def wait_version(daemon, version, seconds=5.0):
    async with asyncio.timeout(seconds):
        while daemon.node.directory.table.version != version:
            await asyncio.sleep(0.01)


async def connect(world, key, number=0):
    client = line_server.LineClient()
    world.clients.append(client)
    address = world.caller_addresses[number]
    return client, await client.connect(address, "g0-primary", key)


def suspend(daemon, monkeypatch):
    """Let a suspension seem to have just ended."""
    monkeypatch.setattr(daemon.node._guard, "_seen_at", -100.0)


async def test_after_a_suspension_the_store_is_read_first(world, monkeypatch):
    """Guards against work by a key that was revoked meanwhile."""
    put(world, BEFORE, VERSION)
    daemon = world.daemons[0]
    await wait_version(daemon, VERSION)
    client, _ = await connect(world, "k-gone")
    world.store_proxies[0].silence()
    put(world, AFTER, VERSION + 1)
    await asyncio.sleep(0.2)
    assert daemon.node.directory.table.version == VERSION
    suspend(daemon, monkeypatch)
    assert not daemon.node.is_ready()
    answer = await client.query("WRITE item value", "late")
    assert line_server.get_error(answer) == "AUTHFAIL" or not answer[-1]
    assert daemon.node.directory.table.version == VERSION + 1
    served = {id_ for id_, _ in world.groups["g0"].primary.served}
    assert "late" not in served


async def test_a_caller_that_comes_after_a_suspension_goes_elsewhere(
    world, monkeypatch
):
    """Guards against a session that opens with a revoked key."""
    put(world, BEFORE, VERSION)
    await wait_version(world.daemons[0], VERSION)
    suspend(world.daemons[0], monkeypatch)
    _, answer = await connect(world, "k-gone")
    assert answer == "ERROR BUSY waking"


async def test_a_daemon_whose_store_is_away_goes_on_after_a_suspension(
    world, monkeypatch
):
    """Guards against daemons that stop because the store is unavailable."""
    put(world, BEFORE, VERSION)
    await wait_version(world.daemons[0], VERSION)
    client, _ = await connect(world, "k-north")
    await world.store_proxies[0].close()
    suspend(world.daemons[0], monkeypatch)
    answer = await client.query("READ item")
    assert line_server.get_error(answer) is None
    await asyncio.sleep(suspensions.READ_SECONDS)
    assert (await connect(world, "k-north"))[1] == "READY I -"


async def test_a_silent_connection_delays_a_version_within_its_bound(world):
    """Guards against a watch that is given up only after the time bound."""
    put(world, BEFORE, VERSION)
    daemon = world.daemons[0]
    await wait_version(daemon, VERSION)
    loop = asyncio.get_running_loop()
    world.store_proxies[0].silence()
    began_at = loop.time()
    put(world, AFTER, VERSION + 1)
    await wait_version(daemon, VERSION + 1, 6.0)
    bound = daemon._settings.bounds.config_apply_ms / 1000
    assert loop.time() - began_at < bound


class DirectLinks:
    """Links to daemons of the same world."""

    def __init__(self, world):
        self._handlers = {
            str(number): peer_configurations.ConfigurationHandler(
                functools.partial(getattr, daemon.applier, "document")
            )
            for number, daemon in enumerate(world.daemons)
        }

    async def call(self, peer, request, timeout):
        return await self._handlers[peer].handle("0", request)


async def test_a_peer_delivers_what_the_store_does_not(world):
    """Guards against a cut daemon that serves a key revoked long ago."""
    put(world, BEFORE, VERSION)
    cut, other = world.daemons
    await wait_version(cut, VERSION)
    client, _ = await connect(world, "k-gone")
    await world.store_proxies[0].close()
    spread = configuration_spread.ConfigurationSpread(
        cut.applier,
        peer_configurations.LinkedSource(DirectLinks(world)),
        lambda version: None,
    )
    cut.node.directory.add_listener(spread.handle_change)
    put(world, AFTER, VERSION + 1)
    await wait_version(other, VERSION + 1)
    spread.handle_announcement("1", VERSION + 1)
    await wait_version(cut, VERSION + 1, 1.0)
    spread.close()
    assert await client.read_rest() == b""
    assert (await connect(world, "k-gone"))[1].startswith("ERROR AUTHFAIL")
    assert cut.applier.document == other.applier.document
