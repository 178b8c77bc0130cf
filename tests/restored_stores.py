"""Simulated group whose store comes back from older copies.

The store is away for a moment and then holds what it held some seconds ago,
at times twice in a row. The registry lacks endpoints that have joined since
and names some that have left, until they write again. Daemons hear of it at
different times. Orders go on to take effect late.
"""

import asyncio
import dataclasses

from fescuestile_daemon.relay.records import member_store
from tests import late_orders

# Share of the rounds that begin after the store has gone back, and of those in
# which it goes back while orders are under way.
DRILL_SHARE = 0.25
LATE_DRILL_SHARE = 0.5
AWAY_SECONDS = (0.05, 1.0)
# Age of the copy.
COPY_SECONDS = (0.5, 10.0)
COPY_INTERVAL = 0.5
TWICE_SHARE = 0.3
PAUSE_SECONDS = (0.1, 1.0)
# Until the entries of endpoints are right again.
REWRITE_SECONDS = (0.2, 2.0)
# Daemons that do not reach the store for longer.
LATE_SHARE = 0.3
LATE_SECONDS = (0.2, 6.0)


@dataclasses.dataclass(frozen=True)
class Copy:
    """What the store and the registry held.

    :ivar at: loop time
    :ivar records: the store's
    :ivar restored_eras: the store's
    :ivar names: of the endpoints with an entry
    """

    at: float
    records: dict[str, member_store.StoredMembers]
    restored_eras: dict[str, int]
    names: frozenset[str]


class RestoredWorld(late_orders.LateWorld):
    """A group whose store goes back at times.

    :ivar drills: how often it has come back
    """

    lists_daemons = True

    def __init__(self, seed, hides_unrecorded=False):
        self._hidden = set()
        self._lost_entries = set()
        super().__init__(seed, hides_unrecorded)
        self.drills = 0
        self._copies = []
        self._tasks = []

    @property
    def hidden(self):
        """Endpoints without an entry, for whatever reason."""
        return self._hidden | self._lost_entries

    @hidden.setter
    def hidden(self, names):
        self._hidden = names

    async def start(self):
        """Start the daemons and the copies."""
        await super().start()
        self._tasks.append(asyncio.create_task(self._take_copies()))

    async def close(self):
        """Stop the drills and all daemons."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await super().close()

    async def _take_copies(self):
        loop = asyncio.get_running_loop()
        while True:
            self._copies.append(
                Copy(
                    loop.time(),
                    dict(self.store.records),
                    dict(self.store.restored_eras),
                    frozenset(self.endpoints),
                )
            )
            await asyncio.sleep(COPY_INTERVAL)

    async def change(self):
        """Let the store go back at times, then change members.

        Some daemons start just after its return. A primary is replaced next.
        """
        if self.random.random() < DRILL_SHARE:
            await self._go_back()
            if self.random.random() < TWICE_SHARE:
                await asyncio.sleep(self.random.uniform(*PAUSE_SECONDS))
                await self._go_back()
        await super().change()

    async def replace(self, daemon):
        """Replace a primary by a daemon that reaches the store."""
        reaching = [each for each in self.daemons if each.reaches_store]
        if daemon not in reaching and reaching:
            daemon = self.random.choice(reaching)
        await super().replace(daemon)

    async def pass_time(self):
        """Let the store forget orders at times; some daemons start then."""
        if self.random.random() < LATE_DRILL_SHARE:
            await self._go_back()
            await self.restart_daemons()
        await super().pass_time()

    async def _go_back(self):
        self.store.is_away = True
        self.record("store away")
        await asyncio.sleep(self.random.uniform(*AWAY_SECONDS))
        copy = self._choose_copy()
        for daemon in self.daemons:
            if self.random.random() < LATE_SHARE:
                self._tasks.append(asyncio.create_task(self._cut_off(daemon)))
        self.store.restore(copy.records, copy.restored_eras)
        self.store.is_away = False
        self.drills += 1
        age = asyncio.get_running_loop().time() - copy.at
        self.record(f"store back, {age:.1f} s old")
        self._lose_entries(copy)
        self._tasks.append(asyncio.create_task(self._correct_entries()))

    def _choose_copy(self):
        """Return a copy that is some seconds old."""
        now = asyncio.get_running_loop().time()
        wanted = now - self.random.uniform(*COPY_SECONDS)
        return min(self._copies, key=lambda copy: abs(copy.at - wanted))

    async def _cut_off(self, daemon):
        """Let a daemon hear of the drill late."""
        daemon.is_cut_off = True
        await asyncio.sleep(self.random.uniform(*LATE_SECONDS))
        daemon.is_cut_off = False

    def _lose_entries(self, copy):
        """Let the registry go back, too."""
        # It never names nobody.
        others = set(list(self.endpoints)[1:])
        self._lost_entries = others - copy.names
        self.ghosts = copy.names - self.endpoints.keys()
        self._read_registry()

    async def _correct_entries(self):
        """Let the endpoints write again."""
        await asyncio.sleep(self.random.uniform(*REWRITE_SECONDS))
        self._lost_entries = set()
        self.ghosts = frozenset()
        self._read_registry()

    def _read_registry(self):
        for daemon in self.daemons:
            daemon.read_registry()
