"""Server of the endpoint stand-in, for daemons and other endpoints."""

import asyncio
import collections.abc
import dataclasses
import time
import typing

import structlog
from websockets.asyncio import server
import websockets.exceptions

from fescuestile import endpoint_codec
from fescuestile import endpoint_messages
from fescuestile_standins import endpoint_commands
from fescuestile_standins import endpoint_replication
from fescuestile_standins import endpoint_state
from fescuestile_standins import endpoint_store
from fescuestile_standins import rejoining
from fescuestile_standins import tls

log = structlog.get_logger(__name__)
Runner = endpoint_commands.CommandRunner
Verdict = endpoint_messages.Verdict
IDLE_REPORT_SECONDS = 0.25
REJOIN_INTERVAL_SECONDS = 0.2
CLOSE_REFUSED = 1013
CLOSE_INVALID = 1003
MAX_FRAME_BYTES = 4 * 1024 * 1024


@dataclasses.dataclass(frozen=True)
class EndpointOptions:
    """Behaviour of an endpoint stand-in.

    :ivar name: name of the endpoint
    :ivar zone: availability zone
    :ivar address: ``IP:port`` to listen on; port 0 selects a free one
    :ivar database: the group's name
    :ivar peers: addresses of the group's other endpoints by name
    :ivar primary: first primary of a new group; empty for an endpoint
        that restarts without its state
    :ivar slots: statements that may run at the same time
    :ivar connections: largest number of connections, without control
        connections
    :ivar service_seconds: time that a statement takes
    :ivar connect_seconds: time that opening a connection takes
    :ivar replication_seconds: replication delay of a replica
    :ivar tls_files: files for TLS, None for plain text
    :ivar quarantine_seconds: shortest time between a start without state
        and becoming a voting replica again
    """

    name: str
    zone: str
    address: str
    database: str
    peers: typing.Mapping[str, str] = dataclasses.field(default_factory=dict)
    primary: str = ""
    slots: int = 2
    connections: int = 16
    service_seconds: float = 0.002
    connect_seconds: float = 0.01
    replication_seconds: float = 0.0
    tls_files: tls.TlsFiles | None = None
    quarantine_seconds: float = rejoining.QUARANTINE_SECONDS


