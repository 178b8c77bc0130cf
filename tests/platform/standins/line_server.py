"""Server and client of the line protocol, on loopback."""

import asyncio
import itertools
import typing


class LineHandler(typing.Protocol):
    """Handles the lines of one connection."""

    def receive(self, line: str) -> None:
        """Handle a line."""

    def disconnect(self) -> None:
        """Handle the end of the connection."""


class _LineProtocol(asyncio.Protocol):
    def __init__(self, server: "LineServer") -> None:
        self._server = server
        self._incomplete = b""
        self.handler: typing.Any = None
        self.transport: typing.Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self._server.transports.add(transport)
        self.handler = self._server.make_handler(transport)

    def data_received(self, data: bytes) -> None:
        lines = (self._incomplete + data).split(b"\r\n")
        self._incomplete = lines.pop()
        for line in lines:
            self.handler.receive(line.decode())

    def connection_lost(self, error: Exception | None) -> None:
        self._server.transports.discard(self.transport)
        self.handler.disconnect()


class LineServer:
    """Listens on a loopback port, which stays the same over restarts."""

    def __init__(
        self, make_handler: typing.Callable[[typing.Any], LineHandler]
    ) -> None:
        self.make_handler = make_handler
        self.transports: set[typing.Any] = set()
        self._server: asyncio.Server | None = None
        self._port = 0

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self._port}"

    @property
    def running(self) -> bool:
        return self._server is not None

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _LineProtocol(self), "127.0.0.1", self._port
        )
        self._port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Reset the connections and refuse new ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for transport in list(self.transports):
            transport.abort()


class LineClient:
    """A caller's connection."""

    _numbers = itertools.count(1)

    def __init__(self) -> None:
        self._reader: typing.Any = None
        self._writer: typing.Any = None

    async def connect(
        self, address: str, database: str, key: str = "caller"
    ) -> str:
        host, port = address.split(":")
        self._reader, self._writer = await asyncio.open_connection(
            host, int(port)
        )
        self._writer.write(f"CONNECT {database} {key}\r\n".encode())
        return await self._read_line()

    async def query(self, text: str, id_: str = "") -> list[str]:
        """Send a statement and return the lines of its answer."""
        id_ = id_ or f"f{next(self._numbers):x}"
        self._writer.write(f"QUERY {id_} {text}\r\n".encode())
        lines = []
        while True:
            lines.append(await self._read_line())
            if lines[-1].startswith("READY") or not lines[-1]:
                return lines

    async def send(self, data: bytes) -> None:
        self._writer.write(data)
        await self._writer.drain()

    async def read_rest(self) -> bytes:
        async with asyncio.timeout(5):
            return bytes(await self._reader.read())

    async def _read_line(self) -> str:
        async with asyncio.timeout(5):
            line = await self._reader.readline()
        return str(line.decode().rstrip("\r\n"))

    def close(self) -> None:
        if self._writer is not None:
            self._writer.close()


def get_row(lines: list[str]) -> str | None:
    """Return the first row of an answer."""
    rows = [line for line in lines if line.startswith("ROW ")]
    return rows[0].removeprefix("ROW ") if rows else None


def get_error(lines: list[str]) -> str | None:
    """Return the error code of an answer."""
    errors = [line for line in lines if line.startswith("ERROR ")]
    return errors[0].split(" ")[1] if errors else None
