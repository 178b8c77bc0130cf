"""A store of the lease object that holds it in memory."""

import asyncio
import copy
import dataclasses

from fescuestile import errors
from fescuestile_daemon.relay.records import leases


class MemoryStore(leases.LeaseStore):
    """In-memory store that loses answers, executes late and goes back.

    :ivar late: writes that are executed later
    :ivar fault: "refuses", "lost", "late" or empty for none
    :ivar era: rises each time the store goes back
    """

    def __init__(self):
        self.stored = leases.StoredRecord(leases.Record(), None)
        self.late: list[tuple[leases.Record, int | None]] = []
        self.fault = ""
        self.era = 0
        self._revision = 0

    async def read(self, allow_stale=False):
        await asyncio.sleep(0)
        if self.fault == "refuses":
            raise errors.PlatformRefused("503", step="read")
        return dataclasses.replace(self.stored, era=self.era)

    async def write(self, record, revision):
        await asyncio.sleep(0)
        if self.fault == "refuses":
            raise errors.PlatformRefused("503", step="write")
        if self.fault == "late":
            self.late.append((record, revision))
            raise errors.PlatformUnavailable("no answer", step="write")
        done = self._execute(record, revision)
        if self.fault == "lost":
            raise errors.PlatformUnavailable("no answer", step="write")
        return done

    def _execute(self, record, revision):
        if revision != self.stored.revision:
            return None
        self._revision += 1
        self.stored = leases.StoredRecord(record, self._revision, self.era)
        return self.stored

    def execute_late(self):
        for record, revision in self.late:
            self._execute(record, revision)
        self.late.clear()

    def copy(self):
        """Return a copy that ``restore`` puts back."""
        return copy.copy((self.stored, self._revision))

    def restore(self, kept):
        """Come back from a copy in the next era."""
        self.stored, self._revision = kept
        self.era += 1
