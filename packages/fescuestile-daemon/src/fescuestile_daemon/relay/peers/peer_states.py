"""What is known of each peer."""

import asyncio

from fescuestile import position_sharing
from fescuestile_daemon.relay.peers import incoming_links
from fescuestile_daemon.relay.peers import link_frames
from fescuestile_daemon.relay.peers import outgoing_links


class PeerState:
    """A registered peer, with its links and what it has said of itself.

    :ivar version: configuration version that it announced last
    :ivar is_down: whether requests fail until a probe has succeeded
    :ivar is_leaving: whether the peer has sent its leaving notice
    :ivar failures: failures in a row
    """

    def __init__(self, peer: position_sharing.Peer) -> None:
        """Initialize a reachable peer without links."""
        self.peer = peer
        self.outgoing: outgoing_links.OutgoingLink | None = None
        self.incoming: incoming_links.IncomingLink | None = None
        self.version: int | None = None
        self.is_down = False
        self.is_leaving = False
        self.failures = 0
        self.probe: asyncio.TimerHandle | None = None

    def read_hello(self, hello: link_frames.Frame) -> None:
        """Note what a peer says of itself."""
        version = hello.body.get("version")
        if isinstance(version, int):
            self.version = version
        self.is_leaving = hello.body.get("leaving") is True

    def cancel_probe(self) -> None:
        """Stop the wait for the next probe."""
        if self.probe is not None:
            self.probe.cancel()
            self.probe = None
