"""Checks of consistency guarantees while two random faults overlap."""

import asyncio
import dataclasses
import itertools
import random
import time

import structlog

from fescuestile import errors
from fescuestile_client import options as client_options
from fescuestile_client import session as sessions
from fescuestile_standins import fleet as fleets
from measurements import base
from measurements import failover_bench
from measurements import failover_kinds
from measurements import fault_kinds

log = structlog.get_logger(__name__)

PAIRS = 12
FAULT_HOLD_SECONDS = 3.0
MAX_OFFSET_SECONDS = 1.5
INCREMENT_INTERVAL_SECONDS = 0.05
STATEMENT_TIMEOUT_SECONDS = 2.0
RECOVERY_TIMEOUT_SECONDS = 30.0
TARGET_GAP_SECONDS = 9.0
# The counter runs one increment at a time, so that at most one can be in
# flight while the value is read.
MAX_IN_FLIGHT = 1
GROUP_OPTIONS = fleets.GroupOptions()


@dataclasses.dataclass(frozen=True)
class PairRow:
    """Results of one pair of faults.

    :ivar gap: longest time between two acknowledged writes, in seconds
    :ivar acknowledged: writes acknowledged during the pair
    :ivar lost: acknowledged writes that the primary's log lacks at the end
    :ivar counted: increments that were acknowledged
    :ivar unclear: increments of unknown outcome
    :ivar twice: increments in the counter beyond those acknowledged and of
        unknown outcome
    :ivar missing: acknowledged increments that the counter lacks
    :ivar older: reads that did not see the session's own last write
    """

    first: str
    second: str
    gap: float
    acknowledged: int
    lost: int
    counted: int
    unclear: int
    twice: int
    missing: int
    older: int


