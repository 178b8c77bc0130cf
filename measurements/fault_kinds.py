"""Failures of any part of a bench, to be caused in pairs."""

import random
import typing

from fescuestile_standins import launcher as launchers
from measurements import failover_kinds

Victim = failover_kinds.Victim


class Fault(typing.Protocol):
    """A failure that can be caused and ended."""

    @property
    def name(self) -> str:
        """Name for tables."""

    async def cause(self, victim: Victim) -> None:
        """Cause it."""

    async def end(self, victim: Victim) -> None:
        """End it."""


class KillReplica:
    """A replica is killed and started again without its state."""

    name = "replica killed"

    async def cause(self, victim: Victim) -> None:
        """Kill it."""
        victim.group.processes[find_replica(victim)].kill()

    async def end(self, victim: Victim) -> None:
        """Start it again."""
        await victim.group.restart(find_replica(victim))


class FreezeReplica:
    """A replica is stopped and woken."""

    name = "replica frozen"

    async def cause(self, victim: Victim) -> None:
        """Stop it."""
        victim.group.processes[find_replica(victim)].freeze()

    async def end(self, victim: Victim) -> None:
        """Wake it."""
        victim.group.processes[find_replica(victim)].resume()


class FreezeDaemon:
    """A daemon of the primary's zone is stopped and woken."""

    name = "daemon frozen"

    async def cause(self, victim: Victim) -> None:
        """Stop it."""
        find_daemon(victim).freeze()

    async def end(self, victim: Victim) -> None:
        """Wake it."""
        find_daemon(victim).resume()


class FreezePlatform:
    """The platform is stopped and woken."""

    name = "platform frozen"

    async def cause(self, victim: Victim) -> None:
        """Stop it."""
        platform = victim.bench.fleet.platform
        assert platform is not None
        platform.freeze()

    async def end(self, victim: Victim) -> None:
        """Wake it."""
        platform = victim.bench.fleet.platform
        assert platform is not None
        platform.resume()


class SilenceConnections:
    """Open connections to the primary go silent; new ones work."""

    name = "connections silent"

    async def cause(self, victim: Victim) -> None:
        """Silence them for good."""
        await victim.bench.control.silence(victim.side)

    async def end(self, victim: Victim) -> None:
        """Leave them: they stay silent."""


# Failures that leave a majority of the endpoints reachable, alone.
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
    """Return the replica that comes first by name."""
    names = set(victim.group.processes) - {victim.primary}
    return min(names)


def find_daemon(
    victim: Victim,
) -> launchers.Process:
    """Return the first daemon of the primary's zone."""
    endpoint = victim.group.plan.endpoint_by_name[victim.primary]
    return next(
        daemon.process
        for daemon in victim.bench.fleet.daemons.values()
        if daemon.zone == endpoint.zone
    )


def draw_pair(source: random.Random) -> tuple[Fault, Fault]:
    """Return two different failures, the one of the primary first or last.

    Two endpoints that lose their logs are no pair: a majority of the logs
    would be gone, and no proxy brings them back.
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
