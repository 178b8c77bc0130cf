"""Callers that send at a steady pace, whatever is served."""

import asyncio
import collections
import dataclasses
import time

from fescuestile import errors
from fescuestile_client import session as client_session
from tests.scenarios import worlds

PATIENCE_SECONDS = 2.0
WARM_UP_SECONDS = 1.0


@dataclasses.dataclass
class Sent:
    """One statement and what became of it.

    :ivar at: monotonic seconds at which it was sent
    :ivar ended_at: monotonic seconds, None while it is under way
    :ivar error: error that the caller got
    """

    kind: str
    at: float
    ended_at: float | None = None
    error: errors.FescuestileError | None = None

    @property
    def served(self):
        return self.ended_at is not None and self.error is None


class Flood:
    """Streams of statements of several kinds through all daemons."""

    def __init__(self, world):
        """Prepare sessions; each daemon is the first choice of one."""
        self._world = world
        self._addresses = [d.caller_address for d in world.daemons]
        self._rates: dict[str, float] = {}
        self.sent: list[Sent] = []

    def add(self, kind, rate):
        """Send statements of a kind, ``rate`` a second."""
        self._rates[kind] = rate

    def run(self, seconds, in_the_middle=None):
        """Send for a while and wait for all answers.

        :param in_the_middle: called halfway
        """
        future = self._world.spawn(self._run(seconds))
        if in_the_middle is not None:
            self._world.run(asyncio.sleep(seconds / 2))
            in_the_middle()
        future.result(worlds.STEP_TIMEOUT_SECONDS)

    def list_sent(self, kind, since=None):
        """Return the statements of a kind after the warm-up."""
        start = self.sent[0].at + WARM_UP_SECONDS if since is None else since
        return [s for s in self.sent if s.kind == kind and s.at >= start]

    def count_served(self):
        """Return answers by kind, between warm-up and the last sending."""
        start = self.sent[0].at + WARM_UP_SECONDS
        end = self.sent[-1].at
        return collections.Counter(
            s.kind
            for s in self.sent
            if s.served and start <= (s.ended_at or 0) <= end
        )

    async def _run(self, seconds):
        sessions = [
            client_session.Session(
                self._addresses[n:] + self._addresses[:n], f"caller-{n}"
            )
            for n in range(len(self._addresses))
        ]
        await asyncio.gather(*(session.start() for session in sessions))
        await asyncio.gather(
            *(
                self._send_all(kind, rate, seconds, sessions)
                for kind, rate in self._rates.items()
            )
        )
        await asyncio.gather(*(session.close() for session in sessions))

    async def _send_all(self, kind, rate, seconds, sessions):
        began = time.monotonic()
        async with asyncio.TaskGroup() as tasks:
            for number in range(int(rate * seconds)):
                due = began + number / rate
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                session = sessions[number % len(sessions)]
                tasks.create_task(self._send(session, kind))

    async def _send(self, session, kind):
        sent = Sent(kind, time.monotonic())
        self.sent.append(sent)
        try:
            await session.execute(
                worlds.DATABASE,
                kind,
                f"ADD {kind} 1",
                timeout=PATIENCE_SECONDS,
            )
        except errors.FescuestileError as error:
            sent.error = error
        sent.ended_at = time.monotonic()
