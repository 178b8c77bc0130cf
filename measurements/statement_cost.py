"""Cost of a statement through a real daemon, and memory of sessions."""

import asyncio
import collections.abc
import dataclasses
import typing

import grpc

from fescuestile_api import fescuestile_pb2 as pb
from fescuestile_standins import fleet as fleets
from measurements import base
from measurements import load
from measurements import real_fleet
from measurements import slopes

GROUP = fleets.GroupOptions(
    slots=64, connections=64, service_ms=0, connect_ms=0
)
SESSIONS = 200
GENERATORS = 2
LOAD_SECONDS = 5.0
TARGET_RATE = 3360.0
TARGET_ADDED_MS = 1.0
SESSION_BUDGET_KIB = 128 * 1024 / 2200
BYTES_PER_KIBIBYTE = 1024
SESSION_METHOD = "/fescuestile.v1.CallerService/Session"


@dataclasses.dataclass(frozen=True, slots=True)
class CostRow:
    """One load through the daemon.

    :ivar rate: offered statements/s, 0 for no limit
    :ivar writes: share of writes
    :ivar answered: statements/s answered
    :ivar cpu_us: processor time of the daemon per statement, in µs
    :ivar core: processor time of the daemon, as a share of one core
    :ivar p50: median latency in ms, measured by the callers
    :ivar p99: 99th percentile of the latency in ms
    """

    rate: float
    writes: float
    answered: float
    failures: int
    cpu_us: float
    core: float
    p50: float
    p99: float


class StatementCost(base.Measurement):
    """Statements through one daemon with 200 sessions."""

    name = "statement_cost"
    description = "Processor time of a statement through a real daemon."

    def run(self, seed: int) -> base.Report:
        """Send reads and writes at full load, and reads at half load."""
        rows = asyncio.run(measure_loads())
        best = max(row.answered / row.core for row in rows if not row.rate)
        half = next(row for row in rows if row.rate)
        targets = (
            base.require_at_least("statements/s per core", best, TARGET_RATE),
            base.require_at_most(
                "p50 at half load, ms, generator included",
                half.p50,
                TARGET_ADDED_MS,
            ),
        )
        return base.Report(self.name, seed, rows, targets)


async def measure_loads() -> tuple[CostRow, ...]:
    """Run all loads in sequence on one daemon."""
    async with real_fleet.serve(GROUP) as served:
        return tuple(
            [
                await measure_load(served, SESSIONS, rate, writes)
                for rate, writes in (
                    (0.0, 0.0),
                    (TARGET_RATE / 2, 0.0),
                    (0.0, 0.2),
                    (0.0, 1.0),
                )
            ]
        )


async def measure_load(
    served: real_fleet.SystemUnderTest,
    sessions: int,
    rate: float,
    writes: float,
) -> CostRow:
    """Run one load from ``GENERATORS`` processes at once."""
    options = load.LoadOptions(
        address=served.daemon.caller_address,
        database=served.database,
        sessions=sessions // GENERATORS,
        seconds=LOAD_SECONDS,
        rate=rate / GENERATORS,
        writes=writes,
    )
    running = asyncio.gather(
        *(load.run_load(options) for _ in range(GENERATORS))
    )
    core = await sample_core(served, running)
    reports = await running
    answered = sum(report.statements for report in reports) / LOAD_SECONDS
    return CostRow(
        rate=rate,
        writes=writes,
        answered=answered,
        failures=sum(report.failures for report in reports),
        cpu_us=core / answered * slopes.MICROSECONDS_PER_SECOND,
        core=core,
        p50=max(report.p50 for report in reports),
        p99=max(report.p99 for report in reports),
    )


async def sample_core(
    served: real_fleet.SystemUnderTest, running: asyncio.Future[typing.Any]
) -> float:
    """Return the share of a core that the daemon uses under load.

    The sample excludes the warm-up and the end of the load.

    :raises: RuntimeError when the load ended before the sample did
    """
    process = served.process
    await asyncio.sleep(load.WARM_UP_SECONDS + 1.5)
    sample_seconds = LOAD_SECONDS - 2.0
    before = process.cpu_times()
    await asyncio.sleep(sample_seconds)
    after = process.cpu_times()
    if running.done():
        raise RuntimeError("load ended before the processor time was sampled")
    cpu_seconds = after.user + after.system - before.user - before.system
    return float(cpu_seconds / sample_seconds)


class StatementSlope(slopes.SlopeMeasurement):
    """Processor time of a statement, by number of sending sessions."""

    name = "slope_statements"
    description = (
        "Processor time of a read through a daemon, by number of sessions."
    )
    size_name = "sessions"
    sizes = (10, 50, 100, 200)

    def measure(self, size: int, seed: int) -> slopes.QuantityValues:
        """Send reads without a rate limit."""
        row = asyncio.run(self._measure(size))
        return {"CPU µs per statement": row.cpu_us}

    async def _measure(self, size: int) -> CostRow:
        async with real_fleet.serve(GROUP) as served:
            return await measure_load(served, size, 0.0, 0.0)


class SessionMemory(slopes.SlopeMeasurement):
    """Memory of a daemon, by number of sessions, one per connection."""

    name = "slope_sessions"
    description = "Memory of a daemon, by number of open sessions."
    size_name = "sessions"
    sizes = (10, 500, 1000, 2200)

    def measure(self, size: int, seed: int) -> slopes.QuantityValues:
        """Open idle sessions and measure the resident memory."""
        return asyncio.run(self._measure(size))

    async def _measure(self, size: int) -> slopes.QuantityValues:
        async with real_fleet.serve(GROUP) as served:
            address = served.daemon.caller_address
            channels = [
                await open_stream(address, number) for number in range(size)
            ]
            await asyncio.sleep(1.0)
            resident_bytes = served.process.memory_info().rss
            for channel in channels:
                await channel.close()
        return {"memory KiB": resident_bytes / BYTES_PER_KIBIBYTE}


async def open_stream(address: str, number: int) -> typing.Any:
    """Open a session on a connection of its own and return its channel.

    :raises: RuntimeError when the daemon does not open the session
    """
    channel: typing.Any = grpc.aio.insecure_channel(
        address, options=(("grpc.use_local_subchannel_pool", 1),)
    )
    stream = channel.stream_stream(SESSION_METHOD)()
    open_frame = pb.CallerFrame(open=pb.Open(caller=f"caller-{number}"))
    await stream.write(open_frame.SerializeToString())
    reply = pb.DaemonFrame.FromString(await stream.read())
    if not reply.opened.daemon:
        raise RuntimeError(f"daemon did not open a session: {reply}")
    return channel


def create_measurements() -> collections.abc.Sequence[base.Measurement]:
    """Return the measurements of this module."""
    return (StatementCost(), StatementSlope(), SessionMemory())
