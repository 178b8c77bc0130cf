"""Daemons as processes that the soak starts, pauses and ends by their ids."""

import asyncio
import os
import pathlib
import signal
import socket
import sys

import yaml

START_SECONDS = 15.0


def find_port() -> int:
    """Return a free loopback port."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
    return port


class DaemonProcess:
    """One daemon; it keeps its addresses over restarts.

    :ivar stopping: SIGTERM was sent to the process that runs
    """

    def __init__(
        self, name: str, store: str, cloud: str, folder: pathlib.Path
    ) -> None:
        """Write the settings file."""
        self.name = name
        self.front = f"127.0.0.1:{find_port()}"
        self.ready = f"127.0.0.1:{find_port()}"
        self.stopping = False
        self.paused = False
        self._log = folder / f"{name}.log"
        self._boot = folder / f"{name}.yaml"
        self._boot.write_text(
            yaml.safe_dump(
                {
                    "node": name,
                    "ip": "127.0.0.1",
                    "zone": "a",
                    "listen": {"front": self.front, "ready": self.ready},
                    "platform": {"address": store},
                    "cloud": {"address": cloud},
                    "bounds": {"grace_s": 4.0},
                    "metrics_port": find_port(),
                }
            ),
            encoding="utf-8",
        )
        self._process: asyncio.subprocess.Process | None = None

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.returncode is None

    async def start(self) -> None:
        """Start the process."""
        self.stopping = self.paused = False
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "fescuestile_platform",
                stdout=log,
                stderr=log,
                env={**os.environ, "FESCUESTILE_BOOT": str(self._boot)},
            )

    async def is_ready(self) -> bool:
        """Ask the ready probe's page."""
        host, port = self.ready.split(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: soak\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    async def wait_ready(self) -> None:
        """Wait until it takes callers.

        :raises TimeoutError: it did not in time
        """
        async with asyncio.timeout(START_SECONDS):
            while not await self.is_ready():
                await asyncio.sleep(0.05)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._process is not None and self.running:
            if number is signal.SIGTERM:
                self.stopping = True
            if number in (signal.SIGSTOP, signal.SIGCONT):
                self.paused = number is signal.SIGSTOP
            self._process.send_signal(number)

    async def end(self, number: signal.Signals) -> None:
        """Send a signal and wait until the process is gone."""
        self.send(signal.SIGCONT)
        self.send(number)
        if self._process is None:
            return
        try:
            async with asyncio.timeout(8.0):
                await self._process.wait()
        except TimeoutError:
            self._process.kill()
            await self._process.wait()
