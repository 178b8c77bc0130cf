"""Real daemons and groups for failures under a continuous write load."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import random
import time

import grpc
from websockets.asyncio import client as websockets_client

from fescuestile import endpoint_messages
from fescuestile import errors
from fescuestile import positions
from fescuestile_api import fescuestile_pb2 as pb
from fescuestile_api import fescuestile_pb2_grpc as pb_grpc
from fescuestile_api import models
from fescuestile_client import options as client_options
from fescuestile_client import session as sessions
from fescuestile_standins import endpoint_replication
from fescuestile_standins import fleet as fleets
from fescuestile_standins import launcher as launchers
from fescuestile_standins import relayed_group
from fescuestile_standins import wire

Role = endpoint_messages.Role
LOCAL_IP = "127.0.0.1"
READY_TIMEOUT_SECONDS = 30.0
RECOVERY_TIMEOUT_SECONDS = 60.0
POLL_INTERVAL_SECONDS = 0.05
WRITE_INTERVAL_SECONDS = 0.02
WRITE_TIMEOUT_SECONDS = 1.0
MAX_OUTSTANDING_WRITES = 64
DAEMONS = (("host-1", 0), ("host-2", 1), ("host-3", 2), ("host-4", 0))


@dataclasses.dataclass(frozen=True, slots=True)
class AcknowledgedWrite:
    """An acknowledged write.

    :ivar at: monotonic seconds of the acknowledgement
    :ivar term: term of its position
    """

    key: str
    at: float
    term: int


class Writer:
    """Writes to one database at a steady rate, also during failures.

    :ivar unknown: writes of unknown outcome
    :ivar refused: writes that were not run
    """

    def __init__(self, database: str, addresses: list[str]) -> None:
        """Create one session for each address, preferring that address."""
        self.acknowledged: list[AcknowledgedWrite] = []
        self.unknown = 0
        self.refused = 0
        self._database = database
        self._tasks: set[asyncio.Task[None]] = set()
        options = client_options.SessionOptions(settle_unknown=False)
        self._sessions = [
            sessions.Session(
                [address, *addresses], f"writer-{number}", options=options
            )
            for number, address in enumerate(addresses)
        ]
        self._number = 0
        self._loop: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Open the sessions and start writing."""
        for session in self._sessions:
            await session.start()
        self._loop = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop writing and wait for outstanding writes."""
        if self._loop is not None:
            self._loop.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for session in self._sessions:
            await session.close()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(WRITE_INTERVAL_SECONDS)
            if len(self._tasks) < MAX_OUTSTANDING_WRITES:
                self._number += 1
                task = asyncio.create_task(self._write(self._number))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _write(self, number: int) -> None:
        session = self._sessions[number % len(self._sessions)]
        key = f"key-{number}"
        try:
            answer = await session.execute(
                self._database,
                "fault-report",
                f"PUT {key} {number}",
                repeatable=False,
                timeout=WRITE_TIMEOUT_SECONDS,
            )
        except errors.NotRun:
            self.refused += 1
        except errors.FescuestileError:
            self.unknown += 1
        else:
            write = AcknowledgedWrite(
                key, time.monotonic(), answer.position.term
            )
            self.acknowledged.append(write)


@dataclasses.dataclass
class Bench:
    """Running processes in which failures are caused."""

    fleet: fleets.Fleet
    control: wire.WireClient
    groups: list[relayed_group.RelayedGroup]
    writers: dict[str, Writer]
    _lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)

    async def cut(self, side: str, others: list[str]) -> None:
        """Cut one side of the network stand-in ``wire`` from others."""
        async with self._lock:
            for other in others:
                await self.control.cut(side, other)

    async def heal(self, side: str, others: list[str]) -> None:
        """Heal the cuts between a side and others."""
        async with self._lock:
            for other in others:
                await self.control.heal(side, other)

    def list_daemon_sides(self) -> list[str]:
        """Return the sides of all daemons in the rules of ``wire``."""
        return [f"{daemon.ip}/32" for daemon in self.fleet.daemons.values()]


async def collect_reports(
    group: relayed_group.RelayedGroup,
) -> dict[str, endpoint_messages.Report]:
    """Return the reports of the reachable endpoints, by name."""
    reports = await endpoint_replication.inspect_peers(
        group.addresses.values(), LOCAL_IP
    )
    return {report.endpoint: report for report in reports}


async def wait_until_recovered(
    group: relayed_group.RelayedGroup,
) -> endpoint_messages.Report:
    """Wait until one primary and all replicas share a term.

    :returns: report of the primary
    """
    async with asyncio.timeout(RECOVERY_TIMEOUT_SECONDS):
        while True:
            reports = await collect_reports(group)
            terms = {report.term for report in reports.values()}
            roles = sorted(report.role for report in reports.values())
            replicas = [Role.REPLICA] * (group.options.size - 1)
            if len(terms) == 1 and roles == [Role.PRIMARY, *replicas]:
                return next(
                    report
                    for report in reports.values()
                    if report.role is Role.PRIMARY
                )
            await asyncio.sleep(POLL_INTERVAL_SECONDS)


async def read_keys(
    group: relayed_group.RelayedGroup, primary: endpoint_messages.Report
) -> set[str]:
    """Return all keys in the primary's log."""
    address = group.addresses[primary.endpoint]
    pull = endpoint_replication.Pull(
        "reader", primary.term, (), positions.START
    )
    keys: set[str] = set()
    codec = endpoint_replication.CODEC
    async with websockets_client.connect(
        f"ws://{address}", proxy=None, compression=None, max_size=None
    ) as connection:
        await connection.send(codec.encode(pull))
        index = 0
        while index < primary.last.index:
            batch = codec.decode(await connection.recv(decode=False)).ok
            for entry in batch.entries:
                index = entry.position.index
                keys.update(change.key for change in entry.changes)
    return keys


