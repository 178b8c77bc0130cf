"""Links that this daemon opens, for its requests."""

import abc
import asyncio
import collections.abc
import dataclasses
import typing

from fescuestile import addresses
from fescuestile import position_sharing
from fescuestile_daemon.relay.peers import link_frames
from fescuestile_daemon.relay.peers import link_transport
from fescuestile_daemon.relay.peers import link_types

Kind = link_frames.Kind
LinkFailure = link_types.LinkFailure
Result = dict[str, typing.Any] | LinkFailure


class OutgoingOwner(abc.ABC):
    """Keeps the outgoing links."""

    @abc.abstractmethod
    def accept_hello(
        self, link: "OutgoingLink", hello: link_frames.Frame
    ) -> None:
        """Note that a link is up."""

    @abc.abstractmethod
    def receive_notice(self, peer: str, frame: link_frames.Frame) -> None:
        """Handle a notice of the peer."""

    @abc.abstractmethod
    def end_outgoing(self, link: "OutgoingLink", reason: str) -> None:
        """Note that a link has ended; ``is_retired`` if by intent."""


@dataclasses.dataclass(slots=True)
class Call:
    """A request in flight.

    :ivar deadline: on the boot clock
    """

    future: asyncio.Future[Result]
    deadline: float

    def end(self, result: Result) -> None:
        """Give the caller its result."""
        if not self.future.done():
            self.future.set_result(result)


