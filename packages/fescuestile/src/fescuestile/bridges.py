"""Bridge role: probe remote zones and detect those out of reach."""

import collections.abc
import random

from fescuestile import gossip
from fescuestile import gossip_messages
from fescuestile import probes


class ZoneReachability:
    """Reachability of remote zones, from probes that went unanswered.

    :ivar unreachable: zones that have not answered within the zone timeout
    """

    def __init__(self, timing: probes.Timing) -> None:
        self._timing = timing
        self._probed_at: dict[str, float] = {}
        self.unreachable: frozenset[str] = frozenset()

    def record_probe(self, zone: str, now: float) -> None:
        """Start the timer of a zone, unless it is running."""
        self._probed_at.setdefault(zone, now)

    def record_contact(self, zone: str) -> None:
        """Stop the timer of a zone after a message from it."""
        self._probed_at.pop(zone, None)
        self.unreachable -= {zone}

    def list_overdue(self, now: float) -> list[str]:
        """Return zones of which all bridges should be probed at once."""
        return [
            zone
            for zone, probed_at in self._probed_at.items()
            if zone not in self.unreachable
            and now - probed_at >= self._timing.indirect_probe_delay
        ]

    def mark_unreachable(self, now: float) -> None:
        """Mark zones with no answer within the zone timeout."""
        timed_out = {
            zone
            for zone, probed_at in self._probed_at.items()
            if now - probed_at >= self._timing.zone_timeout
        }
        self.unreachable |= timed_out

    def retain_zones(self, zones: set[str]) -> None:
        """Drop the state of zones that have no daemons any more."""
        self.unreachable &= zones
        for zone in set(self._probed_at) - zones:
            del self._probed_at[zone]

    def reset(self) -> None:
        """Discard unanswered probes after a pause of this process."""
        self._probed_at.clear()


class Bridge:
    """Chooses probe targets in remote zones while the daemon is a bridge."""

    def __init__(
        self, timing: probes.Timing, random_source: random.Random
    ) -> None:
        self._random = random_source
        self._zone_order = probes.ShuffledRoundRobin(random_source)
        self._reachability = ZoneReachability(timing)
        self._topology = gossip.Topology()

    @property
    def unreachable(self) -> tuple[str, ...]:
        """Zones that this bridge cannot reach, in sorted order."""
        return tuple(sorted(self._reachability.unreachable))

    def set_topology(
        self,
        topology: gossip.Topology,
        find_inherited: collections.abc.Callable[[], frozenset[str]],
    ) -> None:
        """Apply a topology; start or stop acting as a bridge accordingly.

        :param find_inherited: returns the zones that the previous bridges
            could not reach
        """
        was_bridge = self._topology.is_bridge
        self._topology = topology
        self._reachability.retain_zones(set(topology.bridges))
        if topology.is_bridge and not was_bridge:
            self._reachability.unreachable = find_inherited()
        if not topology.is_bridge:
            self._reachability.unreachable = frozenset()
            self._reachability.reset()

    def choose_target(self, now: float) -> str | None:
        """Return the daemon of a remote zone to probe now."""
        if not self._topology.is_bridge:
            return None
        bridges = self._topology.bridges
        zone = self._zone_order.pick(tuple(bridges))
        if zone is None:
            return None
        self._reachability.record_probe(zone, now)
        return self._random.choice(bridges[zone])

    def list_overdue(self, now: float) -> list[str]:
        """Return the bridges of zones with an overdue answer."""
        return [
            target
            for zone in self._reachability.list_overdue(now)
            for target in self._topology.bridges.get(zone, ())
        ]

    def check_reported_zones(
        self, record: gossip_messages.MemberRecord, now: float
    ) -> None:
        """Start the timers of zones that another bridge cannot reach.

        A zone counts as unreachable once all bridges report it; this makes
        them agree sooner.
        """
        known = set(self._topology.bridges)
        reported = set(record.unreachable) - self._reachability.unreachable
        if self._topology.is_bridge:
            for zone in sorted(reported & known):
                self._reachability.record_probe(zone, now)

    def record_contact(self, zone: str) -> None:
        """Record a message received from a remote zone."""
        self._reachability.record_contact(zone)

    def mark_unreachable(self, now: float) -> None:
        """Mark zones with no answer within the zone timeout."""
        self._reachability.mark_unreachable(now)

    def reset(self) -> None:
        """Discard unanswered probes after a pause of this process."""
        self._reachability.reset()
