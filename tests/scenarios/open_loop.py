"""Open-loop load: statements sent at fixed rates, answered or not."""

import asyncio
import collections
import dataclasses
import time

from fescuestile import errors
from fescuestile_client import session as client_session
from tests.scenarios import worlds

STATEMENT_TIMEOUT_SECONDS = 2.0
WARM_UP_SECONDS = 1.0


@dataclasses.dataclass
class SentStatement:
    """One statement and its result.

    :ivar sent_at: monotonic seconds at which it was sent
    :ivar ended_at: monotonic seconds, None while it is in flight
    :ivar error: error that the caller received
    """

    kind: str
    sent_at: float
    ended_at: float | None = None
    error: errors.FescuestileError | None = None

    @property
    def served(self):
        return self.ended_at is not None and self.error is None


class OpenLoopLoad:
    """Load of several kinds of statements, spread over all daemons."""

    def __init__(self, world):
        """Initialize without load; one session starts at each daemon."""
        self._world = world
        self._addresses = [d.caller_address for d in world.daemons]
        self._rates: dict[str, float] = {}
        self.sent: list[SentStatement] = []

    def add(self, kind, rate):
        """Send statements of a kind, ``rate`` a second."""
        self._rates[kind] = rate

    def run(self, seconds, halfway=None):
        """Send the load and wait for all answers.

        :param seconds: how long statements are sent
        :param halfway: called after half of that time
        """
        future = self._world.spawn(self._run(seconds))
        if halfway is not None:
            self._world.run(asyncio.sleep(seconds / 2))
            halfway()
        future.result(worlds.STEP_TIMEOUT_SECONDS)

    def list_sent(self, kind, since=None):
        """Return the statements of a kind.

        :param since: monotonic seconds of the first, by default the end of
            the warm-up
        """
        start = (
            self.sent[0].sent_at + WARM_UP_SECONDS if since is None else since
        )
        return [s for s in self.sent if s.kind == kind and s.sent_at >= start]

    def count_served(self):
        """Return how many statements of each kind were served.

        Counts answers between the warm-up and the last sent statement.
        """
        start = self.sent[0].sent_at + WARM_UP_SECONDS
        end = self.sent[-1].sent_at
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
        started_at = time.monotonic()
        async with asyncio.TaskGroup() as tasks:
            for number in range(int(rate * seconds)):
                send_at = started_at + number / rate
                await asyncio.sleep(max(0.0, send_at - time.monotonic()))
                session = sessions[number % len(sessions)]
                tasks.create_task(self._send(session, kind))

    async def _send(self, session, kind):
        sent = SentStatement(kind, time.monotonic())
        self.sent.append(sent)
        try:
            await session.execute(
                worlds.DATABASE,
                kind,
                f"ADD {kind} 1",
                timeout=STATEMENT_TIMEOUT_SECONDS,
            )
        except errors.FescuestileError as error:
            sent.error = error
        sent.ended_at = time.monotonic()
