"""Links to other daemons: websockets with CBOR frames."""

import asyncio
import collections.abc
import dataclasses
import itertools
import typing

import expression
import structlog
import websockets
from websockets.asyncio import client as websocket_client
from websockets.asyncio import connection as websocket_connection
from websockets.asyncio import server as websocket_server

from fescuestile import codec
from fescuestile import errors
from fescuestile import link_messages
from fescuestile import members
from fescuestile import results
from fescuestile_daemon import peer_link
from fescuestile_daemon import security
from fescuestile_daemon import tasks

log = structlog.get_logger(__name__)

CONNECT_TIMEOUT_SECONDS = 1.0
GREETING_TIMEOUT_SECONDS = 1.0
CLOSE_TIMEOUT_SECONDS = 0.5
CHECK_INTERVAL_SECONDS = 0.25

Handler = collections.abc.Callable[
    [str, typing.Any], collections.abc.Awaitable[None]
]
Reply = expression.Result[typing.Any, errors.FescuestileError]


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingRequest:
    """A request whose reply on a link is outstanding."""

    link: peer_link.PeerLink
    future: asyncio.Future[Reply]


class Links:
    """All links of one daemon, dialed on demand or accepted.

    A link is used in both directions, whichever daemon dialed it. Messages
    are dispatched by class to one handler each. An unresponsive link is
    closed, and the next message dials a new one.
    """

    def __init__(
        self,
        own: members.Member,
        ip: str,
        transport_security: security.TransportSecurity | None = None,
    ) -> None:
        """Initialize without links; ``start`` begins to accept them.

        :param own: the daemon itself
        :param ip: IP address that outgoing connections bind to
        :param transport_security: TLS or plain text, plain text by default
        """
        self._security = transport_security or security.PlainText()
        self._own = own
        self._ip = ip
        self._links: dict[str, peer_link.PeerLink] = {}
        self._handlers: dict[type, Handler] = {}
        self._pending: dict[int, _PendingRequest] = {}
        self._ids = itertools.count(1)
        self._dials: dict[str, asyncio.Task[peer_link.PeerLink | None]] = {}
        self._tasks = tasks.TaskSet()
        self._classes: list[type] = list(link_messages.CLASSES)
        self._codec = codec.Codec(self._classes)
        self._server: websocket_server.Server | None = None
        self.on_connected: list[
            collections.abc.Callable[[members.Member], None]
        ] = []
        self.on_lost: list[
            collections.abc.Callable[[members.Member], None]
        ] = []

    def add_handler(self, cls: type, handler: Handler) -> None:
        """Dispatch messages of a class to a handler.

        :param cls: message dataclass; it is added to the codec
        :param handler: coroutine function of (sender id, message)
        """
        self._handlers[cls] = handler
        self.add_classes((cls,))

    def add_classes(self, classes: typing.Iterable[type]) -> None:
        """Add message classes to the codec."""
        for cls in classes:
            if cls not in self._classes:
                self._classes.append(cls)
        self._codec = codec.Codec(self._classes)

    def set_own(self, own: members.Member) -> None:
        """Replace the member that the daemon announces in greetings."""
        self._own = own

    async def start(self, ip: str, port: int) -> None:
        """Accept links on an address."""
        self._server = await websocket_server.serve(
            self._accept,
            ip,
            port,
            ssl=self._security.link_server,
            compression=None,
            ping_interval=None,
            close_timeout=CLOSE_TIMEOUT_SECONDS,
            max_size=codec.MAX_FRAME_BYTES,
        )
        self._tasks.spawn(self._check_links())

    async def close(self) -> None:
        """Close all links; requests in flight end with ConnectionLost."""
        if self._server is not None:
            self._server.close()
        for link in tuple(self._links.values()):
            await link.socket.close()
        await self._tasks.close()

    def disconnect(self, member_id: str) -> None:
        """Close the link to a daemon that left the membership, if any."""
        link = self._links.get(member_id)
        if link is not None:
            link.abort()

    @property
    def port(self) -> int:
        """Port that links are accepted on."""
        assert self._server is not None
        sockets = tuple(self._server.sockets)
        return int(sockets[0].getsockname()[1])

    @property
    def count(self) -> int:
        """Number of open links."""
        return len(self._links)

    def is_connected(self, member_id: str) -> bool:
        """Return whether a link to a daemon is open."""
        return member_id in self._links

    async def send(self, member: members.Member, message: object) -> bool:
        """Send a one-way message, dialing first if there is no link.

        :returns: whether the message was written to an open link
        """
        link = await self.dial(member)
        if link is None:
            return False
        return await link.send(self._codec.encode(message))

    async def request(
        self,
        member: members.Member,
        make: collections.abc.Callable[[int], object],
        timeout: float,
    ) -> Reply:
        """Send a request and wait for its reply.

        :param member: daemon to send it to
        :param make: builds the message for the id it is given
        :param timeout: seconds
        :returns: the reply; NotRun when nothing was sent; ConnectionLost
            when it was sent and no reply arrived
        """
        link = await self.dial(member)
        if link is None:
            return expression.Error(
                errors.NotRun(
                    message="could not open a link to the daemon",
                    step="link",
                    peer=member.id,
                )
            )
        number = next(self._ids)
        future: asyncio.Future[Reply] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending[number] = _PendingRequest(link, future)
        try:
            if not await link.send(self._codec.encode(make(number))):
                return self._make_connection_lost(
                    member.id, "the link was lost"
                )
            return await asyncio.wait_for(future, timeout)
        except TimeoutError:
            return self._make_connection_lost(
                member.id, "no reply within the timeout"
            )
        finally:
            self._pending.pop(number, None)

    async def reply(self, peer: str, message: object) -> bool:
        """Send a reply on the open link to a daemon.

        :param peer: id of the daemon
        :returns: whether it was written to an open link
        """
        link = self._links.get(peer)
        if link is None:
            return False
        return await link.send(self._codec.encode(message))

    def resolve(self, number: int, message: object) -> None:
        """Complete the outstanding request that a reply belongs to, if any."""
        pending = self._pending.get(number)
        if pending is not None and not pending.future.done():
            pending.future.set_result(results.succeed(message))

    async def dial(self, member: members.Member) -> peer_link.PeerLink | None:
        """Return the link to a daemon, dialing it if there is none."""
        link = self._links.get(member.id)
        if link is not None:
            return link
        dialing = self._dials.get(member.id)
        if dialing is None:
            dialing = asyncio.create_task(
                self.dial_address(member.link_address)
            )
            self._dials[member.id] = dialing
            dialing.add_done_callback(
                lambda _: self._dials.pop(member.id, None)
            )
        dialed = await asyncio.shield(dialing)
        if dialed is None or dialed.peer.id != member.id:
            return None
        return dialed

    async def dial_address(self, address: str) -> peer_link.PeerLink | None:
        """Open a link to an address; None if that fails."""
        try:
            socket = await asyncio.wait_for(
                websocket_client.connect(
                    security.make_uri(address, self._security.link_client),
                    ssl=self._security.link_client,
                    compression=None,
                    ping_interval=None,
                    close_timeout=CLOSE_TIMEOUT_SECONDS,
                    proxy=None,
                    max_size=codec.MAX_FRAME_BYTES,
                    local_addr=(self._ip, 0),
                ),
                CONNECT_TIMEOUT_SECONDS,
            )
        except (OSError, TimeoutError, websockets.WebSocketException):
            return None
        await socket.send(
            self._codec.encode(link_messages.Greeting(self._own))
        )
        peer = await self._read_greeting(socket)
        if peer is None:
            await socket.close()
            return None
        link = self._register(peer_link.PeerLink(socket, peer))
        self._tasks.spawn(self._receive(link))
        return link

    async def _accept(self, socket: websocket_server.ServerConnection) -> None:
        peer = await self._read_greeting(socket)
        if peer is None:
            return
        await socket.send(
            self._codec.encode(link_messages.Greeting(self._own))
        )
        link = self._register(peer_link.PeerLink(socket, peer))
        await self._receive(link)

    async def _read_greeting(
        self, socket: websocket_connection.Connection
    ) -> members.Member | None:
        try:
            frame = await asyncio.wait_for(
                socket.recv(decode=False), GREETING_TIMEOUT_SECONDS
            )
        except (TimeoutError, websockets.ConnectionClosed):
            return None
        result = self._codec.decode(frame)
        if result.is_error():
            log.warning("malformed greeting rejected", error=str(result.error))
            return None
        if not isinstance(result.ok, link_messages.Greeting):
            return None
        return result.ok.member

    def _register(self, link: peer_link.PeerLink) -> peer_link.PeerLink:
        self._links[link.peer.id] = link
        log.info(
            "link to daemon opened", peer=link.peer.id, zone=link.peer.zone
        )
        for listener in self.on_connected:
            listener(link.peer)
        return link

    async def _receive(self, link: peer_link.PeerLink) -> None:
        try:
            async for frame in link.socket:
                link.record_received()
                if isinstance(frame, str):
                    frame = frame.encode()
                await self._dispatch(link.peer.id, frame)
        except websockets.ConnectionClosed:
            pass
        finally:
            self._remove(link)

    async def _check_links(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            for link in tuple(self._links.values()):
                if link.needs_probe():
                    self._tasks.spawn(link.probe())

    async def _dispatch(self, peer: str, frame: bytes) -> None:
        result = self._codec.decode(frame, peer)
        if result.is_error():
            log.warning(
                "malformed frame rejected", peer=peer, error=str(result.error)
            )
            return
        handler = self._handlers.get(type(result.ok))
        if handler is None:
            log.warning(
                "no handler for message", message=type(result.ok).__name__
            )
            return
        try:
            await handler(peer, result.ok)
        except Exception:
            log.exception("message handler failed", peer=peer)

    def _remove(self, link: peer_link.PeerLink) -> None:
        lost = self._make_connection_lost(link.peer.id, "the link was lost")
        for pending in tuple(self._pending.values()):
            if pending.link is link and not pending.future.done():
                pending.future.set_result(lost)
        if self._links.get(link.peer.id) is not link:
            return
        del self._links[link.peer.id]
        log.info("link to daemon lost", peer=link.peer.id)
        for listener in self.on_lost:
            listener(link.peer)

    def _make_connection_lost(self, peer: str, message: str) -> Reply:
        return expression.Error(
            errors.ConnectionLost(message=message, step="link", peer=peer)
        )
