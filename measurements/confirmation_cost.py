"""Time that the wait for a majority adds to a write."""

import asyncio
import dataclasses
import time

from fescuestile_client import session as sessions
from fescuestile_standins import fleet as fleets
from measurements import frame
from measurements import latencies
from measurements import real_fleet

WARM_UP = 50
STATEMENTS = 500
MILLISECONDS = 1000
SIZES = (1, 3)


@dataclasses.dataclass(frozen=True)
class CostRow:
    """Latency of one session's statements, one after the other.

    :ivar endpoints: endpoints of the group; with one, nothing is waited for
    """

    work: str
    endpoints: int
    statements: int
    p50_ms: float
    p99_ms: float


async def measure_work(
    session: sessions.Session, database: str, text: str, endpoints: int
) -> CostRow:
    """Run one kind of statement and return its latencies."""
    taken = latencies.Latencies()
    read_only = text.startswith("GET")
    for number in range(WARM_UP + STATEMENTS):
        began = time.perf_counter()
        await session.execute(
            database, "fault-report", text, read_only=read_only
        )
        if number >= WARM_UP:
            taken.record(time.perf_counter() - began)
    return CostRow(
        work="current read" if read_only else "write",
        endpoints=endpoints,
        statements=taken.count,
        p50_ms=round(taken.get_percentile(50) * MILLISECONDS, 2),
        p99_ms=round(taken.get_percentile(99) * MILLISECONDS, 2),
    )


async def measure() -> tuple[CostRow, ...]:
    """Measure writes and current reads with and without a wait."""
    rows = []
    for size in SIZES:
        options = fleets.GroupOptions(size=size)
        async with real_fleet.serve(options) as served:
            address = served.daemon.caller_address
            async with sessions.Session([address], "measurement") as session:
                for text in ("PUT pump ok", "GET pump"):
                    rows.append(
                        await measure_work(
                            session, served.database, text, size
                        )
                    )
    return tuple(rows)


class ConfirmationCost(frame.Measurement):
    """Latency of writes and current reads by group size."""

    name = "confirmation_cost"
    description = "what the majority's word adds to writes and current reads"

    def run(self, seed: int) -> frame.Report:
        """Run it; nothing in it is random."""
        return frame.Report(self.name, seed, asyncio.run(measure()))


def create_measurements() -> tuple[frame.Measurement, ...]:
    """Return this module's measurements."""
    return (ConfirmationCost(),)
