"""Daemons that share tenant limits over a network in virtual time."""

import asyncio
import collections
import itertools
import random

from fescuestile import allowances
from fescuestile import clock
from fescuestile import position_sharing
from fescuestile import tenants
from fescuestile_daemon.relay.core import events
from fescuestile_daemon.relay.peers import allowance_exchange
from fescuestile_daemon.relay.peers import sampling

QUOTA = allowances.Quota()


class LoopClock(clock.Clock):
    """Time of the event loop."""

    def now(self):
        return asyncio.get_running_loop().time()


class Source:
    """The configuration in force."""

    def __init__(self, *limits):
        self.put(*limits)

    def put(self, *limits):
        self.tenant_table = tenants.TenantTable(
            (limit, [limit.name]) for limit in limits
        )


class Port(sampling.Exchange):
    """Sends a daemon's datagrams."""

    def __init__(self, world, name):
        self._world = world
        self._name = name

    def send(self, datagram, address):
        self._world.deliver(datagram, self._name, address)


class World:
    """Daemons ``0`` to n in zones, each at an address that is its name.

    :ivar runs: times of the operations admitted, by tenant
    :ivar offered: number of operations by tenant
    :ivar cut: pairs of zones without a connection, in that direction
    """

    def __init__(self, daemons, zones, delay, seed, *limits):
        self.source = Source(*limits)
        self.random = random.Random(seed)
        self.zones = zones
        self.delay = delay
        self.loss = 0.0
        self.duplicates = 0.0
        self.late = 0.0
        self.cut = set()
        self.daemons = {}
        self.registered = {}
        self.runs = collections.defaultdict(list)
        self.offered: collections.Counter[str] = collections.Counter()
        self.datagrams: collections.Counter[str] = collections.Counter()
        self.bytes: collections.Counter[str] = collections.Counter()
        self.largest = 0
        for number in range(daemons):
            self.start(str(number))
        self.list_all()

    def find_zone(self, name):
        return int(name) % self.zones

    def start(self, name):
        peer = position_sharing.Peer(name, str(self.find_zone(name)), name)
        self.registered[name] = peer
        exchange = allowance_exchange.AllowanceExchange(
            name, QUOTA, self.source, LoopClock(), events.Recorder()
        )
        exchange.set_exchange(Port(self, name))
        exchange.start()
        exchange.set_peers(self.registered.values())
        self.daemons[name] = exchange

    def stop(self, name):
        self.daemons.pop(name).close()

    def measure_shares(self):
        """Return the sum of the shares that all coordinators issue."""
        now = asyncio.get_running_loop().time()
        return sum(
            daemon._coordinator.measure_share(now)
            for daemon in self.daemons.values()
        )

    def list_all(self):
        for exchange in self.daemons.values():
            exchange.set_peers(self.registered.values())

    def deliver(self, datagram, sender, to):
        self.datagrams[sender] += 1
        self.bytes[sender] += len(datagram)
        self.largest = max(self.largest, len(datagram))
        if (self.find_zone(sender), self.find_zone(to)) in self.cut:
            return
        copies = 1 + (self.random.random() < self.duplicates)
        for _ in range(copies):
            if self.random.random() < self.loss:
                continue
            delay = self.delay * self.random.uniform(0.8, 1.2)
            if self.random.random() < self.late:
                delay += self.random.uniform(0, 1.5)
            asyncio.get_running_loop().call_later(
                delay, self._receive, datagram, sender, to
            )

    def _receive(self, datagram, sender, to):
        if to in self.daemons:
            self.daemons[to].receive(datagram, sender)

    async def run(self, name, tenant):
        """Run an operation; return whether it was admitted."""
        self.offered[tenant] += 1
        daemon = self.daemons[name]
        if await daemon.admit(tenant) is not None:
            return False
        self.runs[tenant].append(asyncio.get_running_loop().time())
        return True

    async def send(self, tenant, rate, choose, seconds, tasks):
        """Send operations at a rate, each to the daemon that is chosen."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            tasks.append(asyncio.create_task(self.run(choose(), tenant)))
            await asyncio.sleep(self.random.expovariate(rate))

    def find_largest_window(self, tenant, seconds):
        """Return the most operations in any window."""
        times = sorted(self.runs[tenant])
        first = 0
        most = 0
        for index, at in enumerate(times):
            while times[first] < at - seconds:
                first += 1
            most = max(most, index - first + 1)
        return most

    def check_bound(self, limit):
        """Check what the buckets can issue, which is below the bound."""
        most = self.find_largest_window(limit.name, QUOTA.window)
        issued = limit.rate * (QUOTA.window + QUOTA.lifetime)
        issued += limit.burst + QUOTA.spare
        assert issued <= QUOTA.compute_bound(limit.rate, limit.burst)
        assert most <= issued

    def cut_zone(self, zone):
        for other in range(self.zones):
            if other != zone:
                self.cut |= set(itertools.permutations((zone, other)))

    def close(self):
        for exchange in self.daemons.values():
            exchange.close()
