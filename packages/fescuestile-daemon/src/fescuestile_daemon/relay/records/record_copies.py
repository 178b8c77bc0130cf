"""One daemon's copies of the records of the groups' members."""

import asyncio
import collections.abc
import time

import structlog

from fescuestile import errors
from fescuestile import group_members
from fescuestile_daemon.relay.groups import directory
from fescuestile_daemon.relay.groups import groups
from fescuestile_daemon.relay.records import member_store
from fescuestile_daemon.relay.records import record_eras

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
        self._era_noticed = asyncio.Event()
        self._malformed_since: dict[str, float] = {}
        # Records as they were last read or written.
        self._stored: dict[str, member_store.StoredMembers] = {}
        # Monotonic seconds since which a group was seen without a fence.
        self._unfenced_at: dict[str, float] = {}

    def _list(self) -> list[groups.Group]:
        """Return the groups with endpoints."""
        return [g for g in self._directory.groups.values() if g.endpoints]

    def _is_loaded(self) -> bool:
        """Return whether all records have been read in this era."""
        return self._directory.endpoints_loaded and all(
            self._is_read(group) for group in self._list()
        )

    @property
    def era(self) -> int:
        """Latest era of the store that has been noticed, 0 for none."""
        return self._eras.era

    def has_unsettled(self) -> bool:
        """Return whether nothing may be decided on some record yet."""
        return not all(
            self._is_settled(group, self._find_stored(group.name))
            for group in self._list()
        )

    def is_written_again(self) -> bool:
        """Return whether the store holds all that was known before this era.

        A process that has started in it may not know what its daemon knew.
        """
        known = self._eras.list_known()
        return (
            self._store.era == self._eras.era
            and bool(known)
            and known >= set(self._directory.groups)
            and all(
                name in self._directory.groups
                and self._is_read(self._directory.groups[name])
                and self._holds_all(self._directory.groups[name])
                for name in known
            )
        )

    def _holds_all(self, group: groups.Group) -> bool:
        """Return whether the record holds all that is known here.

        In an older copy another promotion may be pending.
        """
        pending = group.promotions.find(time.monotonic())
        return not self._lacks(group) and (
            pending is None or pending == self._stored[group.name].pending
        )

    async def settle_all(self, era: int) -> bool:
        """Read all records again and settle them.

        To be called once all daemons have written again what they know.

        :param era: era in which they have done so
        :returns: False when the era has changed meanwhile
        :raises PlatformUnavailable: the store did not answer
        """
        stored = await self._store.list_all()
        self._notice_era()
        if self._eras.era != era:
            return False
        for group in self._list():
            found = stored.get(group.name)
            if (
                found is not None
                and found.members is not None
                and self._apply(group, found)
            ):
                self._eras.settle_restored(group, time.monotonic())
        return True

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
        now = time.monotonic()
        return self._eras.is_settled(
            group, stored, now
        ) or self._eras.is_settled_as_new(group, stored, now)

    def _notice_era(self) -> None:
        """Note the era in which the store has answered last."""
        before = self._eras.era
        if self._eras.notice(self._store.era, time.monotonic()):
            self._era_noticed.set()
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

    def _list_changed(self) -> list[groups.Group]:
        """Return the groups whose records lack a change."""
        return [
            group
            for group in self._list()
            if self._is_read(group) and self._is_changed(group)
        ]

    def _is_changed(self, group: groups.Group) -> bool:
        stored = self._stored[group.name]
        is_settled = self._is_settled(group, stored)
        if not is_settled and not self._is_new(group, stored):
            return self._lacks(group)
        if not self._directory.duties.is_watched(group):
            # Daemons that watch the group record its changes; only this one
            # can write what a restored store has lost of its own knowledge.
            return self._lacks(group)
        return (
            group.members.make_record() != group.members.recorded
            or group.promotions.is_over(time.monotonic())
            or (is_settled and stored.settled_era != stored.era)
            or self._lacks(group)
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
        unread = [
            group
            for group in listed
            if not self._is_read(group)
            and self._directory.duties.is_watched(group)
        ]
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
            is_loaded = group.members.is_loaded
            if is_loaded and stored.members is not None and not is_current:
                group.members.apply_record((), now, may_be_older=True)
            if not group.members.is_settled(now):
                return False
            if not is_loaded:
                group.members.apply_record((), now)
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
