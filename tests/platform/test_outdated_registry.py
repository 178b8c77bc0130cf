"""A daemon whose copy of the endpoints' registry is outdated."""

import asyncio

import pytest_asyncio

from soak import proxies
from tests.platform.standins import line_server

# The watch of a daemon whose connection is silent ends after this time.
BLIND_SECONDS = 3.0


class Blind:
    """A daemon that can be made to miss changes of the registry.

    Its open connections to the store become silent; new ones work.

    :ivar number: index of the daemon in the world
    """

    def __init__(self, world):
        self.number = len(world.daemons)
        self._world = world
        self._proxy = proxies.Proxy(world.store.address)

    async def start(self):
        await self._proxy.start()
        await self._world.start_daemon("blind", self._proxy.address)
        await self._world.wait_ready()

    async def close(self):
        await self._proxy.close()

    async def blind(self):
        """Silence the connections just after the watch has begun anew."""
        endpoint = next(iter(self._world.groups["g1"].endpoints.values()))
        self._world.store.register(endpoint, seq=2)
        await asyncio.sleep(0.2)
        self._proxy.silence()


@pytest_asyncio.fixture
async def blind(world):
    daemon = Blind(world)
    await daemon.start()
    yield daemon
    await daemon.close()


async def add_endpoint(world, name):
    added = await world.groups["g0"].add_endpoint(name, "b")
    world.store.register(added)
    return added


async def switch_over(world, successor, client):
    """Make the primary leave, and an endpoint its successor.

    The other endpoints are deaf from then on.
    """
    group = world.groups["g0"]
    primary = group.primary
    for endpoint in group.endpoints.values():
        endpoint.faults.deaf = endpoint not in (primary, successor)
    await client.query("WRITE item old")
    world.store.register(primary, state="draining")
    async with asyncio.timeout(2.0):
        while group.primary is not successor:
            await client.query("READ item")
            await asyncio.sleep(0.02)
    world.store.register(successor)


async def test_no_primary_is_replaced_from_an_outdated_registry(world, blind):
    """Guards against takeovers that do not know the present primary.

    The primary leaves, and an endpoint takes over that registered while one
    daemon does not hear from the registry.
    """
    group = world.groups["g0"]
    replicas = list(group.endpoints.values())[1:]
    client = await world.connect("primary", number=blind.number)
    await blind.blind()
    added = await add_endpoint(world, "i-g0-3")
    await switch_over(world, added, client)
    for replica in replicas:
        replica.faults.deaf = False
    loop = asyncio.get_running_loop()
    until = loop.time() + BLIND_SECONDS
    while loop.time() < until:
        await client.query("READ item")
        await asyncio.sleep(0.02)
    assert [name for name, _, _ in group.promotions] == [added.name]
    assert group.primary is added
    assert group.lost == []


async def test_no_read_is_stale_by_an_outdated_registry(world, blind):
    """Guards against positions of replicas that follow an unknown primary.

    The primary and the replica that acknowledge writes registered while one
    daemon does not hear from the registry.
    """
    group = world.groups["g0"]
    known = list(group.endpoints.values())
    reader = await world.connect("bounded_staleness", number=blind.number)
    await reader.query("READ item")
    await blind.blind()
    added = [await add_endpoint(world, f"i-g0-{n}") for n in (3, 4)]
    await switch_over(world, added[0], reader)
    for endpoint in known:
        endpoint.faults.deaf = True
    added[1].faults.deaf = False
    writer = await world.connect("primary")
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(1.0):
        while line_server.get_error(await writer.query("WRITE item new")):
            await asyncio.sleep(0.02)
    written_at = loop.time()
    while loop.time() < written_at + BLIND_SECONDS:
        began_at = loop.time()
        row = line_server.get_row(await reader.query("READ item"))
        if began_at > written_at + 1.5:
            assert row in ("new", None)
        await asyncio.sleep(0.02)
