"""Promises kept while two failures overlap, drawn by a seed."""

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
from measurements import failover_bench
from measurements import failover_kinds
from measurements import fault_kinds
from measurements import frame

log = structlog.get_logger(__name__)

PAIRS = 12
HOLD_SECONDS = 3.0
LONGEST_OFFSET_SECONDS = 1.5
COUNT_PAUSE_SECONDS = 0.05
COUNT_TIMEOUT_SECONDS = 2.0
SETTLE_SECONDS = 30.0
TARGET_GAP_SECONDS = 9.0
# The counter makes one increment at a time; one may run while it is read.
MOST_IN_FLIGHT = 1
OPTIONS = fleets.GroupOptions()


@dataclasses.dataclass(frozen=True)
class PairRow:
    """One pair of failures.

    :ivar gap: longest time between two acknowledged writes, in seconds
    :ivar acknowledged: writes acknowledged during the pair
    :ivar lost: acknowledged writes that the primary's log lacks at the end
    :ivar counted: increments that were acknowledged
    :ivar unclear: increments of unknown outcome
    :ivar twice: increments seen beyond acknowledged and unclear ones
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
    """Increments one counter through one session, which roams.

    Increments are not repeatable. Each is read back by the session; the
    value must have grown since the session's last acknowledged increment.
    """

    def __init__(self, database: str, key: str, addresses: list[str]) -> None:
        """Count through the daemons at some addresses."""
        self.acknowledged = 0
        self.unclear = 0
        self.older = 0
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
        """Begin to count."""
        await self._session.start()
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop to count."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._session.close()

    async def read_value(self) -> int:
        """Return the counter's value as the primary has it.

        :raises: FescuestileError when it can't be read in time
        """
        answer = await self._session.execute(
            self._database,
            "fault-report",
            f"GET {self._key}",
            read_only=True,
            timeout=SETTLE_SECONDS,
        )
        return int(answer.payload or b"0")

    async def _run(self) -> None:
        while True:
            await self._increment()
            await self._read_back()
            await asyncio.sleep(COUNT_PAUSE_SECONDS)

    async def _increment(self) -> None:
        try:
            answer = await self._session.execute(
                self._database,
                "fault-report",
                f"ADD {self._key} 1",
                repeatable=False,
                timeout=COUNT_TIMEOUT_SECONDS,
            )
        except errors.NotRun:
            return
        except errors.FescuestileError:
            self.unclear += 1
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
                timeout=COUNT_TIMEOUT_SECONDS,
            )
        except errors.FescuestileError:
            return
        if int(answer.payload or b"0") < self._last:
            self.older += 1


@dataclasses.dataclass
class Trial:
    """One bench and the counter that runs on it."""

    bench: failover_bench.Bench
    counter: Counter

    async def run_pair(
        self,
        first: fault_kinds.Fault,
        second: fault_kinds.Fault,
        offset: float,
    ) -> PairRow:
        """Cause two failures, end them, and check what must hold.

        :param offset: seconds between the two
        """
        group = self.bench.groups[0]
        writer = self.bench.writers[group.plan.database]
        primary = await failover_bench.wait_whole(group)
        await failover_bench.wait_for_writes(writer, time.monotonic())
        victim = failover_kinds.Victim(self.bench, group, primary.endpoint)
        before = self._count()
        began = time.monotonic()
        await first.cause(victim)
        await asyncio.sleep(offset)
        await second.cause(victim)
        await asyncio.sleep(HOLD_SECONDS)
        await first.end(victim)
        await second.end(victim)
        await failover_bench.wait_whole(group)
        await failover_bench.wait_for_writes(writer, time.monotonic())
        times = [one.at for one in writer.acknowledged if one.at >= began]
        done = {one.key for one in writer.acknowledged}
        whole = await failover_bench.wait_whole(group)
        held = await failover_bench.read_keys(group, whole)
        after = self._count()
        value = await self.counter.read_value()
        most = self.counter.acknowledged + self.counter.unclear
        return PairRow(
            first=first.name,
            second=second.name,
            gap=round(find_longest_gap([began, *times]), 3),
            acknowledged=len(times),
            lost=len(done - held),
            counted=after.acknowledged - before.acknowledged,
            unclear=after.unclear - before.unclear,
            twice=max(0, value - most - MOST_IN_FLIGHT),
            missing=max(0, after.acknowledged - value),
            older=after.older - before.older,
        )

    def _count(self) -> "_Counted":
        counter = self.counter
        return _Counted(counter.acknowledged, counter.unclear, counter.older)


@dataclasses.dataclass(frozen=True)
class _Counted:
    """Counts of a counter at one time."""

    acknowledged: int
    unclear: int
    older: int


def find_longest_gap(times: list[float]) -> float:
    """Return the longest time between two of some times, in seconds."""
    return max(
        (later - earlier for earlier, later in itertools.pairwise(times)),
        default=0.0,
    )


async def measure(seed: int, pairs: int = PAIRS) -> tuple[PairRow, ...]:
    """Draw pairs of failures and cause them one after the other."""
    source = random.Random(seed)
    rows = []
    async with failover_bench.serve(1, OPTIONS) as bench:
        group = bench.groups[0]
        addresses = [d.caller_address for d in bench.fleet.daemons.values()]
        counter = Counter(group.plan.database, "pumps", addresses)
        await counter.start()
        trial = Trial(bench, counter)
        try:
            for _ in range(pairs):
                first, second = fault_kinds.draw_pair(source)
                offset = source.uniform(0.0, LONGEST_OFFSET_SECONDS)
                rows.append(await trial.run_pair(first, second, offset))
                log.info("pair done", row=rows[-1])
        finally:
            await counter.close()
    return tuple(rows)


class FaultPairs(frame.Measurement):
    """Promises under pairs of overlapping failures."""

    name = "fault_pairs"
    description = "promises under pairs of failures; about 3 min"

    def run(self, seed: int) -> frame.Report:
        """Run it."""
        rows = asyncio.run(measure(seed))
        targets = (
            frame.require_at_most(
                "acknowledged writes lost", sum(row.lost for row in rows), 0
            ),
            frame.require_at_most(
                "increments run twice", sum(row.twice for row in rows), 0
            ),
            frame.require_at_most(
                "increments missing", sum(row.missing for row in rows), 0
            ),
            frame.require_at_most(
                "own writes not read", sum(row.older for row in rows), 0
            ),
            frame.require_at_most(
                "longest gap in writes, s",
                max(row.gap for row in rows),
                TARGET_GAP_SECONDS,
            ),
        )
        return frame.Report(self.name, seed, rows, targets)


def create_measurements() -> tuple[frame.Measurement, ...]:
    """Return the measurements of this module."""
    return (FaultPairs(),)