@contextlib.asynccontextmanager
async def serve(
    group_count: int, options: fleets.GroupOptions
) -> collections.abc.AsyncIterator[Bench]:
    """Run four daemons and some groups, with a writer for each group."""
    async with launchers.Launcher() as launcher:
        fleet = fleets.Fleet(launcher)
        await fleet.start_platform()
        control = await fleet.start_wire()
        groups = [
            await relayed_group.start_group(
                launcher,
                control,
                dataclasses.replace(options, database=f"werkstatt-{number}"),
                number,
            )
            for number in range(group_count)
        ]
        for name, zone in DAEMONS:
            await fleet.start_daemon(name, fleet.zones[zone])
        await declare(fleet, groups)
        addresses = [d.caller_address for d in fleet.daemons.values()]
        writers = {
            group.plan.database: Writer(group.plan.database, addresses)
            for group in groups
        }
        for writer in writers.values():
            await writer.start()
            await wait_for_writes(writer)
        try:
            yield Bench(fleet, control, groups, writers)
        finally:
            for writer in writers.values():
                await writer.close()
            await control.close()


async def declare(
    fleet: fleets.Fleet, groups: list[relayed_group.RelayedGroup]
) -> None:
    """Declare the groups' plans through the first daemon."""
    daemon = next(iter(fleet.daemons.values()))
    async with grpc.aio.insecure_channel(daemon.operator_address) as channel:
        for group in groups:
            await pb_grpc.OperatorServiceStub(channel).Declare(
                pb.DeclareRequest(
                    plan=models.encode_plan(group.plan),
                    change_id=f"declare-{group.plan.database}",
                    operator="measurement",
                ),
                wait_for_ready=True,
                timeout=READY_TIMEOUT_SECONDS,
            )


async def wait_for_writes(
    writer: Writer, after: float = 0.0, term: int = 1
) -> AcknowledgedWrite:
    """Wait for a write acknowledged after a time, in a term or later.

    :param after: monotonic seconds
    :returns: the first such write
    """
    async with asyncio.timeout(RECOVERY_TIMEOUT_SECONDS):
        while True:
            for latest in reversed(writer.acknowledged):
                if latest.at >= after and latest.term >= term:
                    return next(
                        write
                        for write in writer.acknowledged
                        if write.at >= after and write.term >= term
                    )
                break
            await asyncio.sleep(POLL_INTERVAL_SECONDS)


def draw_pause(source: random.Random) -> float:
    """Draw the seconds without faults before a failure."""
    return source.uniform(0.3, 0.8)
