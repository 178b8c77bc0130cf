"""Load generator: a process of its own that holds sessions.

``python -m measurements.load`` prints one JSON object with what it saw.
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
MILLISECONDS = 1e3


@dataclasses.dataclass(frozen=True)
class LoadOptions:
    """What to send.

    :ivar address: ``IP:port`` of the daemon
    :ivar sessions: open sessions, each with one statement in flight
    :ivar seconds: how long to count
    :ivar rate: statements/s of all sessions, 0 for as many as can be
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
    """What was seen in the counted time; latencies in milliseconds."""

    statements: int
    failures: int
    seconds: float
    p50: float
    p99: float


class Load:
    """Sessions that send statements until the time is up."""

    def __init__(self, options: LoadOptions) -> None:
        """Prepare to send."""
        self._options = options
        self._latencies = latencies.Latencies()
        self._failures = 0
        self._counts_from = 0.0
        self._ends_at = 0.0

    async def run(self) -> LoadReport:
        """Open all sessions, send and report."""
        opened = [
            sessions.Session([self._options.address], f"{os.getpid()}-{n}")
            for n in range(self._options.sessions)
        ]
        await asyncio.gather(*(session.start() for session in opened))
        self._counts_from = time.monotonic() + WARM_UP_SECONDS
        self._ends_at = self._counts_from + self._options.seconds
        await asyncio.gather(
            *(
                self._run_session(session, number)
                for number, session in enumerate(opened)
            )
        )
        await asyncio.gather(*(session.close() for session in opened))
        return LoadReport(
            statements=self._latencies.count,
            failures=self._failures,
            seconds=self._options.seconds,
            p50=self._latencies.get_percentile(50) * MILLISECONDS,
            p99=self._latencies.get_percentile(99) * MILLISECONDS,
        )

    async def _run_session(
        self, session: sessions.Session, number: int
    ) -> None:
        options = self._options
        pause = options.sessions / options.rate if options.rate else 0.0
        due = time.monotonic() + pause * number / options.sessions
        turn = number
        while time.monotonic() < self._ends_at:
            if pause:
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                due += pause
            await self._send(session, turn)
            turn += 1

    async def _send(self, session: sessions.Session, turn: int) -> None:
        writes = self._options.writes
        write = writes > 0 and turn % round(1 / writes) == 0
        began = time.monotonic()
        try:
            if write:
                await session.execute(
                    self._options.database, "dispatch", f"PUT k{turn % 100} v"
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
        ended = time.monotonic()
        if self._counts_from <= began and ended <= self._ends_at:
            self._latencies.record(ended - began)


async def run_load(options: LoadOptions) -> LoadReport:
    """Run a load generator as a process and return what it saw."""
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "measurements.load"),
        json.dumps(dataclasses.asdict(options)),
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await process.communicate()
    return LoadReport(**json.loads(output))


def main() -> None:
    """Run the command line: one argument, the options as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("options", type=json.loads)
    options = LoadOptions(**parser.parse_args().options)
    report = asyncio.run(Load(options).run())
    print(json.dumps(dataclasses.asdict(report)))


if __name__ == "__main__":
    main()
