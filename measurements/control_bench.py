"""Real daemons in several zones, controlled by operators' calls."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import datetime
import itertools
import json
import time
import typing

import grpc

from fescuestile import platform_messages
from fescuestile_api import fescuestile_pb2 as pb
from fescuestile_api import fescuestile_pb2_grpc as pb_grpc
from fescuestile_api import models
from fescuestile_standins import fleet as fleets
from fescuestile_standins import launcher as launchers
from fescuestile_standins import platform

DATABASE = "werkstatt-db"
DaemonProcess = fleets.DaemonProcess
CALL_TIMEOUT_SECONDS = 15.0
LOG_TIMEOUT_SECONDS = 20.0
POLL_INTERVAL_SECONDS = 0.02
UNREACHABLE_ADDRESS = "127.0.0.1:1"


@dataclasses.dataclass
class Bench:
    """Fleet of processes and the calls that measurements make to it."""

    fleet: fleets.Fleet

    @property
    def running(self) -> list[fleets.DaemonProcess]:
        """Daemons whose process is running."""
        daemons = self.fleet.daemons.values()
        return [daemon for daemon in daemons if daemon.process.running]

    async def send_hook(self, hook: typing.Any) -> typing.Any:
        """Send a control message to the platform stand-in."""
        assert self.fleet.platform is not None
        client = platform.HookClient(self.fleet.platform.address)
        return await client.send(hook)

    async def start(
        self, zones: collections.abc.Sequence[str], cut_off: int = 0
    ) -> None:
        """Start the platform, a group and daemons, and declare the group.

        :param zones: zone of each daemon
        :param cut_off: how many of the last daemons reach no platform
        """
        await self.fleet.start_platform()
        await self.fleet.start_group(fleets.GroupOptions(size=3))
        await self.fleet.start_daemon("d0", zones[0])
        first_cut_off = len(zones) - cut_off
        await asyncio.gather(
            *(
                self.fleet.start_daemon(
                    f"d{number}",
                    zones[number],
                    {"platform": {"addresses": UNREACHABLE_ADDRESS}}
                    if number >= first_cut_off
                    else None,
                )
                for number in range(1, len(zones))
            )
        )
        await self._declare()
        await self.wait_until_logged("plan in force", 1)

    async def apply(self, expected: int) -> None:
        """Apply the plan again through the first daemon.

        :param expected: revision that the change expects to replace
        """
        request = pb.ApplyRequest(
            plan=models.encode_plan(self.fleet.groups[DATABASE].plan),
            expected_revision=expected,
            change_id=f"to-{expected + 1}",
            operator="measurement",
        )
        await self._call("Apply", request)

    async def wait_until_logged(
        self, event: str, revision: int
    ) -> list[float]:
        """Wait until all running daemons have logged an event of a revision.

        :returns: time of each log line, in seconds since the epoch
        """
        async with asyncio.timeout(LOG_TIMEOUT_SECONDS):
            while True:
                logged_at = [
                    find_time(daemon, event, revision)
                    for daemon in self.running
                ]
                if None not in logged_at:
                    return [at for at in logged_at if at is not None]
                await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def _declare(self) -> None:
        plan = models.encode_plan(self.fleet.groups[DATABASE].plan)
        await self._call(
            "Declare",
            pb.DeclareRequest(
                plan=plan, change_id="declare", operator="measurement"
            ),
        )

    async def _call(self, method: str, request: object) -> typing.Any:
        address = self.fleet.daemons["d0"].operator_address
        async with grpc.aio.insecure_channel(address) as channel:
            stub = pb_grpc.OperatorServiceStub(channel)
            return await getattr(stub, method)(
                request, timeout=CALL_TIMEOUT_SECONDS, wait_for_ready=True
            )


def read_events(daemon: fleets.DaemonProcess) -> list[dict[str, typing.Any]]:
    """Return a daemon's parsed log lines."""
    return [
        json.loads(line)
        for line in daemon.process.read_log().splitlines()
        if line.startswith("{") and line.endswith("}")
    ]


def find_time(
    daemon: fleets.DaemonProcess, event: str, revision: int
) -> float | None:
    """Return when a daemon first logged an event of a revision.

    :returns: seconds since the epoch, or ``None`` if it has not
    """
    for line in read_events(daemon):
        if line["event"] == event and line.get("revision") == revision:
            return parse_time(line)
    return None


def parse_time(line: dict[str, typing.Any]) -> float:
    """Return the time of a log line, in seconds since the epoch."""
    return datetime.datetime.fromisoformat(line["timestamp"]).timestamp()


def count_older_revisions(daemon: fleets.DaemonProcess) -> int:
    """Count the times a daemon replaced a revision by an older one."""
    revisions = [
        line["revision"]
        for line in read_events(daemon)
        if line["event"] == "plan in force"
    ]
    pairs = itertools.pairwise(revisions)
    return sum(later < earlier for earlier, later in pairs)


@contextlib.asynccontextmanager
async def open_bench(
    zones: collections.abc.Sequence[str],
) -> collections.abc.AsyncIterator[Bench]:
    """Prepare a bench; its processes are terminated on exit."""
    async with launchers.Launcher() as launcher:
        yield Bench(fleets.Fleet(launcher, tuple(dict.fromkeys(zones))))


def read_wall_clock() -> float:
    """Return the seconds since the epoch."""
    return time.time()


SLOW = platform_messages.SetFaults(id=0, slow_ms=300)
LOSES_ANSWERS = platform_messages.SetFaults(id=0, lose_replies=1)
HEALTHY = platform_messages.SetFaults(id=0)
