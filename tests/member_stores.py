"""Builders of records of members, and a store that holds them in memory."""

import asyncio
import dataclasses

from fescuestile import errors
from fescuestile import group_members
from fescuestile_daemon.relay.records import member_store
from fescuestile_daemon.relay.records import restorations


def make_members(*names):
    """Return members; a start other than 0 follows the name after an @."""
    parts = [name.partition("@") for name in names]
    return frozenset(
        group_members.Member(name, int(start or 0)) for name, _, start in parts
    )


replace = dataclasses.replace


class MemoryStore(member_store.MemberStore):
    """Holds records; a group has none at first.

    :ivar records: by group
    :ivar calls: names of the calls so far
    :ivar fault: "refuses", "lost" (executed without an answer), "late"
        (executed by ``execute_late``) or empty for none
    :ivar era: rises each time the store goes back
    """

    era = 0

    def __init__(self):
        self.records = {}
        self.calls = []
        self.fault = ""
        self._late = []

    def put(self, group, members, pending=None, replaced_term=0):
        """Write a record unconditionally; None for a malformed one."""
        revision = self.find(group).revision or 0
        self.records[group] = member_store.StoredMembers(
            members, revision + 1, pending, replaced_term
        )

    def find(self, group):
        """Return the record of a group."""
        found = self.records.get(group, member_store.NO_RECORD)
        return dataclasses.replace(found, era=self.era)

    async def read(self, group):
        await self._call("read")
        return self.find(group)

    async def list_all(self, allow_stale=False):
        await self._call("list stale" if allow_stale else "list")
        return {group: self.find(group) for group in self.records}

    async def write(self, group, wanted):
        await self._call("write")
        if self.fault == "late":
            self._late.append((group, wanted))
            raise errors.PlatformUnavailable("no answer", step="write")
        is_written = self._execute(group, wanted)
        if self.fault == "lost":
            raise errors.PlatformUnavailable("no answer", step="write")
        return self.find(group) if is_written else None

    async def _call(self, name):
        await asyncio.sleep(0)
        self.calls.append(name)
        if self.fault == "refuses":
            raise errors.PlatformRefused("503", step=name)

    def _execute(self, group, wanted):
        if self.find(group).revision != wanted.revision:
            return False
        revision = (wanted.revision or 0) + 1
        self.records[group] = dataclasses.replace(wanted, revision=revision)
        return True

    def copy(self):
        """Return a copy that ``restore`` puts back."""
        return dict(self.records)

    def restore(self, kept):
        """Come back from a copy in the next era."""
        self.records = dict(kept)
        self.era += 1

    def execute_late(self):
        """Execute the writes that got no answer."""
        for write in self._late:
            self._execute(*write)
        self._late.clear()


class MemoryRestorations(restorations.RestorationStore):
    """Lists daemons in memory, for one of them.

    :ivar eras: latest era that each daemon has recorded, by name; shared by
        all of them
    :ivar stale_eras: what listings that may be stale return, None for ``eras``
    """

    def __init__(self, eras, daemon):
        self.eras = eras
        self.stale_eras = None
        self._daemon = daemon

    async def register(self):
        self.eras.setdefault(self._daemon, 0)

    async def record(self, era):
        self.eras[self._daemon] = era
        return True

    async def list_eras(self, allow_stale=False):
        if allow_stale and self.stale_eras is not None:
            return dict(self.stale_eras)
        return dict(self.eras)
