"""Which daemons have written again what a restored store had forgotten.

A daemon that requests promotions is listed in the store beforehand. Once all
that are listed have written again what they knew before the store went back,
no promotion is missing in the records. One that died meanwhile, or does not
reach the store, leaves the question open.
"""

import abc
import collections.abc
import time

import structlog

from fescuestile_daemon.relay.records import record_copies

log = structlog.get_logger()

# Pause between two listings while a record is not settled.
CHECK_SECONDS = 0.3
# Likewise for daemons that have not written within the first seconds.
LATE_CHECK_SECONDS = 2.0
LATE_AFTER_SECONDS = 3.0
# Pause between two listings otherwise: a copy may lack a daemon that has
# started since.
LIST_SECONDS = 30.0


class RestorationStore(abc.ABC):
    """The daemons that may request promotions, as the store lists them."""

    @abc.abstractmethod
    async def register(self) -> None:
        """List this daemon, unless it is listed already.

        :raises PlatformUnavailable: the store did not answer
        """

    @abc.abstractmethod
    async def record(self, era: int) -> bool:
        """Record that this daemon has written again what it knows.

        :param era: era of the store in which it has done so
        :returns: False when that was not recorded
        :raises PlatformUnavailable: the store did not answer
        """

    @abc.abstractmethod
    async def list_eras(
        self, allow_stale: bool = False
    ) -> collections.abc.Mapping[str, int]:
        """Return the latest era that each daemon has recorded, by name.

        0 stands for none.

        :param allow_stale: whether the answer may be seconds old
        :raises PlatformUnavailable: the store did not answer
        """


class Restorations:
    """Records that this daemon has written again, and waits for the others."""

    def __init__(
        self, copies: record_copies.RecordCopies, store: RestorationStore
    ) -> None:
        """Start without daemons.

        :param copies: this daemon's copies of the records
        """
        self._copies = copies
        self._store = store
        self._names: set[str] = set()
        self._era = 0
        self._changed_at = self._listed_at = 0.0
        self._is_registered = self._is_recorded = self._is_complete = False

    @property
    def is_awaited(self) -> bool:
        """Whether others may still have to write what they know."""
        return bool(self._copies.era) and (
            self._copies.era != self._era
            or not self._is_registered
            or (not self._is_complete and self._copies.has_unsettled())
        )

    async def register(self) -> None:
        """Let the store list this daemon in its latest era.

        :raises PlatformUnavailable: the store did not answer
        """
        era = self._copies.era
        if era != self._era:
            self._era, self._changed_at = era, time.monotonic()
            self._is_registered = self._is_recorded = False
            self._is_complete = False
        if era and not self._is_registered:
            await self._store.register()
            self._is_registered = era == self._copies.era

    async def update(self) -> None:
        """Register, record and list what the latest era needs.

        :raises PlatformUnavailable: the store did not answer
        """
        await self.register()
        era, now = self._era, time.monotonic()
        if not self._is_registered:
            return
        if not self._is_recorded and self._copies.is_written_again():
            is_recorded = await self._store.record(era)
            self._is_recorded = is_recorded and era == self._era
        if now - self._listed_at > self._find_pause(now):
            self._listed_at = now
            await self._list(era)

    def _find_pause(self, now: float) -> float:
        is_late = now - self._changed_at > LATE_AFTER_SECONDS
        if self.is_awaited:
            return LATE_CHECK_SECONDS if is_late else CHECK_SECONDS
        return LIST_SECONDS if is_late else LATE_CHECK_SECONDS

    async def _list(self, era: int) -> None:
        """List the daemons, and settle the records once all have written."""
        is_needed = self.is_awaited and self._is_recorded
        # A listing that may be stale is cheaper.
        for allow_stale in (True, False):
            eras = await self._store.list_eras(allow_stale)
            self._names |= eras.keys()
            if not is_needed or any(
                eras.get(name, 0) != era for name in self._names
            ):
                return
        self._is_complete = await self._copies.settle_all(era)
        if self._is_complete:
            log.info(
                "all daemons have restored their records",
                era=era,
                daemons=sorted(self._names),
            )
