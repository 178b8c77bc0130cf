"""Samples sizes of a daemon's components as gauges."""

import asyncio
import collections.abc

from fescuestile import ports
from fescuestile_daemon import tasks

SAMPLE_INTERVAL_SECONDS = 1.0

Gauges = collections.abc.Mapping[str, collections.abc.Callable[[], float]]


class GaugeSampler:
    """Sets each gauge once per interval."""

    def __init__(self, sink: ports.MetricSink, gauges: Gauges) -> None:
        """Initialize with a function per gauge name that returns its value."""
        self._sink = sink
        self._gauges = gauges
        self._tasks = tasks.TaskSet()

    def start(self) -> None:
        """Start sampling."""
        self._tasks.spawn(self._run())

    async def close(self) -> None:
        """Stop sampling."""
        await self._tasks.close()

    def sample(self) -> None:
        """Set all gauges."""
        for name, measure in self._gauges.items():
            self._sink.gauge(name, measure())

    async def _run(self) -> None:
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_INTERVAL_SECONDS)
