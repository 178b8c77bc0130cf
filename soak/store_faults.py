"""Faults of the platform's store in a run."""

import asyncio
import collections
import random

from soak import proxies
from tests.platform.standins import drills
from tests.platform.standins import store as stores

COPY_INTERVAL_SECONDS = 0.5
# The oldest copy that the store comes back from.
OLDEST_COPY_SECONDS = 6.0
# Until the operator and the endpoints have written again.
REWRITE_SECONDS = (0.1, 2.0)

CHANGES: dict[str, dict[str, object]] = {
    "silent": {"silent": True},
    "refuses": {"status": 503},
    "loses answers": {"lose_writes": True},
    "executes late": {"late_writes": 1.0},
}


class StoreFaults:
    """Injects faults into a store and the daemons' connections to it."""

    def __init__(self, store: stores.Store, proxy: proxies.Proxy) -> None:
        """Initialize; ``start`` begins to take copies.

        :param proxy: proxy by which the daemons reach the store
        """
        self._store = store
        self._proxy = proxy
        self._copies: collections.deque[drills.Copy] = collections.deque(
            maxlen=round(OLDEST_COPY_SECONDS / COPY_INTERVAL_SECONDS)
        )
        self._lock = asyncio.Lock()
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to take copies of the store."""
        self._task = asyncio.create_task(self._take_copies())

    async def close(self) -> None:
        """Take no more copies."""
        if self._task is not None:
            self._task.cancel()

    async def _take_copies(self) -> None:
        while True:
            self._copies.append(drills.take_copy(self._store))
            await asyncio.sleep(COPY_INTERVAL_SECONDS)

    async def inject(self, detail: str, seconds: float, pick: int) -> None:
        """Inject a fault and end it.

        :param detail: what the store does, as in ``faults.KINDS``
        :param pick: seed of the details of a restored copy
        """
        if detail == "goes back":
            await self._restore(seconds, random.Random(pick))
        elif detail == "forgets history":
            self._store.drop_history()
        elif detail == "link silenced":
            self._proxy.silence()
        else:
            defaults = stores.Faults()
            for field, value in CHANGES[detail].items():
                setattr(self._store.faults, field, value)
            await asyncio.sleep(seconds)
            for field in CHANGES[detail]:
                setattr(self._store.faults, field, getattr(defaults, field))

    async def _restore(self, seconds: float, source: random.Random) -> None:
        """Let the store be away and come back from an older copy."""
        if not self._copies:
            return
        drill = drills.Drill(
            away_seconds=seconds,
            way=source.choice(list(drills.Way)),
            operator_seconds=source.uniform(*REWRITE_SECONDS),
            endpoint_seconds=source.uniform(*REWRITE_SECONDS),
        )
        older = source.choice(list(self._copies))
        async with self._lock:
            await drills.restore(self._store, older, drill)
