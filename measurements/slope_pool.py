"""Slope measurement of idle connection pools: their heartbeats."""

import asyncio
import contextlib
import time

from fescuestile import clock
from fescuestile_daemon import endpoint_adapter
from fescuestile_daemon import endpoint_pool
from fescuestile_standins import fleet as fleets
from fescuestile_standins import launcher as launchers
from measurements import base
from measurements import slope_links
from measurements import slopes

OWNER = "owner"
OWNER_IP = "127.0.1.1"
SETTLE_SECONDS = 1.0
IDLE_SECONDS = 4.0
CONNECTIONS = 200
QUANTITY = "processor of idle pools, % of a core"


class PoolSlope(slopes.SlopeMeasurement):
    """Processor time of idle connections, by endpoints owned."""

    name = "slope_pool"
    description = "Cost of owned endpoints without work, by their number."
    size_name = "endpoints owned"
    sizes = (1, 4, 8, 16)

    def measure(self, size: int, seed: int) -> slopes.QuantityValues:
        """Measure pools of idle connections, one for each endpoint."""
        slope_links.log_errors_only()
        return {QUANTITY: asyncio.run(_measure(size))}


def create_measurements() -> tuple[base.Measurement, ...]:
    """Return the measurements of this module."""
    return (PoolSlope(),)


async def _measure(size: int) -> float:
    options = fleets.GroupOptions(size=1, connections=CONNECTIONS)
    async with contextlib.AsyncExitStack() as stack:
        launcher = await stack.enter_async_context(launchers.Launcher())
        group = await fleets.Fleet(launcher).start_group(options)
        dialer = endpoint_adapter.make_dialer(OWNER, OWNER_IP)
        for _ in range(size):
            pool = endpoint_pool.create_pool(
                group.plan,
                group.plan.endpoints[0],
                dialer,
                clock.SystemClock(),
            )
            pool.start()
            stack.push_async_callback(pool.close)
        await asyncio.sleep(SETTLE_SECONDS)
        start = time.process_time()
        await asyncio.sleep(IDLE_SECONDS)
        cpu_seconds = time.process_time() - start
    return 100 * cpu_seconds / IDLE_SECONDS
