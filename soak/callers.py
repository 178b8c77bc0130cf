"""Callers that work while faults come and go."""

import asyncio
import random

from soak import history as histories
from soak import processes
from tests.platform.standins import line_server

STALENESS_SECONDS = {
    "primary": 0.0,
    "read_your_writes": 1.5,
    "bounded_staleness": 1.5,
}
ANSWER_SECONDS = 6.0


class Caller:
    """One caller: a key of its own, any daemon, any route."""

    def __init__(
        self,
        number: int,
        group: str,
        daemons: list[processes.DaemonProcess],
        history: histories.History,
        source: random.Random,
    ) -> None:
        """Take whom to call."""
        self._name = f"c{number}"
        self._group = group
        self._daemons = daemons
        self._history = history
        self._random = source
        self._key_number = 0
        self._number = 0
        self._statement = 0

    @property
    def _key(self) -> str:
        return f"{self._name}.{self._key_number}"

    async def run(self, until: float) -> None:
        """Work until the event loop's time."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            daemon = self._random.choice(self._daemons)
            route = self._random.choice(list(STALENESS_SECONDS))
            client = line_server.LineClient()
            try:
                async with asyncio.timeout(ANSWER_SECONDS):
                    opened = await client.connect(
                        daemon.front, f"{self._group}-{route}"
                    )
                if opened == "READY I -":
                    await self._work(client, daemon, route)
                else:
                    self._history.outcomes["session refused"] += 1
            except (OSError, TimeoutError):
                self._history.outcomes["session lost"] += 1
            finally:
                client.close()
            await asyncio.sleep(self._random.uniform(0.0, 0.1))

    async def _work(
        self,
        client: line_server.LineClient,
        daemon: processes.DaemonProcess,
        route: str,
    ) -> None:
        """Use one session for a few operations."""
        own = 0
        for _ in range(self._random.randrange(1, 8)):
            # A stop cuts no statement sent before the signal.
            was_stopping = daemon.stopping
            kind = self._random.random()
            if kind < 0.35:
                answered = await self._write(client)
                own = self._number if answered else own
            elif kind < 0.5:
                answered = await self._write_in_transaction(client)
                own = self._number if answered else own
            else:
                answered = await self._read(client, route, own)
            if answered is None:
                self._judge_cut(daemon, was_stopping)
                return
            await asyncio.sleep(self._random.uniform(0.0, 0.05))

    def _judge_cut(
        self, daemon: processes.DaemonProcess, was_stopping: bool
    ) -> None:
        self._history.outcomes["cut"] += 1
        if daemon.running and daemon.stopping and not was_stopping:
            self._history.broken.append(f"{daemon.name} cut a statement")

    async def _ask(
        self, client: line_server.LineClient, text: str, id_: str = ""
    ) -> list[str] | None:
        """Return the answer, None when the connection ended without it."""
        async with asyncio.timeout(ANSWER_SECONDS):
            lines = await client.query(text, id_)
        return lines if lines[-1] else None

    def _next_id(self) -> str:
        self._statement += 1
        return f"{self._name}x{self._statement}"

    async def _write(self, client: line_server.LineClient) -> bool | None:
        loop = asyncio.get_running_loop()
        self._number += 1
        key, number, id_ = self._key, self._number, self._next_id()
        self._history.try_write(key, number)
        lines = await self._ask(client, f"WRITE {key} {number}", id_)
        error = find_error(lines)
        self._history.end_write(key, number, id_, error, loop.time())
        if error and error not in histories.REFUSALS:
            # It may take effect later, between writes that follow.
            self._key_number += 1
        return None if lines is None else not error

    async def _write_in_transaction(
        self, client: line_server.LineClient
    ) -> bool | None:
        loop = asyncio.get_running_loop()
        self._number += 1
        key, number, id_ = self._key, self._number, self._next_id()
        for text, own_id in (
            ("BEGIN", ""),
            (f"READ {key}", ""),
            (f"WRITE {key} {number}", id_),
        ):
            lines = await self._ask(client, text, own_id)
            if find_error(lines):
                if lines is not None:
                    await self._ask(client, "ROLLBACK")
                    self._history.refused[id_] = "ABORTED"
                return None if lines is None else False
        if self._random.random() < 0.2:
            lines = await self._ask(client, "ROLLBACK")
            self._history.refused[id_] = "ABORTED"
            return None if lines is None else False
        self._history.try_write(key, number)
        lines = await self._ask(client, "COMMIT")
        error = find_error(lines)
        self._history.end_write(key, number, id_, error, loop.time())
        if error and error not in histories.REFUSALS:
            self._key_number += 1
        return None if lines is None else not error

    async def _read(
        self, client: line_server.LineClient, route: str, own: int
    ) -> bool | None:
        loop = asyncio.get_running_loop()
        key = self._key
        began_at = loop.time()
        lines = await self._ask(client, f"READ {key}")
        error = find_error(lines)
        if error or lines is None:
            self._history.outcomes[f"read {error}"] += 1
            return None if lines is None else False
        row = lines[0].removeprefix("ROW ")
        staleness = STALENESS_SECONDS[route]
        who = f"{self._name} {route}"
        self._history.check_read(key, row, began_at, staleness, who)
        seen = int(row.replace("none", "0"))
        is_latest = own == self._number
        if route == "read_your_writes" and is_latest and seen < own:
            self._history.broken.append(f"{who}: own write {own} unseen")
        return True


def find_error(lines: list[str] | None) -> str:
    """Return the error's code, empty for none, LOST for no answer."""
    if lines is None:
        return "LOST"
    for line in lines:
        if line.startswith("ERROR "):
            return line.split(" ")[1]
    return ""
