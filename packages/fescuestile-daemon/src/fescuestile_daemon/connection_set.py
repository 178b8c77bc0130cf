"""Connections to one endpoint: kept warm, watched and replaced."""

import asyncio
import collections
import collections.abc
import dataclasses

import expression
import structlog

from fescuestile import clock
from fescuestile import errors
from fescuestile import liveness
from fescuestile import plans
from fescuestile import ports
from fescuestile import results

log = structlog.get_logger(__name__)

STEP = "connect"

Connected = expression.Result[ports.EndpointConnection, errors.ConnectionLost]


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionOptions:
    """How connections are kept.

    :ivar spare: idle connections opened beyond one for each slot
    :ivar idle_timeout: seconds after which an unused connection beyond
        the spare ones is closed
    :ivar connect_timeout: seconds within which a connection opens
    :ivar silence: how silence is noticed
    """

    spare: int = 2
    idle_timeout: float = 30.0
    connect_timeout: float = 1.0
    silence: liveness.LivenessOptions = dataclasses.field(
        default_factory=liveness.LivenessOptions
    )


class ConnectionSet:
    """Connections to one endpoint, never more than it accepts.

    A place is free again only once the connection in it was closed.
    """

    def __init__(
        self,
        endpoint: plans.Endpoint,
        dialer: ports.EndpointDialer,
        own_clock: clock.Clock,
        options: ConnectionOptions,
    ) -> None:
        """Open nothing yet."""
        self._endpoint = endpoint
        self._dialer = dialer
        self._clock = own_clock
        self._options = options
        self._liveness = liveness.EndpointLiveness(options.silence, own_clock)
        self._places = 0
        self._dialing = 0
        # Unused connections and since when, the last used at the end.
        self._idle: dict[ports.EndpointConnection, float] = {}
        self._watches: dict[
            ports.EndpointConnection, liveness.ConnectionLiveness
        ] = {}
        self._waiters: collections.deque[asyncio.Future[Connected]] = (
            collections.deque()
        )
        # Dialing and watching, which a close cuts short.
        self._tasks: set[asyncio.Task[None]] = set()
        self._closing: set[asyncio.Task[None]] = set()
        self._closed = False

    @property
    def places(self) -> int:
        """Connections that are opening, open or closing."""
        return self._places

    @property
    def idle(self) -> int:
        """Connections that are open and unused."""
        return len(self._idle)

    @property
    def down(self) -> bool:
        """Whether none is open and new connections keep failing."""
        return self._liveness.down and not self._watches

    @property
    def retry_after(self) -> float:
        """Seconds until the endpoint is tried again."""
        return self._liveness.probe_delay

    def start(self) -> None:
        """Begin to open connections."""
        self._replenish()

    def configure(self, endpoint: plans.Endpoint) -> None:
        """Follow a changed plan; connections in excess close when idle."""
        self._endpoint = endpoint
        while self._idle and self._places > endpoint.connections:
            self.discard(next(iter(self._idle)))
        self._replenish()

    async def acquire(self, timeout: float) -> Connected:
        """Wait for a connection; nothing was sent on it.

        :param timeout: seconds
        """
        while self._idle:
            connection, _ = self._idle.popitem()
            if not connection.closed:
                return results.succeed(connection)
            self.discard(connection)
        if self._closed or self.down:
            return expression.Error(
                self._describe_loss("the endpoint is down")
            )
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[Connected] = loop.create_future()
        self._waiters.append(waiter)
        self._replenish()
        try:
            async with asyncio.timeout(timeout):
                return await waiter
        except TimeoutError:
            self._reclaim(waiter)
            return expression.Error(self._describe_loss("no connection came"))
        except asyncio.CancelledError:
            self._reclaim(waiter)
            raise

    def give_back(self, connection: ports.EndpointConnection) -> None:
        """Return a connection that answered all it was asked."""
        excess = self._places > self._endpoint.connections
        if self._closed or connection.closed or excess:
            self.discard(connection)
            return
        watch = self._watches.get(connection)
        if watch is None:
            return
        watch.record_received()
        waiter = self._next_waiter()
        if waiter is None:
            self._idle[connection] = self._clock.now()
        else:
            waiter.set_result(results.succeed(connection))

    def discard(self, connection: ports.EndpointConnection) -> None:
        """Close a connection and replace it."""
        if self._watches.pop(connection, None) is None:
            return
        self._idle.pop(connection, None)
        _spawn(self._close_one(connection), self._closing)

    async def close(self) -> None:
        """Close all connections, those in use too."""
        self._closed = True
        for connection in tuple(self._watches):
            self.discard(connection)
        loss = self._describe_loss("the pool is closed")
        while (waiter := self._next_waiter()) is not None:
            waiter.set_result(expression.Error(loss))
        for task in tuple(self._tasks):
            task.cancel()
        while pending := self._tasks | self._closing:
            await asyncio.wait(pending)

    def _reclaim(self, waiter: asyncio.Future[Connected]) -> None:
        """Take back a connection that came as the waiter gave up."""
        if waiter.done() and not waiter.cancelled():
            waiter.result().map(self.give_back)

    async def _close_one(self, connection: ports.EndpointConnection) -> None:
        try:
            await asyncio.wait_for(
                connection.close(), self._options.connect_timeout
            )
        except TimeoutError:
            log.warning("close timed out", endpoint=self._endpoint.name)
        finally:
            self._places -= 1
            self._replenish()

    def _replenish(self) -> None:
        """Open connections for those who wait and for the spare ones."""
        if self._closed:
            return
        endpoint = self._endpoint
        missing = max(
            self._warm - self._places, len(self._waiters) - self._dialing
        )
        room = endpoint.connections - self._places
        if self._liveness.probe_delay or self._liveness.down:
            # One at a time while connections fail.
            room = min(room, 1 - self._dialing)
        for _ in range(min(missing, room)):
            self._places += 1
            self._dialing += 1
            _spawn(self._dial(self._liveness.probe_delay), self._tasks)

    async def _dial(self, delay: float) -> None:
        opened: Connected | None = None
        try:
            if delay:
                await asyncio.sleep(delay)
            if not self._closed:
                opened = await self._dialer.connect(
                    self._endpoint.address,
                    control=False,
                    timeout=self._options.connect_timeout,
                )
        finally:
            self._dialing -= 1
            if opened is None or opened.is_error():
                self._places -= 1
        if opened is not None:
            opened.map(self._add).map_error(self._note_failed)

    def _add(self, connection: ports.EndpointConnection) -> None:
        self._liveness.record_connected()
        self._watches[connection] = liveness.ConnectionLiveness(
            self._options.silence, self._clock
        )
        _spawn(self._watch(connection), self._tasks)
        self.give_back(connection)
        self._replenish()

    def _note_failed(self, error: errors.ConnectionLost) -> None:
        self._liveness.record_failure()
        log.warning(
            "connection failed",
            endpoint=self._endpoint.name,
            error=str(error),
            down=self.down,
        )
        waiter = self._next_waiter()
        while waiter is not None:
            waiter.set_result(expression.Error(error))
            waiter = self._next_waiter() if self.down else None
        self._replenish()

    async def _watch(self, connection: ports.EndpointConnection) -> None:
        """Send heartbeats; replace the connection when it is silent."""
        timeout = self._options.silence.heartbeat_timeout
        while connection in self._watches and not self._closed:
            watch = self._watches[connection]
            if watch.heartbeat_delay > 0:
                await asyncio.sleep(watch.heartbeat_delay)
                continue
            if self._is_excess(connection):
                self.discard(connection)
                return
            watch.record_heartbeat()
            if connection.closed or not await connection.heartbeat(timeout):
                log.warning("connection silent", endpoint=self._endpoint.name)
                self.discard(connection)
                return
            watch.record_received()

    @property
    def _warm(self) -> int:
        return self._endpoint.slots + self._options.spare

    def _is_excess(self, connection: ports.EndpointConnection) -> bool:
        unused_since = self._idle.get(connection)
        if unused_since is None or self._places <= self._warm:
            return False
        unused = self._clock.now() - unused_since
        return unused >= self._options.idle_timeout

    def _next_waiter(self) -> asyncio.Future[Connected] | None:
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                return waiter
        return None

    def _describe_loss(self, message: str) -> errors.ConnectionLost:
        return errors.ConnectionLost(
            message=message,
            step=STEP,
            peer=self._endpoint.name,
            retry_after=self.retry_after,
        )


def _spawn(
    work: collections.abc.Coroutine[None, None, None],
    tasks: set[asyncio.Task[None]],
) -> None:
    task = asyncio.get_running_loop().create_task(work)
    tasks.add(task)
    task.add_done_callback(tasks.discard)
