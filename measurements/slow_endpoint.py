"""Endpoints that get slow for a while, and what happens afterwards."""

import dataclasses

from measurements import flood
from measurements import flood_model
from measurements import flood_work
from measurements import frame

LOAD = flood_work.USUAL_LOAD
FLOODED = 2
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
WAYS = tuple(way for way in flood.WAYS if way.name.startswith("owner"))
RECOVERED = 0.99


@dataclasses.dataclass(frozen=True, slots=True)
class SlowRow:
    """Shares of each rank's work served in time, of one phase."""

    way: str
    slowdown: float
    phase: str
    urgent: float
    usual: float
    late: float


class SlowEndpoint(frame.Measurement):
    """Service while endpoints are slow, and how soon it is back."""

    name = "slow_endpoint"
    description = "Service while endpoints are slow and after."

    def run(self, seed: int) -> frame.Report:
        """Slow the endpoints down at the usual load."""
        arrivals = flood_work.create_arrivals(
            flood_work.LUFTDIENST, seed, flood.SECONDS, LOAD, FLOODED
        )
        rows = tuple(
            _create_row(way, slowdown, phase, arrivals)
            for way in WAYS
            for slowdown in SLOWDOWNS
            for phase in PHASES
        )
        targets = tuple(
            frame.require_at_least(
                f"slowdown {row.slowdown:g}, {row.phase}: urgent served",
                row.urgent,
                RECOVERED,
            )
            for row in rows
            if row.way == flood.OURS.name and row.phase != "slow"
        )
        return frame.Report(self.name, seed, rows, targets)


def create_measurements() -> tuple[frame.Measurement, ...]:
    """Return the measurements of this module."""
    return (SlowEndpoint(),)


def _create_row(
    way: flood.Way,
    slowdown: float,
    phase: str,
    arrivals: list[flood_work.Arrival],
) -> SlowRow:
    event = flood.Event("slow", slowdown=slowdown)
    placement = flood.run_way(
        way, flood_work.LUFTDIENST, arrivals, event, PHASES[phase]
    )
    served = [flood.measure_service(placement, level)[0] for level in range(3)]
    return SlowRow(way.name, slowdown, phase, *served)
