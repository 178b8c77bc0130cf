"""A loopback proxy whose connections can be harmed."""

import asyncio
import dataclasses
import typing


@dataclasses.dataclass
class Harm:
    """What happens to the bytes of a proxy's connections.

    :ivar delay: seconds by which each piece is held up
    :ivar forward: bytes to the target pass
    :ivar backward: bytes from the target pass
    """

    delay: float = 0.0
    forward: bool = True
    backward: bool = True


class Proxy:
    """Relays connections to one target."""

    def __init__(self, target: str) -> None:
        """Take the target's ``IP:port``."""
        self.target = target
        self.harm = Harm()
        self._server: asyncio.Server | None = None
        self._silent: set[int] = set()
        self._writers: dict[int, tuple[typing.Any, typing.Any]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._next = 0

    @property
    def address(self) -> str:
        """Where the proxy listens."""
        assert self._server is not None
        return "{}:{}".format(*self._server.sockets[0].getsockname())

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)

    async def close(self) -> None:
        """End all connections."""
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
        """Let all open connections carry nothing more; new ones work."""
        self._silent.update(self._writers)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, port = self.target.split(":")
        try:
            other_reader, other_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        self._next += 1
        number = self._next
        self._writers[number] = (writer, other_writer)
        for source, sink, way in (
            (reader, other_writer, "forward"),
            (other_reader, writer, "backward"),
        ):
            task = asyncio.create_task(self._pump(number, source, sink, way))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _pump(
        self,
        number: int,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        way: str,
    ) -> None:
        try:
            while data := await source.read(65536):
                if self.harm.delay:
                    await asyncio.sleep(self.harm.delay)
                while not getattr(self.harm, way):
                    await asyncio.sleep(0.02)
                if number not in self._silent:
                    sink.write(data)
                    await sink.drain()
        except OSError:
            pass
        finally:
            self._writers.pop(number, None)
            sink.transport.abort()
