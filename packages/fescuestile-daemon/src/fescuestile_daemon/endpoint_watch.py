"""Control connection to an endpoint of a group that a daemon watches."""

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
RECONNECT_DELAY_SECONDS = 0.2
POSITION_TIMEOUT_SECONDS = 1.0

Observer = collections.abc.Callable[
    [str, endpoint_messages.Report, float], None
]


class EndpointWatch:
    """Keeps one control connection to one endpoint and reads its reports.

    The endpoint is probed only when no report arrived for a probe interval.
    A connection that does not answer the probe is closed and replaced.
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
        """Initialize without a connection; ``start`` opens it.

        :param observe: called with the database, a report and when it
            arrived, in monotonic seconds
        :param timing: intervals and timeouts of probes and reports
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
        self._wanted_position = positions.START
        self._position_task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start connecting and reading reports."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """End the watch and its connection."""
        for task in (self._task, self._position_task):
            if task is not None:
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)
        if self.connection is not None:
            await self.connection.close()

    def request_report(self, position: positions.Position) -> None:
        """Request a report as soon as the endpoint holds a position.

        One request is outstanding at a time, for the highest position that
        was wanted when it was sent.
        """
        if position <= self._wanted_position:
            return
        self._wanted_position = position
        if self._position_task is None or self._position_task.done():
            self._position_task = asyncio.create_task(self._await_positions())

    async def _await_positions(self) -> None:
        reached = positions.START
        while reached < self._wanted_position and self.connection is not None:
            result = await self.connection.await_position(
                self._wanted_position, POSITION_TIMEOUT_SECONDS
            )
            if result.is_error() or result.ok.last <= reached:
                break
            reached = result.ok.last
            self._record(result.ok)
        self._wanted_position = positions.START

    def _record(self, report: endpoint_messages.Report) -> None:
        self.answered_at = self._clock.now()
        self._observe(self.database, report, self.answered_at)

    @property
    def unresponsive_seconds(self) -> float:
        """Seconds since the last response of the endpoint."""
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
            await asyncio.sleep(RECONNECT_DELAY_SECONDS)

    async def _read(self, connection: ports.EndpointConnection) -> None:
        prober = asyncio.create_task(self._probe(connection))
        try:
            async for report in connection.subscribe(
                self._timing.report_interval
            ):
                self._record(report)
        finally:
            prober.cancel()

    async def _probe(self, connection: ports.EndpointConnection) -> None:
        while True:
            await asyncio.sleep(self._timing.probe_interval)
            if self.unresponsive_seconds < self._timing.probe_interval:
                continue
            result = await connection.inspect(self._timing.probe_timeout)
            if result.is_error():
                log.warning(
                    "endpoint unresponsive",
                    endpoint=self.endpoint.name,
                    error=str(result.error),
                )
                await connection.close()
                return
            self._record(result.ok)
