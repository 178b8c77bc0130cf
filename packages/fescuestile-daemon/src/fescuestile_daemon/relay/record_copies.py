"""One daemon's copies of the records of the groups' members."""

import asyncio
import collections.abc
import time

import structlog

from fescuestile import errors
from fescuestile import group_members
from fescuestile_daemon.relay import directory
from fescuestile_daemon.relay import groups
from fescuestile_daemon.relay import member_store
from fescuestile_daemon.relay import record_eras

log = structlog.get_logger()

# A malformed record is replaced after this time: an endpoint that the
# registry has not named by then is gone.
MALFORMED_SECONDS = group_members.MISSING_SECONDS
# A call that fails sooner is repeated; after a longer one, another might
# outlast the lease, and fences would stay.
QUICK_FAILURE_SECONDS = 0.5
# Longest wait for the first connections before the records are read.
OPEN_SECONDS = 0.2


class RecordCopies:
    """Applies records to the groups, and writes what these know."""

    def __init__(
        self, store: member_store.MemberStore, routes: directory.Directory
    ) -> None:
        """Start without copies.

        :param routes: holds the groups
        """
        self._store = store
        self._directory = routes
        self._eras = record_eras.RecordEras()
        self._malformed_since: dict[str, float] = {}
        # Records as they were last read or written.
        self._stored: dict[str, member_store.StoredMembers] = {}
        # Monotonic seconds since which a group was seen without a fence.
        self._unfenced_at: dict[str, float] = {}

    def _is_read(self, group: groups.Group) -> bool:
        stored = self._stored.get(group.name)
        return (
            group.members.is_loaded
            and stored is not None
            and stored.era == self._eras.era
        )

    def _is_settled(
        self, group: groups.Group, stored: member_store.StoredMembers
    ) -> bool:
        """Return whether something may be decided on a record."""
        return self._eras.is_settled(group, stored, time.monotonic())

    def _notice_era(self) -> None:
        """Note the era in which the store has answered last."""
        before = self._eras.era
        if self._eras.notice(self._store.era, time.monotonic()):
            log.info(
                "records of members to be read again",
                era=self._eras.era,
                before=before,
            )

    def _lacks(self, group: groups.Group) -> bool:
        """Return whether the store has forgotten what is known here."""
        now = time.monotonic()
        stored = self._stored[group.name]
        if stored.settled_era == stored.era:
            return False
        pending = group.promotions.find(now)
        return (
            bool(group.members.forgotten)
            or (pending is not None and stored.pending is None)
            or group.promotions.find_replaced_term(now) > stored.replaced_term
        )

    def _is_new(
        self, group: groups.Group, stored: member_store.StoredMembers
    ) -> bool:
        """Return whether nobody has written the group's record before."""
        return stored.revision is None and not group.members.forgotten

    def _find_stored(self, group: str) -> member_store.StoredMembers:
        """Return the record that was last read or written."""
        return self._stored.get(group, member_store.NO_RECORD)

    async def _read(self, group: str) -> member_store.StoredMembers:
        """Read a record, and once again if that fails quickly.

        :raises PlatformUnavailable: the store did not answer
        """
        began_at = time.monotonic()
        try:
            return await self._store.read(group)
        except errors.PlatformUnavailable as error:
            if time.monotonic() - began_at > QUICK_FAILURE_SECONDS:
                raise
            log.info("record read again", group=group, detail=str(error))
        return await self._store.read(group)

    async def _inspect_unread(
        self, listed: collections.abc.Iterable[groups.Group]
    ) -> None:
        """Find the groups without a fence before their records are read."""
        unread = [group for group in listed if not self._is_read(group)]
        # Opens the connections.
        await asyncio.gather(
            *(group.refresh(OPEN_SECONDS) for group in unread)
        )
        began_at = time.monotonic()
        unfenced = await asyncio.gather(
            *(group.replication.runs.is_unfenced() for group in unread)
        )
        self._unfenced_at = {
            group.name: began_at
            for group, is_unfenced in zip(unread, unfenced, strict=True)
            if is_unfenced
        }

    def _apply_first(
        self, group: groups.Group, stored: member_store.StoredMembers
    ) -> None:
        """Apply a record that was read after the group was inspected.

        Without a fence and a pending promotion its endpoints confirm writes.
        """
        unfenced_at = self._unfenced_at.get(group.name)
        if (
            self._apply(group, stored)
            and unfenced_at is not None
            and self._is_settled(group, stored)
        ):
            group.replication.runs.trust(unfenced_at)

    def _apply(
        self, group: groups.Group, stored: member_store.StoredMembers
    ) -> bool:
        """Apply a record; return whether it could be used."""
        now = time.monotonic()
        self._notice_era()
        if stored.era != self._eras.era:
            return False
        is_current = stored.settled_era == stored.era
        if not (
            is_current
            or group.members.is_loaded
            or self._eras.is_restored(now)
        ):
            return False
        before = self._stored.get(group.name)
        self._stored[group.name] = stored
        if stored.members is None:
            since = self._malformed_since.setdefault(group.name, now)
            if now - since < MALFORMED_SECONDS:
                return False
        else:
            self._malformed_since.pop(group.name, None)
        if stored.members is None or stored.revision is None:
            # Nothing is known but what this daemon has seen.
            if not group.members.is_settled(now):
                return False
            if not group.members.is_loaded:
                group.members.apply_record((), now)
            elif stored.members is not None and not is_current:
                group.members.apply_record((), now, may_be_older=True)
            return True
        if not is_current or (before is not None and before.era < stored.era):
            group.members.apply_record(stored.members, now, may_be_older=True)
            group.promotions.merge(stored.pending, now, stored.replaced_term)
            return True
        group.members.apply_record(stored.members, now)
        revision = (before.revision if before else None) or 0
        if stored.pending is not None or stored.revision >= revision:
            # An older copy of the record does not end a promotion.
            group.promotions.put(stored.pending, now, stored.replaced_term)
        return True

    async def _write(
        self,
        group: groups.Group,
        stored: member_store.StoredMembers,
        wanted: frozenset[group_members.Member],
    ) -> bool:
        """Write a record; return False if it has changed meanwhile.

        :param stored: as it was read
        :param wanted: members in it
        """
        now = time.monotonic()
        is_settled = self._is_settled(group, stored)
        written = await self._store.write(
            group.name,
            member_store.StoredMembers(
                wanted,
                stored.revision,
                group.promotions.find(now),
                group.promotions.find_replaced_term(now),
                stored.era,
                stored.era if is_settled else stored.settled_era,
            ),
        )
        if written is None or written.era != stored.era:
            return False
        self._stored[group.name] = written
        group.promotions.put(written.pending, now, written.replaced_term)
        log.info(
            "members recorded",
            group=group.name,
            members=[f"{m.name} {m.started_at}" for m in sorted(wanted)],
        )
        group.members.put_record(wanted)
        return True
