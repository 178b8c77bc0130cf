"""A daemon whose copy of the endpoints' registry is outdated."""

import asyncio

import pytest_asyncio

from soak import proxies

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


async def test_no_primary_is_replaced_from_an_outdated_registry(world, blind):
    """Guards against takeovers that do not know the present primary.

    The primary leaves, and an endpoint takes over that registered while one
    daemon does not hear from the registry.
    """
    group = world.groups["g0"]
    primary, *replicas = group.endpoints.values()
    client = await world.connect("primary", number=blind.number)
    await blind.blind()
    added = await group.add_endpoint("i-g0-3", "b")
    world.store.register(added)
    for replica in replicas:
        replica.faults.deaf = True
    await client.query("WRITE item a")
    world.store.register(primary, state="draining")
    async with asyncio.timeout(2.0):
        while group.primary is not added:
            await client.query("READ item")
            await asyncio.sleep(0.02)
    for replica in replicas:
        replica.faults.deaf = False
    world.store.register(added)
    loop = asyncio.get_running_loop()
    until = loop.time() + BLIND_SECONDS
    while loop.time() < until:
        await client.query("READ item")
        await asyncio.sleep(0.02)
    assert [name for name, _, _ in group.promotions] == [added.name]
    assert group.primary is added
    assert group.lost == []
