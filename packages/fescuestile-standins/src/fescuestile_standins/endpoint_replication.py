"""Asynchronous replication between endpoints.

A replica connects to its primary and describes its log; the primary streams
the missing entries, and empty batches as keepalives when there are none.
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
from fescuestile import endpoint_codec
from fescuestile import endpoint_messages
from fescuestile import positions
from fescuestile_standins import endpoint_log
from fescuestile_standins import endpoint_state
from fescuestile_standins import tls

log = structlog.get_logger(__name__)
MAX_BATCH_ENTRIES = 500
KEEPALIVE_INTERVAL_SECONDS = 0.05
RECEIVE_TIMEOUT_SECONDS = 0.6
RETRY_DELAY_SECONDS = 0.05
OPEN_TIMEOUT_SECONDS = 0.5


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
    """Entries that follow an index up to which both logs are equal."""

    term: int
    after: int
    entries: tuple[endpoint_log.Entry, ...] = ()


CODEC = codec.Codec((Pull, Batch))


@dataclasses.dataclass(frozen=True)
class ConnectOptions:
    """Options of an endpoint's outgoing connections.

    :ivar ip: local IP address that connections are bound to
    :ivar files: files for TLS, None for plain text
    """

    ip: str
    files: tls.TlsFiles | None = None


async def inspect_peers(
    addresses: collections.abc.Iterable[str],
    ip: str,
    files: tls.TlsFiles | None = None,
) -> list[endpoint_messages.Report]:
    """Return the reports of the endpoints that answer in time.

    :param addresses: ``IP:port`` of each
    :param ip: local IP address that connections are bound to
    :param files: files for TLS, None for plain text
    """
    connect_options = ConnectOptions(ip, files)
    pending = (_inspect(address, connect_options) for address in addresses)
    reports = await asyncio.gather(*pending, return_exceptions=True)
    return [
        report
        for report in reports
        if isinstance(report, endpoint_messages.Report)
    ]


async def _inspect(
    address: str, connect_options: ConnectOptions
) -> endpoint_messages.Report:
    encode = endpoint_codec.CODEC.encode
    async with (
        asyncio.timeout(OPEN_TIMEOUT_SECONDS),
        _open(address, connect_options) as peer,
    ):
        await peer.send(encode(endpoint_messages.Hello("endpoint", True)))
        await peer.send(encode(endpoint_messages.Inspect(1)))
        frame = await peer.recv(decode=False)
        report: endpoint_messages.Report = endpoint_codec.CODEC.decode(
            frame
        ).ok
        return report


def _open(address: str, connect_options: ConnectOptions) -> client.connect:
    return client.connect(
        tls.make_uri(address, connect_options.files),
        ssl=tls.create_client_context(connect_options.files),
        proxy=None,
        compression=None,
        max_size=None,
        ping_interval=None,
        close_timeout=OPEN_TIMEOUT_SECONDS,
        open_timeout=OPEN_TIMEOUT_SECONDS,
        local_addr=(connect_options.ip, 0),
    )


class Notifier:
    """Wakes the tasks that wait for a change of the endpoint's state."""

    def __init__(self) -> None:
        """Initialize with version 0."""
        self.version = 0
        self._event = asyncio.Event()

    def notify(self) -> None:
        """Increment the version and wake all waiting tasks."""
        self.version += 1
        self._event.set()
        self._event = asyncio.Event()

    async def wait(self, version: int, timeout: float) -> None:
        """Wait until the version is another one.

        :param version: version that the waiting task has seen
        :param timeout: longest wait in seconds
        """
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
    """Send a replica the entries missing in its log, until the term ends.

    :param connection: connection that the pull request arrived on
    :param state: state of the primary
    :param changed: notified of each change of the state
    :param pull: the replica's request
    """
    if not state.serves_replica(pull.term):
        return
    replica_history = positions.TermHistory(pull.starts, pull.last)
    sent_index = endpoint_log.find_common_index(
        state.log.history, replica_history
    )
    while state.serves_replica(pull.term):
        version = changed.version
        entries = state.log.list_after(sent_index, MAX_BATCH_ENTRIES)
        batch = Batch(pull.term, sent_index, entries)
        await connection.send(CODEC.encode(batch))
        sent_index += len(entries)
        if sent_index == state.log.last.index:
            await changed.wait(version, KEEPALIVE_INTERVAL_SECONDS)


class ReplicationClient:
    """Replicates the primary's log into a replica's."""

    def __init__(
        self,
        state: endpoint_state.EndpointState,
        changed: Notifier,
        connect_options: ConnectOptions,
        delay: float,
    ) -> None:
        """Initialize without a primary, see ``follow``.

        :param state: state of the replica
        :param changed: notified of each change of the state
        :param connect_options: options of the connection to the primary
        :param delay: seconds between receiving and applying an entry
        """
        self._state = state
        self._changed = changed
        self._connect_options = connect_options
        self.delay = delay
        self._task: asyncio.Task[None] | None = None
        self._last_received_at = time.monotonic()

    @property
    def unresponsive_seconds(self) -> float:
        """Seconds since the last message from the primary."""
        if self._state.role is endpoint_messages.Role.PRIMARY:
            return 0.0
        return time.monotonic() - self._last_received_at

    def follow(self, address: str) -> None:
        """Start to replicate from a primary, in place of an earlier one.

        :param address: the primary's ``IP:port``
        """
        self.stop()
        self._last_received_at = time.monotonic()
        self._task = asyncio.create_task(self._pull_forever(address))

    def stop(self) -> None:
        """Stop replicating."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    async def _pull_forever(self, address: str) -> None:
        while True:
            try:
                await self._pull_once(address)
            except (
                OSError,
                TimeoutError,
                websockets.exceptions.WebSocketException,
            ):
                log.debug("connection to the primary lost", primary=address)
            await asyncio.sleep(RETRY_DELAY_SECONDS)

    async def _pull_once(self, address: str) -> None:
        state = self._state
        async with _open(address, self._connect_options) as connection:
            history = state.log.history
            pull = Pull(state.name, state.term, history.starts, history.last)
            await connection.send(CODEC.encode(pull))
            queue: asyncio.Queue[tuple[float, Batch]] = asyncio.Queue()
            apply_task = asyncio.create_task(self._apply_from(queue))
            try:
                async for batch in self._receive(connection):
                    due = time.monotonic() + self.delay
                    queue.put_nowait((due, batch))
                    if apply_task.done():
                        return
            finally:
                apply_task.cancel()

    async def _receive(
        self, connection: client.ClientConnection
    ) -> collections.abc.AsyncIterator[Batch]:
        while True:
            frame = await asyncio.wait_for(
                connection.recv(), RECEIVE_TIMEOUT_SECONDS
            )
            decoded = CODEC.decode(_to_bytes(frame))
            if decoded.is_error() or decoded.ok.term != self._state.term:
                return
            self._last_received_at = time.monotonic()
            yield decoded.ok

    async def _apply_from(
        self, queue: asyncio.Queue[tuple[float, Batch]]
    ) -> None:
        while True:
            due, batch = await queue.get()
            remaining = due - time.monotonic()
            if remaining > 0:
                await asyncio.sleep(remaining)
            before = (self._state.log.last, self._state.role)
            accepted = self._state.accept(
                batch.term, batch.after, batch.entries
            )
            if not accepted:
                return
            if before != (self._state.log.last, self._state.role):
                self._changed.notify()


def _to_bytes(frame: bytes | str) -> bytes:
    return frame if isinstance(frame, bytes) else frame.encode()
