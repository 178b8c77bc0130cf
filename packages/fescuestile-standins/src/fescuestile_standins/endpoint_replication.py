"""Asynchronous replication between endpoints.

A replica connects to its primary and names its log; the primary streams
the entries it lacks, and an empty batch when there is nothing to send.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import time

import structlog
from websockets.asyncio import client
from websockets.asyncio import server
import websockets.exceptions

from fescuestile import codec
from fescuestile import endpoint_messages
from fescuestile import positions
from fescuestile_standins import endpoint_log
from fescuestile_standins import endpoint_state
from fescuestile_standins import tls

log = structlog.get_logger(__name__)
BATCH_ENTRIES = 500
KEEPALIVE_SECONDS = 0.05
SILENCE_SECONDS = 0.6
RETRY_SECONDS = 0.05
OPEN_SECONDS = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Pull:
    """First frame of a replica's connection to its primary.

    :ivar endpoint: name of the replica
    :ivar term: term that it replicates under
    :ivar starts: first entry of each term in its log
    :ivar last: last entry of its log
    """

    endpoint: str
    term: int
    starts: tuple[positions.TermStart, ...]
    last: positions.Position


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Entries that follow an index at which both logs agree."""

    term: int
    after: int
    entries: tuple[endpoint_log.Entry, ...] = ()


CODEC = codec.Codec((Pull, Batch))


@dataclasses.dataclass(frozen=True)
class Reach:
    """How an endpoint connects to others.

    :ivar ip: local IP that connections are bound to
    :ivar files: files for TLS, None for plain text
    """

    ip: str
    files: tls.TlsFiles | None = None


async def inspect_peers(
    addresses: collections.abc.Iterable[str],
    ip: str,
    files: tls.TlsFiles | None = None,
) -> list[endpoint_messages.Report]:
    """Return the reports of the endpoints that answer.

    :param addresses: ``IP:port`` of each
    :param ip: local IP that connections are bound to
    :param files: files for TLS, None for plain text
    """
    reach = Reach(ip, files)
    asked = (_inspect(address, reach) for address in addresses)
    reports = await asyncio.gather(*asked, return_exceptions=True)
    return [r for r in reports if isinstance(r, endpoint_messages.Report)]


async def _inspect(address: str, reach: Reach) -> endpoint_messages.Report:
    encode = endpoint_messages.CODEC.encode
    async with asyncio.timeout(OPEN_SECONDS), _open(address, reach) as peer:
        await peer.send(encode(endpoint_messages.Hello("endpoint", True)))
        await peer.send(encode(endpoint_messages.Inspect(1)))
        frame = await peer.recv(decode=False)
        report: endpoint_messages.Report = endpoint_messages.CODEC.decode(
            frame
        ).ok
        return report


def _open(address: str, reach: Reach) -> client.connect:
    return client.connect(
        tls.make_uri(address, reach.files),
        ssl=tls.create_client_context(reach.files),
        proxy=None,
        compression=None,
        max_size=None,
        ping_interval=None,
        close_timeout=OPEN_SECONDS,
        open_timeout=OPEN_SECONDS,
        local_addr=(reach.ip, 0),
    )


class Notifier:
    """Wakes all who wait for a change of the endpoint's state."""

    def __init__(self) -> None:
        """Start with nobody waiting."""
        self.version = 0
        self._event = asyncio.Event()

    def notify(self) -> None:
        """Wake everybody who waits now."""
        self.version += 1
        self._event.set()
        self._event = asyncio.Event()

    async def wait(self, version: int, timeout: float) -> None:
        """Wait until the version moves on, at most ``timeout`` seconds."""
        if version != self.version:
            return
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._event.wait(), timeout)


async def stream_entries(
    connection: server.ServerConnection,
    state: endpoint_state.EndpointState,
    changed: Notifier,
    pull: Pull,
) -> None:
    """Send a replica what its log lacks until the term ends.

    :param connection: connection on which the pull came
    :param state: the primary
    :param changed: notified when the state changes
    :param pull: the replica's request
    """
    if not state.serves_replica(pull.term):
        return
    theirs = positions.TermHistory(pull.starts, pull.last)
    sent = endpoint_log.find_common_index(state.log.history, theirs)
    while state.serves_replica(pull.term):
        version = changed.version
        entries = state.log.list_after(sent, BATCH_ENTRIES)
        batch = Batch(pull.term, sent, entries)
        await connection.send(CODEC.encode(batch))
        sent += len(entries)
        if sent == state.log.last.index:
            await changed.wait(version, KEEPALIVE_SECONDS)


class Puller:
    """Keeps a replica's log up to its primary's."""

    def __init__(
        self,
        state: endpoint_state.EndpointState,
        changed: Notifier,
        reach: Reach,
        delay: float,
    ) -> None:
        """Take the replica's state and how to reach out.

        :param reach: how to connect
        :param delay: seconds between an entry's arrival and its use
        """
        self._state = state
        self._changed = changed
        self._reach = reach
        self.delay = delay
        self._task: asyncio.Task[None] | None = None
        self._heard = time.monotonic()

    @property
    def silence(self) -> float:
        """Seconds since the primary was last heard."""
        if self._state.role is endpoint_messages.Role.PRIMARY:
            return 0.0
        return time.monotonic() - self._heard

    def follow(self, address: str) -> None:
        """Pull from a primary from now on.

        :param address: ``IP:port``
        """
        self.stop()
        self._heard = time.monotonic()
        self._task = asyncio.create_task(self._pull_always(address))

    def stop(self) -> None:
        """Pull no more."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    async def _pull_always(self, address: str) -> None:
        while True:
            try:
                await self._pull_once(address)
            except (
                OSError,
                TimeoutError,
                websockets.exceptions.WebSocketException,
            ):
                log.debug("pull ended", primary=address)
            await asyncio.sleep(RETRY_SECONDS)

    async def _pull_once(self, address: str) -> None:
        state = self._state
        async with _open(address, self._reach) as connection:
            history = state.log.history
            pull = Pull(state.name, state.term, history.starts, history.last)
            await connection.send(CODEC.encode(pull))
            queue: asyncio.Queue[tuple[float, Batch]] = asyncio.Queue()
            applying = asyncio.create_task(self._apply_from(queue))
            try:
                async for batch in self._receive(connection):
                    due = time.monotonic() + self.delay
                    queue.put_nowait((due, batch))
                    if applying.done():
                        return
            finally:
                applying.cancel()

    async def _receive(
        self, connection: client.ClientConnection
    ) -> collections.abc.AsyncIterator[Batch]:
        while True:
            frame = await asyncio.wait_for(connection.recv(), SILENCE_SECONDS)
            decoded = CODEC.decode(_to_bytes(frame))
            if decoded.is_error() or decoded.ok.term != self._state.term:
                return
            self._heard = time.monotonic()
            yield decoded.ok

    async def _apply_from(
        self, queue: asyncio.Queue[tuple[float, Batch]]
    ) -> None:
        while True:
            due, batch = await queue.get()
            wait = due - time.monotonic()
            if wait > 0:
                await asyncio.sleep(wait)
            before = (self._state.log.last, self._state.role)
            taken = self._state.accept(batch.term, batch.after, batch.entries)
            if not taken:
                return
            if before != (self._state.log.last, self._state.role):
                self._changed.notify()


def _to_bytes(frame: bytes | str) -> bytes:
    return frame if isinstance(frame, bytes) else frame.encode()
