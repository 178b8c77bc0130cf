"""Faults of endpoints, daemons and the platform, injected in pairs."""

import random
import typing

from fescuestile_standins import launcher as launchers
from measurements import failover_kinds

Victim = failover_kinds.Victim


class Fault(typing.Protocol):
    """A fault that can be injected and ended."""

    @property
    def name(self) -> str:
        """Name of the fault in printed rows."""

    async def cause(self, victim: Victim) -> None:
        """Inject the fault."""

    async def end(self, victim: Victim) -> None:
        """End the fault."""


class KillReplica:
    """A replica is killed, then restarted without its state."""

    name = "replica killed"

    async def cause(self, victim: Victim) -> None:
        """Kill the process of the replica."""
        victim.group.processes[find_replica(victim)].kill()

    async def end(self, victim: Victim) -> None:
        """Restart the replica with an empty state."""
        await victim.group.restart(find_replica(victim))


class FreezeReplica:
    """A replica is frozen, then resumed."""

    name = "replica frozen"

    async def cause(self, victim: Victim) -> None:
        """Freeze the process."""
        victim.group.processes[find_replica(victim)].freeze()

    async def end(self, victim: Victim) -> None:
        """Resume the process."""
        victim.group.processes[find_replica(victim)].resume()


class FreezeDaemon:
    """A daemon in the primary's zone is frozen, then resumed."""

    name = "daemon frozen"

    async def cause(self, victim: Victim) -> None:
        """Freeze the process."""
        find_daemon(victim).freeze()

    async def end(self, victim: Victim) -> None:
        """Resume the process."""
        find_daemon(victim).resume()


class FreezePlatform:
    """The platform is frozen, then resumed."""

    name = "platform frozen"

    async def cause(self, victim: Victim) -> None:
        """Freeze the process."""
        platform = victim.bench.fleet.platform
        assert platform is not None
        platform.freeze()

    async def end(self, victim: Victim) -> None:
        """Resume the process."""
        platform = victim.bench.fleet.platform
        assert platform is not None
        platform.resume()


class SilenceConnections:
    """Open connections to the primary drop all bytes; new ones work."""

    name = "connections silent"

    async def cause(self, victim: Victim) -> None:
        """Discard all further bytes of the open connections."""
        await victim.bench.control.silence(victim.side)

    async def end(self, victim: Victim) -> None:
        """Do nothing: the connections keep discarding all bytes."""


# Each fault leaves a majority of the endpoints reachable on its own.
PRIMARY_FAULTS: tuple[type[Fault], ...] = (
    failover_kinds.Kill,
    failover_kinds.Freeze,
    failover_kinds.CutFromReplicas,
    failover_kinds.CutFromDaemons,
    SilenceConnections,
)
OTHER_FAULTS: tuple[type[Fault], ...] = (
    KillReplica,
    FreezeReplica,
    FreezeDaemon,
    FreezePlatform,
)


def find_replica(victim: Victim) -> str:
    """Return the first replica by name."""
    replicas = set(victim.group.processes) - {victim.primary}
    return min(replicas)


def find_daemon(
    victim: Victim,
) -> launchers.Process:
    """Return the process of the first daemon in the primary's zone."""
    endpoint = victim.group.plan.endpoint_by_name[victim.primary]
    return next(
        daemon.process
        for daemon in victim.bench.fleet.daemons.values()
        if daemon.zone == endpoint.zone
    )


def draw_pair(source: random.Random) -> tuple[Fault, Fault]:
    """Draw a fault of the primary and another one, in random order.

    The primary and a replica are never killed together: both would lose
    their logs, hence a majority of the group's logs, and no proxy can
    recover from that.
    """
    first = source.choice(PRIMARY_FAULTS)()
    second = source.choice(OTHER_FAULTS)()
    if isinstance(first, failover_kinds.Kill) and isinstance(
        second, KillReplica
    ):
        return draw_pair(source)
    if source.choice((True, False)):
        return second, first
    return first, second
