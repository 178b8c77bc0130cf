"""Samples the sizes of a daemon's parts into gauges."""

import asyncio
import collections.abc

from fescuestile import ports
from fescuestile_daemon import tasks

SAMPLE_SECONDS = 1.0

Gauges = collections.abc.Mapping[str, collections.abc.Callable[[], float]]


class GaugeSampler:
    """Sets each gauge once an interval."""

    def __init__(self, sink: ports.MetricSink, gauges: Gauges) -> None:
        """Take the gauges: functions that return sizes, by name."""
        self._sink = sink
        self._gauges = gauges
        self._tasks = tasks.TaskSet()

    def start(self) -> None:
        """Start to sample."""
        self._tasks.spawn(self._run())

    async def close(self) -> None:
        """Stop to sample."""
        await self._tasks.close()

    def sample(self) -> None:
        """Set all gauges."""
        for name, measure in self._gauges.items():
            self._sink.gauge(name, measure())

    async def _run(self) -> None:
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_SECONDS)
