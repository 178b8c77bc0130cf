"""Gap in writes during failovers, by kind of failure."""

import asyncio
import dataclasses
import itertools
import random
import statistics
import time

from fescuestile_standins import fleet as fleets
from fescuestile_standins import relayed_group
from measurements import failover_bench
from measurements import failover_kinds
from measurements import frame

GROUPS = 3
FAILURES = 30
HOLD_SECONDS = 0.5
QUIET_SECONDS = 2.5
TARGET_SECONDS = 3.0
TARGET_DOWN_SECONDS = 9.0
OPTIONS = fleets.GroupOptions()


@dataclasses.dataclass(frozen=True)
class GapRow:
    """Failures of one kind; gaps in seconds.

    :ivar failovers: failures after which the primary had changed
    :ivar acknowledged: writes that were acknowledged
    :ivar lost: acknowledged writes that the primary's log lacks at the end
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
class Tally:
    """What the failures of one kind brought."""

    gaps: list[float] = dataclasses.field(default_factory=list)
    failovers: int = 0


async def run_kind(
    bench: failover_bench.Bench,
    failure: failover_kinds.Failure,
    platform: str,
    source: random.Random,
    failures: int = FAILURES,
) -> GapRow:
    """Cause failures of one kind, on all groups at a time."""
    tally = Tally()
    before = _count(bench)
    share = -(-failures // len(bench.groups))
    await asyncio.gather(
        *(
            _fail_often(
                bench, group, failure, share, tally, random.Random(seed)
            )
            for group, seed in zip(
                bench.groups,
                [source.random() for _ in bench.groups],
                strict=True,
            )
        )
    )
    lost = sum([await _count_lost(bench, group) for group in bench.groups])
    after = _count(bench)
    gaps = sorted(tally.gaps)
    return GapRow(
        kind=failure.name,
        platform=platform,
        failures=len(gaps),
        failovers=tally.failovers,
        median=round(statistics.median(gaps), 3),
        p99=round(gaps[min(len(gaps) - 1, int(len(gaps) * 0.99))], 3),
        worst=round(gaps[-1], 3),
        acknowledged=after[0] - before[0],
        lost=lost,
        unknown=after[1] - before[1],
    )


def _count(bench: failover_bench.Bench) -> tuple[int, int]:
    writers = bench.writers.values()
    return (
        sum(len(writer.acknowledged) for writer in writers),
        sum(writer.unknown for writer in writers),
    )


async def _fail_often(
    bench: failover_bench.Bench,
    group: relayed_group.RelayedGroup,
    failure: failover_kinds.Failure,
    times: int,
    tally: Tally,
    source: random.Random,
) -> None:
    for _ in range(times):
        await _fail_once(bench, group, failure, tally, source)


async def _fail_once(
    bench: failover_bench.Bench,
    group: relayed_group.RelayedGroup,
    failure: failover_kinds.Failure,
    tally: Tally,
    source: random.Random,
) -> None:
    writer = bench.writers[group.plan.database]
    primary = await failover_bench.wait_whole(group)
    await failover_bench.wait_for_writes(writer, 0.0, primary.term)
    await asyncio.sleep(failover_bench.draw_pause(source))
    victim = failover_kinds.Victim(bench, group, primary.endpoint)
    began = time.monotonic()
    await failure.cause(victim)
    if isinstance(failure, failover_kinds.ShortFreeze):
        await asyncio.sleep(QUIET_SECONDS)
    else:
        await failover_bench.wait_for_writes(writer, began, primary.term + 1)
        await asyncio.sleep(HOLD_SECONDS)
    await failure.end(victim)
    tally.gaps.append(find_gap(writer.acknowledged, began))
    latest = max(one.term for one in writer.acknowledged)
    tally.failovers += latest > primary.term


def find_gap(
    acknowledged: list[failover_bench.Acknowledged], began: float
) -> float:
    """Return the longest time between two acknowledgements, in seconds.

    :param began: monotonic seconds at which the failure began
    """
    times = [one.at for one in acknowledged]
    start = max((at for at in times if at <= began), default=began)
    window = [at for at in times if at >= start]
    pairs = itertools.pairwise(window)
    return max((later - earlier for earlier, later in pairs), default=0.0)


async def _count_lost(
    bench: failover_bench.Bench, group: relayed_group.RelayedGroup
) -> int:
    primary = await failover_bench.wait_whole(group)
    writer = bench.writers[group.plan.database]
    expected = {one.key for one in writer.acknowledged}
    held = await failover_bench.read_keys(group, primary)
    return len(expected - held)


async def measure(seed: int) -> tuple[GapRow, ...]:
    """Cause all kinds of failure, then some with the platform down."""
    source = random.Random(seed)
    kill = failover_kinds.Kill()
    freeze = failover_kinds.Freeze()
    cuts = (
        failover_kinds.CutFromReplicas(),
        failover_kinds.CutFromDaemons(),
    )
    rows = []
    async with failover_bench.serve(GROUPS, OPTIONS) as bench:
        short = failover_kinds.ShortFreeze(source)
        for failure in (short, freeze, *cuts, kill):
            rows.append(await run_kind(bench, failure, "up", source))
        assert bench.fleet.platform is not None
        bench.fleet.platform.kill()
        for failure in (freeze, *cuts, kill):
            rows.append(await run_kind(bench, failure, "down", source))
    return tuple(rows)


class FailoverGap(frame.Measurement):
    """Gap between the last write before a failure and the first after."""

    name = "failover_gap"
    description = "gap in writes by kind of failure, 30 each; about 10 min"

    def run(self, seed: int) -> frame.Report:
        """Run it."""
        rows = asyncio.run(measure(seed))
        return frame.Report(self.name, seed, rows, find_targets(rows))


async def measure_switchovers(seed: int) -> tuple[GapRow, ...]:
    """Move the primaries by operators' calls."""
    source = random.Random(seed)
    async with failover_bench.serve(GROUPS, OPTIONS) as bench:
        kind = failover_kinds.Switchover(source)
        return (await run_kind(bench, kind, "up", source),)


class SwitchoverGap(frame.Measurement):
    """Gap in writes during planned switchovers."""

    name = "switchover_gap"
    description = "gap in writes during 30 planned switchovers"

    def run(self, seed: int) -> frame.Report:
        """Run it."""
        rows = asyncio.run(measure_switchovers(seed))
        return frame.Report(self.name, seed, rows, find_targets(rows))


def find_targets(rows: tuple[GapRow, ...]) -> tuple[frame.Target, ...]:
    """Return the targets that the rows met or missed."""
    targets = []
    for row in rows:
        name = f"{row.kind}, platform {row.platform}"
        if row.kind == failover_kinds.ShortFreeze.name:
            targets.append(
                frame.require_at_most(f"failovers, {name}", row.failovers, 0)
            )
        else:
            down = row.platform == "down"
            bound = TARGET_DOWN_SECONDS if down else TARGET_SECONDS
            targets.append(
                frame.require_at_most(f"p99 gap s, {name}", row.p99, bound)
            )
        targets.append(
            frame.require_at_most(f"lost writes, {name}", row.lost, 0)
        )
    return tuple(targets)


def create_measurements() -> tuple[frame.Measurement, ...]:
    """Return this module's measurements."""
    return (FailoverGap(), SwitchoverGap())
