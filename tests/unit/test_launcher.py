import asyncio
import os
import signal
import socket

import pytest

from fescuestile import errors
from fescuestile_standins import fleet as fleets
from fescuestile_standins import hosts
from fescuestile_standins import launcher as launchers
from tests import conftest


def test_each_parallel_test_process_has_its_own_network():
    """Guards against workers that share the network of their controller.

    Two workers on one network can pick the same free port of the same IP.
    """
    assert conftest.choose_network("gw0", "127.20") == "127.20"
    assert conftest.choose_network("gw3", "127.20") == "127.23"
    assert conftest.choose_network(None, "127.60") == "127.60"
    worker = os.environ.get("PYTEST_XDIST_WORKER")
    if worker is not None:
        network = conftest.choose_network(worker, None)
        assert hosts.make_ip(1, 1) == f"{network}.1.1"


def test_no_address_is_chosen_twice(monkeypatch):
    """Guards against a daemon that is to listen twice on one port.

    The system may pick the same port again, as nothing listens on it yet.
    """
    ports = iter((40001, 40001, 40002))

    class Probe(socket.socket):
        def bind(self, address):
            pass

        def getsockname(self):
            return ("", next(ports))

    monkeypatch.setattr(socket, "socket", Probe)
    first = launchers.choose_address(1, 99)
    assert launchers.choose_address(1, 99) != first


async def test_a_process_is_frozen_resumed_and_stopped(tmp_path):
    async with launchers.Launcher(tmp_path) as launcher:
        platform = await fleets.Fleet(launcher).start_platform()
        platform.freeze()
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(connect(platform.address), 0.3)
        platform.resume()
        await asyncio.wait_for(connect(platform.address), 5)
        assert await platform.stop() == 0


async def connect(address):
    """Open a connection, send a request and wait for a byte."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b"GET / HTTP/1.1\r\n\r\n")
    await reader.read(1)
    writer.close()


async def test_closing_stops_all_started_processes(tmp_path):
    async with launchers.Launcher(tmp_path) as launcher:
        fleet = fleets.Fleet(launcher)
        group = await fleet.start_group(fleets.GroupOptions())
        processes = list(group.endpoints.values())
        processes[0].freeze()
        processes[1].kill()
        assert await processes[1].wait_exit() == -signal.SIGKILL
    assert not any(process.running for process in processes)


async def test_the_error_of_a_failed_start_contains_the_log(tmp_path):
    async with launchers.Launcher(tmp_path) as launcher:
        address = launchers.choose_address(1, 1)
        process = launcher.start_module("none", "no_such_module", (), address)
        with pytest.raises(errors.ConnectionLost, match="no_such_module"):
            await process.wait_ready()
