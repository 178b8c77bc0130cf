"""Simulation of many memberships on a virtual clock and network."""

import collections
import collections.abc
import dataclasses
import heapq
import itertools
import random

from fescuestile import codec
from fescuestile import gossip
from fescuestile import gossip_messages
from fescuestile import members
from fescuestile import membership

TICK_SECONDS = 0.1
LATENCY_SECONDS = 0.0015
CHECK_INTERVAL_SECONDS = 0.1
CODEC = codec.Codec(gossip_messages.CLASSES)


@dataclasses.dataclass
class Traffic:
    """Messages that one daemon has sent.

    :ivar octets: encoded size, if the fleet counts bytes
    :ivar entries: copies of entries, pushed or piggybacked
    """

    messages: int = 0
    octets: int = 0
    entries: int = 0


class Fleet:
    """Daemons' memberships, run as a discrete-event simulation.

    :ivar now: virtual seconds
    :ivar changes: changed entries by daemon, in order
    :ivar changed_at: virtual seconds of the first change, by daemon and key
    :ivar dead: daemons whose events are dropped
    :ivar frozen: daemons whose events are deferred
    :ivar cut_zones: pairs of zones with no messages between them
    :ivar count_bytes: whether messages are encoded to measure their size
    """

    def __init__(self, seed: int, count_bytes: bool = False) -> None:
        self.now = 0.0
        self.nodes: dict[str, membership.Membership] = {}
        self.snapshots: dict[str, members.MembershipSnapshot] = {}
        self.changes: dict[str, list[gossip_messages.Entry]] = (
            collections.defaultdict(list)
        )
        self.traffic: dict[str, Traffic] = collections.defaultdict(Traffic)
        self.changed_at: dict[tuple[str, str], float] = {}
        self.dead: set[str] = set()
        self.frozen: set[str] = set()
        self.cut_zones: set[frozenset[str]] = set()
        self._deferred: dict[str, list[collections.abc.Callable[[], None]]] = (
            collections.defaultdict(list)
        )
        self._random = random.Random(seed)
        self.count_bytes = count_bytes
        self._order = itertools.count()
        self._events: list[
            tuple[float, int, str, collections.abc.Callable[[], None]]
        ] = []

    def add(self, name: str, zone: str, ready: bool = True) -> None:
        """Start a daemon that knows no other members."""
        own = members.Member(
            name,
            zone,
            f"{name}:1",
            f"{name}:2",
            members.MemberState.JOINING,
        )
        source = random.Random(self._random.random())
        self.nodes[name] = membership.Membership(own, source)
        if ready:
            self.become_ready(name)
        phase = self._random.uniform(0, TICK_SECONDS)
        self._schedule(self.now + phase, name, lambda: self._tick(name))

    def join(self, name: str, seed_name: str) -> None:
        """Open a link from a daemon to one that it joins through."""
        for own, peer in ((name, seed_name), (seed_name, name)):
            node = self.nodes[own]
            member = self.nodes[peer].own
            self._apply(own, node.on_link_opened(member, self.now))

    def announce(self, name: str, entry: gossip_messages.Entry) -> None:
        """Originate an entry on a daemon."""
        self._apply(name, self.nodes[name].announce(entry, self.now))

    def become_ready(self, name: str) -> None:
        """Mark a daemon as ready to serve."""
        self._apply(name, self.nodes[name].become_ready(self.now))

    def leave(self, name: str) -> None:
        """Let a daemon announce that it leaves."""
        self._apply(name, self.nodes[name].leave(self.now))

    def resume(self, name: str) -> None:
        """Resume a frozen daemon and run its deferred events."""
        self.frozen.discard(name)
        for callback in self._deferred.pop(name, []):
            self._schedule(self.now, name, callback)

    def run_until(
        self,
        condition: collections.abc.Callable[[], bool],
        timeout: float,
        check_interval: float = 0.0,
    ) -> bool:
        """Run events until a condition holds.

        :param timeout: virtual seconds from now
        :param check_interval: minimum virtual seconds between two checks
        :returns: whether the condition held before the timeout
        """
        end = self.now + timeout
        next_check = self.now
        while True:
            if self.now >= next_check:
                if condition():
                    return True
                next_check = self.now + check_interval
            if not self._events or self._events[0][0] > end:
                self.now = end
                return condition()
            self._step()

    def run(self, seconds: float) -> None:
        """Run the events of some virtual seconds."""
        self.run_until(lambda: False, seconds)

    def list_serving(self, name: str) -> set[str]:
        """Return the daemons that are serving in one daemon's view."""
        snapshot = self.snapshots[name]
        return {member.id for member in snapshot.list_serving()}

    def has_version(self, name: str, key: str, version: int) -> bool:
        """Return whether a daemon has at least a version of a key."""
        entry = self.nodes[name].table.get(key)
        return entry is not None and entry.version >= version

    def _step(self) -> None:
        at, _, name, callback = heapq.heappop(self._events)
        self.now = max(self.now, at)
        if name in self.dead:
            return
        if name in self.frozen:
            self._deferred[name].append(callback)
            return
        callback()

    def _tick(self, name: str) -> None:
        self._apply(name, self.nodes[name].tick(self.now))
        self._schedule(self.now + TICK_SECONDS, name, lambda: self._tick(name))

    def _apply(self, name: str, result: membership.StepResult) -> None:
        if result.snapshot is not None:
            self.snapshots[name] = result.snapshot
        for entry in result.changed:
            self.changes[name].append(entry)
            self.changed_at.setdefault((name, entry.key), self.now)
        for send in result.sends:
            self._deliver(name, send)

    def _deliver(self, sender: str, send: gossip.Send) -> None:
        traffic = self.traffic[sender]
        traffic.messages += 1
        traffic.entries += len(getattr(send.message, "entries", ()))
        if self.count_bytes:
            traffic.octets += len(CODEC.encode(send.message))
        if send.to not in self.nodes or self._is_cut(sender, send.to):
            return
        receiver = self.nodes[send.to]

        def receive() -> None:
            self._apply(
                send.to, receiver.receive(sender, send.message, self.now)
            )

        self._schedule(self.now + LATENCY_SECONDS, send.to, receive)

    def _is_cut(self, sender: str, receiver: str) -> bool:
        zones = {self.nodes[name].own.zone for name in (sender, receiver)}
        return len(zones) == 2 and frozenset(zones) in self.cut_zones

    def _schedule(
        self,
        at: float,
        name: str,
        callback: collections.abc.Callable[[], None],
    ) -> None:
        heapq.heappush(self._events, (at, next(self._order), name, callback))


def build(
    seed: int, zones: dict[str, int], count_bytes: bool = False
) -> Fleet:
    """Return a fleet in which all daemons see each other serving.

    :param zones: number of daemons by zone
    :raises RuntimeError: the membership did not converge within 60 s
    """
    fleet = Fleet(seed, count_bytes)
    names = [
        (f"{zone}-{number}", zone)
        for zone, count in zones.items()
        for number in range(count)
    ]
    for name, zone in names:
        fleet.add(name, zone)
    first = names[0][0]
    for name, _ in names[1:]:
        fleet.join(name, first)
    everyone = {name for name, _ in names}
    converged = fleet.run_until(
        lambda: all(
            name in fleet.snapshots and fleet.list_serving(name) == everyone
            for name in everyone
        ),
        60.0,
        CHECK_INTERVAL_SECONDS,
    )
    if not converged:
        raise RuntimeError(
            "the fleet's membership did not converge within 60 s"
        )
    fleet.run(2.0)
    return fleet
