"""Demo of a session that roams and of a primary that is killed.

``python -m fescuestile_standins.demo`` starts a platform, a database group
of three endpoints and four daemons in three zones as real processes, and
prints each step as a caller sees it.
"""

import asyncio
import sys
import time
import typing

from fescuestile import errors
from fescuestile import requests
from fescuestile_client import session as client_session
from fescuestile_standins import fleet as fleets
from fescuestile_standins import launcher as launchers

TIMEOUT_SECONDS = 90.0
EXIT_FAILED = 1
DAEMONS = (
    ("muenchen-1", "muenchen"),
    ("muenchen-2", "muenchen"),
    ("ingolstadt-1", "ingolstadt"),
    ("landshut-1", "landshut"),
)
KEY = "pump-17"
WRITE_KIND = "fault-report"
READ_KIND = "history"

PendingAnswer = typing.Awaitable[requests.Answer]


class Demo:
    """Steps of the demo, run on one fleet."""

    def __init__(self, fleet: fleets.Fleet) -> None:
        """Initialize with a fleet that is not started yet."""
        self._fleet = fleet
        self._started_at = time.monotonic()

    async def run(self) -> None:
        """Run all steps.

        :raises: FescuestileError if a step fails
        """
        group = await self._start()
        first, second = self._select_daemons("muenchen-1", "landshut-1")
        session = self._fleet.open_session(first, second)
        async with session:
            self._print(f"session open on {session.daemon}")
            await self._write(session, group, "hisses")
            await session.roam(second.caller_address)
            self._print(f"session roamed to {session.daemon}")
            await self._read(session, group, "hisses")
            self._kill_primary(group)
            await self._write(session, group, "repaired")
            await self._read(session, group, "repaired")
        self._print("session closed; every step saw its own writes")

    async def _start(self) -> fleets.Group:
        await self._fleet.start_platform()
        self._print("platform serves")
        group = await self._fleet.start_group(fleets.GroupOptions())
        for endpoint in group.plan.endpoints:
            self._print(f"endpoint {endpoint.name} serves in {endpoint.zone}")
        for name, zone in DAEMONS:
            await self._fleet.start_daemon(name, zone)
            self._print(f"daemon {name} serves in {zone}")
        revision = await self._fleet.declare(group)
        self._print(f"plan of {group.plan.database} declared: {revision=}")
        return group

    def _select_daemons(self, *names: str) -> list[fleets.DaemonProcess]:
        return [self._fleet.daemons[name] for name in names]

    def _kill_primary(self, group: fleets.Group) -> None:
        name = group.first_primary
        group.endpoints[name].kill()
        self._print(f"primary {name} killed (SIGKILL)")

    async def _write(
        self, session: client_session.Session, group: fleets.Group, value: str
    ) -> None:
        text = f"PUT {KEY} {value}"
        await self._time(
            text, session.execute(group.plan.database, WRITE_KIND, text)
        )

    async def _read(
        self,
        session: client_session.Session,
        group: fleets.Group,
        expected: str,
    ) -> None:
        text = f"GET {KEY}"
        answer = await self._time(
            text,
            session.execute(
                group.plan.database, READ_KIND, text, read_only=True
            ),
        )
        if answer.payload.decode() != expected:
            raise errors.FescuestileError(
                message=f"expected to read {expected!r},"
                f" got {answer.payload!r}",
                step="demo",
                peer=answer.endpoint,
            )

    async def _time(
        self, text: str, pending: PendingAnswer
    ) -> requests.Answer:
        started_at = time.monotonic()
        answer = await pending
        elapsed_ms = (time.monotonic() - started_at) * 1000
        role = "replica" if answer.replica else "primary"
        position = answer.position
        value = f" -> {answer.payload.decode()}" if answer.payload else ""
        self._print(
            f"{text}{value}: answered by {answer.endpoint} ({role}) at"
            f" term {position.term} index {position.index}"
            f" in {elapsed_ms:.1f} ms"
        )
        return answer

    def _print(self, text: str) -> None:
        print(
            f"{time.monotonic() - self._started_at:7.3f} s  {text}", flush=True
        )


async def run() -> None:
    """Run the demo and stop all processes that it started.

    :raises: FescuestileError or TimeoutError if it fails
    """
    async with asyncio.timeout(TIMEOUT_SECONDS):
        async with launchers.Launcher() as launcher:
            await Demo(fleets.Fleet(launcher)).run()


def main() -> int:
    """Run the demo.

    :returns: exit code
    """
    try:
        asyncio.run(run())
    except (errors.FescuestileError, TimeoutError) as error:
        print(f"demo failed: {error}", file=sys.stderr)
        return EXIT_FAILED
    return 0


if __name__ == "__main__":
    sys.exit(main())
