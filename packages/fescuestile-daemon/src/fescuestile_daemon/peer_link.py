"""One link to another daemon and the probes that detect its loss."""

import asyncio

import structlog
import websockets
from websockets.asyncio import connection as websocket_connection

from fescuestile import members

log = structlog.get_logger(__name__)

PROBE_DELAY_SECONDS = 0.5
PING_TIMEOUT_SECONDS = 1.0


class PeerLink:
    """One open websocket to another daemon, greeted on both sides.

    When nothing arrives for a while after a frame was sent, the other side
    is pinged, and the link is closed if the ping is not answered. An idle
    link is never pinged and so costs nothing.
    """

    def __init__(
        self,
        socket: websocket_connection.Connection,
        peer: members.Member,
    ) -> None:
        """Wrap a socket whose greeting has been read."""
        self.peer = peer
        self.socket = socket
        self._loop = asyncio.get_running_loop()
        self._unanswered_since: float | None = None
        self._probing = False

    async def send(self, frame: bytes) -> bool:
        """Send a frame; return whether the link was still open."""
        if self._unanswered_since is None:
            self._unanswered_since = self._loop.time()
        try:
            await self.socket.send(frame)
        except (websockets.ConnectionClosed, OSError):
            return False
        return True

    def record_received(self) -> None:
        """Record that the other side is responsive."""
        self._unanswered_since = None

    def needs_probe(self) -> bool:
        """Return whether the link should be probed now."""
        if self._probing or self._unanswered_since is None:
            return False
        return (
            self._loop.time() - self._unanswered_since >= PROBE_DELAY_SECONDS
        )

    async def probe(self) -> None:
        """Ping the other side; close the link if no answer comes in time."""
        self._probing = True
        try:
            async with asyncio.timeout(PING_TIMEOUT_SECONDS):
                await (await self.socket.ping())
            self.record_received()
        except (TimeoutError, websockets.ConnectionClosed, OSError):
            log.warning("link unresponsive", peer=self.peer.id)
            self.abort()
        finally:
            self._probing = False

    def abort(self) -> None:
        """Close the link without waiting for the other side."""
        self.socket.transport.abort()
