"""Relays of ``wire``, which forward connections under its rules."""

import asyncio
import contextlib
import dataclasses

from fescuestile import addresses
from fescuestile_standins import wire_rules

CHUNK_BYTES = 64 * 1024
MAX_QUEUED_CHUNKS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Chunk:
    """Bytes in transit.

    :ivar data: empty for the end of the stream
    :ivar due: time of the event loop from which they may be delivered
    """

    data: bytes
    due: float


class RelayedConnection:
    """Connection from its source through the relay to the target."""

    def __init__(
        self,
        rules: wire_rules.Rules,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        target: str,
    ) -> None:
        """Initialize with an accepted connection.

        :param target: ``IP:port`` to forward to
        """
        self._rules = rules
        self._reader = reader
        self._writer = writer
        self._target = target
        self._is_silenced = False
        self._task: asyncio.Task[None] | None = None
        self.source_ip: str = writer.get_extra_info("peername")[0]
        self.target_ip = addresses.split_address(target)[0]

    async def run(self) -> None:
        """Forward bytes until both streams have ended."""
        self._task = asyncio.current_task()
        target_writer = None
        try:
            await self._rules.wait_until_healed(self.source_ip, self.target_ip)
            target_reader, target_writer = await self._connect()
            async with asyncio.TaskGroup() as group:
                group.create_task(self._forward(self._reader, target_writer))
                group.create_task(self._forward(target_reader, self._writer))
        except* (OSError, asyncio.CancelledError):
            self._writer.transport.abort()
        finally:
            self._writer.close()
            if target_writer is not None:
                target_writer.close()

    def silence(self) -> None:
        """Discard all bytes from now on."""
        self._is_silenced = True

    def drop(self) -> None:
        """Reset the connections to the source and the target."""
        if self._task is not None:
            self._task.cancel()

    async def _connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, port = addresses.split_address(self._target)
        return await asyncio.open_connection(
            host, port, local_addr=(self.source_ip, 0)
        )

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        queue: asyncio.Queue[Chunk] = asyncio.Queue(MAX_QUEUED_CHUNKS)
        sender = asyncio.create_task(self._send(queue, writer))
        loop = asyncio.get_running_loop()
        try:
            data = b"\0"
            while data:
                data = await self._read(reader)
                delay = self._rules.find_delay(self.source_ip, self.target_ip)
                await queue.put(Chunk(data, loop.time() + delay))
            await sender
        finally:
            sender.cancel()

    async def _read(self, reader: asyncio.StreamReader) -> bytes:
        """Return the next bytes, empty at the end or after a reset."""
        try:
            return await reader.read(CHUNK_BYTES)
        except OSError:
            return b""

    async def _send(
        self, queue: asyncio.Queue[Chunk], writer: asyncio.StreamWriter
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            chunk = await queue.get()
            await asyncio.sleep(max(0.0, chunk.due - loop.time()))
            await self._rules.wait_until_healed(self.source_ip, self.target_ip)
            if self._is_silenced:
                await self._discard(chunk)
                continue
            if not chunk.data:
                writer.write_eof()
                return
            writer.write(chunk.data)
            with contextlib.suppress(ConnectionError):
                await writer.drain()

    async def _discard(self, chunk: Chunk) -> None:
        """Discard a chunk; block at the end of the stream, not closing it."""
        if not chunk.data:
            await asyncio.Event().wait()


class Relay:
    """Listens on one address and forwards connections to another."""

    def __init__(self, rules: wire_rules.Rules, target: str) -> None:
        """Initialize a relay to ``IP:port``."""
        self._rules = rules
        self._target = target
        self._server: asyncio.Server | None = None
        self.connections: set[RelayedConnection] = set()

    async def start(self, listen: str) -> str:
        """Start listening and return the ``IP:port``.

        :param listen: ``IP:port``; port 0 selects a free port
        :raises OSError: the address is not available
        """
        host, port = addresses.split_address(listen)
        self._server = await asyncio.start_server(self._serve, host, port)
        bound = self._server.sockets[0].getsockname()[1]
        return f"{host}:{bound}"

    async def close(self) -> None:
        """Stop listening and reset the open connections."""
        if self._server is not None:
            self._server.close()
        for connection in tuple(self.connections):
            connection.drop()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = RelayedConnection(
            self._rules, reader, writer, self._target
        )
        self.connections.add(connection)
        try:
            await connection.run()
        finally:
            self.connections.discard(connection)
