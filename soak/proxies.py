"""Loopback proxy that injects faults into its connections."""

import asyncio
import dataclasses
import typing


@dataclasses.dataclass
class ProxyFaults:
    """Faults of a proxy's connections.

    :ivar delay: seconds that each chunk is delayed
    :ivar forward: whether bytes to the target are forwarded
    :ivar backward: whether bytes from the target are forwarded
    """

    delay: float = 0.0
    forward: bool = True
    backward: bool = True


class Proxy:
    """Forwards connections to one target."""

    def __init__(self, target: str) -> None:
        """Initialize with the target's ``IP:port``."""
        self.target = target
        self.faults = ProxyFaults()
        self._server: asyncio.Server | None = None
        self._silent: set[int] = set()
        self._writers: dict[int, tuple[typing.Any, typing.Any]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._last_number = 0

    @property
    def address(self) -> str:
        """``IP:port`` that the proxy listens on."""
        assert self._server is not None
        return "{}:{}".format(*self._server.sockets[0].getsockname())

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in self._tasks:
            task.cancel()

    def reset(self) -> None:
        """Reset all open connections."""
        for pair in self._writers.values():
            for writer in pair:
                writer.transport.abort()

    def silence(self) -> None:
        """Discard all bytes of the connections open now; new ones work."""
        self._silent.update(self._writers)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, port = self.target.split(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        self._last_number += 1
        number = self._last_number
        self._writers[number] = (writer, target_writer)
        for source, sink, direction in (
            (reader, target_writer, "forward"),
            (target_reader, writer, "backward"),
        ):
            task = asyncio.create_task(
                self._forward(number, source, sink, direction)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _forward(
        self,
        number: int,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        direction: str,
    ) -> None:
        try:
            while data := await source.read(65536):
                if self.faults.delay:
                    await asyncio.sleep(self.faults.delay)
                while not getattr(self.faults, direction):
                    await asyncio.sleep(0.02)
                if number not in self._silent:
                    sink.write(data)
                    await sink.drain()
        except OSError:
            pass
        finally:
            self._writers.pop(number, None)
            sink.transport.abort()
