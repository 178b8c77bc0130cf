"""Kinds of failure of a primary."""

import abc
import asyncio
import dataclasses
import itertools
import random

import grpc

from fescuestile_api import fescuestile_pb2 as pb
from fescuestile_api import fescuestile_pb2_grpc as pb_grpc
from fescuestile_standins import relayed_group
from measurements import failover_bench

SWITCHOVER_TIMEOUT_SECONDS = 10.0


@dataclasses.dataclass(frozen=True)
class Victim:
    """The primary that a failure affects, with its group."""

    bench: failover_bench.Bench
    group: relayed_group.RelayedGroup
    primary: str

    @property
    def side(self) -> str:
        """Side of the primary in the rules of ``wire``."""
        return self.group.find_side(self.primary)

    def list_replica_sides(self) -> list[str]:
        """Return the sides of the group's other endpoints."""
        return [
            self.group.find_side(name)
            for name in self.group.addresses
            if name != self.primary
        ]


class Failure(abc.ABC):
    """Kind of failure of a primary, which can be caused and ended."""

    name: str

    @abc.abstractmethod
    async def cause(self, victim: Victim) -> None:
        """Cause the failure."""

    @abc.abstractmethod
    async def end(self, victim: Victim) -> None:
        """End the failure, so that the endpoint can rejoin its group."""


class Kill(Failure):
    """The process is killed, then restarted without its state."""

    name = "killed"

    async def cause(self, victim: Victim) -> None:
        """Kill the process."""
        victim.group.processes[victim.primary].kill()

    async def end(self, victim: Victim) -> None:
        """Restart the process with an empty state."""
        await victim.group.restart(victim.primary)


class Freeze(Failure):
    """The process is frozen, and resumed after the failover."""

    name = "frozen"

    async def cause(self, victim: Victim) -> None:
        """Freeze the process."""
        victim.group.processes[victim.primary].freeze()

    async def end(self, victim: Victim) -> None:
        """Resume the process."""
        victim.group.processes[victim.primary].resume()


class CutFromReplicas(Failure):
    """No bytes pass between the primary and the other endpoints."""

    name = "cut from replicas"

    async def cause(self, victim: Victim) -> None:
        """Cut the connections."""
        await victim.bench.cut(victim.side, victim.list_replica_sides())

    async def end(self, victim: Victim) -> None:
        """Heal the cut."""
        await victim.bench.heal(victim.side, victim.list_replica_sides())


class CutFromDaemons(Failure):
    """No bytes pass between the primary and the daemons."""

    name = "cut from daemons"

    async def cause(self, victim: Victim) -> None:
        """Cut the connections."""
        sides = victim.bench.list_daemon_sides()
        await victim.bench.cut(victim.side, sides)

    async def end(self, victim: Victim) -> None:
        """Heal the cut."""
        sides = victim.bench.list_daemon_sides()
        await victim.bench.heal(victim.side, sides)


class ShortFreeze(Failure):
    """The process is frozen for less than a second."""

    name = "frozen under 1 s"

    def __init__(self, source: random.Random) -> None:
        """Initialize with the source of random durations."""
        self._random = source

    async def cause(self, victim: Victim) -> None:
        """Freeze the process and resume it after a random time."""
        process = victim.group.processes[victim.primary]
        process.freeze()
        await asyncio.sleep(self._random.uniform(0.3, 0.95))
        process.resume()

    async def end(self, victim: Victim) -> None:
        """Do nothing: the process has been resumed already."""


class Switchover(Failure):
    """An operator moves the primary; no process fails."""

    name = "switchover"

    def __init__(self, source: random.Random) -> None:
        """Initialize with the source of random targets and daemons."""
        self._random = source
        self._change_numbers = itertools.count(1)

    async def cause(self, victim: Victim) -> None:
        """Request a switchover to a random replica from a random daemon."""
        replicas = [
            name for name in victim.group.addresses if name != victim.primary
        ]
        daemons = list(victim.bench.fleet.daemons.values())
        address = self._random.choice(daemons).operator_address
        async with grpc.aio.insecure_channel(address) as channel:
            await pb_grpc.OperatorServiceStub(channel).Switchover(
                pb.SwitchoverRequest(
                    database=victim.group.plan.database,
                    target=self._random.choice(replicas),
                    change_id=f"switchover-{next(self._change_numbers)}",
                    operator="measurement",
                ),
                timeout=SWITCHOVER_TIMEOUT_SECONDS,
            )

    async def end(self, victim: Victim) -> None:
        """Do nothing: all processes are running."""
