"""Load generator that opens sessions from a process of its own.

``python -m measurements.load`` prints its report as one JSON object.
"""

import argparse
import asyncio
import dataclasses
import json
import os
import sys
import time

from fescuestile import errors
from fescuestile_client import session as sessions
from measurements import latencies

WARM_UP_SECONDS = 1.0
MILLISECONDS_PER_SECOND = 1e3


@dataclasses.dataclass(frozen=True)
class LoadOptions:
    """Options of a load generator.

    :ivar address: ``IP:port`` of the daemon
    :ivar sessions: open sessions, each with one statement in flight
    :ivar seconds: duration of the measurement, after the warm-up
    :ivar rate: statements/s of all sessions together, 0 for no limit
    :ivar writes: share of writes, 0 to 1
    """

    address: str
    database: str
    sessions: int
    seconds: float
    rate: float = 0.0
    writes: float = 0.0


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """Results after the warm-up; latencies in milliseconds."""

    statements: int
    failures: int
    seconds: float
    p50: float
    p99: float


class LoadGenerator:
    """Sessions that send statements for the configured duration."""

    def __init__(self, options: LoadOptions) -> None:
        """Initialize with the options; ``run`` opens the sessions."""
        self._options = options
        self._latencies = latencies.Latencies()
        self._failures = 0
        self._measured_from = 0.0
        self._ends_at = 0.0

    async def run(self) -> LoadReport:
        """Open all sessions, send the load and return the report."""
        open_sessions = [
            sessions.Session([self._options.address], f"{os.getpid()}-{n}")
            for n in range(self._options.sessions)
        ]
        await asyncio.gather(*(session.start() for session in open_sessions))
        self._measured_from = time.monotonic() + WARM_UP_SECONDS
        self._ends_at = self._measured_from + self._options.seconds
        await asyncio.gather(
            *(
                self._run_session(session, number)
                for number, session in enumerate(open_sessions)
            )
        )
        await asyncio.gather(*(session.close() for session in open_sessions))
        return LoadReport(
            statements=self._latencies.count,
            failures=self._failures,
            seconds=self._options.seconds,
            p50=self._latencies.get_percentile(50) * MILLISECONDS_PER_SECOND,
            p99=self._latencies.get_percentile(99) * MILLISECONDS_PER_SECOND,
        )

    async def _run_session(
        self, session: sessions.Session, number: int
    ) -> None:
        options = self._options
        interval = options.sessions / options.rate if options.rate else 0.0
        send_at = time.monotonic() + interval * number / options.sessions
        sequence = number
        while time.monotonic() < self._ends_at:
            if interval:
                await asyncio.sleep(max(0.0, send_at - time.monotonic()))
                send_at += interval
            await self._send(session, sequence)
            sequence += 1

    async def _send(self, session: sessions.Session, sequence: int) -> None:
        writes = self._options.writes
        is_write = writes > 0 and sequence % round(1 / writes) == 0
        started_at = time.monotonic()
        try:
            if is_write:
                await session.execute(
                    self._options.database,
                    "dispatch",
                    f"PUT k{sequence % 100} v",
                )
            else:
                await session.execute(
                    self._options.database,
                    "history",
                    "GET pump",
                    read_only=True,
                )
        except errors.FescuestileError:
            self._failures += 1
            return
        ended_at = time.monotonic()
        if self._measured_from <= started_at and ended_at <= self._ends_at:
            self._latencies.record(ended_at - started_at)


async def run_load(options: LoadOptions) -> LoadReport:
    """Run a load generator as a process and return its report."""
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "measurements.load"),
        json.dumps(dataclasses.asdict(options)),
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await process.communicate()
    return LoadReport(**json.loads(output))


def main() -> None:
    """Run a load generator with the options given as one JSON argument."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("options", type=json.loads)
    options = LoadOptions(**parser.parse_args().options)
    report = asyncio.run(LoadGenerator(options).run())
    print(json.dumps(dataclasses.asdict(report)))


if __name__ == "__main__":
    main()
