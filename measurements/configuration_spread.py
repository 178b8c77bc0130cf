"""Time until an applied plan is in force on all daemons."""

import asyncio
import dataclasses
import functools
import statistics

from fescuestile import configuration
from fescuestile import gossip_messages
from fescuestile import platform_messages
from measurements import base
from measurements import builders
from measurements import control_bench
from measurements import simulated_fleet as fleets

CURRENT_ZONES = ("muenchen", "muenchen", "ingolstadt", "landshut")
CHANGES = 20
TARGET_HEALTHY_SECONDS = 2.0
TARGET_DEGRADED_SECONDS = 5.0
VIRTUAL_SECONDS = 20.0
VIRTUAL_CHECK_INTERVAL_SECONDS = 0.01
VIRTUAL_CHANGES = 20


@dataclasses.dataclass(frozen=True, slots=True)
class SpreadRow:
    """Propagation times of changes, in seconds.

    A time runs from the operator's call until the last daemon has put the
    revision in force.

    :ivar older: how often a daemon replaced a revision by an older one
    """

    case: str
    daemons: int
    changes: int
    median: float
    worst: float
    older: int


class ConfigurationSpread(base.Measurement):
    """Propagation time of plan changes to all daemons."""

    name = "configuration_spread"
    description = "Seconds until an applied plan is in force everywhere."

    def run(self, seed: int) -> base.Report:
        """Apply plans with the platform healthy, slow, lossy and cut off."""
        rows = (
            asyncio.run(_apply("healthy", control_bench.HEALTHY, 0)),
            asyncio.run(_apply("slow by 300 ms", control_bench.SLOW, 0)),
            asyncio.run(
                _apply("loses the answer", control_bench.LOSES_ANSWERS, 0)
            ),
            asyncio.run(_apply("by peers alone", control_bench.HEALTHY, 3)),
            _spread_virtually(seed, 27, 15),
        )
        limits = (
            TARGET_HEALTHY_SECONDS,
            TARGET_DEGRADED_SECONDS,
            TARGET_DEGRADED_SECONDS,
            TARGET_DEGRADED_SECONDS,
            TARGET_DEGRADED_SECONDS,
        )
        targets = tuple(
            base.require_at_most(
                f"worst seconds, {row.case}", row.worst, limit
            )
            for row, limit in zip(rows, limits, strict=True)
        )
        older = sum(row.older for row in rows)
        return base.Report(
            self.name,
            seed,
            rows,
            (*targets, base.require_at_most("older in force", older, 0)),
        )


def create_measurements() -> tuple[base.Measurement, ...]:
    """Return the measurements of this module."""
    return (ConfigurationSpread(),)


async def _apply(
    case: str, faults: platform_messages.SetFaults, cut_off: int
) -> SpreadRow:
    """Apply plans one after another to real daemons.

    :param faults: platform faults, set before each change
    :param cut_off: how many daemons reach no platform
    """
    durations = []
    async with control_bench.open_bench(CURRENT_ZONES) as bench:
        await bench.start(CURRENT_ZONES, cut_off)
        for revision in range(1, CHANGES + 1):
            await bench.send_hook(faults)
            started_at = control_bench.read_wall_clock()
            await bench.apply(revision)
            in_force_at = await bench.wait_until_logged(
                "plan in force", revision + 1
            )
            durations.append(max(in_force_at) - started_at)
        older = sum(map(control_bench.count_older_revisions, bench.running))
    return _summarize(case, len(CURRENT_ZONES), durations, older)


def _spread_virtually(seed: int, zones: int, members: int) -> SpreadRow:
    """Announce revisions in a large simulated fleet, in virtual time.

    :param members: daemons in each zone
    """
    counts = {f"zone-{number:02}": members for number in range(zones)}
    fleet = fleets.build(seed, counts)
    fleet.run(VIRTUAL_SECONDS)
    names = list(fleet.nodes)
    first = next(iter(builders.build_revisions(1).values()))
    durations = []
    older = 0
    for number in range(1, VIRTUAL_CHANGES + 1):
        revision = dataclasses.replace(first, revision=number)
        entry = configuration.encode_entry(revision)
        started_at = fleet.now
        fleet.announce(names[number * 7 % len(names)], entry)
        fleet.run_until(
            functools.partial(_is_in_force, fleet, entry),
            VIRTUAL_SECONDS,
            VIRTUAL_CHECK_INTERVAL_SECONDS,
        )
        durations.append(fleet.now - started_at)
    for entries in fleet.changes.values():
        versions = [entry.version for entry in entries]
        older += versions != sorted(versions)
    return _summarize("virtual, peers alone", len(names), durations, older)


def _is_in_force(fleet: fleets.Fleet, entry: gossip_messages.Entry) -> bool:
    return all(
        fleet.has_version(name, entry.key, entry.version)
        for name in fleet.nodes
    )


def _summarize(
    case: str, daemons: int, durations: list[float], older: int
) -> SpreadRow:
    return SpreadRow(
        case,
        daemons,
        len(durations),
        statistics.median(durations),
        max(durations),
        older,
    )
