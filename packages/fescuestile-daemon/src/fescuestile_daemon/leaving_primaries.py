"""Moves primaries away from endpoints that are leaving."""

import asyncio

import structlog

from fescuestile import clock
from fescuestile import snapshots
from fescuestile_daemon import configuration_actor
from fescuestile_daemon import group_board
from fescuestile_daemon import published
from fescuestile_daemon import switchovers
from fescuestile_daemon import tasks

log = structlog.get_logger(__name__)

CHECK_SECONDS = 0.2
RETRY_SECONDS = 1.0


def choose_target(group: snapshots.GroupSnapshot) -> str | None:
    """Return the endpoint that should become primary, None if none can.

    The most advanced one that stays is chosen.
    """
    staying = [view for view in group.endpoints.values() if not view.leaving]
    best = max(
        staying,
        key=lambda view: (view.history.last, view.endpoint.name),
        default=None,
    )
    return best.endpoint.name if best else None


class LeavingPrimaries:
    """Begins switchovers where this daemon owns the leaving primary."""

    def __init__(
        self,
        own_id: str,
        marks: published.Published[configuration_actor.Marked],
        board: group_board.GroupBoard,
        mover: switchovers.Switchovers,
        time_source: clock.Clock,
    ) -> None:
        """Prepare; ``start`` begins to look."""
        self._own_id = own_id
        self._marks = marks
        self._board = board
        self._mover = mover
        self._clock = time_source
        self._tasks = tasks.TaskSet()
        self._retry_at: dict[str, float] = {}

    def start(self) -> None:
        """Begin to look for leaving primaries."""
        self._tasks.spawn(self._run())

    async def close(self) -> None:
        """Stop; a switchover under way goes on."""
        await self._tasks.close()

    async def _run(self) -> None:
        while True:
            if self._marks.get().endpoints:
                for database in self._board.list_databases():
                    self._consider(database)
            await asyncio.sleep(CHECK_SECONDS)

    def _consider(self, database: str) -> None:
        group = self._board.get(database)
        view = group.endpoints.get(group.primary) if group else None
        if group is None or view is None or not view.leaving:
            return
        now = self._clock.now()
        if view.owner != self._own_id or now < self._retry_at.get(database, 0):
            return
        self._retry_at[database] = now + RETRY_SECONDS
        target = choose_target(group)
        if target is not None:
            self._tasks.spawn(self._move(database, target))

    async def _move(self, database: str, target: str) -> None:
        log.info("leaving primary", database=database, target=target)
        outcome = await self._mover.switch_over(database, target)
        if outcome.is_error():
            log.warning(
                "leaving primary stays",
                database=database,
                error=str(outcome.error),
            )