class EndpointServer:
    """Accepts connections and runs statements in a limited number of slots.

    :ivar connections: open connections, without control connections
    :ivar running: statements that run now
    """

    def __init__(self, options: EndpointOptions) -> None:
        """Initialize with the options; ``start`` opens the server."""
        self.options = options
        self.state = endpoint_state.EndpointState(options.name)
        self.changed = endpoint_replication.Notifier()
        self.connections = 0
        self.running = 0
        self._slots = asyncio.Semaphore(options.slots)
        ip, _, self._port = options.address.rpartition(":")
        self._ip = ip
        self.replication_client = endpoint_replication.ReplicationClient(
            self.state,
            self.changed,
            endpoint_replication.ConnectOptions(ip, options.tls_files),
            options.replication_seconds,
        )
        self._server: server.Server | None = None
        self._rejoin_task: asyncio.Task[None] | None = None

    @property
    def address(self) -> str:
        """``IP:port`` that the server listens on."""
        assert self._server is not None
        port = next(iter(self._server.sockets)).getsockname()[1]
        return f"{self._ip}:{port}"

    async def start(self) -> None:
        """Start listening; join a new group, or rejoin without state."""
        self._server = await server.serve(
            self._handle,
            self._ip,
            int(self._port),
            ssl=tls.create_server_context(self.options.tls_files),
            compression=None,
            ping_interval=None,
            max_size=MAX_FRAME_BYTES,
        )
        primary = self.options.primary
        if primary:
            self.state.bootstrap(primary)
            if primary != self.options.name:
                self.replication_client.follow(self.options.peers[primary])
        else:
            self._rejoin_task = asyncio.create_task(self._rejoin())

    async def close(self) -> None:
        """Stop listening and close all connections."""
        self.replication_client.stop()
        if self._rejoin_task is not None:
            self._rejoin_task.cancel()
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def report(
        self, id_: int, verdict: Verdict = Verdict.DONE
    ) -> endpoint_messages.Report:
        """Return a status report with the endpoint's load."""
        return dataclasses.replace(
            self.state.report(id_, verdict),
            primary_silence=self.replication_client.unresponsive_seconds,
            connections=self.connections,
            running=self.running,
        )

    async def run_in_slot(
        self, command: endpoint_commands.Command, runner: Runner
    ) -> endpoint_messages.Answered:
        """Run a command, a statement in a slot for its service time."""
        refusal = runner.check(command)
        if refusal is not None:
            return refusal
        if not isinstance(command, endpoint_messages.Execute):
            return self._apply(command, runner)
        async with self._slots:
            self.running += 1
            try:
                await asyncio.sleep(self._calculate_duration(command))
                return self._apply(command, runner)
            finally:
                self.running -= 1

    async def _rejoin(self) -> None:
        await asyncio.sleep(self.options.quarantine_seconds)
        size = len(self.options.peers) + 1
        while self.state.role is endpoint_messages.Role.REJOINING:
            others = await endpoint_replication.inspect_peers(
                self.options.peers.values(), self._ip, self.options.tls_files
            )
            if rejoining.may_rejoin(self.report(0), others, size):
                self.state.rejoin()
                self.changed.notify()
                log.info(
                    "endpoint rejoined its group", endpoint=self.options.name
                )
            await asyncio.sleep(REJOIN_INTERVAL_SECONDS)

    def _calculate_duration(self, command: endpoint_messages.Execute) -> float:
        parsed = endpoint_store.parse_statement(command.text)
        extra = parsed.ok.sleep_seconds if parsed.is_ok() else 0.0
        return self.options.service_seconds + extra

    def _apply(
        self, command: endpoint_commands.Command, runner: Runner
    ) -> endpoint_messages.Answered:
        before = self.state.log.last
        answer = runner.run(command)
        if before != self.state.log.last:
            self.changed.notify()
        return answer

    async def _handle(self, connection: server.ServerConnection) -> None:
        try:
            first = await connection.recv()
            assert isinstance(first, bytes)
            pull = endpoint_replication.CODEC.decode(first)
            if pull.is_ok():
                await endpoint_replication.stream_entries(
                    connection, self.state, self.changed, pull.ok
                )
                return
            await self._handle_daemon(connection, first)
        except websockets.exceptions.ConnectionClosed:
            log.debug("connection closed by peer")

    async def _handle_daemon(
        self, connection: server.ServerConnection, first: bytes
    ) -> None:
        hello = endpoint_codec.CODEC.decode(first)
        if hello.is_error() or not isinstance(
            hello.ok, endpoint_messages.Hello
        ):
            await connection.close(
                CLOSE_INVALID, "expected Hello as the first frame"
            )
            return
        session = EndpointSession(self, connection)
        if hello.ok.control:
            await session.serve()
            return
        if self.connections >= self.options.connections:
            await connection.close(CLOSE_REFUSED, "too many connections")
            return
        self.connections += 1
        try:
            await asyncio.sleep(self.options.connect_seconds)
            await session.serve()
        finally:
            self.connections -= 1


