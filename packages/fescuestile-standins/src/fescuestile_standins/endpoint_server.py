"""Server of the endpoint stand-in."""

import asyncio
import collections.abc
import dataclasses
import time
import typing

import structlog
from websockets.asyncio import server
import websockets.exceptions

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
REJOIN_SECONDS = 0.2
CLOSE_REFUSED = 1013
CLOSE_INVALID = 1003
FRAME_BYTES = 4 * 1024 * 1024


@dataclasses.dataclass(frozen=True)
class EndpointOptions:
    """How an endpoint stand-in behaves.

    :ivar name: its name
    :ivar zone: availability zone
    :ivar address: ``IP:port`` to listen on; port 0 takes a free one
    :ivar database: the group's name
    :ivar peers: addresses of the group's other endpoints by name
    :ivar primary: first primary of a new group; empty for an endpoint
        that comes back without its state
    :ivar slots: statements that run at a time
    :ivar connections: counted connections that are accepted
    :ivar service_seconds: time that a statement takes
    :ivar connect_seconds: time that opening a connection takes
    :ivar replication_seconds: delay of what it replicates
    :ivar tls_files: files for TLS, None for plain text
    :ivar quarantine_seconds: least time from a start without state until
        it counts again
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
    """Listens, counts connections and runs statements in slots."""

    def __init__(self, options: EndpointOptions) -> None:
        """Take the options; nothing is opened before ``start``."""
        self.options = options
        self.state = endpoint_state.EndpointState(options.name)
        self.changed = endpoint_replication.Notifier()
        self.connections = 0
        self.running = 0
        self._slots = asyncio.Semaphore(options.slots)
        ip, _, self._port = options.address.rpartition(":")
        self._ip = ip
        self.puller = endpoint_replication.Puller(
            self.state,
            self.changed,
            endpoint_replication.Reach(ip, options.tls_files),
            options.replication_seconds,
        )
        self._server: server.Server | None = None
        self._rejoining: asyncio.Task[None] | None = None

    @property
    def address(self) -> str:
        """``IP:port`` that it listens on."""
        assert self._server is not None
        port = next(iter(self._server.sockets)).getsockname()[1]
        return f"{self._ip}:{port}"

    async def start(self) -> None:
        """Listen, and replicate when the group is new."""
        self._server = await server.serve(
            self._handle,
            self._ip,
            int(self._port),
            ssl=tls.create_server_context(self.options.tls_files),
            compression=None,
            ping_interval=None,
            max_size=FRAME_BYTES,
        )
        primary = self.options.primary
        if primary:
            self.state.bootstrap(primary)
            if primary != self.options.name:
                self.puller.follow(self.options.peers[primary])
        else:
            self._rejoining = asyncio.create_task(self._rejoin())

    async def close(self) -> None:
        """Stop listening and drop all connections."""
        self.puller.stop()
        if self._rejoining is not None:
            self._rejoining.cancel()
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def report(
        self, id_: int, verdict: Verdict = Verdict.DONE
    ) -> endpoint_messages.Report:
        """Return the endpoint's state and load."""
        return dataclasses.replace(
            self.state.report(id_, verdict),
            primary_silence=self.puller.silence,
            connections=self.connections,
            running=self.running,
        )

    async def run_in_slot(
        self, work: endpoint_commands.Work, runner: Runner
    ) -> endpoint_messages.Answered:
        """Run a command after its service time, in a slot."""
        refusal = runner.check(work)
        if refusal is not None:
            return refusal
        if not isinstance(work, endpoint_messages.Execute):
            return self._apply(work, runner)
        async with self._slots:
            self.running += 1
            try:
                await asyncio.sleep(self._find_duration(work))
                return self._apply(work, runner)
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
                log.info("rejoined", endpoint=self.options.name)
            await asyncio.sleep(REJOIN_SECONDS)

    def _find_duration(self, work: endpoint_messages.Execute) -> float:
        parsed = endpoint_store.parse_statement(work.text)
        extra = parsed.ok.sleep_seconds if parsed.is_ok() else 0.0
        return self.options.service_seconds + extra

    def _apply(
        self, work: endpoint_commands.Work, runner: Runner
    ) -> endpoint_messages.Answered:
        before = self.state.log.last
        answer = runner.run(work)
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
            log.debug("connection ended")

    async def _handle_daemon(
        self, connection: server.ServerConnection, first: bytes
    ) -> None:
        hello = endpoint_messages.CODEC.decode(first)
        if hello.is_error() or not isinstance(
            hello.ok, endpoint_messages.Hello
        ):
            await connection.close(CLOSE_INVALID, "the first frame is Hello")
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
    """One daemon's connection: statements in order, control at once."""

    def __init__(
        self, endpoint: EndpointServer, connection: server.ServerConnection
    ) -> None:
        """Take the endpoint and the open connection."""
        self._endpoint = endpoint
        self._connection = connection
        self._runner = Runner(endpoint.state)
        self._queue: asyncio.Queue[endpoint_commands.Work] = asyncio.Queue()

    async def serve(self) -> None:
        """Answer commands until the connection ends."""
        tasks = {asyncio.create_task(self._work())}
        try:
            async for frame in self._connection:
                assert isinstance(frame, bytes)
                decoded = endpoint_messages.CODEC.decode(frame)
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
        if isinstance(message, endpoint_commands.WORK_CLASSES):
            self._queue.put_nowait(typing.cast(typing.Any, message))
        elif isinstance(message, endpoint_messages.Heartbeat):
            answer = endpoint_messages.Answered(message.id, Verdict.DONE)
            await self._send(answer)
        elif isinstance(message, endpoint_messages.Subscribe):
            _spawn(tasks, self._push(message))
        elif isinstance(message, endpoint_messages.AwaitPosition):
            _spawn(tasks, self._await(message))
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
            verdict = state.fence(message.term, message.driver, now)
            if state.term != term:
                endpoint.puller.stop()
        elif isinstance(message, endpoint_messages.Promote):
            now = time.monotonic()
            verdict = state.promote(message.term, message.driver, now)
        elif isinstance(message, endpoint_messages.Follow):
            known = (state.term, state.primary)
            verdict = state.follow(message.term, message.primary)
            if known != (state.term, state.primary):
                endpoint.puller.follow(message.address)
        if before != (state.term, state.primary, state.role):
            endpoint.changed.notify()
        return endpoint.report(message.id, verdict)

    async def _work(self) -> None:
        while True:
            work = await self._queue.get()
            answer = await self._endpoint.run_in_slot(work, self._runner)
            await self._send(answer)

    async def _push(self, message: endpoint_messages.Subscribe) -> None:
        endpoint = self._endpoint
        while True:
            version = endpoint.changed.version
            await self._send(endpoint.report(message.id))
            await asyncio.sleep(message.interval)
            await endpoint.changed.wait(version, IDLE_REPORT_SECONDS)

    async def _await(self, message: endpoint_messages.AwaitPosition) -> None:
        endpoint = self._endpoint
        end = time.monotonic() + message.timeout
        while True:
            version = endpoint.changed.version
            report = endpoint.report(message.id)
            remaining = end - time.monotonic()
            waits = (
                report.term == message.position.term
                and report.last < message.position
            )
            if remaining <= 0 or not waits:
                await self._send(report)
                return
            await endpoint.changed.wait(version, remaining)

    async def _send(
        self, message: endpoint_messages.Answered | endpoint_messages.Report
    ) -> None:
        try:
            await self._connection.send(
                endpoint_messages.CODEC.encode(message)
            )
        except websockets.exceptions.ConnectionClosed:
            log.debug("reply lost", id=message.id)


def _spawn(
    tasks: set[asyncio.Task[None]],
    work: collections.abc.Coroutine[typing.Any, typing.Any, None],
) -> None:
    task = asyncio.create_task(work)
    tasks.add(task)
    task.add_done_callback(tasks.discard)
