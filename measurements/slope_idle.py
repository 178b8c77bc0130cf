"""Slope measurement of a real daemon's work while no statement runs."""

import asyncio
import dataclasses

from fescuestile_standins import fleet as fleets
from measurements import base
from measurements import real_fleet
from measurements import slopes

ENDPOINTS_PER_GROUP = 3
SETTLE_SECONDS = 3.0
SAMPLE_SECONDS = 8.0
GROUP = fleets.GroupOptions(connect_ms=0)


class IdleDaemon(slopes.SlopeMeasurement):
    """Processor time of an idle daemon, by endpoints owned."""

    name = "slope_idle"
    description = "Control work of a real daemon alone, by endpoints owned."
    size_name = "endpoints owned"
    sizes = (3, 6, 9, 12)

    def measure(self, size: int, seed: int) -> slopes.QuantityValues:
        """Measure a daemon that owns the endpoints of idle groups."""
        return asyncio.run(self._measure(size // ENDPOINTS_PER_GROUP))

    async def _measure(self, groups: int) -> slopes.QuantityValues:
        options = (
            dataclasses.replace(GROUP, database=f"werkstatt-db-{number}")
            for number in range(groups)
        )
        async with real_fleet.serve(*options) as served:
            await asyncio.sleep(SETTLE_SECONDS)
            process = served.process
            before = process.cpu_times()
            await asyncio.sleep(SAMPLE_SECONDS)
            after = process.cpu_times()
        cpu_seconds = after.user + after.system - before.user - before.system
        return {
            "CPU ms/s": cpu_seconds
            / SAMPLE_SECONDS
            * slopes.MILLISECONDS_PER_SECOND,
        }


def create_measurements() -> tuple[base.Measurement, ...]:
    """Return the measurements of this module."""
    return (IdleDaemon(),)
