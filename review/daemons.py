"""Daemon processes, started with the command of the deploy file."""

import asyncio
import contextlib
import os
import pathlib
import signal
import socket
import tomllib

import yaml

START_TIMEOUT_SECONDS = 20.0
INTERNAL_PORTS = [7440, 7455]
ZONES = ("muenchen", "ingolstadt", "landshut")


def choose_addresses(number: int, count: int) -> list[str]:
    """Return free addresses on a loopback IP of one daemon."""
    high, low = divmod(os.getpid() % (100 * 250), 250)
    addresses = []
    with contextlib.ExitStack() as probes:
        for _ in range(count):
            probe = probes.enter_context(socket.socket())
            probe.bind((f"127.{high + 100}.{low + 1}.{number + 101}", 0))
            addresses.append("{}:{}".format(*probe.getsockname()))
    return addresses


class DaemonProcess:
    """A daemon that keeps its addresses over restarts.

    :ivar caller_address: ``IP:port`` for callers
    """

    def __init__(
        self,
        number: int,
        store_address: str,
        cloud_address: str,
        folder: pathlib.Path,
    ) -> None:
        """Write the settings file, with the fields that DEPLOY.md shows."""
        self.name = f"front-{number}"
        addresses = choose_addresses(number, 4)
        self.caller_address, self._ready, control, metrics = addresses
        ip, _, port = metrics.partition(":")
        self._log_path = folder / f"{self.name}.log"
        self._boot_path = folder / f"{self.name}.yaml"
        settings = {
            "node": self.name,
            "role": "proxy",
            "machine_class": "front",
            "serves": ["front"],
            "ip": ip,
            "zone": ZONES[number % len(ZONES)],
            "region": "bayern",
            "zones": dict.fromkeys(ZONES, "bayern"),
            "listen": {
                "front": self.caller_address,
                "ready": self._ready,
                "control": control,
            },
            "internal_ports": INTERNAL_PORTS,
            "seeds": [],
            "bootstrap": True,
            "counts_as_loss": True,
            "limits": {"cores": 3, "memory_mb": 560, "max_fds": 8400},
            "heartbeat_ms": 1200,
            "bounds": {
                "contact_ms": 4000,
                "drain_ms": 7000,
                "grace_s": 6,
                "loss_slack_ms": 200,
                "config_apply_ms": 3000,
                "recovery_s": 12,
                "fencing_enabled": False,
                "thaw_ms": 300,
            },
            "platform": {"address": store_address, "form": "objects"},
            "cloud": {"address": cloud_address, "duties": ["promotion"]},
            "metrics_port": int(port),
        }
        self._boot_path.write_text(yaml.safe_dump(settings), encoding="utf-8")
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process; its output goes to a file."""
        deploy = tomllib.loads(
            pathlib.Path("deploy/system.toml").read_text(encoding="utf-8")
        )
        command = deploy["roles"]["proxy"]["run"].split(" ")
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = "target/deps"
        environment["FESCUESTILE_BOOT"] = str(self._boot_path)
        with self._log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *command, stdout=log, stderr=log, env=environment
            )

    async def is_ready(self) -> bool:
        """Return whether the ready probe answers 200."""
        host, port = self._ready.split(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    async def wait_ready(self) -> None:
        """Wait until the daemon is ready."""
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            while not await self.is_ready():
                await asyncio.sleep(0.02)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process and wait until it has ended."""
        self.send(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()

    async def wait_end(self, seconds: float) -> None:
        """Wait until the process has ended; kill it after that time."""
        try:
            async with asyncio.timeout(seconds):
                if self._process is not None:
                    await self._process.wait()
        except TimeoutError:
            await self.kill()

    def read_log(self) -> str:
        """Return what the process wrote."""
        if not self._log_path.exists():
            return ""
        return self._log_path.read_text(encoding="utf-8", errors="replace")
