"""Starts, watches and ends real processes, for scenarios and the demo.

Hosts of zone z are the loopback addresses 127.0.z.N; ports come from the
operating system. Only processes that a launcher started are ended by it.
"""

import asyncio
import atexit
import contextlib
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import typing

from fescuestile import errors
from fescuestile_standins import hosts

READY_TIMEOUT_SECONDS = 20.0
STOP_TIMEOUT_SECONDS = 5.0
POLL_SECONDS = 0.02
LOG_TAIL_CHARACTERS = 2000
STEP = "launch"


def choose_address(zone_number: int, host_number: int) -> str:
    """Return ``IP:port`` of a host with a free port.

    :param zone_number: number of the zone, from 0
    :param host_number: number of the host in its zone, from 1
    """
    ip = hosts.make_ip(zone_number, host_number)
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return f"{ip}:{probe.getsockname()[1]}"


class Process:
    """One process that the launcher started."""

    def __init__(
        self,
        name: str,
        arguments: typing.Sequence[str],
        address: str,
        log_path: pathlib.Path,
    ) -> None:
        """Prepare a process.

        :param name: unique name, for messages
        :param arguments: program and arguments
        :param address: ``IP:port`` that accepts once it is ready
        :param log_path: file that takes its output
        """
        self.name = name
        self.address = address
        self.log_path = log_path
        self._arguments = tuple(arguments)
        self._child: subprocess.Popen[bytes] | None = None
        self._frozen = False

    @property
    def running(self) -> bool:
        """Whether it was started and has not ended."""
        return self._child is not None and self._child.poll() is None

    @property
    def pid(self) -> int:
        """Id of the process, 0 before it was started."""
        return self._child.pid if self._child else 0

    @property
    def exit_code(self) -> int | None:
        """Exit code, negative for a signal, None while it runs."""
        return self._child.poll() if self._child else None

    def start(self) -> None:
        """Start it; ``wait_ready`` waits until it serves."""
        with open(self.log_path, "ab") as output:
            self._child = subprocess.Popen(
                self._arguments,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    async def wait_ready(self, timeout: float = READY_TIMEOUT_SECONDS) -> None:
        """Wait until its address accepts connections.

        :raises: ConnectionLost when it ended or took too long
        """
        try:
            async with asyncio.timeout(timeout):
                while not await self._accepts():
                    if not self.running:
                        raise self._build_error("ended before it was ready")
                    await asyncio.sleep(POLL_SECONDS)
        except TimeoutError:
            raise self._build_error("was not ready in time") from None

    async def _accepts(self) -> bool:
        host, _, port = self.address.rpartition(":")
        try:
            _, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        writer.close()
        with contextlib.suppress(OSError):
            await writer.wait_closed()
        return True

    def terminate(self) -> None:
        """Ask it to stop gracefully."""
        self._send(signal.SIGTERM)

    def kill(self) -> None:
        """End it at once."""
        self._send(signal.SIGKILL)

    def freeze(self) -> None:
        """Pause it until ``wake``."""
        self._send(signal.SIGSTOP)
        self._frozen = True

    def wake(self) -> None:
        """Let it go on after ``freeze``."""
        self._send(signal.SIGCONT)
        self._frozen = False

    async def wait_exit(self, timeout: float = STOP_TIMEOUT_SECONDS) -> int:
        """Wait until it ended and return its exit code.

        :raises: ConnectionLost when it runs on
        """
        try:
            async with asyncio.timeout(timeout):
                while self.running:
                    await asyncio.sleep(POLL_SECONDS)
        except TimeoutError:
            raise self._build_error("did not end in time") from None
        return self.exit_code or 0

    async def stop(self, timeout: float = STOP_TIMEOUT_SECONDS) -> int:
        """Stop it gracefully, by force after the timeout, in seconds."""
        if self._frozen:
            self.wake()
        self.terminate()
        try:
            return await self.wait_exit(timeout)
        except errors.ConnectionLost:
            self.kill()
            return await self.wait_exit(timeout)

    def read_log(self) -> str:
        """Return what it wrote so far."""
        return self.log_path.read_text(errors="replace")

    def _send(self, number: signal.Signals) -> None:
        if self.running:
            os.kill(self.pid, number)

    def _build_error(self, message: str) -> errors.ConnectionLost:
        tail = self.read_log()[-LOG_TAIL_CHARACTERS:]
        return errors.ConnectionLost(
            message=f"{self.name} {message}; its log ends:\n{tail}",
            step=STEP,
            peer=self.address,
        )


class Launcher:
    """Starts processes and ends all of them when it closes."""

    def __init__(self, directory: str | pathlib.Path | None = None) -> None:
        """Keep logs and settings in a directory, by default a new one."""
        self._own_directory = directory is None
        chosen = directory or tempfile.mkdtemp(prefix="fescuestile-")
        self.directory = pathlib.Path(chosen)
        self._processes: list[Process] = []

    async def __aenter__(self) -> "Launcher":
        """Make sure that nothing outlives this process."""
        atexit.register(self._kill_all)
        return self

    async def __aexit__(self, *_: object) -> None:
        """End all processes."""
        await self.close()

    def start_module(
        self, name: str, module: str, arguments: typing.Sequence[str], at: str
    ) -> Process:
        """Start a Python module as a process.

        :param name: name of the process, unique among those that run
        :param arguments: its command line
        :param at: ``IP:port`` that accepts once it is ready
        """
        command = (sys.executable, "-m", module, *arguments)
        return self._start(name, command, at)

    def start_binary(
        self, name: str, binary: str, arguments: typing.Sequence[str], at: str
    ) -> Process:
        """Start a binary of the virtual environment as a process."""
        path = str(pathlib.Path(sys.executable).parent / binary)
        return self._start(name, (path, *arguments), at)

    def _start(
        self, name: str, command: typing.Sequence[str], at: str
    ) -> Process:
        log_path = self.directory / f"{name}.log"
        process = Process(name, command, at, log_path)
        self._processes.append(process)
        process.start()
        return process

    async def close(self) -> None:
        """End all processes, gracefully where they listen to it."""
        running = [one for one in self._processes if one.running]
        await asyncio.gather(*(one.stop() for one in running))
        atexit.unregister(self._kill_all)
        if self._own_directory:
            shutil.rmtree(self.directory, ignore_errors=True)

    def _kill_all(self) -> None:
        for process in self._processes:
            process.kill()
