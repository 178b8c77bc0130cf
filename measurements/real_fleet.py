"""A real daemon, platform and group of endpoints for measurements."""

import asyncio
import collections.abc
import contextlib
import dataclasses

import grpc
import psutil

from fescuestile import plans
from fescuestile_api import fescuestile_pb2 as pb
from fescuestile_api import fescuestile_pb2_grpc as pb_grpc
from fescuestile_api import models
from fescuestile_client import session as sessions
from fescuestile_standins import fleet as fleets
from fescuestile_standins import launcher as launchers

READY_TIMEOUT_SECONDS = 20.0
RETRY_INTERVAL_SECONDS = 0.1


@dataclasses.dataclass(frozen=True)
class SystemUnderTest:
    """Running system that a measurement sends statements to.

    :ivar fleet: all processes
    :ivar daemon: the daemon under measurement
    :ivar database: the first declared database
    """

    fleet: fleets.Fleet
    daemon: fleets.DaemonProcess
    database: str

    @property
    def process(self) -> psutil.Process:
        """Operating system process of the daemon."""
        return psutil.Process(self.daemon.process.pid)


@contextlib.asynccontextmanager
async def serve(
    *groups: fleets.GroupOptions,
) -> collections.abc.AsyncIterator[SystemUnderTest]:
    """Run one daemon and some groups, ready for statements."""
    async with launchers.Launcher() as launcher:
        fleet = fleets.Fleet(launcher)
        await fleet.start_platform()
        daemon = await fleet.start_daemon("host-1", fleet.zones[0])
        system = SystemUnderTest(fleet, daemon, groups[0].database)
        for options in groups:
            group = await fleet.start_group(options)
            await declare(daemon, group.plan)
            await wait_until_serving(system, options.database)
        yield system


async def declare(daemon: fleets.DaemonProcess, plan: plans.Plan) -> None:
    """Declare a plan through a daemon."""
    async with grpc.aio.insecure_channel(daemon.operator_address) as channel:
        await pb_grpc.OperatorServiceStub(channel).Declare(
            pb.DeclareRequest(
                plan=models.encode_plan(plan),
                change_id=f"declare-{plan.database}",
                operator="measurement",
            ),
            wait_for_ready=True,
            timeout=READY_TIMEOUT_SECONDS,
        )


async def wait_until_serving(system: SystemUnderTest, database: str) -> None:
    """Wait until a write to a database succeeds."""
    async with asyncio.timeout(READY_TIMEOUT_SECONDS):
        while True:
            try:
                async with sessions.Session(
                    [system.daemon.caller_address], "measurement"
                ) as session:
                    await session.execute(
                        database, "fault-report", "PUT pump ok"
                    )
                return
            except Exception:
                await asyncio.sleep(RETRY_INTERVAL_SECONDS)
