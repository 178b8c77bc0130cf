"""Links that peers open, for their requests."""

import abc
import asyncio

import structlog

from fescuestile import addresses
from fescuestile import position_sharing
from fescuestile_daemon.relay.peers import link_frames
from fescuestile_daemon.relay.peers import link_transport
from fescuestile_daemon.relay.peers import link_types

log = structlog.get_logger()

Kind = link_frames.Kind
# A connection that has not said its name by then is closed.
HELLO_SECONDS = 1.0


class IncomingOwner(abc.ABC):
    """Keeps the incoming links and serves their requests.

    :ivar handler: serves requests, None while none is set
    :ivar tasks: requests being served
    """

    handler: link_types.RequestHandler | None
    tasks: set[asyncio.Task[None]]

    @abc.abstractmethod
    def admit(self, link: "IncomingLink") -> bool:
        """Return whether the source address of a connection is a peer's."""

    @abc.abstractmethod
    def accept_incoming(
        self, link: "IncomingLink", hello: link_frames.Frame
    ) -> bool:
        """Return whether a hello is that of the peer at its address."""

    @abc.abstractmethod
    def receive_notice(self, peer: str, frame: link_frames.Frame) -> None:
        """Handle a notice of the peer."""

    @abc.abstractmethod
    def check_pause(self) -> None:
        """Call ``resynchronize`` of all links if this process was paused."""

    @abc.abstractmethod
    def end_incoming(self, link: "IncomingLink", reason: str) -> None:
        """Note that a connection has ended."""


class IncomingLink(link_transport.LinkProtocol):
    """A link from a peer.

    :ivar host: source address
    :ivar name: name of the peer, "" until its hello
    """

    def __init__(
        self, context: link_types.LinkContext, owner: IncomingOwner
    ) -> None:
        """Initialize; the event loop connects the transport."""
        super().__init__(context)
        self.host = ""
        self.name = ""
        self._owner = owner
        self._served = 0
        self._is_retired = False
        # Number of the ping after whose answer requests are served again.
        self._awaited_pong = 0
        self._is_stale = False
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Refuse a sender that is no peer; wait for its hello."""
        super().connection_made(transport)
        address = transport.get_extra_info("peername")
        self.host = str(address[0]) if address else ""
        if not self._owner.admit(self):
            self.fail("refused")
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(HELLO_SECONDS, self._time_out)

    def data_received(self, data: bytes) -> None:
        """Handle frames, unless they may be from before a pause."""
        self._owner.check_pause()
        super().data_received(data)

    def receive(self, frame: link_frames.Frame) -> None:
        """Handle a frame."""
        kind = frame.kind
        if not self.name:
            self._receive_hello(frame)
        elif kind is Kind.REQUEST:
            self._receive_request(frame)
        elif kind is Kind.PING:
            self.send_now(link_frames.encode(Kind.PONG, frame.number))
        elif kind is Kind.PONG:
            if frame.number == self._awaited_pong:
                self._is_stale = False
        elif kind is Kind.VERSION or kind is Kind.LEAVING:
            self._owner.receive_notice(self.name, frame)
        else:
            self.fail(f"unexpected {kind.name}")

    def resynchronize(self) -> None:
        """Serve no request that was written before this time.

        The peer's answer to the ping follows all that it had written; it may
        have given those requests up while this process was paused.
        """
        if self.name and self.is_open:
            self._is_stale = True
            self._awaited_pong += 1
            self.send_now(link_frames.encode(Kind.PING, self._awaited_pong))

    def is_from(self, peer: position_sharing.Peer) -> bool:
        """Return whether the link comes from the address of a peer."""
        return addresses.split_address(peer.address)[0] == self.host

    def retire(self) -> None:
        """Serve no further requests; close once those served have ended."""
        self._is_retired = True
        if self._served == 0:
            self.fail("no longer a peer")

    def end(self, reason: str) -> None:
        """Note the loss; requests being served go on."""
        if self._timer is not None:
            self._timer.cancel()
        self._owner.end_incoming(self, reason)

    def _time_out(self) -> None:
        if not self.name:
            self.fail("no hello in time")

    def _receive_hello(self, frame: link_frames.Frame) -> None:
        name = frame.body.get("name")
        if frame.kind is not Kind.HELLO or not isinstance(name, str):
            self.fail("no hello")
            return
        if not self._owner.accept_incoming(self, frame):
            self.fail("refused")
            return
        self.name = name
        hello = self._context.make_hello(name)
        self.send_now(link_frames.encode(Kind.HELLO, body=hello))
        self.accept_name()

    def _receive_request(self, frame: link_frames.Frame) -> None:
        detail = self._find_obstacle(frame.size)
        if detail:
            self._context.counts.rejected += 1
            refusal = {"detail": detail}
            self._reply(
                link_frames.encode(Kind.REFUSAL, frame.number, refusal)
            )
            return
        self._context.counts.served += 1
        self._context.held.used += frame.size
        self._served += 1
        task = asyncio.get_running_loop().create_task(self._serve(frame))
        self._owner.tasks.add(task)
        task.add_done_callback(self._owner.tasks.discard)

    def _find_obstacle(self, size: int) -> str:
        """Return why a request is not served, "" for no reason."""
        if self._owner.handler is None:
            return "requests are not served"
        if self._is_stale:
            return "the daemon was paused"
        if self._is_retired:
            return "not a peer"
        if (
            self._served >= self._options.served
            or len(self._owner.tasks) >= self._options.total_served
            or not self._context.held.has_room(size)
        ):
            return "too many requests"
        return ""

    async def _serve(self, frame: link_frames.Frame) -> None:
        handler = self._owner.handler
        try:
            # The handler was told of a loss before this request began, and
            # would not learn that it is to be rolled back.
            if handler is not None and self.is_open:
                answer = await handler.handle(self.name, frame.body)
                self._reply(
                    link_frames.encode(Kind.ANSWER, frame.number, answer)
                )
        except Exception as error:
            # The task is the request's own; the link goes on.
            log.exception("request of a peer failed", peer=self.name)
            failure = {"detail": type(error).__name__}
            self._reply(
                link_frames.encode(Kind.FAILURE, frame.number, failure)
            )
        finally:
            self._context.held.used -= frame.size
            self._served -= 1
            if self._is_retired:
                self.retire()

    def _reply(self, frame: bytes) -> None:
        if self.is_open and not self.send(frame):
            self.fail("the peer does not read")
