"""Control connections to the endpoints of the groups a daemon watches."""

import asyncio
import collections.abc

import structlog

from fescuestile import clock
from fescuestile import endpoint_messages
from fescuestile import plans
from fescuestile import ports
from fescuestile import positions
from fescuestile_daemon import settings

log = structlog.get_logger(__name__)

CONNECT_TIMEOUT_SECONDS = 1.0
REDIAL_DELAY_SECONDS = 0.2
CHASE_SECONDS = 1.0

Observer = collections.abc.Callable[
    [str, endpoint_messages.Report, float], None
]


class EndpointWatch:
    """Keeps one control connection to one endpoint and reads its reports.

    Reports are signs of life; a heartbeat is asked for when they stay
    away. A connection that does not answer it is replaced.
    """

    def __init__(
        self,
        database: str,
        endpoint: plans.Endpoint,
        dialer: ports.EndpointDialer,
        time_source: clock.Clock,
        observe: Observer,
        timing: settings.TimingOptions,
    ) -> None:
        """Prepare a watch.

        :param observe: called with database, report and its time
        :param timing: pace of heartbeats and reports
        """
        self.database = database
        self.endpoint = endpoint
        self.connection: ports.EndpointConnection | None = None
        self.answered_at = time_source.now()
        self._dialer = dialer
        self._clock = time_source
        self._observe = observe
        self._timing = timing
        self._task: asyncio.Task[None] | None = None
        self._wanted = positions.START
        self._chaser: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to connect and read."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """End the watch and its connection."""
        for task in (self._task, self._chaser):
            if task is not None:
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)
        if self.connection is not None:
            await self.connection.close()

    def chase(self, position: positions.Position) -> None:
        """Have the endpoint report as soon as it holds a position.

        One request is open at a time; it asks for the highest position
        that was wanted when it was sent.
        """
        if position <= self._wanted:
            return
        self._wanted = position
        if self._chaser is None or self._chaser.done():
            self._chaser = asyncio.create_task(self._chase())

    async def _chase(self) -> None:
        reached = positions.START
        while reached < self._wanted and self.connection is not None:
            result = await self.connection.await_position(
                self._wanted, CHASE_SECONDS
            )
            if result.is_error() or result.ok.last <= reached:
                break
            reached = result.ok.last
            self._take(result.ok)
        self._wanted = positions.START

    def _take(self, report: endpoint_messages.Report) -> None:
        self.answered_at = self._clock.now()
        self._observe(self.database, report, self.answered_at)

    @property
    def silence(self) -> float:
        """Seconds since the endpoint last answered anything."""
        return self._clock.now() - self.answered_at

    async def _run(self) -> None:
        while True:
            result = await self._dialer.connect(
                self.endpoint.address,
                control=True,
                timeout=CONNECT_TIMEOUT_SECONDS,
            )
            if result.is_ok():
                self.connection = result.ok
                await self._read(result.ok)
                self.connection = None
                await result.ok.close()
            await asyncio.sleep(REDIAL_DELAY_SECONDS)

    async def _read(self, connection: ports.EndpointConnection) -> None:
        beats = asyncio.create_task(self._beat(connection))
        try:
            async for report in connection.subscribe(
                self._timing.report_interval
            ):
                self._take(report)
        finally:
            beats.cancel()

    async def _beat(self, connection: ports.EndpointConnection) -> None:
        while True:
            await asyncio.sleep(self._timing.probe_interval)
            if self.silence < self._timing.probe_interval:
                continue
            result = await connection.inspect(self._timing.probe_timeout)
            if result.is_error():
                log.warning(
                    "endpoint silent",
                    endpoint=self.endpoint.name,
                    error=str(result.error),
                )
                await connection.close()
                return
            self._take(result.ok)
