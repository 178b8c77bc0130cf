"""A daemon of the platform as a child process, and what it occupies.

The settings lower the limits, so that a small crowd reaches them.
"""

import asyncio
import os
import pathlib
import resource
import signal
import sys
import time

import yaml

from soak import processes
from tests.platform.standins import group as wire_group
from tests.platform.standins import line_server
from tests.platform.standins import store as stores
from tests.platform.standins import world as worlds

DATABASE = "g0-primary"
# Memory and descriptors that the settings name, and that the tests allow.
MEMORY_MB = 128
MAX_DESCRIPTORS = 256
CLIENT_LIMITS = {
    "first_line_seconds": 2.0,
    "line_seconds": 3.0,
    "stalled_seconds": 3.0,
    "values": 32,
    "value_bytes": 1280 * 1024,
}
ANSWER_TIMEOUT_SECONDS = 40.0
KILL_TIMEOUT_SECONDS = 8.0


class Daemon:
    """A daemon in a process of its own, with a group of stand-ins.

    :ivar caller_address: ``IP:port`` for callers
    :ivar ready_address: ``IP:port`` of the readiness probe
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._store = stores.Store()
        self._group = wire_group.Group("g0")
        self._process: asyncio.subprocess.Process | None = None
        addresses = processes.choose_addresses(0, 3)
        self.caller_address, self.ready_address, self._metrics = addresses

    @property
    def pid(self) -> int:
        assert self._process is not None
        return self._process.pid

    @property
    def running(self) -> bool:
        return self._process is not None and self._process.returncode is None

    async def start(self) -> None:
        """Start the stand-ins and the daemon; wait until it serves."""
        await self._store.start()
        await self._group.start()
        self._store.groups["g0"] = self._group
        for endpoint in self._group.endpoints.values():
            self._store.register(endpoint)
        self._store.put("config", "main", worlds.make_configuration(["g0"]))
        path = self._folder / "daemon.yaml"
        path.write_text(yaml.safe_dump(self._make_settings()))
        with (self._folder / "daemon.log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "fescuestile_platform",
                stdout=log,
                stderr=log,
                env={**os.environ, "FESCUESTILE_BOOT": str(path)},
            )
        # Set from here, as a child that gRPC's threads are forked with may
        # end before it runs the daemon.
        limits = MAX_DESCRIPTORS, MAX_DESCRIPTORS
        resource.prlimit(self.pid, resource.RLIMIT_NOFILE, limits)
        await self.request()

    def _make_settings(self):
        ip, _, port = self._metrics.partition(":")
        return {
            "node": "daemon-0",
            "ip": ip,
            "zone": "a",
            "listen": {
                "front": self.caller_address,
                "ready": self.ready_address,
            },
            "platform": {"address": self._store.address},
            "cloud": {"address": self._store.address},
            "metrics_port": int(port),
            "limits": {"memory_mb": MEMORY_MB, "max_fds": MAX_DESCRIPTORS},
            "client_limits": CLIENT_LIMITS,
        }

    async def request(self, text: str = "READ item") -> None:
        """Have a statement answered by an ordinary caller.

        It tries again when it is refused, as callers do.

        :raises AssertionError: not answered within the timeout
        """
        end = time.monotonic() + ANSWER_TIMEOUT_SECONDS
        while time.monotonic() < end:
            assert self.running, "the daemon has exited"
            client = line_server.LineClient()
            try:
                greeting = await client.connect(self.caller_address, DATABASE)
                if greeting.startswith("READY"):
                    lines = await client.query(text)
                    if any(line.startswith("COMPLETE") for line in lines):
                        return
            except (OSError, TimeoutError, ValueError):
                pass
            finally:
                client.close()
            await asyncio.sleep(0.2)
        raise AssertionError("an ordinary request was not answered")

    def read_peak_mb(self) -> float:
        """Return the highest resident size since the start."""
        status = pathlib.Path(f"/proc/{self.pid}/status").read_text()
        for line in status.splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
        raise AssertionError("no peak memory")

    def count_descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self.pid}/fd"))

    async def close(self) -> None:
        """End the process and the stand-ins."""
        if self._process is not None and self.running:
            self._process.send_signal(signal.SIGKILL)
            async with asyncio.timeout(KILL_TIMEOUT_SECONDS):
                await self._process.wait()
        await self._group.close()
        await self._store.close()
