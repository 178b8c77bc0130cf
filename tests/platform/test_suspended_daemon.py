"""A daemon process that is stopped for seconds and goes on."""

import asyncio
import signal

import pytest

from soak import processes
from tests.platform.standins import line_server
from tests.platform.standins import world as worlds

STOPPED_SECONDS = 3.0


@pytest.fixture
def world_size():
    return 1, 0


def put(world, keys, version):
    spec = worlds.make_configuration(world.groups, version, {"north": keys})
    world.store.put("config", "main", spec)


async def test_a_woken_daemon_starts_no_work_by_a_revoked_key(world, tmp_path):
    """Guards against statements that reach it before its watch does."""
    put(world, ["k-north", "k-gone"], 2)
    address = world.store.address
    daemon = processes.DaemonProcess(0, address, address, tmp_path)
    await daemon.start()
    clients = {}
    try:
        await daemon.wait_ready()
        for key in ("k-north", "k-gone"):
            client = clients[key] = line_server.LineClient()
            await client.connect(daemon.caller_address, "g0-primary", key)
            async with asyncio.timeout(5):
                answer = await client.query("WRITE item before", "early")
                while line_server.get_error(answer):
                    answer = await client.query("WRITE item before", "early")
        daemon.send(signal.SIGSTOP)
        await asyncio.sleep(0.2)
        put(world, ["k-north"], 3)
        for key, client in clients.items():
            await client.send(f"QUERY late-{key} WRITE item x\r\n".encode())
        await asyncio.sleep(STOPPED_SECONDS)
        daemon.send(signal.SIGCONT)
        await asyncio.sleep(1.5)
    finally:
        for client in clients.values():
            client.close()
        await daemon.end(signal.SIGKILL)
    served = {id_ for id_, _ in world.groups["g0"].primary.tenants}
    assert "early" in served
    assert "late-k-north" in served
    assert "late-k-gone" not in served
