"""Callers that never retry a write, and the outcomes they receive."""

import asyncio
import collections
import contextlib
import enum

from fescuestile import errors
from fescuestile_client import options as client_options
from fescuestile_client import session as client_session
from tests.scenarios import worlds

CALLERS = 6
PAUSE_SECONDS = 0.01
# Spreads the callers' writes over the time that each waits for slow replicas.
STAGGER_SECONDS = 0.25


class Outcome(enum.StrEnum):
    """Outcome of a write as its caller received it."""

    ACKNOWLEDGED = "acknowledged"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


# Final values that a key, written by one "ADD key 1", may have.
ALLOWED_VALUES = {
    Outcome.ACKNOWLEDGED: {"1"},
    Outcome.NOT_RUN: {""},
    Outcome.UNKNOWN: {"", "1"},
}


class WriteRecorder:
    """Callers that each write one new key after the other.

    The client library retries nothing, so that each answer of a daemon
    can be compared with the effect of its write.
    """

    def __init__(self, world: worlds.World, timeout: float) -> None:
        """Start the callers on a world's loop.

        :param timeout: seconds that each write may take
        """
        self._world = world
        self._timeout = timeout
        self._stopped = False
        self.outcomes: dict[str, Outcome] = {}
        self._futures = [
            world.spawn(self._call(number)) for number in range(CALLERS)
        ]

    def count(self, outcome: Outcome) -> int:
        """Return the number of writes with an outcome."""
        return collections.Counter(self.outcomes.values())[outcome]

    async def wait_acknowledged(self, count, limit=15.0):
        """Wait until ``count`` more writes are acknowledged.

        :param limit: seconds to wait at most
        """
        expected = self.count(Outcome.ACKNOWLEDGED) + count

        async def is_reached():
            return self.count(Outcome.ACKNOWLEDGED) >= expected

        return await self._world.wait_until(is_reached, limit)

    def stop(self):
        """Stop the callers and wait for their last answers."""
        self._stopped = True
        for future in self._futures:
            future.result(worlds.STEP_TIMEOUT_SECONDS)

    async def find_mismatches(self):
        """Return the writes whose outcome contradicts the stored value."""
        mismatches = {}
        async with self._world.open_session(
            self._world.daemons[-1]
        ) as session:
            for key, outcome in self.outcomes.items():
                answer = await session.execute(
                    worlds.DATABASE, "dispatch", f"GET {key}", read_only=True
                )
                if answer.payload.decode() not in ALLOWED_VALUES[outcome]:
                    mismatches[key] = (outcome, answer.payload)
        return mismatches

    async def _call(self, number):
        daemons = list(self._world.fleet.daemons.values())
        first = daemons[number % len(daemons)]
        addresses = [daemon.caller_address for daemon in (first, *daemons)]
        options = client_options.SessionOptions(
            settle_unknown=False, retries_floor=0
        )
        session = client_session.Session(
            addresses, f"caller-{number}", options=options
        )
        await asyncio.sleep(number * STAGGER_SECONDS)
        async with session:
            count = 0
            while not self._stopped:
                count += 1
                key = f"w-{number}-{count}"
                self.outcomes[key] = await self._write(session, key)
                await asyncio.sleep(PAUSE_SECONDS)

    async def _write(self, session, key):
        with contextlib.suppress(errors.UnknownOutcome):
            try:
                await session.execute(
                    worlds.DATABASE,
                    "fault-report",
                    f"ADD {key} 1",
                    timeout=self._timeout,
                )
            except errors.NotRun:
                return Outcome.NOT_RUN
            return Outcome.ACKNOWLEDGED
        return Outcome.UNKNOWN
