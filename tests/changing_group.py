"""Simulated group that grows and shrinks while its primary is replaced.

Daemons start anew while some entries are missing from the registry.

Endpoints stand on two sides of a link that fails at times. A promotion lifts
all fences, but only replicas that reach the new primary learn its term: the
others report the old one again. Time is virtual.
"""

import asyncio
import random

from fescuestile import endpoint_messages
from fescuestile import positions
from fescuestile import promotion
from fescuestile_daemon.relay.core import ports
from fescuestile_daemon.relay.takeovers import takeover
from tests import fences
from tests import group_daemons
from tests import member_stores

Role = endpoint_messages.Role
INITIAL_SIZE = 3
MAX_SIZE = 6
DAEMONS = 3
PROMOTION_SECONDS = 0.6
# After a driver died, the next takeover waits for its lease to expire, which
# takes longer than a promotion.
LEASE_GAP_SECONDS = 0.8
READ_TIMEOUT_SECONDS = 0.25
WRITE_TIMEOUT_SECONDS = 1.0
# Events that the report of a broken promise names.
HISTORY_SIZE = 16
RESTART_SHARE = 0.2
HIDDEN_SHARE = 0.2


class BrokenPromise(AssertionError):
    """A promotion lost a write, or a read missed one."""


def describe(entries):
    """Return how many entries there are, the first and the last."""
    return f"{len(entries)} from {min(entries)} to {max(entries)}"


