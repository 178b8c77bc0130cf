"""Metric sinks: statsd by UDP, or none.

Observations are aggregated in memory and sent once per interval, so that an
observation on the statement path costs less than a microsecond.
"""

import asyncio
import collections

import statsd

from fescuestile import addresses
from fescuestile import ports
from fescuestile_daemon import settings

MAX_TIMINGS_PER_FLUSH = 4096
MILLISECONDS_PER_SECOND = 1000.0


class NullSink(ports.MetricSink):
    """Discards all observations."""

    def count(self, name: str, value: int = 1) -> None:
        """Discard the count."""

    def gauge(self, name: str, value: float) -> None:
        """Discard the gauge."""

    def timing(self, name: str, seconds: float) -> None:
        """Discard the duration."""

    async def start(self) -> None:
        """Do nothing: there is no connection."""

    async def close(self) -> None:
        """Do nothing: there is no connection."""


class StatsdSink(ports.MetricSink):
    """Aggregates observations and sends them to statsd.

    A timing ``x`` is sent as the timings ``x.p50``, ``x.p99`` and
    ``x.max`` of the interval, in milliseconds, and the counter ``x.count``.
    """

    def __init__(self, client: statsd.StatsClient, interval: float) -> None:
        """Initialize with a client and the seconds between two flushes."""
        self._client = client
        self._interval = interval
        self._counts: dict[str, int] = collections.defaultdict(int)
        self._gauges: dict[str, float] = {}
        self._timings: dict[str, list[float]] = collections.defaultdict(list)
        self._task: asyncio.Task[None] | None = None

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        self._counts[name] += value

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauges[name] = value

    def timing(self, name: str, seconds: float) -> None:
        """Record a duration.

        Above ``MAX_TIMINGS_PER_FLUSH`` durations per interval, only the
        counter is incremented.
        """
        timings = self._timings[name]
        if len(timings) < MAX_TIMINGS_PER_FLUSH:
            timings.append(seconds)
        self._counts[name + ".count"] += 1

    async def start(self) -> None:
        """Start flushing once per interval."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Flush the remaining observations and close the socket."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None
        self.flush()
        self._client.close()

    def flush(self) -> None:
        """Send what was recorded since the last flush."""
        counts, self._counts = self._counts, collections.defaultdict(int)
        gauges, self._gauges = self._gauges, {}
        timings, self._timings = self._timings, collections.defaultdict(list)
        with self._client.pipeline() as pipeline:
            for name, value in counts.items():
                pipeline.incr(name, value)
            for name, level in gauges.items():
                pipeline.gauge(name, level)
            for name, seconds in timings.items():
                for suffix, value_ms in summarize(seconds).items():
                    pipeline.timing(f"{name}.{suffix}", value_ms)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(self._interval)
            self.flush()


def summarize(seconds: list[float]) -> dict[str, float]:
    """Return median, 99th percentile and maximum in milliseconds.

    :param seconds: at least one duration
    """
    ordered = sorted(seconds)
    last = len(ordered) - 1
    return {
        "p50": ordered[last // 2] * MILLISECONDS_PER_SECOND,
        "p99": ordered[round(last * 0.99)] * MILLISECONDS_PER_SECOND,
        "max": ordered[last] * MILLISECONDS_PER_SECOND,
    }


def create_sink(
    options: settings.StatsdOptions | None,
) -> StatsdSink | NullSink:
    """Return the sink that the settings describe.

    :param options: the statsd section, None if it is absent
    """
    if options is None:
        return NullSink()
    host, port = addresses.split_address(options.address)
    client = statsd.StatsClient(
        host, port, prefix=options.prefix, ipv6=":" in host
    )
    return StatsdSink(client, options.interval)
