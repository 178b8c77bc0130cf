"""Closed-loop load: callers that read and write continuously.

They neither retry nor resolve a request of unknown outcome, so that every
interrupted request is counted.
"""

import asyncio
import dataclasses

from fescuestile import errors
from fescuestile_client import options as client_options
from fescuestile_client import session as client_session
from tests.scenarios import worlds

PAUSE_SECONDS = 0.01
CALLERS_PER_DAEMON = 3
OPTIONS = client_options.SessionOptions(settle_unknown=False)


@dataclasses.dataclass
class Tally:
    """Results that the callers received.

    :ivar acknowledged: writes by caller that were acknowledged
    :ivar unknown: writes by caller whose outcome stayed unknown
    :ivar lost: errors other than NotRun
    :ivar endpoints: endpoint of each answer, in order of arrival
    """

    acknowledged: dict[str, int] = dataclasses.field(default_factory=dict)
    unknown: dict[str, int] = dataclasses.field(default_factory=dict)
    lost: list[Exception] = dataclasses.field(default_factory=list)
    endpoints: list[str] = dataclasses.field(default_factory=list)


class Load:
    """Callers at each daemon, each with one request at a time."""

    def __init__(self, world: worlds.World) -> None:
        """Start the callers on a world's loop."""
        self._world = world
        self._stopped = False
        self.tally = Tally()
        self._futures = [
            world.spawn(self._call(daemon, f"{daemon.name}-{number}"))
            for daemon in world.daemons
            for number in range(CALLERS_PER_DAEMON)
        ]

    def stop(self) -> Tally:
        """Stop the callers and return their results."""
        self._stopped = True
        for future in self._futures:
            future.result(worlds.STEP_TIMEOUT_SECONDS)
        return self.tally

    async def _call(self, daemon, name):
        addresses = [daemon.caller_address] + [
            other.caller_address for other in self._world.daemons
        ]
        session = client_session.Session(addresses, name, options=OPTIONS)
        async with session:
            while not self._stopped:
                await self._write(session, name)
                await self._read(session, name)
                await asyncio.sleep(PAUSE_SECONDS)

    async def _write(self, session, key):
        tally = self.tally
        try:
            answer = await session.execute(
                worlds.DATABASE, "fault-report", f"ADD {key} 1"
            )
        except errors.NotRun:
            return
        except errors.UnknownOutcome as error:
            tally.unknown[key] = tally.unknown.get(key, 0) + 1
            tally.lost.append(error)
            return
        except errors.FescuestileError as error:
            tally.lost.append(error)
            return
        tally.acknowledged[key] = tally.acknowledged.get(key, 0) + 1
        tally.endpoints.append(answer.endpoint)

    async def _read(self, session, key):
        try:
            answer = await session.execute(
                worlds.DATABASE,
                "history",
                f"GET {key}",
                read_only=True,
                repeatable=False,
            )
        except errors.NotRun:
            return
        except errors.FescuestileError as error:
            self.tally.lost.append(error)
            return
        self.tally.endpoints.append(answer.endpoint)
