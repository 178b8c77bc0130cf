"""Service while endpoints are slow for a time, and after they recover."""

import dataclasses

from measurements import base
from measurements import flood
from measurements import flood_model
from measurements import flood_work

LOAD = flood_work.NORMAL_LOAD
OVERLOAD_LEVEL = 2
END_SECONDS = flood.FAULT_AT_SECONDS + flood.SLOW_SECONDS
RECOVERY_SECONDS = 0.5
PHASES = {
    "slow": flood_model.Window(flood.FAULT_AT_SECONDS, END_SECONDS),
    "recovery": flood_model.Window(
        END_SECONDS, END_SECONDS + RECOVERY_SECONDS
    ),
    "after": flood_model.Window(END_SECONDS + RECOVERY_SECONDS, 5.0),
}
SLOWDOWNS = (3.0, 25.0, 100.0)
VARIANTS = tuple(v for v in flood.VARIANTS if v.name.startswith("owner"))
TARGET_URGENT_SERVED = 0.99


@dataclasses.dataclass(frozen=True, slots=True)
class SlowRow:
    """Share of each rank's work served within its deadline in a phase."""

    way: str
    slowdown: float
    phase: str
    urgent: float
    usual: float
    late: float


class SlowEndpoint(base.Measurement):
    """Service while endpoints are slow, and the time to recovery."""

    name = "slow_endpoint"
    description = "Service while endpoints are slow, and after they recover."

    def run(self, seed: int) -> base.Report:
        """Slow the endpoints down at normal load."""
        arrivals = flood_work.create_arrivals(
            flood_work.LUFTDIENST, seed, flood.SECONDS, LOAD, OVERLOAD_LEVEL
        )
        rows = tuple(
            _create_row(variant, slowdown, phase, arrivals)
            for variant in VARIANTS
            for slowdown in SLOWDOWNS
            for phase in PHASES
        )
        targets = tuple(
            base.require_at_least(
                f"slowdown {row.slowdown:g}, {row.phase}: urgent served",
                row.urgent,
                TARGET_URGENT_SERVED,
            )
            for row in rows
            if row.way == flood.OWNER.name and row.phase != "slow"
        )
        return base.Report(self.name, seed, rows, targets)


def create_measurements() -> tuple[base.Measurement, ...]:
    """Return the measurements of this module."""
    return (SlowEndpoint(),)


def _create_row(
    variant: flood.Variant,
    slowdown: float,
    phase: str,
    arrivals: list[flood_work.Arrival],
) -> SlowRow:
    fault = flood.Fault("slow", slowdown=slowdown)
    placement = flood.run_variant(
        variant, flood_work.LUFTDIENST, arrivals, fault, PHASES[phase]
    )
    served = [flood.measure_service(placement, level)[0] for level in range(3)]
    return SlowRow(variant.name, slowdown, phase, *served)
