"""Interruption of writes during failovers, by kind of failure."""

import asyncio
import dataclasses
import itertools
import random
import statistics
import time

from fescuestile_standins import fleet as fleets
from fescuestile_standins import relayed_group
from measurements import base
from measurements import failover_bench
from measurements import failover_kinds

GROUPS = 3
FAILURES_PER_KIND = 30
FAULT_HOLD_SECONDS = 0.5
OBSERVATION_SECONDS = 2.5
TARGET_SECONDS = 3.0
TARGET_PLATFORM_DOWN_SECONDS = 9.0
GROUP_OPTIONS = fleets.GroupOptions()


@dataclasses.dataclass(frozen=True)
class GapRow:
    """Interruptions by failures of one kind, in seconds.

    :ivar failovers: failures after which a later term acknowledged writes
    :ivar acknowledged: writes that were acknowledged
    :ivar lost: acknowledged writes that the primary's log lacks at the end
    :ivar unknown: writes of unknown outcome
    """

    kind: str
    platform: str
    failures: int
    failovers: int
    median: float
    p99: float
    worst: float
    acknowledged: int
    lost: int
    unknown: int


@dataclasses.dataclass
class FailureTotals:
    """Running totals of the failures of one kind.

    :ivar gaps: longest gap of each failure, in seconds
    """

    gaps: list[float] = dataclasses.field(default_factory=list)
    failovers: int = 0


