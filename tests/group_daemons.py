"""Daemons of a simulated group: each has its own view of it."""

import asyncio
import time

from fescuestile import clock
from fescuestile import endpoint_messages
from fescuestile import errors
from fescuestile_daemon.relay.core import messages
from fescuestile_daemon.relay.core import options
from fescuestile_daemon.relay.core import ports
from fescuestile_daemon.relay.groups import directory
from fescuestile_daemon.relay.peers import sampling
from fescuestile_daemon.relay.records import member_records
from fescuestile_daemon.relay.records import member_store
from fescuestile_daemon.relay.takeovers import monitor
from tests import fences
from tests import member_stores

Role = endpoint_messages.Role
GROUP = "g"
OPTIONS = options.RelayOptions(min_connections=4)
STORE_SECONDS = (0.001, 0.03)
# Time until a connection to the store fails.
CONNECT_SECONDS = 0.5
# Longest time after which a write without an answer is executed.
LATE_WRITE_SECONDS = 5.0


class LoopClock(clock.Clock):
    """Time of the running loop."""

    def now(self):
        return asyncio.get_running_loop().time()


class Vantage(fences.Dialer):
    """One daemon's connections; some endpoints are out of its reach."""

    def __init__(self, world):
        self.endpoints = world.endpoints
        self.unreachable = set()
        self._random = world.random

    async def dial(self, entry, tenant=""):
        if entry.id not in self.endpoints:
            await asyncio.sleep(self._random.uniform(0.001, 0.02))
            return messages.Outcome(
                messages.Kind.BUSY, detail="Connection refused"
            )
        return await super().dial(entry, tenant)

    async def delay(self, endpoint):
        await asyncio.sleep(self._random.uniform(0.001, 0.02))
        has_ended = endpoint.name not in self.endpoints
        if has_ended or endpoint.name in self.unreachable:
            await asyncio.sleep(3600)


class Store(member_stores.MemoryStore):
    """The platform's store; some of its answers are lost.

    :ivar fault_share: share of the writes that get no answer
    :ivar is_away: whether it answers nobody
    :ivar restored_eras: latest era that each daemon has recorded, by name
    :ivar era: rises each time it goes back
    """

    def __init__(self, source, fault_share):
        super().__init__()
        self.is_away = False
        self.restored_eras = {}
        self.era = 0
        self._random = source
        self._fault_share = fault_share

    async def write(self, group, wanted):
        await asyncio.sleep(self._random.uniform(*STORE_SECONDS))
        if self._random.random() >= self._fault_share:
            return await super().write(group, wanted)
        if self._random.random() < 0.5:
            self._execute(group, wanted)
        else:
            asyncio.get_running_loop().call_later(
                self._random.uniform(0.0, LATE_WRITE_SECONDS),
                self._execute,
                group,
                wanted,
            )
        raise errors.PlatformUnavailable("no answer", step="write")

    def restore(self, kept, restored_eras=None):
        """Come back from a copy of the records and the daemons."""
        self.records = dict(kept)
        if restored_eras is not None:
            self.restored_eras.clear()
            self.restored_eras.update(restored_eras)
        self.era += 1

    async def answer(self, name):
        """Take the time of a call."""
        await self._call(name)

    async def _call(self, name):
        await asyncio.sleep(self._random.uniform(*STORE_SECONDS))


class Registry(ports.Registry):
    """One daemon's access to the registry."""

    def __init__(self, daemon):
        self._daemon = daemon
        self._heard_at = time.monotonic()

    @property
    def heard_at(self):
        if self._daemon.reaches_store:
            self._heard_at = time.monotonic()
        return self._heard_at

    async def refresh(self):
        self._daemon.read_registry()
        return self._daemon.reaches_store


class Access(member_store.MemberStore):
    """One daemon's access to the store."""

    def __init__(self, daemon, store):
        self._daemon = daemon
        self._store = store
        self._era = store.era

    @property
    def era(self):
        """Era of the store's latest answer."""
        return self._era

    async def read(self, group):
        await self.connect("read")
        found = await self._store.read(group)
        self._era = self._store.era
        return found

    async def list_all(self, allow_stale=False):
        await self.connect("list")
        found = await self._store.list_all(allow_stale)
        self._era = self._store.era
        return found

    async def write(self, group, wanted):
        await self.connect("write")
        written = await self._store.write(group, wanted)
        self._era = self._store.era
        return written

    async def connect(self, step):
        if not self._daemon.reaches_store:
            await asyncio.sleep(CONNECT_SECONDS)
            raise errors.PlatformRefused("no connection", step=step)


class Restorations(member_stores.MemoryRestorations):
    """One daemon's access to the list of the daemons."""

    def __init__(self, daemon, store):
        super().__init__(store.restored_eras, daemon.name)
        self._access = Access(daemon, store)
        self._store = store

    async def register(self):
        await self._connect("register")
        await super().register()

    async def record(self, era):
        await self._connect("record")
        return self._store.era == era and await super().record(era)

    async def list_eras(self, allow_stale=False):
        await self._connect("list")
        return await super().list_eras(allow_stale)

    async def _connect(self, step):
        await self._access.connect(step)
        await self._store.answer(step)


class Daemon:
    """One daemon: its connections, its registry and its copy of the record.

    :ivar name: that of its process before, too
    :ivar vantage: its connections
    :ivar group: its view of the group
    :ivar records: its copy of the record
    :ivar runs: whether its process runs
    :ivar is_cut_off: whether it does not reach the store
    """

    def __init__(self, world, name):
        self.name = name
        self.runs = True
        self.is_cut_off = False
        self.vantage = Vantage(world)
        self._world = world
        self._directory = directory.Directory(
            self.vantage, OPTIONS, LoopClock()
        )
        self._registry = Registry(self)
        self.records = member_records.MemberRecords(
            Access(self, world.store),
            self._directory,
            self._registry,
            world.random,
            Restorations(self, world.store) if world.lists_daemons else None,
        )
        self._directory.record_reader = self.records
        self.read_registry()
        self.group = self._directory.groups[GROUP]
        self._monitor = monitor.Monitor(
            self._directory,
            world,
            self._registry,
            self.records,
            OPTIONS,
            LoopClock(),
            world.random,
            sampling.PositionSampler("d", "a", lambda name: None, LoopClock()),
        )

    @property
    def reaches_store(self):
        """Whether calls to the store are answered."""
        return not self.is_cut_off and not self._world.store.is_away

    async def start(self):
        """Start to keep the record up to date."""
        await self.records.start()

    def read_registry(self):
        """Learn the members whose entries are there."""
        if not self.reaches_store:
            return
        world = self._world
        primaries = {
            name
            for name, each in world.endpoints.items()
            if each.role is Role.PRIMARY
        }
        named = [n for n in world.endpoints if n not in world.hidden]
        self._directory.put_endpoints(
            {
                name: messages.EndpointEntry(
                    name,
                    GROUP,
                    "127.0.0.1:1",
                    "a",
                    2,
                    False,
                    name in primaries,
                    0,
                )
                for name in (*named, *sorted(world.ghosts))
            },
            keep_missing=False,
        )
        for group in self._directory.groups.values():
            group.release_members()

    async def prepare(self):
        """Read all that a takeover rests on, as a monitor does."""
        return all(
            await asyncio.gather(
                self.records.load(self.group), self._registry.refresh()
            )
        )

    async def lift_fences(self):
        """Lift the fences that a driver left, as a monitor does."""
        if await self.prepare():
            await self._monitor._unfence(self.group)

    async def stop(self):
        """End its process; its group is closed at the end of the run."""
        self.runs = False
        await self.records.close()