class EndpointSession:
    """Connection of a daemon.

    Statements are answered in order, control messages at once.
    """

    def __init__(
        self, endpoint: EndpointServer, connection: server.ServerConnection
    ) -> None:
        """Initialize with an open connection to the endpoint."""
        self._endpoint = endpoint
        self._connection = connection
        self._runner = Runner(endpoint.state)
        self._queue: asyncio.Queue[endpoint_commands.Command] = asyncio.Queue()

    async def serve(self) -> None:
        """Answer messages until the connection is closed."""
        tasks = {asyncio.create_task(self._run_commands())}
        try:
            async for frame in self._connection:
                assert isinstance(frame, bytes)
                decoded = endpoint_codec.CODEC.decode(frame)
                if decoded.is_error():
                    reason = str(decoded.error)[:100]
                    await self._connection.close(CLOSE_INVALID, reason)
                    return
                await self._dispatch(decoded.ok, tasks)
        finally:
            for task in tuple(tasks):
                task.cancel()

    async def _dispatch(
        self, message: typing.Any, tasks: set[asyncio.Task[None]]
    ) -> None:
        if isinstance(message, endpoint_commands.COMMAND_CLASSES):
            self._queue.put_nowait(typing.cast(typing.Any, message))
        elif isinstance(message, endpoint_messages.Heartbeat):
            answer = endpoint_messages.Answered(message.id, Verdict.DONE)
            await self._send(answer)
        elif isinstance(message, endpoint_messages.Subscribe):
            _spawn(tasks, self._push_reports(message))
        elif isinstance(message, endpoint_messages.AwaitPosition):
            _spawn(tasks, self._await_position(message))
        else:
            await self._send(self._control(message))

    def _control(self, message: typing.Any) -> endpoint_messages.Report:
        endpoint = self._endpoint
        state = endpoint.state
        verdict = Verdict.DONE
        before = (state.term, state.primary, state.role)
        if isinstance(message, endpoint_messages.Fence):
            term = state.term
            now = time.monotonic()
            verdict = state.fence(
                message.term, message.driver, now, message.revision
            )
            if state.term != term:
                endpoint.replication_client.stop()
        elif isinstance(message, endpoint_messages.Promote):
            now = time.monotonic()
            verdict = state.promote(message.term, message.driver, now)
        elif isinstance(message, endpoint_messages.Follow):
            previous = (state.term, state.primary)
            verdict = state.follow(message.term, message.primary)
            if previous != (state.term, state.primary):
                endpoint.replication_client.follow(message.address)
        elif isinstance(message, endpoint_messages.RecordRevision):
            last = state.log.last
            verdict = state.record_revision(message.term, message.revision)
            if last != state.log.last:
                endpoint.changed.notify()
        if before != (state.term, state.primary, state.role):
            endpoint.changed.notify()
        return endpoint.report(message.id, verdict)

    async def _run_commands(self) -> None:
        while True:
            command = await self._queue.get()
            answer = await self._endpoint.run_in_slot(command, self._runner)
            await self._send(answer)

    async def _push_reports(
        self, message: endpoint_messages.Subscribe
    ) -> None:
        endpoint = self._endpoint
        while True:
            version = endpoint.changed.version
            await self._send(endpoint.report(message.id))
            await asyncio.sleep(message.interval)
            await endpoint.changed.wait(version, IDLE_REPORT_SECONDS)

    async def _await_position(
        self, message: endpoint_messages.AwaitPosition
    ) -> None:
        endpoint = self._endpoint
        deadline = time.monotonic() + message.timeout
        while True:
            version = endpoint.changed.version
            report = endpoint.report(message.id)
            remaining = deadline - time.monotonic()
            is_waiting = (
                report.term == message.position.term
                and report.last < message.position
            )
            if remaining <= 0 or not is_waiting:
                await self._send(report)
                return
            await endpoint.changed.wait(version, remaining)

    async def _send(
        self, message: endpoint_messages.Answered | endpoint_messages.Report
    ) -> None:
        try:
            await self._connection.send(endpoint_codec.CODEC.encode(message))
        except websockets.exceptions.ConnectionClosed:
            log.debug("connection closed before reply was sent", id=message.id)


def _spawn(
    tasks: set[asyncio.Task[None]],
    coroutine: collections.abc.Coroutine[typing.Any, typing.Any, None],
) -> None:
    task = asyncio.create_task(coroutine)
    tasks.add(task)
    task.add_done_callback(tasks.discard)
