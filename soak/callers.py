"""Callers that send statements while faults are injected."""

import asyncio
import math
import random

from soak import history as histories
from soak import keys as key_uses
from soak import processes
from tests.platform.standins import line_server

STALENESS_SECONDS = {
    "primary": 0.0,
    "read_your_writes": 1.5,
    "bounded_staleness": 1.5,
}
ANSWER_TIMEOUT_SECONDS = 6.0


class Caller:
    """Caller that writes and reads its own key through random daemons."""

    def __init__(
        self,
        number: int,
        group: str,
        daemons: list[processes.DaemonProcess],
        history: histories.History,
        random_source: random.Random,
        keys: key_uses.Keys,
    ) -> None:
        """Initialize without a connection.

        :param number: number of the caller, unique in the run
        :param group: database group to use
        :param daemons: daemons to connect to
        :param history: records the statements
        :param random_source: source of random choices
        :param keys: records the uses of the caller's key
        """
        self._keys = keys
        self._api_key = key_uses.KEYS[number % len(key_uses.KEYS)]
        self._name = f"c{number}"
        self._group = group
        self._daemons = daemons
        self._history = history
        self._random = random_source
        self._key_number = 0
        self._write_number = 0
        self._statement_number = 0

    @property
    def _key(self) -> str:
        return f"{self._name}.{self._key_number}"

    async def run(self, until: float) -> None:
        """Open sessions one after the other.

        :param until: time of the event loop at which to stop
        """
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            daemon = self._random.choice(self._daemons)
            route = self._random.choice(list(STALENESS_SECONDS))
            client = line_server.LineClient()
            began_at = loop.time()
            try:
                async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
                    opened = await client.connect(
                        daemon.caller_address,
                        f"{self._group}-{route}",
                        self._api_key,
                    )
                if opened.startswith("ERROR AUTHFAIL"):
                    self._record_use("", began_at, "AUTHFAIL")
                if opened == "READY I -":
                    await self._run_session(client, daemon, route, until)
                else:
                    self._history.outcomes["session refused"] += 1
            except (OSError, TimeoutError):
                self._history.outcomes["session lost"] += 1
            finally:
                client.close()
            await asyncio.sleep(self._random.uniform(0.0, 0.1))

    async def _run_session(
        self,
        client: line_server.LineClient,
        daemon: processes.DaemonProcess,
        route: str,
        until: float,
    ) -> None:
        """Run operations in one session.

        One in four sessions goes on until the daemon closes it.

        :param until: time of the event loop at which to stop
        """
        loop = asyncio.get_running_loop()
        own_number = operations = 0
        lasts = self._random.random() < 0.25
        planned = self._random.randrange(1, 8)
        while loop.time() < until and (lasts or operations < planned):
            operations += 1
            # A stopping daemon answers all statements sent before its SIGTERM.
            was_stopping = daemon.stopping
            kind = self._random.random()
            if kind < 0.35:
                answered = await self._write(client)
                own_number = self._write_number if answered else own_number
            elif kind < 0.5:
                answered = await self._write_in_transaction(client)
                own_number = self._write_number if answered else own_number
            else:
                answered = await self._read(client, route, own_number)
            if answered is None:
                self._record_lost_answer(daemon, was_stopping)
                return
            await asyncio.sleep(self._random.uniform(0.0, 0.05))

    def _record_lost_answer(
        self, daemon: processes.DaemonProcess, was_stopping: bool
    ) -> None:
        self._history.outcomes["cut"] += 1
        if daemon.running and daemon.stopping and not was_stopping:
            self._history.violations.append(
                f"{daemon.name} did not answer a statement sent before its"
                " SIGTERM"
            )

    async def _query(
        self,
        client: line_server.LineClient,
        text: str,
        id_: str = "",
        began_at: float | None = None,
    ) -> list[str] | None:
        """Return the answer, None if the connection closed without one.

        :param began_at: time of the BEGIN of its transaction
        """
        if began_at is None:
            began_at = asyncio.get_running_loop().time()
        id_ = id_ or self._next_id()
        self._keys.record(id_, key_uses.Use(self._api_key, began_at, math.inf))
        async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
            lines = await client.query(text, id_)
        answer = lines if lines[-1] else None
        self._record_use(id_, began_at, find_error_code(answer))
        return answer

    def _record_use(self, id_: str, began_at: float, error: str) -> None:
        now = asyncio.get_running_loop().time()
        # What is in doubt may run later.
        ended_at = math.inf if error in ("INDOUBT", "LOST") else now
        use = key_uses.Use(
            self._api_key, began_at, ended_at, error == "AUTHFAIL"
        )
        self._keys.record(id_, use)

    def _next_id(self) -> str:
        self._statement_number += 1
        return f"{self._name}x{self._statement_number}"

    async def _write(self, client: line_server.LineClient) -> bool | None:
        loop = asyncio.get_running_loop()
        self._write_number += 1
        key, number, id_ = self._key, self._write_number, self._next_id()
        self._history.record_attempt(key, number)
        lines = await self._query(client, f"WRITE {key} {number}", id_)
        error = find_error_code(lines)
        self._history.record_outcome(key, number, id_, error, loop.time())
        if error and error not in histories.REFUSALS:
            # The write may take effect later, between the writes that follow.
            self._key_number += 1
        return None if lines is None else not error

    async def _write_in_transaction(
        self, client: line_server.LineClient
    ) -> bool | None:
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        self._write_number += 1
        key, number, id_ = self._key, self._write_number, self._next_id()
        for text, own_id in (
            ("BEGIN", ""),
            (f"READ {key}", ""),
            (f"WRITE {key} {number}", id_),
        ):
            lines = await self._query(client, text, own_id, began_at)
            if find_error_code(lines):
                if lines is not None:
                    await self._query(client, "ROLLBACK", "", began_at)
                    self._history.refused[id_] = "ABORTED"
                return None if lines is None else False
        if self._random.random() < 0.2:
            lines = await self._query(client, "ROLLBACK", "", began_at)
            self._history.refused[id_] = "ABORTED"
            return None if lines is None else False
        self._history.record_attempt(key, number)
        lines = await self._query(client, "COMMIT", "", began_at)
        error = find_error_code(lines)
        self._history.record_outcome(key, number, id_, error, loop.time())
        if error and error not in histories.REFUSALS:
            self._key_number += 1
        return None if lines is None else not error

    async def _read(
        self, client: line_server.LineClient, route: str, own_number: int
    ) -> bool | None:
        loop = asyncio.get_running_loop()
        key = self._key
        began_at = loop.time()
        lines = await self._query(client, f"READ {key}")
        error = find_error_code(lines)
        if error or lines is None:
            self._history.outcomes[f"read {error}"] += 1
            return None if lines is None else False
        row = lines[0].removeprefix("ROW ")
        staleness = STALENESS_SECONDS[route]
        reader = f"{self._name} {route}"
        self._history.check_read(key, row, began_at, staleness, reader)
        seen = int(row.replace("none", "0"))
        is_latest = own_number == self._write_number
        if route == "read_your_writes" and is_latest and seen < own_number:
            self._history.violations.append(
                f"{reader}: expected own write {own_number}, read {seen}"
            )
        return True


def find_error_code(lines: list[str] | None) -> str:
    """Return the error code, empty if there is none, LOST without answer."""
    if lines is None:
        return "LOST"
    for line in lines:
        if line.startswith("ERROR "):
            return line.split(" ")[1]
    return ""
