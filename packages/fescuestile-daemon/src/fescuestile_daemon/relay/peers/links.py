"""Request and response links between daemons, over TCP.

Each daemon opens one link to each peer that it sends requests to. A link
carries many requests at a time, answered in any order. Notices of versions
and of a shutdown travel on links in both directions.
"""

import asyncio
import collections.abc
import random
import typing

import structlog

from fescuestile import addresses
from fescuestile import clock
from fescuestile import position_sharing
from fescuestile_daemon.relay.peers import incoming_links
from fescuestile_daemon.relay.peers import link_frames
from fescuestile_daemon.relay.peers import link_types
from fescuestile_daemon.relay.peers import outgoing_links
from fescuestile_daemon.relay.peers import pauses
from fescuestile_daemon.relay.peers import peer_states

log = structlog.get_logger()

Kind = link_frames.Kind
RequestHandler = link_types.RequestHandler
LinkFailure = link_types.LinkFailure
LinkOptions = link_types.LinkOptions

# Back-offs are longer by up to this part, so that the daemons that lost a
# peer together do not probe it together.
BACKOFF_SPREAD = 0.2
ACCEPT_BACKLOG = 256


class PeerLinks(outgoing_links.OutgoingOwner, incoming_links.IncomingOwner):
    """Links of this daemon to and from its peers.

    :ivar counts: counts for metrics
    """

    def __init__(
        self,
        name: str,
        find_version: collections.abc.Callable[[], int],
        prepare: (
            collections.abc.Callable[[asyncio.Transport], None] | None
        ) = None,
        options: LinkOptions | None = None,
        boot_clock: clock.Clock | None = None,
    ) -> None:
        """Initialize without peers; ``start`` listens.

        :param name: name of this daemon
        :param find_version: returns this daemon's configuration version
        :param prepare: sets the socket options of a new connection
        """
        self._name = name
        self._find_version = find_version
        self._options = options or LinkOptions()
        self._clock = boot_clock or clock.BootClock()
        self.counts = link_types.LinkCounts()
        self._context = link_types.LinkContext(
            self._options, self._clock, self._make_hello, prepare, self.counts
        )
        self.handler = None
        self.tasks = set()
        self._states: dict[str, peer_states.PeerState] = {}
        self._names_by_host: dict[str, set[str]] = {}
        self._unnamed: set[incoming_links.IncomingLink] = set()
        self._connecting: set[asyncio.Task[None]] = set()
        self._on_down: list[collections.abc.Callable[[str], None]] = []
        self._on_version: list[collections.abc.Callable[[str, int], None]] = []
        self._server: asyncio.Server | None = None
        self._host: str | None = None
        self._pauses = pauses.PauseMonitor(
            self._clock, self._options.pause, self._resynchronize
        )
        self._is_leaving = False
        self._is_closed = False

    def set_handler(self, handler: RequestHandler) -> None:
        """Serve requests; before, they are rejected as not run."""
        self.handler = handler

    def add_listener(
        self, on_down: collections.abc.Callable[[str], None]
    ) -> None:
        """Call a function with the name of each peer that gets down.

        It is not called for a leaving notice, as the link goes on.
        """
        self._on_down.append(on_down)

    def add_version_listener(
        self, on_version: collections.abc.Callable[[str, int], None]
    ) -> None:
        """Call a function with each version that a peer announces."""
        self._on_version.append(on_version)

    def set_peers(
        self, peers: collections.abc.Iterable[position_sharing.Peer]
    ) -> None:
        """Replace the daemons that may speak.

        Links of others take no further requests and close after the last
        answer.
        """
        listed = {peer.name: peer for peer in peers if peer.name != self._name}
        for name, state in list(self._states.items()):
            peer = listed.get(name)
            if peer is not None and peer.address == state.peer.address:
                state.peer = peer
                continue
            del self._states[name]
            state.cancel_probe()
            if state.outgoing is not None:
                state.outgoing.retire()
            if state.incoming is None:
                continue
            if peer is not None and state.incoming.is_from(peer):
                # The peer listens on another port since its start.
                moved = self._states[name] = peer_states.PeerState(peer)
                moved.incoming = state.incoming
                moved.version = state.version
            else:
                state.incoming.retire()
        self._names_by_host = {}
        for name, peer in listed.items():
            if name not in self._states:
                self._states[name] = peer_states.PeerState(peer)
            host, _ = addresses.split_address(peer.address)
            self._names_by_host.setdefault(host, set()).add(name)

    def get_peers(self) -> tuple[position_sharing.Peer, ...]:
        """Return the other daemons."""
        return tuple(state.peer for state in self._states.values())

    def is_reachable(self, peer: str) -> bool:
        """Return whether new work may be sent to a peer.

        It is unreachable from a failure until a probe succeeds, and from its
        leaving notice until it has started again.
        """
        state = self._states.get(peer)
        return state is not None and not state.is_down and not state.is_leaving

    def find_version(self, peer: str) -> int | None:
        """Return the configuration version that a peer announced last."""
        state = self._states.get(peer)
        return None if state is None else state.version

    async def call(
        self,
        peer: str,
        request: collections.abc.Mapping[str, typing.Any],
        timeout: float,
    ) -> dict[str, typing.Any] | LinkFailure:
        """Send a request to a peer; return its answer.

        The peer may still serve it if the caller is cancelled. An open link
        to a peer that is leaving takes requests, which accepted transactions
        need to end.

        :param timeout: in seconds
        """
        state = self._states.get(peer)
        result: dict[str, typing.Any] | LinkFailure
        if state is None or self._is_closed:
            result = LinkFailure(False, "unknown peer")
        elif state.is_down or (state.is_leaving and state.outgoing is None):
            result = LinkFailure(False, "unreachable")
        else:
            link = state.outgoing or self._open(state)
            result = await link.call(request, timeout)
        if isinstance(result, LinkFailure):
            self.counts.failures += 1
        return result

    def announce_version(self, version: int) -> None:
        """Tell the peers with a link this daemon's configuration version."""
        self._send_notice(link_frames.encode(Kind.VERSION, version))

    def announce_leaving(self) -> None:
        """Tell the peers to send no new work; accepted work goes on."""
        self._is_leaving = True
        self._send_notice(link_frames.encode(Kind.LEAVING))

    async def start(self, host: str, port: int) -> None:
        """Listen.

        :raises OSError: the address cannot be used
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: incoming_links.IncomingLink(self._context, self),
            host,
            port,
            backlog=ACCEPT_BACKLOG,
        )
        link_frames.load_codec()
        # Peers know this daemon by this address.
        self._host = host
        self._pauses.start()

    @property
    def port(self) -> int:
        """Port on which peers connect, 0 before ``start``."""
        if self._server is None or not self._server.sockets:
            return 0
        return int(self._server.sockets[0].getsockname()[1])

    async def close(self) -> None:
        """Close all links without calling the listeners."""
        self._is_closed = True
        self._pauses.close()
        if self._server is not None:
            self._server.close()
        for task in (*self.tasks, *self._connecting):
            task.cancel()
        for unnamed in list(self._unnamed):
            unnamed.fail("closed")
        for state in self._states.values():
            state.cancel_probe()
            if state.outgoing is not None:
                state.outgoing.fail("closed")
            if state.incoming is not None:
                # Answers that were just written are still sent.
                state.incoming.finish()
        # The event loop closes the transports in its next iteration.
        await asyncio.sleep(0)

    def _make_hello(self, receiver: str) -> dict[str, typing.Any]:
        return {
            "name": self._name,
            "to": receiver,
            "version": self._find_version(),
            "leaving": self._is_leaving,
        }

    def _send_notice(self, notice: bytes) -> None:
        for state in self._states.values():
            if state.outgoing is not None and state.outgoing.is_named:
                state.outgoing.send_now(notice)
            if state.incoming is not None:
                state.incoming.send_now(notice)

    def receive_notice(self, peer: str, frame: link_frames.Frame) -> None:
        """Note a version, or that a peer is leaving."""
        state = self._states.get(peer)
        if state is None:
            return
        if frame.kind is Kind.LEAVING:
            if not state.is_leaving:
                log.info("peer leaving", peer=peer)
            state.is_leaving = True
            if state.outgoing is None:
                self._schedule_probe(state)
            return
        state.version = frame.number
        self._report_version(peer, frame.number)

    def _report_version(self, peer: str, version: int | None) -> None:
        if version is not None:
            for on_version in self._on_version:
                on_version(peer, version)

    def _open(
        self, state: peer_states.PeerState
    ) -> outgoing_links.OutgoingLink:
        link = outgoing_links.OutgoingLink(self._context, state.peer, self)
        state.outgoing = link
        task = asyncio.get_running_loop().create_task(link.connect(self._host))
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)
        return link

    def accept_hello(
        self, link: outgoing_links.OutgoingLink, hello: link_frames.Frame
    ) -> None:
        """Note that a link is up and its peer reachable."""
        self.counts.opened += 1
        state = self._states.get(link.peer.name)
        if state is None or state.outgoing is not link:
            return
        state.cancel_probe()
        state.is_down = False
        state.failures = 0
        state.read_hello(hello)
        log.info("link up", peer=link.peer.name)
        self._report_version(link.peer.name, state.version)

    def end_outgoing(
        self, link: outgoing_links.OutgoingLink, reason: str
    ) -> None:
        """Back off from the peer, unless the link was closed by intent."""
        state = self._states.get(link.peer.name)
        if state is None or state.outgoing is not link or self._is_closed:
            return
        state.outgoing = None
        if link.is_retired and not state.is_leaving:
            return
        was_down = state.is_down or link.is_retired
        if not was_down:
            self.counts.lost += 1
            log.info("link down", peer=link.peer.name, reason=reason)
        self._schedule_probe(state)
        if not was_down:
            for on_down in self._on_down:
                on_down(link.peer.name)

    def _schedule_probe(self, state: peer_states.PeerState) -> None:
        options = self._options
        delay = min(
            options.backoff * 2.0 ** min(state.failures, 16),
            options.max_backoff,
        )
        state.failures += 1
        state.is_down = True
        state.cancel_probe()
        state.probe = asyncio.get_running_loop().call_later(
            delay * random.uniform(1.0, 1.0 + BACKOFF_SPREAD),
            self._probe,
            state,
        )

    def _probe(self, state: peer_states.PeerState) -> None:
        state.cancel_probe()
        if state.outgoing is None:
            self._open(state)

    def admit(self, link: incoming_links.IncomingLink) -> bool:
        """Return whether the source address of a connection is a peer's."""
        if (
            self._is_closed
            or link.host not in self._names_by_host
            or len(self._unnamed) >= self._options.unnamed
        ):
            self._refuse(link, "")
            return False
        self._unnamed.add(link)
        return True

    def accept_incoming(
        self, link: incoming_links.IncomingLink, hello: link_frames.Frame
    ) -> bool:
        """Return whether a hello is that of the peer at its address."""
        name = hello.body["name"]
        if (
            name not in self._names_by_host.get(link.host, ())
            or hello.body.get("to") != self._name
        ):
            self._refuse(link, name)
            return False
        self._unnamed.discard(link)
        self.counts.opened += 1
        state = self._states[name]
        if state.incoming is not None:
            # The peer has started again, or has given its old link up.
            state.incoming.fail("replaced")
        state.incoming = link
        state.read_hello(hello)
        log.info("link accepted", peer=name)
        if state.is_down and state.probe is not None:
            self._probe(state)
        self._report_version(name, state.version)
        return True

    def _refuse(self, link: incoming_links.IncomingLink, name: str) -> None:
        self.counts.refused += 1
        log.info("link refused", host=link.host, peer=name)

    def end_incoming(
        self, link: incoming_links.IncomingLink, reason: str
    ) -> None:
        """Tell the handler that the link of a peer was lost."""
        self._unnamed.discard(link)
        if not link.name or self._is_closed:
            return
        state = self._states.get(link.name)
        if state is not None and state.incoming is link:
            state.incoming = None
        log.info("incoming link down", peer=link.name, reason=reason)
        if self.handler is not None:
            self.handler.disconnect(link.name)

    def check_pause(self) -> None:
        """Find out whether this process was paused until now."""
        self._pauses.check()

    def _resynchronize(self, seconds: float) -> None:
        log.info("daemon was paused", seconds=round(seconds, 3))
        for state in self._states.values():
            if state.incoming is not None:
                state.incoming.resynchronize()
