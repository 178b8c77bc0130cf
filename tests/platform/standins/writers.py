"""Clients that write all the time and remember what was acknowledged."""

import asyncio
import itertools

from tests.platform.standins import group as wire_group
from tests.platform.standins import line_server
from tests.platform.standins import world as worlds

PAUSE_SECONDS = 0.02


class Writers:
    """Writes a new item with each statement.

    :ivar acknowledged: loop time at which a client saw the success, by item
    """

    def __init__(self, world: worlds.World, group: wire_group.Group) -> None:
        self.acknowledged: dict[str, float] = {}
        self.world = world
        self._group = group
        self._numbers = itertools.count()
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, *daemons: int) -> None:
        """Start a client at each of these daemons."""
        for number in daemons:
            self._tasks.append(asyncio.create_task(self._run(number)))

    async def close(self) -> None:
        """Stop the clients."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()

    async def _run(self, number: int) -> None:
        while True:
            try:
                client = await self.world.connect(
                    "primary", self._group.name, number
                )
                while await self._write(client):
                    await asyncio.sleep(PAUSE_SECONDS)
            except (OSError, AssertionError):
                # The daemon has ended, or accepts nobody.
                pass
            await asyncio.sleep(PAUSE_SECONDS)

    async def _write(self, client: line_server.LineClient) -> bool:
        """Write an item; return whether the connection goes on."""
        item = f"item-{next(self._numbers)}"
        lines = await client.query(f"WRITE {item} kept")
        if any(line.startswith("COMPLETE") for line in lines):
            loop = asyncio.get_running_loop()
            self.acknowledged[item] = loop.time()
        return bool(lines[-1])

    def list_lost(self) -> list[str]:
        """Return the acknowledged items that a promoted endpoint lacks.

        A later promotion doesn't make up for an earlier one.
        """
        lost = {
            item
            for succession in self._group.successions
            for item, seen_at in self.acknowledged.items()
            if seen_at <= succession.at and item not in succession.items
        }
        if self._group.primary is not None:
            lost |= self.acknowledged.keys() - self._group.primary.list_items()
        return sorted(lost)

    async def wait_served(self, seconds: float) -> None:
        """Wait until a client sees a success.

        :param seconds: longest wait
        """
        before = len(self.acknowledged)
        async with asyncio.timeout(seconds):
            while len(self.acknowledged) == before:
                await asyncio.sleep(PAUSE_SECONDS)
