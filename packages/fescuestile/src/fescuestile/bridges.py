"""What a bridge does: probes other zones and tells which it can't reach."""

import collections.abc
import random

from fescuestile import gossip
from fescuestile import gossip_messages
from fescuestile import probes


class ZoneWatch:
    """What a bridge hears from other zones."""

    def __init__(self, timing: probes.Timing) -> None:
        self._timing = timing
        self._asked_at: dict[str, float] = {}
        self.unreachable: frozenset[str] = frozenset()

    def ask(self, zone: str, now: float) -> None:
        """Note that a zone was probed."""
        self._asked_at.setdefault(zone, now)

    def hear(self, zone: str) -> None:
        """Note a sign of life of a zone."""
        self._asked_at.pop(zone, None)
        self.unreachable -= {zone}

    def list_doubtful(self, now: float) -> list[str]:
        """Return zones to probe again at once, by all their bridges."""
        return [
            zone
            for zone, asked_at in self._asked_at.items()
            if zone not in self.unreachable
            and now - asked_at >= self._timing.indirect_after
        ]

    def take_lost(self, now: float) -> None:
        """Mark the zones that are silent for too long."""
        lost = {
            zone
            for zone, asked_at in self._asked_at.items()
            if now - asked_at >= self._timing.zone_silence
        }
        self.unreachable |= lost

    def keep_zones(self, zones: set[str]) -> None:
        """Forget zones that have no daemons any more."""
        self.unreachable &= zones
        for zone in set(self._asked_at) - zones:
            del self._asked_at[zone]

    def reset(self) -> None:
        """Forget the probes in flight, after a pause of this process."""
        self._asked_at.clear()


class Bridge:
    """Chooses what to probe in other zones, while the daemon is a bridge."""

    def __init__(
        self, timing: probes.Timing, random_source: random.Random
    ) -> None:
        self._random = random_source
        self._round = probes.Round(random_source)
        self._watch = ZoneWatch(timing)
        self._topology = gossip.Topology()

    @property
    def unreachable(self) -> tuple[str, ...]:
        """Zones that this bridge hears nothing from."""
        return tuple(sorted(self._watch.unreachable))

    def set_topology(
        self,
        topology: gossip.Topology,
        inherit: collections.abc.Callable[[], frozenset[str]],
    ) -> None:
        """Take up or give up the role.

        :param inherit: finds what the bridges before could not reach
        """
        was_bridge = self._topology.is_bridge
        self._topology = topology
        self._watch.keep_zones(set(topology.bridges))
        if topology.is_bridge and not was_bridge:
            self._watch.unreachable = inherit()
        if not topology.is_bridge:
            self._watch.unreachable = frozenset()
            self._watch.reset()

    def choose_target(self, now: float) -> str | None:
        """Return the daemon of another zone to probe now."""
        if not self._topology.is_bridge:
            return None
        bridges = self._topology.bridges
        zone = self._round.pick(tuple(bridges))
        if zone is None:
            return None
        self._watch.ask(zone, now)
        return self._random.choice(bridges[zone])

    def list_repeats(self, now: float) -> list[str]:
        """Return the daemons to probe again, of zones that are silent."""
        return [
            target
            for zone in self._watch.list_doubtful(now)
            for target in self._topology.bridges.get(zone, ())
        ]

    def doubt_with(
        self, record: gossip_messages.MemberRecord, now: float
    ) -> None:
        """Probe at once the zones that another bridge has lost."""
        known = set(self._topology.bridges)
        lost = set(record.unreachable) - self._watch.unreachable
        if self._topology.is_bridge:
            for zone in sorted(lost & known):
                self._watch.ask(zone, now)

    def hear(self, zone: str) -> None:
        """Note a sign of life of another zone."""
        self._watch.hear(zone)

    def judge(self, now: float) -> None:
        """Give up the zones that are silent for too long."""
        self._watch.take_lost(now)

    def reset(self) -> None:
        """Forget the probes in flight, after a pause of this process."""
        self._watch.reset()
