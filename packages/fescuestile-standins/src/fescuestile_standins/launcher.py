"""Starts, monitors and stops real processes for scenarios and the demo.

Hosts of a zone are loopback addresses, see ``hosts``; ports are assigned by
the operating system. A launcher stops only processes that it started.
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


_chosen_addresses: set[str] = set()


def choose_address(zone_number: int, host_number: int) -> str:
    """Return the ``IP:port`` of a host with a port free now.

    None is returned twice: its port stays free until a process listens.

    :param zone_number: number of the zone, from 0
    :param host_number: number of the host in its zone, from 1
    """
    ip = hosts.make_ip(zone_number, host_number)
    while True:
        with socket.socket() as probe:
            probe.bind((ip, 0))
            address = f"{ip}:{probe.getsockname()[1]}"
        if address not in _chosen_addresses:
            _chosen_addresses.add(address)
            return address


class Process:
    """Process started by the launcher."""

    def __init__(
        self,
        name: str,
        arguments: typing.Sequence[str],
        address: str,
        log_path: pathlib.Path,
    ) -> None:
        """Initialize without starting the process.

        :param name: unique name, used in error messages
        :param arguments: program and arguments
        :param address: ``IP:port`` that accepts connections when the
            process is ready
        :param log_path: file that its output is appended to
        """
        self.name = name
        self.address = address
        self.log_path = log_path
        self._arguments = tuple(arguments)
        self._popen: subprocess.Popen[bytes] | None = None
        self._is_frozen = False

    @property
    def running(self) -> bool:
        """Whether the process was started and has not exited."""
        return self._popen is not None and self._popen.poll() is None

    @property
    def pid(self) -> int:
        """Process id, 0 before the start."""
        return self._popen.pid if self._popen else 0

    @property
    def exit_code(self) -> int | None:
        """Exit code, negative for a signal, None before the exit."""
        return self._popen.poll() if self._popen else None

    def start(self) -> None:
        """Start the process; ``wait_ready`` waits until it is ready."""
        with open(self.log_path, "ab") as output:
            self._popen = subprocess.Popen(
                self._arguments,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    async def wait_ready(self, timeout: float = READY_TIMEOUT_SECONDS) -> None:
        """Wait until the process accepts connections at its address.

        :param timeout: longest wait in seconds
        :raises: ConnectionLost if it exited or the timeout passed
        """
        try:
            async with asyncio.timeout(timeout):
                while not await self._accepts():
                    if not self.running:
                        raise self._make_error("exited before it was ready")
                    await asyncio.sleep(POLL_SECONDS)
        except TimeoutError:
            raise self._make_error(
                f"was not ready within {timeout} s"
            ) from None

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
        """Request a graceful stop (SIGTERM)."""
        self._send(signal.SIGTERM)

    def kill(self) -> None:
        """Stop the process at once (SIGKILL)."""
        self._send(signal.SIGKILL)

    def freeze(self) -> None:
        """Pause the process until ``resume`` (SIGSTOP)."""
        self._send(signal.SIGSTOP)
        self._is_frozen = True

    def resume(self) -> None:
        """Continue the process after ``freeze`` (SIGCONT)."""
        self._send(signal.SIGCONT)
        self._is_frozen = False

    async def wait_exit(self, timeout: float = STOP_TIMEOUT_SECONDS) -> int:
        """Wait until the process has exited and return its exit code.

        :param timeout: longest wait in seconds
        :raises: ConnectionLost if the timeout passed
        """
        try:
            async with asyncio.timeout(timeout):
                while self.running:
                    await asyncio.sleep(POLL_SECONDS)
        except TimeoutError:
            raise self._make_error(
                f"did not exit within {timeout} s"
            ) from None
        return self.exit_code or 0

    async def stop(self, timeout: float = STOP_TIMEOUT_SECONDS) -> int:
        """Stop gracefully; kill the process after the timeout.

        :param timeout: longest wait for each exit, in seconds
        :returns: exit code
        """
        if self._is_frozen:
            self.resume()
        self.terminate()
        try:
            return await self.wait_exit(timeout)
        except errors.ConnectionLost:
            self.kill()
            return await self.wait_exit(timeout)

    def read_log(self) -> str:
        """Return the output up to now."""
        return self.log_path.read_text(errors="replace")

    def _send(self, number: signal.Signals) -> None:
        if self.running:
            os.kill(self.pid, number)

    def _make_error(self, message: str) -> errors.ConnectionLost:
        tail = self.read_log()[-LOG_TAIL_CHARACTERS:]
        return errors.ConnectionLost(
            message=f"{self.name} {message}; its log ends with:\n{tail}",
            step=STEP,
            peer=self.address,
        )


class Launcher:
    """Starts processes and stops all of them when it is closed."""

    def __init__(self, directory: str | pathlib.Path | None = None) -> None:
        """Initialize with a directory for logs and settings.

        :param directory: by default a temporary one, deleted at the end
        """
        self._own_directory = directory is None
        chosen = directory or tempfile.mkdtemp(prefix="fescuestile-")
        self.directory = pathlib.Path(chosen)
        self._processes: list[Process] = []

    async def __aenter__(self) -> "Launcher":
        """Register an exit handler that kills processes left running."""
        atexit.register(self._kill_all)
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop all processes."""
        await self.close()

    def start_module(
        self,
        name: str,
        module: str,
        arguments: typing.Sequence[str],
        address: str,
    ) -> Process:
        """Start a Python module as a process.

        :param name: name of the process, unique among those that run
        :param arguments: command line arguments
        :param address: ``IP:port`` that accepts connections when it is ready
        """
        command = (sys.executable, "-m", module, *arguments)
        return self._start(name, command, address)

    def start_binary(
        self,
        name: str,
        binary: str,
        arguments: typing.Sequence[str],
        address: str,
    ) -> Process:
        """Start a binary of the virtual environment as a process."""
        path = str(pathlib.Path(sys.executable).parent / binary)
        return self._start(name, (path, *arguments), address)

    def _start(
        self, name: str, command: typing.Sequence[str], address: str
    ) -> Process:
        log_path = self.directory / f"{name}.log"
        process = Process(name, command, address, log_path)
        self._processes.append(process)
        process.start()
        return process

    async def close(self) -> None:
        """Stop all processes, gracefully if they react to SIGTERM."""
        running = [process for process in self._processes if process.running]
        await asyncio.gather(*(process.stop() for process in running))
        atexit.unregister(self._kill_all)
        if self._own_directory:
            shutil.rmtree(self.directory, ignore_errors=True)

    def _kill_all(self) -> None:
        for process in self._processes:
            process.kill()
