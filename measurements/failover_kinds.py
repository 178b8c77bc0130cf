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

SWITCHOVER_SECONDS = 10.0


@dataclasses.dataclass(frozen=True)
class Victim:
    """The primary that fails."""

    bench: failover_bench.Bench
    group: relayed_group.RelayedGroup
    primary: str

    @property
    def side(self) -> str:
        """Its side in the rules of ``wire``."""
        return self.group.find_side(self.primary)

    def list_replica_sides(self) -> list[str]:
        """Sides of the group's other endpoints."""
        return [
            self.group.find_side(name)
            for name in self.group.addresses
            if name != self.primary
        ]


class Failure(abc.ABC):
    """One kind of failure."""

    name: str

    @abc.abstractmethod
    async def cause(self, victim: Victim) -> None:
        """Let the primary fail."""

    @abc.abstractmethod
    async def end(self, victim: Victim) -> None:
        """Let the endpoint come back."""


class Kill(Failure):
    """The process is killed and started again without its state."""

    name = "killed"

    async def cause(self, victim: Victim) -> None:
        """Kill it."""
        victim.group.processes[victim.primary].kill()

    async def end(self, victim: Victim) -> None:
        """Start it again."""
        await victim.group.restart(victim.primary)


class Freeze(Failure):
    """The process is stopped and woken after the failover."""

    name = "frozen"

    async def cause(self, victim: Victim) -> None:
        """Stop it."""
        victim.group.processes[victim.primary].freeze()

    async def end(self, victim: Victim) -> None:
        """Wake it."""
        victim.group.processes[victim.primary].resume()


class CutFromReplicas(Failure):
    """No bytes pass between the primary and the other endpoints."""

    name = "cut from replicas"

    async def cause(self, victim: Victim) -> None:
        """Cut it off."""
        await victim.bench.cut(victim.side, victim.list_replica_sides())

    async def end(self, victim: Victim) -> None:
        """Heal the cut."""
        await victim.bench.heal(victim.side, victim.list_replica_sides())


class CutFromDaemons(Failure):
    """No bytes pass between the primary and the daemons."""

    name = "cut from daemons"

    async def cause(self, victim: Victim) -> None:
        """Cut it off."""
        sides = victim.bench.list_daemon_sides()
        await victim.bench.cut(victim.side, sides)

    async def end(self, victim: Victim) -> None:
        """Heal the cut."""
        sides = victim.bench.list_daemon_sides()
        await victim.bench.heal(victim.side, sides)


class ShortFreeze(Failure):
    """The process is stopped for less than a second."""

    name = "frozen under 1 s"

    def __init__(self, source: random.Random) -> None:
        """Draw durations from a source."""
        self._random = source

    async def cause(self, victim: Victim) -> None:
        """Pause the process and resume it."""
        process = victim.group.processes[victim.primary]
        process.freeze()
        await asyncio.sleep(self._random.uniform(0.3, 0.95))
        process.resume()

    async def end(self, victim: Victim) -> None:
        """Do nothing; it runs."""


class Switchover(Failure):
    """An operator moves the primary; nothing fails."""

    name = "switchover"

    def __init__(self, source: random.Random) -> None:
        """Draw targets and daemons from a source."""
        self._random = source
        self._numbers = itertools.count(1)

    async def cause(self, victim: Victim) -> None:
        """Ask a daemon for it."""
        others = [n for n in victim.group.addresses if n != victim.primary]
        daemons = list(victim.bench.fleet.daemons.values())
        address = self._random.choice(daemons).operator_address
        async with grpc.aio.insecure_channel(address) as channel:
            await pb_grpc.OperatorServiceStub(channel).Switchover(
                pb.SwitchoverRequest(
                    database=victim.group.plan.database,
                    target=self._random.choice(others),
                    change_id=f"switchover-{next(self._numbers)}",
                    operator="measurement",
                ),
                timeout=SWITCHOVER_SECONDS,
            )

    async def end(self, victim: Victim) -> None:
        """Do nothing; all run."""
