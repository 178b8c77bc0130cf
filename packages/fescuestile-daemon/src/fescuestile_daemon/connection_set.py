"""Connections to one endpoint: opened ahead, monitored and replaced."""

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
    """How many connections are open, and for how long.

    :ivar extra_connections: connections kept open beyond one for each slot
    :ivar idle_timeout: seconds after which an idle connection is closed if
        more are open than that
    :ivar connect_timeout: seconds within which a connection opens or closes
    :ivar liveness_options: detection of unresponsive connections
    """

    extra_connections: int = 2
    idle_timeout: float = 30.0
    connect_timeout: float = 1.0
    liveness_options: liveness.LivenessOptions = dataclasses.field(
        default_factory=liveness.LivenessOptions
    )


class ConnectionSet:
    """Connections to one endpoint, never more than it accepts.

    A connection counts until it is closed, so that a replacement does not
    exceed the endpoint's limit.
    """

    def __init__(
        self,
        endpoint: plans.Endpoint,
        dialer: ports.EndpointDialer,
        time_source: clock.Clock,
        options: ConnectionOptions,
    ) -> None:
        """Initialize without opening a connection."""
        self._endpoint = endpoint
        self._dialer = dialer
        self._clock = time_source
        self._options = options
        self._endpoint_liveness = liveness.EndpointLiveness(
            options.liveness_options, time_source
        )
        self._connection_count = 0
        self._dialing = 0
        # Idle connections and since when, the most recently used last.
        self._idle: dict[ports.EndpointConnection, float] = {}
        self._liveness_by_connection: dict[
            ports.EndpointConnection, liveness.ConnectionLiveness
        ] = {}
        self._waiters: collections.deque[asyncio.Future[Connected]] = (
            collections.deque()
        )
        # Dialing and monitoring; cancelled by close.
        self._tasks: set[asyncio.Task[None]] = set()
        self._closing: set[asyncio.Task[None]] = set()
        self._closed = False

    @property
    def connection_count(self) -> int:
        """Number of connections that are opening, open or closing."""
        return self._connection_count

    @property
    def idle_count(self) -> int:
        """Number of open connections that are not in use."""
        return len(self._idle)

    @property
    def down(self) -> bool:
        """Whether none is open and attempts to connect keep failing."""
        return (
            self._endpoint_liveness.down and not self._liveness_by_connection
        )

    @property
    def retry_after(self) -> float:
        """Seconds until the next attempt to connect."""
        return self._endpoint_liveness.probe_delay

    def start(self) -> None:
        """Start to open connections."""
        self._replenish()

    def configure(self, endpoint: plans.Endpoint) -> None:
        """Apply a changed plan; excess connections close once idle."""
        self._endpoint = endpoint
        while self._idle and self._connection_count > endpoint.connections:
            self.discard(next(iter(self._idle)))
        self._replenish()

    async def acquire(self, timeout: float) -> Connected:
        """Wait for a connection.

        An error means that nothing was sent to the endpoint.

        :param timeout: seconds
        """
        while self._idle:
            connection, _ = self._idle.popitem()
            if not connection.closed:
                return results.succeed(connection)
            self.discard(connection)
        if self._closed or self.down:
            return expression.Error(
                self._make_loss("the endpoint is down: new connections fail")
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
            return expression.Error(
                self._make_loss("no connection became free in time")
            )
        except asyncio.CancelledError:
            self._reclaim(waiter)
            raise

    def release(self, connection: ports.EndpointConnection) -> None:
        """Release a connection on which no reply is outstanding."""
        excess = self._connection_count > self._endpoint.connections
        if self._closed or connection.closed or excess:
            self.discard(connection)
            return
        connection_liveness = self._liveness_by_connection.get(connection)
        if connection_liveness is None:
            return
        connection_liveness.record_received()
        waiter = self._next_waiter()
        if waiter is None:
            self._idle[connection] = self._clock.now()
        else:
            waiter.set_result(results.succeed(connection))

    def discard(self, connection: ports.EndpointConnection) -> None:
        """Close a connection and replace it."""
        if self._liveness_by_connection.pop(connection, None) is None:
            return
        self._idle.pop(connection, None)
        _spawn(self._close_one(connection), self._closing)

    async def close(self) -> None:
        """Close all connections, those in use too."""
        self._closed = True
        for connection in tuple(self._liveness_by_connection):
            self.discard(connection)
        loss = self._make_loss("the connection pool is closed")
        while (waiter := self._next_waiter()) is not None:
            waiter.set_result(expression.Error(loss))
        for task in tuple(self._tasks):
            task.cancel()
        while pending := self._tasks | self._closing:
            await asyncio.wait(pending)

    def _reclaim(self, waiter: asyncio.Future[Connected]) -> None:
        """Release a connection that was assigned as the wait ended."""
        if waiter.done() and not waiter.cancelled():
            waiter.result().map(self.release)

    async def _close_one(self, connection: ports.EndpointConnection) -> None:
        try:
            await asyncio.wait_for(
                connection.close(), self._options.connect_timeout
            )
        except TimeoutError:
            log.warning(
                "close of endpoint connection timed out",
                endpoint=self._endpoint.name,
            )
        finally:
            self._connection_count -= 1
            self._replenish()

    def _replenish(self) -> None:
        """Open connections for waiters and up to the minimum number."""
        if self._closed:
            return
        endpoint = self._endpoint
        missing = max(
            self._min_connections - self._connection_count,
            len(self._waiters) - self._dialing,
        )
        allowed = endpoint.connections - self._connection_count
        if self._endpoint_liveness.probe_delay or self._endpoint_liveness.down:
            # One attempt at a time while connections fail.
            allowed = min(allowed, 1 - self._dialing)
        for _ in range(min(missing, allowed)):
            self._connection_count += 1
            self._dialing += 1
            _spawn(
                self._dial(self._endpoint_liveness.probe_delay), self._tasks
            )

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
                self._connection_count -= 1
        if opened is not None:
            opened.map(self._add).map_error(self._record_failure)

    def _add(self, connection: ports.EndpointConnection) -> None:
        self._endpoint_liveness.record_connected()
        self._liveness_by_connection[connection] = liveness.ConnectionLiveness(
            self._options.liveness_options, self._clock
        )
        _spawn(self._monitor(connection), self._tasks)
        self.release(connection)
        self._replenish()

    def _record_failure(self, error: errors.ConnectionLost) -> None:
        self._endpoint_liveness.record_failure()
        log.warning(
            "connection to endpoint failed",
            endpoint=self._endpoint.name,
            error=str(error),
            down=self.down,
        )
        waiter = self._next_waiter()
        while waiter is not None:
            waiter.set_result(expression.Error(error))
            waiter = self._next_waiter() if self.down else None
        self._replenish()

    async def _monitor(self, connection: ports.EndpointConnection) -> None:
        """Send heartbeats; replace the connection if one is not answered."""
        timeout = self._options.liveness_options.heartbeat_timeout
        while connection in self._liveness_by_connection and not self._closed:
            connection_liveness = self._liveness_by_connection[connection]
            if connection_liveness.heartbeat_delay > 0:
                await asyncio.sleep(connection_liveness.heartbeat_delay)
                continue
            if self._is_excess(connection):
                self.discard(connection)
                return
            connection_liveness.record_heartbeat()
            if connection.closed or not await connection.heartbeat(timeout):
                log.warning(
                    "endpoint connection unresponsive",
                    endpoint=self._endpoint.name,
                )
                self.discard(connection)
                return
            connection_liveness.record_received()

    @property
    def _min_connections(self) -> int:
        return self._endpoint.slots + self._options.extra_connections

    def _is_excess(self, connection: ports.EndpointConnection) -> bool:
        unused_since = self._idle.get(connection)
        if (
            unused_since is None
            or self._connection_count <= self._min_connections
        ):
            return False
        unused = self._clock.now() - unused_since
        return unused >= self._options.idle_timeout

    def _next_waiter(self) -> asyncio.Future[Connected] | None:
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                return waiter
        return None

    def _make_loss(self, message: str) -> errors.ConnectionLost:
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
