"""Many memberships on one virtual clock, joined by a fake network."""

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
SETTLE_LOOK_SECONDS = 0.1
CODEC = codec.Codec(gossip_messages.CLASSES)


@dataclasses.dataclass
class Traffic:
    """What one daemon sent.

    :ivar entries: copies of entries, pushed or piggy-backed
    """

    messages: int = 0
    octets: int = 0
    entries: int = 0


class Fleet:
    """Daemons' memberships, stepped in order of virtual time."""

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
        self._kept: dict[str, list[collections.abc.Callable[[], None]]] = (
            collections.defaultdict(list)
        )
        self._random = random.Random(seed)
        self.count_bytes = count_bytes
        self._order = itertools.count()
        self._events: list[
            tuple[float, int, str, collections.abc.Callable[[], None]]
        ] = []

    def add(self, name: str, zone: str, ready: bool = True) -> None:
        """Start a daemon that knows nobody."""
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
        """Open a link between two daemons."""
        for own, peer in ((name, seed_name), (seed_name, name)):
            node = self.nodes[own]
            member = self.nodes[peer].own
            self._carry_out(own, node.on_link_opened(member, self.now))

    def announce(self, name: str, entry: gossip_messages.Entry) -> None:
        """Let an entry arise on a daemon."""
        self._carry_out(name, self.nodes[name].announce(entry, self.now))

    def become_ready(self, name: str) -> None:
        """Let a daemon serve."""
        self._carry_out(name, self.nodes[name].become_ready(self.now))

    def leave(self, name: str) -> None:
        """Let a daemon tell that it leaves."""
        self._carry_out(name, self.nodes[name].leave(self.now))

    def thaw(self, name: str) -> None:
        """Let a frozen daemon go on with what has piled up."""
        self.frozen.discard(name)
        for work in self._kept.pop(name, []):
            self._schedule(self.now, name, work)

    def run_until(
        self,
        condition: collections.abc.Callable[[], bool],
        limit: float,
        every: float = 0.0,
    ) -> bool:
        """Step until a condition holds.

        :param limit: virtual seconds from now
        :param every: least virtual seconds between two looks at it
        :returns: whether it held in time
        """
        end = self.now + limit
        look_at = self.now
        while True:
            if self.now >= look_at:
                if condition():
                    return True
                look_at = self.now + every
            if not self._events or self._events[0][0] > end:
                self.now = end
                return condition()
            self._step()

    def run(self, seconds: float) -> None:
        """Step for a while."""
        self.run_until(lambda: False, seconds)

    def list_serving(self, name: str) -> set[str]:
        """Return the daemons that one daemon takes to be serving."""
        snapshot = self.snapshots[name]
        return {member.id for member in snapshot.list_serving()}

    def knows(self, name: str, key: str, version: int) -> bool:
        """Tell whether a daemon holds a version of a key, or above."""
        held = self.nodes[name].table.get(key)
        return held is not None and held.version >= version

    def _step(self) -> None:
        at, _, name, work = heapq.heappop(self._events)
        self.now = max(self.now, at)
        if name in self.dead:
            return
        if name in self.frozen:
            self._kept[name].append(work)
            return
        work()

    def _tick(self, name: str) -> None:
        self._carry_out(name, self.nodes[name].tick(self.now))
        self._schedule(self.now + TICK_SECONDS, name, lambda: self._tick(name))

    def _carry_out(self, name: str, outcome: membership.StepResult) -> None:
        if outcome.snapshot is not None:
            self.snapshots[name] = outcome.snapshot
        for entry in outcome.changed:
            self.changes[name].append(entry)
            self.changed_at.setdefault((name, entry.key), self.now)
        for send in outcome.sends:
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
            self._carry_out(
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
        work: collections.abc.Callable[[], None],
    ) -> None:
        heapq.heappush(self._events, (at, next(self._order), name, work))


def build(
    seed: int, zones: dict[str, int], count_bytes: bool = False
) -> Fleet:
    """Return a fleet that has met and settled.

    :param zones: number of daemons by zone
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
    settled = fleet.run_until(
        lambda: all(
            name in fleet.snapshots and fleet.list_serving(name) == everyone
            for name in everyone
        ),
        60.0,
        SETTLE_LOOK_SECONDS,
    )
    if not settled:
        raise RuntimeError("the fleet did not settle")
    fleet.run(2.0)
    return fleet
