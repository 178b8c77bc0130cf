"""One link to another daemon and the watch over its silence."""

import asyncio

import structlog
import websockets
from websockets.asyncio import connection as websocket_connection

from fescuestile import members

log = structlog.get_logger(__name__)

DOUBT_SECONDS = 0.5
PING_TIMEOUT_SECONDS = 1.0


class PeerLink:
    """One open websocket to another daemon, greeted on both sides.

    A link that was sent something and gave nothing back for a while is
    pinged, and ended when the ping goes unanswered. An idle link costs
    nothing.
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
        self._checking = False

    async def send(self, frame: bytes) -> bool:
        """Send a frame; return whether the link still stood."""
        if self._unanswered_since is None:
            self._unanswered_since = self._loop.time()
        try:
            await self.socket.send(frame)
        except (websockets.ConnectionClosed, OSError):
            return False
        return True

    def note_received(self) -> None:
        """Note that the other side gave a sign of life."""
        self._unanswered_since = None

    def is_doubtful(self) -> bool:
        """Tell whether the link should be checked now."""
        if self._checking or self._unanswered_since is None:
            return False
        return self._loop.time() - self._unanswered_since >= DOUBT_SECONDS

    async def check(self) -> None:
        """Ping the other side and end the link when it stays silent."""
        self._checking = True
        try:
            async with asyncio.timeout(PING_TIMEOUT_SECONDS):
                await (await self.socket.ping())
            self.note_received()
        except (TimeoutError, websockets.ConnectionClosed, OSError):
            log.warning("link silent", peer=self.peer.id)
            self.abort()
        finally:
            self._checking = False

    def abort(self) -> None:
        """End the link without waiting for the other side."""
        self.socket.transport.abort()