class Counter:
    """Increments one counter through one session, which may roam.

    Increments are not repeatable. The session reads the value back after
    each; it must not be below the last acknowledged one.

    :ivar unknown: increments of unknown outcome
    :ivar stale_reads: reads that missed an acknowledged increment
    """

    def __init__(self, database: str, key: str, addresses: list[str]) -> None:
        """Create a session through the daemons at some addresses."""
        self.acknowledged = 0
        self.unknown = 0
        self.stale_reads = 0
        self._database = database
        self._key = key
        self._session = sessions.Session(
            addresses,
            f"counter-{key}",
            options=client_options.SessionOptions(settle_unknown=False),
        )
        self._last = 0
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Open the session and start incrementing."""
        await self._session.start()
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop incrementing and close the session."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._session.close()

    async def read_value(self) -> int:
        """Return the counter's value at the primary.

        :raises: FescuestileError when the read fails or times out
        """
        answer = await self._session.execute(
            self._database,
            "fault-report",
            f"GET {self._key}",
            read_only=True,
            timeout=RECOVERY_TIMEOUT_SECONDS,
        )
        return int(answer.payload or b"0")

    async def _run(self) -> None:
        while True:
            await self._increment()
            await self._read_back()
            await asyncio.sleep(INCREMENT_INTERVAL_SECONDS)

    async def _increment(self) -> None:
        try:
            answer = await self._session.execute(
                self._database,
                "fault-report",
                f"ADD {self._key} 1",
                repeatable=False,
                timeout=STATEMENT_TIMEOUT_SECONDS,
            )
        except errors.NotRun:
            return
        except errors.FescuestileError:
            self.unknown += 1
            return
        self.acknowledged += 1
        self._last = int(answer.payload)

    async def _read_back(self) -> None:
        try:
            answer = await self._session.execute(
                self._database,
                "history",
                f"GET {self._key}",
                read_only=True,
                timeout=STATEMENT_TIMEOUT_SECONDS,
            )
        except errors.FescuestileError:
            return
        if int(answer.payload or b"0") < self._last:
            self.stale_reads += 1


@dataclasses.dataclass
class Trial:
    """A bench and the counter that runs on it."""

    bench: failover_bench.Bench
    counter: Counter

    async def run_pair(
        self,
        first: fault_kinds.Fault,
        second: fault_kinds.Fault,
        offset: float,
    ) -> PairRow:
        """Inject two faults, end them, and check the guarantees.

        :param offset: seconds between the two injections
        """
        group = self.bench.groups[0]
        writer = self.bench.writers[group.plan.database]
        primary = await failover_bench.wait_until_recovered(group)
        await failover_bench.wait_for_writes(writer, time.monotonic())
        victim = failover_kinds.Victim(self.bench, group, primary.endpoint)
        before = self._read_counts()
        started_at = time.monotonic()
        await first.cause(victim)
        await asyncio.sleep(offset)
        await second.cause(victim)
        await asyncio.sleep(FAULT_HOLD_SECONDS)
        await first.end(victim)
        await second.end(victim)
        await failover_bench.wait_until_recovered(group)
        await failover_bench.wait_for_writes(writer, time.monotonic())
        times = [
            write.at for write in writer.acknowledged if write.at >= started_at
        ]
        acknowledged = {write.key for write in writer.acknowledged}
        recovered = await failover_bench.wait_until_recovered(group)
        stored = await failover_bench.read_keys(group, recovered)
        after = self._read_counts()
        value = await self.counter.read_value()
        attempted = self.counter.acknowledged + self.counter.unknown
        return PairRow(
            first=first.name,
            second=second.name,
            gap=round(find_longest_gap([started_at, *times]), 3),
            acknowledged=len(times),
            lost=len(acknowledged - stored),
            counted=after.acknowledged - before.acknowledged,
            unclear=after.unknown - before.unknown,
            twice=max(0, value - attempted - MAX_IN_FLIGHT),
            missing=max(0, after.acknowledged - value),
            older=after.stale_reads - before.stale_reads,
        )

    def _read_counts(self) -> "_CounterSnapshot":
        counter = self.counter
        return _CounterSnapshot(
            counter.acknowledged, counter.unknown, counter.stale_reads
        )


@dataclasses.dataclass(frozen=True)
class _CounterSnapshot:
    """Counts of a counter at one point in time."""

    acknowledged: int
    unknown: int
    stale_reads: int


def find_longest_gap(times: list[float]) -> float:
    """Return the longest time between successive times, in seconds."""
    return max(
        (later - earlier for earlier, later in itertools.pairwise(times)),
        default=0.0,
    )


async def measure(seed: int, pairs: int = PAIRS) -> tuple[PairRow, ...]:
    """Draw pairs of faults and run them one after another."""
    source = random.Random(seed)
    rows = []
    async with failover_bench.serve(1, GROUP_OPTIONS) as bench:
        group = bench.groups[0]
        addresses = [d.caller_address for d in bench.fleet.daemons.values()]
        counter = Counter(group.plan.database, "pumps", addresses)
        await counter.start()
        trial = Trial(bench, counter)
        try:
            for _ in range(pairs):
                first, second = fault_kinds.draw_pair(source)
                offset = source.uniform(0.0, MAX_OFFSET_SECONDS)
                rows.append(await trial.run_pair(first, second, offset))
                log.info("pair of faults measured", row=rows[-1])
        finally:
            await counter.close()
    return tuple(rows)


class FaultPairs(base.Measurement):
    """Consistency guarantees under pairs of overlapping faults."""

    name = "fault_pairs"
    description = "guarantees under pairs of failures; about 3 min"

    def run(self, seed: int) -> base.Report:
        """Run the measurement and check its targets."""
        rows = asyncio.run(measure(seed))
        targets = (
            base.require_at_most(
                "acknowledged writes lost", sum(row.lost for row in rows), 0
            ),
            base.require_at_most(
                "increments run twice", sum(row.twice for row in rows), 0
            ),
            base.require_at_most(
                "increments missing", sum(row.missing for row in rows), 0
            ),
            base.require_at_most(
                "own writes not read", sum(row.older for row in rows), 0
            ),
            base.require_at_most(
                "longest gap in writes, s",
                max(row.gap for row in rows),
                TARGET_GAP_SECONDS,
            ),
        )
        return base.Report(self.name, seed, rows, targets)


def create_measurements() -> tuple[base.Measurement, ...]:
    """Return the measurements of this module."""
    return (FaultPairs(),)