class OutgoingLink(link_transport.LinkProtocol):
    """A link to a peer; requests wait in its queue until it is up.

    :ivar peer: the peer as it was listed when the link was opened
    :ivar is_named: whether the peer has answered the hello
    :ivar is_retired: whether the link takes no further requests
    """

    def __init__(
        self,
        context: link_types.LinkContext,
        peer: position_sharing.Peer,
        owner: OutgoingOwner,
    ) -> None:
        """Initialize; ``connect`` opens the connection."""
        super().__init__(context)
        self.peer = peer
        self.is_named = False
        self.is_retired = False
        self._owner = owner
        self._calls: dict[int, Call] = {}
        self._number = 0
        self._hello: asyncio.Future[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._is_ticking = False
        now = context.clock.now()
        self._heard_at = self._used_at = now
        self._pinged_at: float | None = None
        self._silence = 0.0

    async def connect(self, host: str | None) -> None:
        """Open the connection and exchange hellos, or end the link.

        :param host: source address, by which the peer knows this daemon
        """
        if self._is_ended:
            return
        loop = asyncio.get_running_loop()
        self._hello = loop.create_future()
        address = addresses.split_address(self.peer.address)
        try:
            async with asyncio.timeout(None) as limit:
                self._limit_connect(limit, self._options.connect)
                await loop.create_connection(
                    lambda: self,
                    *address,
                    local_addr=None if host is None else (host, 0),
                )
                await self._hello
        except TimeoutError:
            self.fail("no hello in time")
        except OSError as error:
            self.fail(f"not connected: {error}")

    def _limit_connect(self, limit: asyncio.Timeout, left: float) -> None:
        """Count the time in ticks, as in ``_tick``."""
        if left <= 0:
            limit.reschedule(asyncio.get_running_loop().time())
            return
        tick = min(self._options.tick, left)
        later = round(left - tick, 6)
        self._wait(tick, lambda: self._limit_connect(limit, later))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Say hello."""
        super().connection_made(transport)
        hello = self._context.make_hello(self.peer.name)
        self.send_now(link_frames.encode(Kind.HELLO, body=hello))

    def data_received(self, data: bytes) -> None:
        """Note that the peer is alive; handle the frames."""
        self._heard_at = self._context.clock.now()
        super().data_received(data)

    def receive(self, frame: link_frames.Frame) -> None:
        """Handle a frame."""
        kind = frame.kind
        if not self.is_named:
            if kind is Kind.HELLO and frame.body.get("name") == self.peer.name:
                self._accept(frame)
            else:
                self.fail("another daemon at the address of the peer")
        elif kind is Kind.ANSWER:
            self._end_call(frame.number, frame.body)
        elif kind is Kind.REFUSAL or kind is Kind.FAILURE:
            detail = str(frame.body.get("detail", ""))
            failure = LinkFailure(kind is Kind.FAILURE, detail)
            self._end_call(frame.number, failure)
        elif kind is Kind.PING:
            self.send_now(link_frames.encode(Kind.PONG, frame.number))
        elif kind is Kind.VERSION or kind is Kind.LEAVING:
            self._owner.receive_notice(self.peer.name, frame)
        elif kind is not Kind.PONG:
            self.fail(f"unexpected {kind.name}")

    async def call(
        self,
        request: collections.abc.Mapping[str, typing.Any],
        timeout: float,
    ) -> Result:
        """Send a request; return its answer.

        :param timeout: in seconds; a request that is still queued by then is
            withdrawn
        """
        if self.is_retired:
            return LinkFailure(False, "link closing")
        if len(self._calls) >= self._options.in_flight:
            return LinkFailure(False, "too many requests in flight")
        number = self._number + 1
        try:
            frame = link_frames.encode(Kind.REQUEST, number, request)
        except link_frames.MalformedFrame as error:
            return LinkFailure(False, str(error))
        if not self.send(frame, number):
            return LinkFailure(False, "too many bytes queued")
        self._context.counts.requests += 1
        self._number = number
        loop = asyncio.get_running_loop()
        self._used_at = now = self._context.clock.now()
        call = Call(loop.create_future(), now + timeout)
        self._calls[number] = call
        if self.is_named:
            self._start_ticking()
        timer = loop.call_later(timeout, self._time_out, number)
        try:
            result = await call.future
        finally:
            timer.cancel()
            self._calls.pop(number, None)
            if self.is_retired and not self._calls:
                self.retire()
        late = self._context.clock.now() - call.deadline
        if late > self._options.silence and isinstance(result, dict):
            # This process was suspended; the caller counts on nothing that
            # comes after its time.
            return LinkFailure(True, "answered too late")
        return result

    def is_wanted(self, number: int) -> bool:
        """Return whether a request's caller still waits."""
        call = self._calls.get(number)
        if call is None:
            return False
        if self._context.clock.now() <= call.deadline:
            return True
        call.end(LinkFailure(False, "timed out"))
        return False

    def retire(self) -> None:
        """Take no further requests; close once all calls have ended."""
        self.is_retired = True
        if not self._calls:
            self.fail("closed")

    def end(self, reason: str) -> None:
        """Fail all calls."""
        if self._timer is not None:
            self._timer.cancel()
        if self._hello is not None and not self._hello.done():
            self._hello.set_result(None)
        queued = self.find_queued()
        for number, call in self._calls.items():
            call.end(LinkFailure(number not in queued, reason))
        self._owner.end_outgoing(self, reason)

    def _accept(self, frame: link_frames.Frame) -> None:
        self.is_named = True
        if self._hello is not None and not self._hello.done():
            self._hello.set_result(None)
        self._owner.accept_hello(self, frame)
        self.accept_name()
        self._start_ticking()

    def _end_call(self, number: int, result: Result) -> None:
        call = self._calls.get(number)
        if call is not None:
            self._used_at = self._heard_at
            call.end(result)

    def _time_out(self, number: int) -> None:
        sent = number not in self.find_queued()
        self._calls[number].end(LinkFailure(sent, "timed out"))

    def _start_ticking(self) -> None:
        if not self._is_ticking:
            self._is_ticking = True
            self._wait(self._options.tick, self._tick)

    def _rest(self, now: float) -> None:
        """Check seldom while no request is in flight; a call restarts it."""
        options = self._options
        self._is_ticking = False
        if now - self._used_at < options.recent:
            self._wait(options.silence, self._tick)
        else:
            self._wait(options.idle, self.retire)

    def _wait(
        self, delay: float, callback: collections.abc.Callable[[], None]
    ) -> None:
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay, callback)

    def _tick(self) -> None:
        """Find out whether the peer is alive.

        Its silence is counted in ticks: a time in which this process does not
        run counts as one, as there may be answers that it has not read.
        """
        options = self._options
        self._is_ticking = True
        now = self._context.clock.now()
        if self._pinged_at is not None:
            self._silence += options.tick
            if self._heard_at > self._pinged_at:
                self._pinged_at = None
            elif self._silence >= options.silence - options.tick / 2:
                self.fail("silent")
                return
        if self._pinged_at is None:
            quiet = now - self._heard_at
            limit = options.quiet if self._calls else options.silence
            recent = now - self._used_at < options.recent
            if quiet >= limit and (self._calls or recent):
                self._pinged_at = now
                self._silence = 0.0
                self.send_now(link_frames.encode(Kind.PING, 0))
            elif not self._calls:
                self._rest(now)
                return
        self._wait(options.tick, self._tick)