class World(ports.Promoter):
    """A group, its replication, its promoter and its daemons.

    :cvar lifetimes: seconds after which a driver may die
    :cvar read_interval: seconds between two reads of a daemon
    :ivar write_interval: seconds between two writes
    :cvar store_faults: share of the store's writes that get no answer
    :cvar lists_daemons: whether the store lists the daemons
    :ivar hidden: members whose registry entries are missing
    :ivar ghosts: endpoints that ended, but have an entry
    :ivar store: the platform's, with the record of the members
    :ivar acknowledged: writes that callers rely on
    :ivar promotions: how many took effect
    :ivar reads: how many were answered
    """

    lifetimes: tuple[float, ...] = (0.05, 0.2, 5.0)
    read_interval = 0.03
    write_interval = 0.02
    store_faults = 0.0
    lists_daemons = False

    def __init__(self, seed, hides_unrecorded=False):
        self.random = random.Random(seed)
        self.hides_unrecorded = hides_unrecorded
        self.endpoints: dict[str, fences.Endpoint] = {}
        self.side: dict[str, int] = {}
        self.linked = True
        self.hidden = set()
        self.ghosts: frozenset[str] = frozenset()
        self.store = group_daemons.Store(self.random, self.store_faults)
        self._stopped = []
        self._writes: set[asyncio.Task[None]] = set()
        self._promoted: tuple[int, frozenset[tuple[int, int]]]
        self._promoted = 1, frozenset()
        self._history: list[str] = []
        self.acknowledged = set()
        self.promotions = self.reads = 0
        for _ in range(INITIAL_SIZE):
            self.add_endpoint()
        self.endpoints["e0"].role = Role.PRIMARY
        self.store.put(
            group_daemons.GROUP, member_stores.make_members(*self.endpoints)
        )
        self.daemons = [
            group_daemons.Daemon(self, f"d{number}")
            for number in range(DAEMONS)
        ]

    async def start(self):
        """Start the daemons."""
        for daemon in self.daemons:
            await daemon.start()
            await daemon.group.refresh(0.2)

    def record(self, event):
        """Record an event for the report of a broken promise."""
        now = asyncio.get_running_loop().time()
        self._history.append(f"{now:.3f} {event}")

    def break_promise(self, promise):
        """Raise BrokenPromise with the latest events."""
        latest = self._history[-HISTORY_SIZE:]
        raise BrokenPromise("\n".join([promise, *latest]))

    def describe_history(self):
        """Return lines that differ if anything happened differently."""
        return [
            *self._history,
            *map(str, self.endpoints.values()),
            f"{self.promotions=} {self.reads=}",
            f"{sorted(self.acknowledged)}",
            # Each delay is drawn, so this depends on the order of all events.
            str(self.random.getstate()),
        ]

    # Members

    def add_endpoint(self):
        """Start a replica with the log of the newest primary."""
        name = f"e{len(self.side)}"
        added = self.endpoints[name] = fences.Endpoint(name)
        self.side[name] = self.random.randrange(2)
        newest = max(self.endpoints.values(), key=lambda e: e.term)
        added.term, added.log = newest.term, list(newest.log)
        self.record(f"{name} joins")

    def remove_endpoint(self):
        """End a replica whose log the others hold; its log is gone."""
        newest = max(e.term for e in self.endpoints.values())
        for name, each in list(self.endpoints.items()):
            others = [e for e in self.endpoints.values() if e is not each]
            up_to_date = all(
                e.log == each.log and not e.fence_term and e.term == newest
                for e in others
            )
            if each.role is Role.REPLICA and up_to_date:
                del self.endpoints[name]
                self.record(f"{name} leaves")
                return

    async def restart_daemons(self):
        """Restart some daemons while entries are missing."""
        record = self.store.find(group_daemons.GROUP)
        recorded = {member.name for member in record.members}
        self.hidden = {
            name
            for name in list(self.endpoints)[1:]
            if (self.hides_unrecorded or name in recorded)
            and self.random.random() < HIDDEN_SHARE
        }
        for number, daemon in enumerate(self.daemons):
            if self.random.random() < RESTART_SHARE and daemon.reaches_store:
                # Reads under way end by themselves.
                self._stopped.append(daemon)
                await daemon.stop()
                self.daemons[number] = group_daemons.Daemon(self, daemon.name)
                await self.daemons[number].start()

    async def change(self):
        """Change members, the link and what daemons reach."""
        if len(self.endpoints) < MAX_SIZE and self.random.random() < 0.5:
            self.add_endpoint()
        elif len(self.endpoints) > INITIAL_SIZE and self.random.random() < 0.5:
            self.remove_endpoint()
        self.linked = self.random.random() < 0.3
        await self.restart_daemons()
        for daemon in self.daemons:
            daemon.read_registry()
            daemon.vantage.unreachable = {
                name
                for name, each in self.endpoints.items()
                if self.random.random()
                < (0.4 if each.role is Role.PRIMARY else 0.1)
            }

    async def close(self):
        """Stop all daemons."""
        for daemon in [*self._stopped, *self.daemons]:
            await daemon.stop()
            daemon.group.close()

    # Replication

    def reach(self, one, other):
        """Return whether two endpoints reach each other."""
        return self.linked or self.side[one.name] == self.side[other.name]

    def write(self):
        """Each primary writes; what the newest one replicates counts."""
        newest = max(e.term for e in self.endpoints.values())
        for leader in list(self.endpoints.values()):
            if leader.role is not Role.PRIMARY:
                continue
            if self._steps_down(leader):
                leader.role = Role.REPLICA
                continue
            number = leader.log[-1][1] + 1 if leader.log else 1
            leader.log.append((leader.term, number))
            replicated = [
                self._replicate(leader, e) for e in self.endpoints.values()
            ]
            if any(replicated) and leader.term == newest:
                self._answer(leader, leader.log[-1])

    def _answer(self, leader, entry):
        """Let a daemon answer a write that its primary acknowledged."""
        reaching = [
            daemon
            for daemon in self.daemons
            if leader.name not in daemon.vantage.unreachable
            and leader.name in daemon.group.endpoints
        ]
        if reaching:
            task = asyncio.create_task(
                self._pass_on(self.random.choice(reaching), leader, entry)
            )
            self._writes.add(task)
            task.add_done_callback(self._writes.discard)

    async def _pass_on(self, daemon, leader, entry):
        if not await self.confirm(daemon, leader, positions.Position(*entry)):
            return
        # The client of a write that was rolled back before relies on nothing.
        term, log = self._promoted
        if daemon.runs and (entry[0] == term or entry in log):
            self.acknowledged.add(entry)

    async def confirm(self, daemon, leader, position):
        """Return whether a daemon tells the client that a write succeeded."""
        group = daemon.group
        if not group.replication.is_possible(leader.name):
            return False
        group.replication.record_position(
            group.endpoints[leader.name], position
        )
        return await group.replication.wait_replicated(
            leader.name,
            position,
            asyncio.get_running_loop().time() + WRITE_TIMEOUT_SECONDS,
        )

    def _steps_down(self, leader):
        return any(
            e.role is Role.PRIMARY
            and e.term > leader.term
            and self.reach(leader, e)
            for e in self.endpoints.values()
        )

    def _replicate(self, leader, replica):
        if replica is leader or replica.role is not Role.REPLICA:
            return False
        if replica.fence_term or replica.term > leader.term:
            return False
        if not self.reach(leader, replica):
            return False
        if replica.log[-1:] == leader.log[-2:-1]:
            # Logs with the same last entry are the same.
            replica.log.append(leader.log[-1])
        else:
            replica.log = list(leader.log)
        replica.term = leader.term
        return True

    def leads(self, endpoint):
        """Return whether an order for the endpoint changes nothing."""
        return endpoint.role is Role.PRIMARY

    # Promoter

    async def acquire(self):
        return promotion.Lease("d", 1, group_daemons.LoopClock().now() + 3600)

    async def release(self, lease):
        pass

    async def promote(self, group, endpoint, lease):
        asyncio.get_running_loop().call_later(
            self.random.uniform(0.1, PROMOTION_SECONDS),
            self._make_primary,
            endpoint,
        )
        return True if self.random.random() < 0.8 else None

    def _make_primary(self, name):
        chosen = self.endpoints.get(name)
        if chosen is None or self.leads(chosen):
            return
        missing = self.acknowledged - set(chosen.log)
        if missing:
            self.break_promise(f"{name} lacks {describe(missing)}")
        self.promotions += 1
        self.record(f"{name} promoted with {chosen.log[-1:]}")
        chosen.term = max(e.term for e in self.endpoints.values()) + 1
        chosen.role = Role.PRIMARY
        self._promoted = chosen.term, frozenset(chosen.log)
        for each in self.endpoints.values():
            each.fence_term = 0
            if each.role is Role.REPLICA and self.reach(each, chosen):
                each.term = chosen.term

    # Work of the daemons

    async def read(self, group):
        """Read at the primary that a daemon knows, if it is confirmed."""
        endpoint = group.find_primary()
        if endpoint is None or endpoint.name not in self.endpoints:
            return
        wanted = set(self.acknowledged)
        ticket = group.leadership.begin_check()
        log = set(self.endpoints[endpoint.name].log)
        loop = asyncio.get_running_loop()
        confirmed = await group.leadership.wait_confirmed(
            ticket, endpoint, loop.time() + READ_TIMEOUT_SECONDS
        )
        if not confirmed:
            return
        self.reads += 1
        if not wanted <= log:
            self.break_promise(
                f"a read at {endpoint.name} missed {describe(wanted - log)};"
                f" known {sorted(group.endpoints)}, recorded"
                f" {sorted(m.name for m in group.members.recorded or ())}"
            )

    async def read_bounded(self, group):
        """Find a fresh position and compare it with what it must hold."""
        arrived = group_daemons.LoopClock().now()
        wanted = max(self.acknowledged, default=(0, 0))
        loop = asyncio.get_running_loop()
        minimum = await group.leadership.find_minimum(
            arrived, 0.0, loop.time() + READ_TIMEOUT_SECONDS
        )
        if minimum is None:
            return
        self.reads += 1
        if (minimum.term, minimum.index) < wanted:
            self.break_promise(
                f"{minimum} taken for fresh before {wanted};"
                f" known {sorted(group.endpoints)}, recorded"
                f" {sorted(m.name for m in group.members.recorded or ())}"
            )

    async def replace(self, daemon):
        """Replace the primary that a daemon knows, or die while doing so."""
        group = daemon.group
        lease = await self.acquire()
        if not await daemon.prepare():
            return
        if self.random.random() < 0.7:
            await group.refresh(0.2)
        replacement = takeover.Takeover(
            group, self, daemon.records, lease, group_daemons.LoopClock()
        )
        primary = group.find_primary()
        replicas = [e for e in group.endpoints.values() if e is not primary]
        if primary is not None and replicas and self.random.random() < 0.3:
            target = self.random.choice(replicas)
            attempt = replacement.switch_over(primary, target)
        else:
            attempt = replacement.replace_failed(primary)
        task = asyncio.create_task(attempt)
        lifetime = self.random.choice(self.lifetimes)
        done, _ = await asyncio.wait([task], timeout=lifetime)
        self.record("takeover ended" if done else "driver died")
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def pass_time(self):
        """Let some time pass before the next takeover."""
        await asyncio.sleep(LEASE_GAP_SECONDS)
