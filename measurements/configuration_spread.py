"""How soon an applied plan is in force on all daemons."""

import asyncio
import dataclasses
import functools
import statistics

from fescuestile import configuration
from fescuestile import gossip_messages
from fescuestile import platform_messages
from measurements import builders
from measurements import control_bench
from measurements import fleet as fleets
from measurements import frame

TODAY = ("muenchen", "muenchen", "ingolstadt", "landshut")
CHANGES = 20
HEALTHY_SECONDS = 2.0
PEERS_SECONDS = 5.0
VIRTUAL_SECONDS = 20.0
VIRTUAL_LOOK_SECONDS = 0.01
VIRTUAL_CHANGES = 20


@dataclasses.dataclass(frozen=True, slots=True)
class SpreadRow:
    """Seconds from the operator's call to the last daemon.

    :ivar older: times that a daemon put an older revision in force
    """

    case: str
    daemons: int
    changes: int
    median: float
    worst: float
    older: int


class ConfigurationSpread(frame.Measurement):
    """Time until a change is in force everywhere."""

    name = "configuration_spread"
    description = "Seconds until an applied plan is in force everywhere."

    def run(self, seed: int) -> frame.Report:
        """Apply plans with the platform healthy, slow, lossy, cut off."""
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
            HEALTHY_SECONDS,
            PEERS_SECONDS,
            PEERS_SECONDS,
            PEERS_SECONDS,
            PEERS_SECONDS,
        )
        targets = tuple(
            frame.require_at_most(f"worst seconds, {row.case}", row.worst, m)
            for row, m in zip(rows, limits, strict=True)
        )
        older = sum(row.older for row in rows)
        return frame.Report(
            self.name,
            seed,
            rows,
            (*targets, frame.require_at_most("older in force", older, 0)),
        )


def create_measurements() -> tuple[frame.Measurement, ...]:
    """Return the measurements of this module."""
    return (ConfigurationSpread(),)


async def _apply(
    case: str, faults: platform_messages.SetFaults, cut_off: int
) -> SpreadRow:
    """Apply plans one after the other, each under the same faults."""
    taken = []
    async with control_bench.open_bench(TODAY) as bench:
        await bench.start(TODAY, cut_off)
        for revision in range(1, CHANGES + 1):
            await bench.send_hook(faults)
            began = control_bench.read_wall_clock()
            await bench.apply(revision)
            times = await bench.wait_logged("plan in force", revision + 1)
            taken.append(max(times) - began)
        older = sum(map(control_bench.count_older, bench.running))
    return _summarize(case, len(TODAY), taken, older)


def _spread_virtually(seed: int, zones: int, members: int) -> SpreadRow:
    """Announce revisions on one daemon of a large fleet, on its clock."""
    counts = {f"zone-{number:02}": members for number in range(zones)}
    fleet = fleets.build(seed, counts)
    fleet.run(VIRTUAL_SECONDS)
    names = list(fleet.nodes)
    first = next(iter(builders.build_revisions(1).values()))
    taken = []
    older = 0
    for number in range(1, VIRTUAL_CHANGES + 1):
        revision = dataclasses.replace(first, revision=number)
        entry = configuration.make_entry(revision)
        began = fleet.now
        fleet.announce(names[number * 7 % len(names)], entry)
        fleet.run_until(
            functools.partial(_is_in_force, fleet, entry),
            VIRTUAL_SECONDS,
            VIRTUAL_LOOK_SECONDS,
        )
        taken.append(fleet.now - began)
    for entries in fleet.changes.values():
        versions = [entry.version for entry in entries]
        older += versions != sorted(versions)
    return _summarize("virtual, peers alone", len(names), taken, older)


def _is_in_force(fleet: fleets.Fleet, entry: gossip_messages.Entry) -> bool:
    return all(
        fleet.knows(name, entry.key, entry.version) for name in fleet.nodes
    )


def _summarize(
    case: str, daemons: int, taken: list[float], older: int
) -> SpreadRow:
    return SpreadRow(
        case,
        daemons,
        len(taken),
        statistics.median(taken),
        max(taken),
        older,
    )
