"""Latency that majority confirmation adds to writes and reads."""

import asyncio
import dataclasses
import time

from fescuestile_client import session as sessions
from fescuestile_standins import fleet as fleets
from measurements import base
from measurements import latencies
from measurements import real_fleet

WARM_UP_STATEMENTS = 50
STATEMENTS = 500
MILLISECONDS_PER_SECOND = 1000
GROUP_SIZES = (1, 3)


@dataclasses.dataclass(frozen=True)
class CostRow:
    """Latency of one session's sequential statements.

    :ivar endpoints: endpoints of the group; a group of one needs no
        confirmation from others
    """

    work: str
    endpoints: int
    statements: int
    p50_ms: float
    p99_ms: float


async def measure_work(
    session: sessions.Session, database: str, text: str, endpoints: int
) -> CostRow:
    """Run one statement repeatedly and return its latencies.

    The first ``WARM_UP_STATEMENTS`` runs are not counted.
    """
    durations = latencies.Latencies()
    read_only = text.startswith("GET")
    for number in range(WARM_UP_STATEMENTS + STATEMENTS):
        started_at = time.perf_counter()
        await session.execute(
            database, "fault-report", text, read_only=read_only
        )
        if number >= WARM_UP_STATEMENTS:
            durations.record(time.perf_counter() - started_at)
    return CostRow(
        work="current read" if read_only else "write",
        endpoints=endpoints,
        statements=durations.count,
        p50_ms=round(
            durations.get_percentile(50) * MILLISECONDS_PER_SECOND, 2
        ),
        p99_ms=round(
            durations.get_percentile(99) * MILLISECONDS_PER_SECOND, 2
        ),
    )


async def measure() -> tuple[CostRow, ...]:
    """Measure writes and current reads for each group size."""
    rows = []
    for size in GROUP_SIZES:
        options = fleets.GroupOptions(size=size)
        async with real_fleet.serve(options) as system:
            address = system.daemon.caller_address
            async with sessions.Session([address], "measurement") as session:
                for text in ("PUT pump ok", "GET pump"):
                    rows.append(
                        await measure_work(
                            session, system.database, text, size
                        )
                    )
    return tuple(rows)


class ConfirmationCost(base.Measurement):
    """Latency of writes and current reads by group size."""

    name = "confirmation_cost"
    description = "latency that confirmation adds to writes and current reads"

    def run(self, seed: int) -> base.Report:
        """Run the measurement; it draws no random numbers."""
        return base.Report(self.name, seed, asyncio.run(measure()))


def create_measurements() -> tuple[base.Measurement, ...]:
    """Return this module's measurements."""
    return (ConfirmationCost(),)
