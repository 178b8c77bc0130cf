"""Adapter of the endpoint port: websockets with CBOR frames."""

import asyncio
import collections.abc
import itertools
import ssl
import typing

import expression
import structlog
from websockets.asyncio import client
import websockets.exceptions

from fescuestile import endpoint_codec
from fescuestile import endpoint_messages
from fescuestile import errors
from fescuestile import ports
from fescuestile import positions
from fescuestile import results
from fescuestile_daemon import security

log = structlog.get_logger(__name__)
STEP_CONNECT = "connect endpoint"
STEP_SEND = "send command"
STEP_REPLY = "await reply"
CLOSE_TIMEOUT_SECONDS = 0.2
REPLY_GRACE_SECONDS = 0.5
MAX_FRAME_BYTES = 4 * 1024 * 1024

Answered = endpoint_messages.Answered
Report = endpoint_messages.Report


class WebsocketConnection(ports.EndpointConnection):
    """One websocket; replies are matched by command id.

    :ivar generation: number of this connection among those of its dialer;
        distinguishes it from earlier connections to the same endpoint
    """

    def __init__(
        self, socket: client.ClientConnection, address: str, generation: int
    ) -> None:
        """Initialize with an open websocket and start to read replies.

        :param address: ``IP:port``, named in errors
        """
        self.generation = generation
        self._socket = socket
        self._address = address
        self._ids = itertools.count(1)
        self._pending: dict[int, asyncio.Future[typing.Any]] = {}
        self._streams: dict[int, asyncio.Queue[Report | None]] = {}
        self._closed = False
        self._closing: asyncio.Task[None] | None = None
        self._reader = asyncio.create_task(self._read())

    @property
    def closed(self) -> bool:
        """Whether the connection was closed by either side."""
        return self._closed

    def next_id(self) -> int:
        """Return a new id for a command."""
        return next(self._ids)

    async def execute(
        self, command: endpoint_messages.Execute, timeout: float
    ) -> ports.Reply:
        """Run a statement."""
        return await self._request(command, timeout)

    async def begin(
        self, command: endpoint_messages.Begin, timeout: float
    ) -> ports.Reply:
        """Open a transaction."""
        return await self._request(command, timeout)

    async def commit(
        self, command: endpoint_messages.Commit, timeout: float
    ) -> ports.Reply:
        """Commit the open transaction."""
        return await self._request(command, timeout)

    async def rollback(
        self, command: endpoint_messages.Rollback, timeout: float
    ) -> ports.Reply:
        """Roll the open transaction back."""
        return await self._request(command, timeout)

    async def resolve(
        self, command: endpoint_messages.Resolve, timeout: float
    ) -> ports.Reply:
        """Resolve the outcome of a request id."""
        return await self._request(command, timeout)

    async def heartbeat(self, timeout: float) -> bool:
        """Return whether the endpoint answers on this connection."""
        command = endpoint_messages.Heartbeat(self.next_id())
        reply: ports.Reply = await self._request(command, timeout)
        return reply.is_ok()

    async def inspect(self, timeout: float) -> ports.ReportReply:
        """Request a status report."""
        command = endpoint_messages.Inspect(self.next_id())
        return await self._request(command, timeout)

    async def await_position(
        self, position: positions.Position, timeout: float
    ) -> ports.ReportReply:
        """Request a report once the endpoint's log holds a position."""
        command = endpoint_messages.AwaitPosition(
            self.next_id(), position, timeout
        )
        return await self._request(command, timeout + REPLY_GRACE_SECONDS)

    async def fence(
        self, term: int, driver: str, revision: int, timeout: float
    ) -> ports.ReportReply:
        """Have the endpoint promise a term to a driver."""
        command = endpoint_messages.Fence(
            self.next_id(), term, driver, revision
        )
        return await self._request(command, timeout)

    async def promote(
        self, term: int, driver: str, timeout: float
    ) -> ports.ReportReply:
        """Make the endpoint the primary of a promised term."""
        command = endpoint_messages.Promote(self.next_id(), term, driver)
        return await self._request(command, timeout)

    async def follow(
        self, term: int, primary: str, address: str, timeout: float
    ) -> ports.ReportReply:
        """Make the endpoint replicate from a primary."""
        command = endpoint_messages.Follow(
            self.next_id(), term, primary, address
        )
        return await self._request(command, timeout)

    async def record_revision(
        self, term: int, revision: int, timeout: float
    ) -> ports.ReportReply:
        """Have the term's primary record a revision of the endpoints."""
        command = endpoint_messages.RecordRevision(
            self.next_id(), term, revision
        )
        return await self._request(command, timeout)

    async def subscribe(
        self, interval: float
    ) -> collections.abc.AsyncIterator[Report]:
        """Yield reports until the connection is closed."""
        command = endpoint_messages.Subscribe(self.next_id(), interval)
        queue: asyncio.Queue[Report | None] = asyncio.Queue()
        self._streams[command.id] = queue
        try:
            if not await self._send(command):
                return
            while (report := await queue.get()) is not None:
                yield report
        finally:
            self._streams.pop(command.id, None)

    async def close(self) -> None:
        """Close the connection; commands in flight end in ConnectionLost."""
        self._mark_closed()
        await self._socket.close()
        self._reader.cancel()

    async def _send(self, command: typing.Any) -> bool:
        if self._closed:
            return False
        try:
            await self._socket.send(endpoint_codec.CODEC.encode(command))
        except websockets.exceptions.ConnectionClosed:
            self._mark_closed()
            return False
        return True

    async def _request(
        self, command: typing.Any, timeout: float
    ) -> expression.Result[typing.Any, errors.FescuestileError]:
        if self._closed:
            return expression.Error(
                errors.NotRun(
                    message="the connection is closed",
                    step=STEP_SEND,
                    peer=self._address,
                )
            )
        future = asyncio.get_running_loop().create_future()
        self._pending[command.id] = future
        try:
            async with asyncio.timeout(timeout):
                if await self._send(command):
                    return results.succeed(await future)
        except TimeoutError:
            return expression.Error(
                errors.UnknownOutcome(
                    message=f"no reply within {timeout:.3f} s",
                    step=STEP_REPLY,
                    peer=self._address,
                )
            )
        except errors.ConnectionLost as error:
            return expression.Error(error)
        finally:
            self._pending.pop(command.id, None)
        return expression.Error(
            self._make_loss(STEP_SEND, "the connection was closed")
        )

    async def _read(self) -> None:
        try:
            async for frame in self._socket:
                if isinstance(frame, str):
                    break
                decoded = endpoint_codec.CODEC.decode(frame, self._address)
                if decoded.is_error():
                    log.warning(
                        "malformed frame from endpoint",
                        error=str(decoded.error),
                    )
                    break
                self._deliver(decoded.ok)
        except websockets.exceptions.ConnectionClosed:
            log.debug("endpoint connection closed", endpoint=self._address)
        finally:
            self._mark_closed()
            self._closing = asyncio.create_task(self._socket.close())

    def _deliver(self, message: typing.Any) -> None:
        stream = self._streams.get(message.id)
        if stream is not None:
            stream.put_nowait(message)
            return
        future = self._pending.get(message.id)
        if future is not None and not future.done():
            future.set_result(message)

    def _mark_closed(self) -> None:
        self._closed = True
        for future in self._pending.values():
            if not future.done():
                future.set_exception(
                    self._make_loss(STEP_REPLY, "the connection was closed")
                )
        for stream in self._streams.values():
            stream.put_nowait(None)

    def _make_loss(self, step: str, message: str) -> errors.ConnectionLost:
        return errors.ConnectionLost(
            message=message, step=step, peer=self._address
        )


