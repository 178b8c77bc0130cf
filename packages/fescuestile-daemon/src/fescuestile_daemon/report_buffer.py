"""Batches observations on their way to the groups actor."""

import asyncio

import pykka

from fescuestile_daemon import groups_actor

FLUSH_SECONDS = 0.01


class ReportBuffer:
    """Collects reports on the loop and tells the actor in batches."""

    def __init__(
        self, actor: pykka.ActorRef[groups_actor.GroupsActor]
    ) -> None:
        """Tell an actor."""
        self._actor = actor
        self._reports: list[groups_actor.Observation] = []
        self._waits: list[groups_actor.WaitObservation] = []
        self._scheduled = False

    def add_report(self, item: groups_actor.Observation) -> None:
        """Add a report to the next batch."""
        self._reports.append(item)
        self._schedule()

    def add_wait(self, item: groups_actor.WaitObservation) -> None:
        """Add a wait to the next batch."""
        self._waits.append(item)
        self._schedule()

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_later(FLUSH_SECONDS, self._flush)

    def _flush(self) -> None:
        self._scheduled = False
        batch = groups_actor.Observed(tuple(self._reports), tuple(self._waits))
        self._reports.clear()
        self._waits.clear()
        if self._actor.is_alive():
            self._actor.tell(batch)
