"""Opened connections of a pool in the load of many tenants, virtual time."""

import asyncio
import time

from measurements import connection_sharing
from tests import tenant_endpoints
from tests import virtual_time

ENDPOINT_CONNECTIONS = 70
WARM_UP_SECONDS = 120.0
SECONDS = 420.0
TRIM_SECONDS = 0.2


async def measure_opened():
    """Return connections opened per statement after the warm-up."""
    endpoint = tenant_endpoints.TenantEndpoint(ENDPOINT_CONNECTIONS)
    shared = tenant_endpoints.make_pool(endpoint, connection_sharing.CAP)
    shared.is_retaining = True
    slots = asyncio.Semaphore(connection_sharing.SLOTS)
    opened = served = 0

    async def run(statement):
        nonlocal opened, served
        dials = endpoint.dials
        async with slots:
            connection = await tenant_endpoints.acquire(
                shared, statement.tenant, level=statement.level
            )
            await asyncio.sleep(statement.seconds)
            await connection.call()
            shared.release(connection)
        if statement.arrived_at < WARM_UP_SECONDS:
            opened = dials
        else:
            served += 1

    async def trim():
        while True:
            await asyncio.sleep(TRIM_SECONDS)
            shared.usage = endpoint.open / ENDPOINT_CONNECTIONS
            shared.trim()

    trimming = asyncio.create_task(trim())
    started = time.monotonic()
    async with asyncio.TaskGroup() as group:
        for statement in connection_sharing.create_statements(
            1, connection_sharing.RATES[0], SECONDS
        ):
            left = started + statement.arrived_at - time.monotonic()
            await asyncio.sleep(max(0.0, left))
            group.create_task(run(statement))
    trimming.cancel()
    assert endpoint.open <= connection_sharing.CAP
    return (endpoint.dials - opened) / served


def test_84_tenants_of_skew_1_2_open_few_connections(monkeypatch):
    """Guards against a connection opened for every few statements."""
    opened = virtual_time.run(measure_opened(), monkeypatch)
    assert opened < connection_sharing.TARGET_OPENED
