"""Daemon processes, which the soak signals by their process ids."""

import asyncio
import contextlib
import os
import pathlib
import signal
import socket
import sys

import yaml

from soak import leaving

START_TIMEOUT_SECONDS = 15.0
INTERNAL_PORT = 7440


def choose_addresses(number: int, count: int) -> list[str]:
    """Return free ``IP:port`` of a loopback IP that one daemon listens on.

    Outgoing connections have the IP 127.0.0.1, and other processes of the
    soak choose other IPs, so nothing takes the ports of a daemon that is
    down.

    :param number: number of the daemon, unique in this process
    """
    high, low = divmod(os.getpid() % (100 * 250), 250)
    addresses = []
    with contextlib.ExitStack() as probes:
        for _ in range(count):
            probe = probes.enter_context(socket.socket())
            probe.bind((f"127.{high + 100}.{low + 1}.{number + 201}", 0))
            addresses.append("{}:{}".format(*probe.getsockname()))
    return addresses


class DaemonProcess:
    """Daemon that keeps its addresses when it is restarted.

    :ivar caller_address: ``IP:port`` for callers
    :ivar ready_address: ``IP:port`` of the readiness probe
    :ivar stopping: whether SIGTERM was sent to the running process
    :ivar paused: whether the running process is stopped by SIGSTOP
    """

    def __init__(
        self,
        number: int,
        store_address: str,
        cloud_address: str,
        folder: pathlib.Path,
    ) -> None:
        """Write the settings file.

        :param number: number of the daemon, unique in this process
        :param store_address: ``IP:port`` of the object store
        :param cloud_address: ``IP:port`` of the cloud's interface
        :param folder: folder for the settings and the log
        """
        self.name = name = f"daemon-{number}"
        addresses = choose_addresses(number, 3)
        self.caller_address, self.ready_address, metrics = addresses
        ip, _, metrics_port = metrics.partition(":")
        self.stopping = False
        self.paused = False
        self._log = folder / f"{name}.log"
        self._settings_path = folder / f"{name}.yaml"
        self._settings_path.write_text(
            yaml.safe_dump(
                {
                    "node": name,
                    "ip": ip,
                    "zone": "a",
                    "listen": {
                        "front": self.caller_address,
                        "ready": self.ready_address,
                    },
                    "platform": {"address": store_address},
                    "cloud": {"address": cloud_address},
                    "bounds": {
                        "grace_s": 4.0,
                        "drain_ms": leaving.DRAIN_SECONDS * 1000,
                        "config_apply_ms": leaving.KNOWN_SECONDS * 1000,
                    },
                    "metrics_port": int(metrics_port),
                    # The port is free: each daemon has an IP of its own.
                    "internal_ports": [INTERNAL_PORT],
                }
            ),
            encoding="utf-8",
        )
        self._process: asyncio.subprocess.Process | None = None

    @property
    def running(self) -> bool:
        """Whether the process was started and has not exited."""
        return self._process is not None and self._process.returncode is None

    async def start(self) -> None:
        """Start the process and append its output to the log."""
        self.stopping = self.paused = False
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "fescuestile_platform",
                stdout=log,
                stderr=log,
                env={
                    **os.environ,
                    "FESCUESTILE_BOOT": str(self._settings_path),
                },
            )

    async def is_ready(self) -> bool:
        """Return whether the readiness probe answers with status 200."""
        host, port = self.ready_address.split(":")
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
        """Wait until the daemon accepts callers.

        :raises TimeoutError: not ready after ``START_TIMEOUT_SECONDS``
        """
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            while not await self.is_ready():
                await asyncio.sleep(0.05)

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self._process is not None and self.running:
            if signal_number is signal.SIGTERM:
                self.stopping = True
            if signal_number in (signal.SIGSTOP, signal.SIGCONT):
                self.paused = signal_number is signal.SIGSTOP
            self._process.send_signal(signal_number)

    async def end(self, signal_number: signal.Signals) -> None:
        """Send a signal and wait for the exit; kill the process after 8 s."""
        self.send(signal.SIGCONT)
        self.send(signal_number)
        if self._process is None:
            return
        try:
            async with asyncio.timeout(8.0):
                await self._process.wait()
        except TimeoutError:
            self._process.kill()
            await self._process.wait()
