"""Calls to the platform by an idle fleet."""

import asyncio
import dataclasses

from fescuestile import configuration
from fescuestile import platform_messages
from measurements import base
from measurements import builders
from measurements import control_bench

ZONES = ("muenchen", "ingolstadt", "landshut")
FLEET_SIZES = ((3, 1), (6, 1), (12, 1), (6, 300))
TARGET_WATCHES_PER_ZONE = 4
TARGET_READS_PER_ZONE_SECOND = 2.5
SETTLE_SECONDS = 3.0
OBSERVED_SECONDS = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class CallsRow:
    """Calls of a whole fleet to the platform.

    :ivar waiting: watches that wait for a change
    """

    daemons: int
    zones: int
    databases: int
    waiting: int
    reads_per_second: float
    writes_per_second: float


class PlatformCalls(base.Measurement):
    """Calls to the platform by number of daemons and databases."""

    name = "platform_calls"
    description = "Calls and watches of an idle fleet at the platform."

    def run(self, seed: int) -> base.Report:
        """Count the calls of idle fleets of real daemons."""
        rows = tuple(
            asyncio.run(_count(daemons, databases))
            for daemons, databases in FLEET_SIZES
        )
        watches = max(row.waiting / row.zones for row in rows)
        reads = max(row.reads_per_second / row.zones for row in rows)
        return base.Report(
            self.name,
            seed,
            rows,
            (
                base.require_at_most(
                    "waiting watches per zone",
                    watches,
                    TARGET_WATCHES_PER_ZONE,
                ),
                base.require_at_most(
                    "reads/s per zone", reads, TARGET_READS_PER_ZONE_SECOND
                ),
            ),
        )


def create_measurements() -> tuple[base.Measurement, ...]:
    """Return the measurements of this module."""
    return (PlatformCalls(),)


async def _count(daemons: int, databases: int) -> CallsRow:
    zones = [ZONES[number % len(ZONES)] for number in range(daemons)]
    async with control_bench.open_bench(zones) as bench:
        await bench.start(zones)
        await _declare_more(bench, databases - 1)
        await asyncio.sleep(SETTLE_SECONDS)
        before = await bench.send_hook(platform_messages.ReadCounters(id=0))
        await asyncio.sleep(OBSERVED_SECONDS)
        after = await bench.send_hook(platform_messages.ReadCounters(id=0))
    return CallsRow(
        daemons,
        len(ZONES),
        databases,
        after.waiting,
        (after.reads - before.reads) / OBSERVED_SECONDS,
        (after.writes - before.writes) / OBSERVED_SECONDS,
    )


async def _declare_more(bench: control_bench.Bench, count: int) -> None:
    """Write plans of further databases directly to the platform."""
    for revision in builders.build_revisions(count).values():
        outcome = configuration.ChangeOutcome(revision.change_id, 1)
        content = configuration.PlanObject(revision, (outcome,))
        await bench.send_hook(
            platform_messages.WriteObject(
                id=0,
                path=configuration.find_plan_path(revision.plan.database),
                value=configuration.encode_object(content),
                expected_version=0,
                change_id=revision.change_id,
            )
        )