async def run_kind(
    bench: failover_bench.Bench,
    failure: failover_kinds.Failure,
    platform: str,
    source: random.Random,
    failures: int = FAILURES_PER_KIND,
) -> GapRow:
    """Cause failures of one kind, concurrently on all groups.

    :param platform: state of the platform, shown in the row
    :param failures: total; each group gets an equal share, rounded up
    """
    totals = FailureTotals()
    before = _count_writes(bench)
    failures_per_group = -(-failures // len(bench.groups))
    await asyncio.gather(
        *(
            _fail_repeatedly(
                bench,
                group,
                failure,
                failures_per_group,
                totals,
                random.Random(seed),
            )
            for group, seed in zip(
                bench.groups,
                [source.random() for _ in bench.groups],
                strict=True,
            )
        )
    )
    lost = sum([await _count_lost(bench, group) for group in bench.groups])
    after = _count_writes(bench)
    gaps = sorted(totals.gaps)
    return GapRow(
        kind=failure.name,
        platform=platform,
        failures=len(gaps),
        failovers=totals.failovers,
        median=round(statistics.median(gaps), 3),
        p99=round(gaps[min(len(gaps) - 1, int(len(gaps) * 0.99))], 3),
        worst=round(gaps[-1], 3),
        acknowledged=after[0] - before[0],
        lost=lost,
        unknown=after[1] - before[1],
    )


def _count_writes(bench: failover_bench.Bench) -> tuple[int, int]:
    writers = bench.writers.values()
    return (
        sum(len(writer.acknowledged) for writer in writers),
        sum(writer.unknown for writer in writers),
    )


async def _fail_repeatedly(
    bench: failover_bench.Bench,
    group: relayed_group.RelayedGroup,
    failure: failover_kinds.Failure,
    times: int,
    totals: FailureTotals,
    source: random.Random,
) -> None:
    for _ in range(times):
        await _fail_once(bench, group, failure, totals, source)


async def _fail_once(
    bench: failover_bench.Bench,
    group: relayed_group.RelayedGroup,
    failure: failover_kinds.Failure,
    totals: FailureTotals,
    source: random.Random,
) -> None:
    writer = bench.writers[group.plan.database]
    primary = await failover_bench.wait_until_recovered(group)
    await failover_bench.wait_for_writes(writer, 0.0, primary.term)
    await asyncio.sleep(failover_bench.draw_pause(source))
    victim = failover_kinds.Victim(bench, group, primary.endpoint)
    started_at = time.monotonic()
    await failure.cause(victim)
    if isinstance(failure, failover_kinds.ShortFreeze):
        await asyncio.sleep(OBSERVATION_SECONDS)
    else:
        await failover_bench.wait_for_writes(
            writer, started_at, primary.term + 1
        )
        await asyncio.sleep(FAULT_HOLD_SECONDS)
    await failure.end(victim)
    totals.gaps.append(find_gap(writer.acknowledged, started_at))
    latest_term = max(write.term for write in writer.acknowledged)
    totals.failovers += latest_term > primary.term


def find_gap(
    acknowledged: list[failover_bench.AcknowledgedWrite], started_at: float
) -> float:
    """Return the longest time between two acknowledgements, in seconds.

    :param started_at: monotonic seconds at which the failure began
    """
    times = [write.at for write in acknowledged]
    start = max((at for at in times if at <= started_at), default=started_at)
    window = [at for at in times if at >= start]
    pairs = itertools.pairwise(window)
    return max((later - earlier for earlier, later in pairs), default=0.0)


async def _count_lost(
    bench: failover_bench.Bench, group: relayed_group.RelayedGroup
) -> int:
    primary = await failover_bench.wait_until_recovered(group)
    writer = bench.writers[group.plan.database]
    expected = {write.key for write in writer.acknowledged}
    stored = await failover_bench.read_keys(group, primary)
    return len(expected - stored)


async def measure(seed: int) -> tuple[GapRow, ...]:
    """Cause each kind of failure, then some with the platform down."""
    source = random.Random(seed)
    kill = failover_kinds.Kill()
    freeze = failover_kinds.Freeze()
    cuts = (
        failover_kinds.CutFromReplicas(),
        failover_kinds.CutFromDaemons(),
    )
    rows = []
    async with failover_bench.serve(GROUPS, GROUP_OPTIONS) as bench:
        short = failover_kinds.ShortFreeze(source)
        for failure in (short, freeze, *cuts, kill):
            rows.append(await run_kind(bench, failure, "up", source))
        assert bench.fleet.platform is not None
        bench.fleet.platform.kill()
        for failure in (freeze, *cuts, kill):
            rows.append(await run_kind(bench, failure, "down", source))
    return tuple(rows)


class FailoverGap(base.Measurement):
    """Time without acknowledged writes around a failure of a primary."""

    name = "failover_gap"
    description = "gap in writes by kind of failure, 30 each; about 10 min"

    def run(self, seed: int) -> base.Report:
        """Run the measurement and check its targets."""
        rows = asyncio.run(measure(seed))
        return base.Report(self.name, seed, rows, check_targets(rows))


async def measure_switchovers(seed: int) -> tuple[GapRow, ...]:
    """Perform planned switchovers through the operators' service."""
    source = random.Random(seed)
    async with failover_bench.serve(GROUPS, GROUP_OPTIONS) as bench:
        kind = failover_kinds.Switchover(source)
        return (await run_kind(bench, kind, "up", source),)


class SwitchoverGap(base.Measurement):
    """Gap in writes during planned switchovers."""

    name = "switchover_gap"
    description = "gap in writes during 30 planned switchovers"

    def run(self, seed: int) -> base.Report:
        """Run the measurement and check its targets."""
        rows = asyncio.run(measure_switchovers(seed))
        return base.Report(self.name, seed, rows, check_targets(rows))


def check_targets(rows: tuple[GapRow, ...]) -> tuple[base.Target, ...]:
    """Compare the rows with the targets for their kind of failure."""
    targets = []
    for row in rows:
        name = f"{row.kind}, platform {row.platform}"
        if row.kind == failover_kinds.ShortFreeze.name:
            targets.append(
                base.require_at_most(f"failovers, {name}", row.failovers, 0)
            )
        else:
            platform_down = row.platform == "down"
            bound = (
                TARGET_PLATFORM_DOWN_SECONDS
                if platform_down
                else TARGET_SECONDS
            )
            targets.append(
                base.require_at_most(f"p99 gap s, {name}", row.p99, bound)
            )
        targets.append(
            base.require_at_most(f"lost writes, {name}", row.lost, 0)
        )
    return tuple(targets)


def create_measurements() -> tuple[base.Measurement, ...]:
    """Return this module's measurements."""
    return (FailoverGap(), SwitchoverGap())
