"""Endpoints whose connections belong to tenants, and pools of them."""

import asyncio

from fescuestile_daemon.relay.core import options
from fescuestile_daemon.relay.core import ports
from fescuestile_daemon.relay.endpoints import pool
from tests.relay.endpoints import test_channel_pool

ENTRY = test_channel_pool.ENTRY
RESTING_SECONDS = 0.05


class TenantEndpoint(test_channel_pool.FakeEndpoint):
    """Accepts a limited number of connections, each of a tenant.

    :ivar dialed: tenants of the connections opened, in order
    """

    def __init__(self, limit=100):
        super().__init__(limit)
        self.dialed = []

    async def dial(self, entry, tenant=""):
        connection = await super().dial(entry, tenant)
        if isinstance(connection, ports.EndpointConnection):
            connection.tenant = tenant
            self.dialed.append(tenant)
        return connection


def make_pool(endpoint, cap, **settings):
    """Return a pool with a cap and options."""
    settings = {"resting_transaction": RESTING_SECONDS} | settings
    return pool.ConnectionPool(
        ENTRY,
        endpoint,
        options.RelayOptions(**settings),
        cap,
        pool.Observer(lambda: None, lambda outcome: None),
    )


async def acquire(shared, tenant, seconds=1.0, **fields):
    """Acquire a connection for a tenant within some seconds."""
    async with asyncio.timeout(seconds):
        connection = await shared.acquire(tenant=tenant, **fields)
    assert isinstance(connection, ports.EndpointConnection)
    return connection
