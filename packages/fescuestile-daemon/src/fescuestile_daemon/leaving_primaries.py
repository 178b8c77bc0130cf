"""Moves primaries away from endpoints that are leaving."""

import asyncio

import structlog

from fescuestile import clock
from fescuestile import snapshots
from fescuestile_daemon import configuration_actor
from fescuestile_daemon import published
from fescuestile_daemon import snapshot_store
from fescuestile_daemon import switchovers
from fescuestile_daemon import tasks

log = structlog.get_logger(__name__)

CHECK_INTERVAL_SECONDS = 0.2
RETRY_DELAY_SECONDS = 1.0


def choose_target(group: snapshots.GroupSnapshot) -> str | None:
    """Return the endpoint that should become primary, None if none can.

    It is the endpoint with the longest log among those not leaving, so that
    it has the least to catch up.
    """
    candidates = [
        view for view in group.endpoints.values() if not view.leaving
    ]
    most_advanced = max(
        candidates,
        key=lambda view: (view.history.last, view.endpoint.name),
        default=None,
    )
    return most_advanced.endpoint.name if most_advanced else None


class LeavingPrimaries:
    """Requests switchovers for leaving primaries that this daemon owns."""

    def __init__(
        self,
        own_id: str,
        leaving_set: published.Published[configuration_actor.LeavingSet],
        group_snapshots: snapshot_store.SnapshotStore,
        switchover_service: switchovers.Switchovers,
        time_source: clock.Clock,
    ) -> None:
        """Initialize without starting the checks.

        :param leaving_set: endpoints and daemons that are leaving
        :param switchover_service: carries out the switchovers
        """
        self._own_id = own_id
        self._leaving_set = leaving_set
        self._group_snapshots = group_snapshots
        self._switchover_service = switchover_service
        self._clock = time_source
        self._tasks = tasks.TaskSet()
        self._retry_at: dict[str, float] = {}

    def start(self) -> None:
        """Start the regular checks for leaving primaries."""
        self._tasks.spawn(self._run())

    async def close(self) -> None:
        """Stop the checks; a switchover in progress continues."""
        await self._tasks.close()

    async def _run(self) -> None:
        while True:
            if self._leaving_set.get().endpoints:
                for database in self._group_snapshots.list_databases():
                    self._check_group(database)
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    def _check_group(self, database: str) -> None:
        group = self._group_snapshots.get(database)
        view = group.endpoints.get(group.primary) if group else None
        if group is None or view is None or not view.leaving:
            return
        now = self._clock.now()
        if view.owner != self._own_id or now < self._retry_at.get(database, 0):
            return
        self._retry_at[database] = now + RETRY_DELAY_SECONDS
        target = choose_target(group)
        if target is not None:
            self._tasks.spawn(self._switch_over(database, target))

    async def _switch_over(self, database: str, target: str) -> None:
        log.info(
            "moving primary off leaving endpoint",
            database=database,
            target=target,
        )
        outcome = await self._switchover_service.switch_over(database, target)
        if outcome.is_error():
            log.warning(
                "switchover from leaving endpoint failed",
                database=database,
                error=str(outcome.error),
            )
