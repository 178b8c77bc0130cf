"""Batching of observations for the groups actor."""

import asyncio

import pykka

from fescuestile_daemon import groups_actor

FLUSH_DELAY_SECONDS = 0.01


class ReportBuffer:
    """Collects observations on the event loop and sends them in batches."""

    def __init__(
        self, actor: pykka.ActorRef[groups_actor.GroupsActor]
    ) -> None:
        """Initialize with the actor that receives the batches."""
        self._actor = actor
        self._reports: list[groups_actor.Observation] = []
        self._waits: list[groups_actor.WaitObservation] = []
        self._flush_scheduled = False

    def add_report(self, observation: groups_actor.Observation) -> None:
        """Add a report to the next batch."""
        self._reports.append(observation)
        self._schedule_flush()

    def add_wait(self, observation: groups_actor.WaitObservation) -> None:
        """Add the expected wait of an endpoint to the next batch."""
        self._waits.append(observation)
        self._schedule_flush()

    def _schedule_flush(self) -> None:
        if not self._flush_scheduled:
            self._flush_scheduled = True
            asyncio.get_running_loop().call_later(
                FLUSH_DELAY_SECONDS, self._flush
            )

    def _flush(self) -> None:
        self._flush_scheduled = False
        batch = groups_actor.ObservationBatch(
            tuple(self._reports), tuple(self._waits)
        )
        self._reports.clear()
        self._waits.clear()
        if self._actor.is_alive():
            self._actor.tell(batch)
