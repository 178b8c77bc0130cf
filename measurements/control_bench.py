"""Real daemons of several zones, with operators' calls, for measurements."""

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
WAIT_SECONDS = 20.0
POLL_SECONDS = 0.02
NOWHERE = "127.0.0.1:1"


@dataclasses.dataclass
class Bench:
    """Processes and the calls that measurements make."""

    fleet: fleets.Fleet

    @property
    def running(self) -> list[fleets.DaemonProcess]:
        """Daemons that run."""
        daemons = self.fleet.daemons.values()
        return [daemon for daemon in daemons if daemon.process.running]

    async def send_hook(self, hook: typing.Any) -> typing.Any:
        """Send a hook to the platform stand-in."""
        assert self.fleet.platform is not None
        client = platform.HookClient(self.fleet.platform.address)
        return await client.send(hook)

    async def start(
        self, zones: collections.abc.Sequence[str], cut_off: int = 0
    ) -> None:
        """Start daemons and declare a group.

        :param zones: zone of each daemon
        :param cut_off: how many, from the last, reach no platform
        """
        await self.fleet.start_platform()
        await self.fleet.start_group(fleets.GroupOptions(size=3))
        await self.fleet.start_daemon("d0", zones[0])
        first_cut = len(zones) - cut_off
        await asyncio.gather(
            *(
                self.fleet.start_daemon(
                    f"d{number}",
                    zones[number],
                    {"platform": {"addresses": NOWHERE}}
                    if number >= first_cut
                    else None,
                )
                for number in range(1, len(zones))
            )
        )
        await self._declare()
        await self.wait_logged("plan in force", 1)

    async def apply(self, expected: int) -> None:
        """Apply the plan once more, through the first daemon."""
        request = pb.ApplyRequest(
            plan=models.encode_plan(self.fleet.groups[DATABASE].plan),
            expected_revision=expected,
            change_id=f"to-{expected + 1}",
            operator="measurement",
        )
        await self._call("Apply", request)

    async def wait_logged(self, event: str, revision: int) -> list[float]:
        """Wait until all daemons that run logged a revision.

        :returns: seconds since the epoch at which each did
        """
        async with asyncio.timeout(WAIT_SECONDS):
            while True:
                found = [
                    find_time(daemon, event, revision)
                    for daemon in self.running
                ]
                if None not in found:
                    return [at for at in found if at is not None]
                await asyncio.sleep(POLL_SECONDS)

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
    """Return a daemon's log lines."""
    return [
        json.loads(line)
        for line in daemon.process.read_log().splitlines()
        if line.startswith("{") and line.endswith("}")
    ]


def find_time(
    daemon: fleets.DaemonProcess, event: str, revision: int
) -> float | None:
    """Return when a daemon logged an event of a revision."""
    for line in read_events(daemon):
        if line["event"] == event and line.get("revision") == revision:
            return parse_time(line)
    return None


def parse_time(line: dict[str, typing.Any]) -> float:
    """Return the time of a log line, in seconds since the epoch."""
    return datetime.datetime.fromisoformat(line["timestamp"]).timestamp()


def count_older(daemon: fleets.DaemonProcess) -> int:
    """Return how often a daemon put an older revision in force."""
    numbers = [
        line["revision"]
        for line in read_events(daemon)
        if line["event"] == "plan in force"
    ]
    pairs = itertools.pairwise(numbers)
    return sum(later < earlier for earlier, later in pairs)


@contextlib.asynccontextmanager
async def open_bench(
    zones: collections.abc.Sequence[str],
) -> collections.abc.AsyncIterator[Bench]:
    """Prepare a bench; all its processes end with it."""
    async with launchers.Launcher() as launcher:
        yield Bench(fleets.Fleet(launcher, tuple(dict.fromkeys(zones))))


def read_wall_clock() -> float:
    """Return the seconds since the epoch."""
    return time.time()


SLOW = platform_messages.SetFaults(id=0, slow_ms=300)
LOSES_ANSWERS = platform_messages.SetFaults(id=0, lose_replies=1)
HEALTHY = platform_messages.SetFaults(id=0)