class WebsocketDialer(ports.EndpointDialer):
    """Opens connections from the daemon's own IP address."""

    def __init__(
        self, daemon: str, ip: str, context: ssl.SSLContext | None = None
    ) -> None:
        """Initialize for one daemon.

        :param daemon: id of the daemon, sent in Hello
        :param ip: local IP address that connections are bound to
        :param context: TLS context, None for plain text
        """
        self._context = context
        self._daemon = daemon
        self._ip = ip
        self._generations = itertools.count(1)

    async def connect(
        self, address: str, control: bool, timeout: float
    ) -> expression.Result[ports.EndpointConnection, errors.ConnectionLost]:
        """Open a connection and wait until the endpoint accepts it.

        :param address: ``IP:port``
        :param control: whether it is a control connection, see Hello
        :param timeout: seconds
        """
        try:
            async with asyncio.timeout(timeout):
                connection = await self._open(address)
        except (
            OSError,
            TimeoutError,
            websockets.exceptions.WebSocketException,
        ) as error:
            return expression.Error(_make_refusal(address, str(error)))
        hello = endpoint_messages.Hello(self._daemon, control)
        await connection.send(endpoint_codec.CODEC.encode(hello))
        opened = WebsocketConnection(
            connection, address, next(self._generations)
        )
        if await opened.heartbeat(timeout):
            return results.succeed(opened)
        await opened.close()
        reason = (
            connection.close_reason
            or "the endpoint did not answer the first heartbeat"
        )
        return expression.Error(_make_refusal(address, reason))

    async def _open(self, address: str) -> client.ClientConnection:
        return await client.connect(
            security.make_uri(address, self._context),
            ssl=self._context,
            proxy=None,
            compression=None,
            ping_interval=None,
            max_size=MAX_FRAME_BYTES,
            close_timeout=CLOSE_TIMEOUT_SECONDS,
            local_addr=(self._ip, 0),
        )


def _make_refusal(address: str, message: str) -> errors.ConnectionLost:
    return errors.ConnectionLost(
        message=message or "the connection failed",
        step=STEP_CONNECT,
        peer=address,
    )


def make_dialer(
    daemon: str, ip: str, context: ssl.SSLContext | None = None
) -> WebsocketDialer:
    """Return the dialer of a daemon.

    :param daemon: id of the daemon
    :param ip: local IP address that connections are bound to
    :param context: TLS context, None for plain text
    """
    return WebsocketDialer(daemon, ip, context)
