"""Latest snapshot of each group, published by the groups actor."""

import asyncio

from fescuestile import snapshots


class SnapshotStore:
    """Latest snapshot of each group, by database.

    The groups actor publishes from its thread; filters on the event loop
    read the latest snapshot or wait for the next.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start empty.

        :param loop: loop on which filters wait
        """
        self._loop = loop
        self._snapshots: dict[str, snapshots.GroupSnapshot] = {}
        self._waiting: dict[str, asyncio.Future[None]] = {}

    def get(self, database: str) -> snapshots.GroupSnapshot | None:
        """Return a group's latest snapshot, None if it is unknown."""
        return self._snapshots.get(database)

    def list_databases(self) -> tuple[str, ...]:
        """Return the names of all known databases."""
        return tuple(self._snapshots)

    def publish(self, snapshot: snapshots.GroupSnapshot) -> None:
        """Replace a group's snapshot; called in the actor's thread."""
        database = snapshot.plan.database
        self._snapshots[database] = snapshot
        if database in self._waiting:
            self._loop.call_soon_threadsafe(self._wake_waiting, database)

    def remove(self, database: str) -> None:
        """Remove a group's snapshot; called in the actor's thread."""
        self._snapshots.pop(database, None)

    async def wait_for_change(self, database: str, timeout: float) -> bool:
        """Wait until the next snapshot of a group is published.

        :param timeout: seconds
        :returns: whether one was published in time
        """
        future = self._waiting.get(database)
        if future is None:
            future = self._loop.create_future()
            self._waiting[database] = future
        done, _ = await asyncio.wait((future,), timeout=timeout)
        return bool(done)

    def _wake_waiting(self, database: str) -> None:
        future = self._waiting.pop(database, None)
        if future is not None and not future.done():
            future.set_result(None)
