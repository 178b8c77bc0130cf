"""Clients that read all the time and remember what failed."""

import asyncio

from tests.platform.standins import line_server
from tests.platform.standins import world as worlds

PAUSE_SECONDS = 0.04


class Readers:
    """Reads an item with each statement, over sessions that stay open.

    :ivar served: loop times of the answers with a row
    :ivar failed: loop times and texts of the other answers
    """

    def __init__(self, world: worlds.World, group: str) -> None:
        self.served: list[float] = []
        self.failed: list[tuple[float, str]] = []
        self._world = world
        self._group = group
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, route_type: str, *daemons: int) -> None:
        """Start a client of a route at each of these daemons."""
        for number in daemons:
            self._tasks.append(
                asyncio.create_task(self._run(route_type, number))
            )

    async def close(self) -> None:
        """Stop the clients."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()

    async def _run(self, route_type: str, number: int) -> None:
        while True:
            try:
                client = await self._world.connect(
                    route_type, self._group, number
                )
                while await self._read(client):
                    await asyncio.sleep(PAUSE_SECONDS)
            except (OSError, AssertionError) as error:
                self._fail(repr(error))
            await asyncio.sleep(PAUSE_SECONDS)

    async def _read(self, client: line_server.LineClient) -> bool:
        """Read; return whether the connection goes on."""
        lines = await client.query("READ item")
        if line_server.get_row(lines) is None:
            self._fail(lines[0])
        else:
            self.served.append(asyncio.get_running_loop().time())
        return bool(lines[-1])

    def _fail(self, text: str) -> None:
        now = asyncio.get_running_loop().time()
        self.failed.append((now, text))
