"""Records of the groups' members in the platform's store.

There is one object a group. Daemons write it on condition of its revision
when members join or are gone for good, and read it when they start and before
each takeover, so that a daemon that has just started knows the members that
the registry does not name at the time.

It also holds the promotion that was requested and may still take effect.
Until that is over no member is added: the driver has stopped those in the
record only.

The store may come back from an older copy, see ``record_eras``. Daemons then
write again what they know at once.
"""

import asyncio
import contextlib
import dataclasses
import math
import random
import secrets
import time

import structlog

from fescuestile import errors
from fescuestile import group_members
from fescuestile import pending_promotions
from fescuestile_daemon.relay.core import ports
from fescuestile_daemon.relay.groups import directory
from fescuestile_daemon.relay.groups import groups
from fescuestile_daemon.relay.groups import record_readers
from fescuestile_daemon.relay.records import member_store
from fescuestile_daemon.relay.records import record_copies
from fescuestile_daemon.relay.records import restorations

log = structlog.get_logger()

# Range of the delay before a change is recorded: the first daemon to do so
# spares the others the write.
RECORD_DELAY_SECONDS = (1.0, 8.0)
# Likewise for a member that joins, which confirms no writes before.
JOIN_DELAY_SECONDS = (0.2, 4.0)
CHECK_SECONDS = 1.0
# Shorter than CHECK_SECONDS: a group's primary is not replaced before its
# record has been read.
LOAD_CHECK_SECONDS = 0.2
# Pause before records that were missing or malformed are read again.
LOAD_DELAY_SECONDS = group_members.SETTLE_SECONDS


class MemberRecords(
    record_copies.RecordCopies, ports.PromotionLog, record_readers.RecordReader
):
    """Reads the records for this daemon and keeps them up to date."""

    def __init__(
        self,
        store: member_store.MemberStore,
        routes: directory.Directory,
        registry: ports.Registry,
        source: random.Random,
        restored: restorations.RestorationStore | None = None,
    ) -> None:
        """Initialize; ``start`` begins to read.

        :param routes: holds the groups
        :param registry: read again before a member is taken off a record
        :param source: randomness of the delay before a change is recorded
        :param restored: lists the daemons that request promotions, None where
            they are not known
        """
        super().__init__(store, routes)
        self._restorations = (
            None
            if restored is None
            else restorations.Restorations(self, restored)
        )
        self._registry = registry
        self._random = source
        self._record_at = math.inf
        self._load_at = -math.inf
        self._load_era = 0
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the task that reads and writes."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Cancel the task."""
        if self._task is not None:
            self._task.cancel()

    @property
    def heard_at(self) -> float:
        """Monotonic seconds of the registry's latest answer."""
        return self._registry.heard_at

    async def load(self, group: groups.Group) -> bool:
        """Read the record of a group again and apply it.

        A missing record is written, so that a decision on what this daemon
        knows binds those that start later.

        :returns: False when the store did not answer, while the record is
            malformed or may lack a promotion, or while there is none and
            this daemon may not know all members yet
        """
        try:
            stored = await self._store.read(group.name)
            if not self._apply(group, stored):
                log.warning("members not known", group=group.name)
                return False
            if not self._is_settled(group, stored):
                log.warning(
                    "record of members may lack a promotion",
                    group=group.name,
                    era=stored.era,
                )
                return False
            if stored.members is None or stored.revision is None:
                return await self._write(
                    group, stored, group.members.make_record()
                )
            return True
        except errors.PlatformUnavailable as error:
            log.warning(
                "members not read", group=group.name, detail=str(error)
            )
            return False

    async def _run(self) -> None:
        while True:
            await self._wait_check()
            try:
                await self.update()
            except errors.PlatformUnavailable as error:
                log.info("members not recorded", detail=str(error))
                self._record_at = math.inf
            except Exception:
                # A malformed answer must not end the task.
                log.exception("update of the members' records failed")

    async def _wait_check(self) -> None:
        """Wait for the next check, which a change of the era brings on."""
        seconds = CHECK_SECONDS if self._is_idle() else LOAD_CHECK_SECONDS
        self._era_noticed.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._era_noticed.wait()

    def _is_idle(self) -> bool:
        """Return whether nothing is to be read or written soon."""
        is_awaited = self._restorations and self._restorations.is_awaited
        return (
            not is_awaited and self._is_loaded() and not self._list_joining()
        )

    async def update(self) -> None:
        """Read records that have not been read, and record changes.

        :raises PlatformUnavailable: the store did not answer
        """
        await self._update_records()
        if self._restorations is not None:
            await self._restorations.update()

    async def _update_records(self) -> None:
        now = time.monotonic()
        self._notice_era()
        if self._load_era != self._eras.era:
            self._load_era = self._eras.era
            self._load_at = -math.inf
        if (
            self._directory.endpoints_loaded
            and now >= self._load_at
            and not self._is_loaded()
        ):
            await self._inspect_unread(self._list())
            stored = await self._store.list_all()
            self._notice_era()
            none = dataclasses.replace(
                member_store.NO_RECORD, era=self._store.era
            )
            self._load_at = now + LOAD_DELAY_SECONDS
            for group in self._list():
                if not self._is_read(group):
                    self._apply_first(group, stored.get(group.name, none))
        if not self._list_changed():
            self._record_at = math.inf
            return
        self._schedule(now)
        if now < self._record_at:
            return
        self._record_at = math.inf
        await self._skip_recorded()
        for group in self._list_changed():
            await self._record(group)

    def _list_joining(self) -> list[groups.Group]:
        """Return the groups with members that are not recorded."""
        return [
            group
            for group in self._list_changed()
            if group.members.make_record() - (group.members.recorded or set())
        ]

    def _schedule(self, now: float) -> None:
        """Choose when the changes are recorded, unless that is soon."""
        if self._record_at == math.inf:
            self._record_at = now + self._random.uniform(*RECORD_DELAY_SECONDS)
        joining = self._list_joining()
        if any(group.members.is_awaited for group in joining) or any(
            self._lacks(group) for group in self._list_changed()
        ):
            self._record_at = now
        elif joining and self._record_at > now + JOIN_DELAY_SECONDS[1]:
            self._record_at = now + self._random.uniform(*JOIN_DELAY_SECONDS)

    async def _skip_recorded(self) -> None:
        """Leave out changes that other daemons have recorded.

        A listing that may be stale is cheaper than a reading of each record.
        """
        stored = await self._store.list_all(allow_stale=True)
        self._notice_era()
        for group in self._list_changed():
            found = stored.get(group.name)
            if (
                found is not None
                and found.era == found.settled_era == self._eras.era
                and found.members == group.members.make_record()
                and not group.promotions.is_over(time.monotonic())
                and not self._lacks(group)
            ):
                group.members.put_record(found.members)
                self._stored[group.name] = found

    async def _record(self, group: groups.Group) -> None:
        """Write what this daemon knows into the record of a group."""
        members = group.members
        stored = await self._store.read(group.name)
        members.is_awaited = False
        if not self._apply(group, stored):
            return
        if group.promotions.find(time.monotonic()) is not None or not (
            self._is_settled(group, stored) or self._is_new(group, stored)
        ):
            # No member is added, but what was recorded is written again.
            if self._lacks(group):
                known = members.recorded or frozenset()
                await self._write(group, stored, known | members.forgotten)
            return
        wanted = members.make_record()
        if stored.members is not None and stored.members - wanted:
            # One that has come back must not be taken off.
            if not await self._registry.refresh():
                return
            wanted = members.make_record()
        if (
            wanted != stored.members
            or stored.pending is not None
            or stored.settled_era != stored.era
            or self._lacks(group)
        ):
            await self._write(group, stored, wanted)

    # Promotions

    async def record_request(self, group: str, endpoint: str) -> bool:
        """Record a promotion in the record that was read before.

        A member that has been recorded since then may hold writes that the
        endpoint lacks, so the record must be unchanged.

        :returns: False when it was not recorded
        """
        known = self._directory.groups[group]
        chosen = known.endpoints.get(endpoint)
        earlier = known.promotions.find(time.monotonic())
        stored = self._find_stored(group)
        self._notice_era()
        if not self._is_settled(known, stored):
            return False
        wanted = member_store.StoredMembers(
            known.members.recorded,
            stored.revision,
            pending_promotions.PendingPromotion(
                endpoint,
                known.followed_term,
                secrets.token_hex(4),
                started_at=chosen.entry.started_at if chosen else 0,
                repeated=earlier is not None and earlier.endpoint == endpoint,
            ),
            known.promotions.find_replaced_term(time.monotonic()),
            stored.era,
            stored.era,
        )
        try:
            if self._restorations is not None:
                await self._restorations.register()
            written = await self._write_pending(known, wanted)
        except errors.PlatformUnavailable as error:
            log.warning(
                "promotion not recorded",
                group=group,
                endpoint=endpoint,
                detail=str(error),
            )
            return False
        if written:
            return True
        log.info("members changed during a takeover", group=group)
        await self._registry.refresh()
        await self.load(known)
        return False

    async def is_current(self, group: str) -> bool:
        """Return whether the store still holds the promotion.

        It has not come back from a copy then, so that whoever reads the record
        later sees the fences set before. Otherwise what is known is rewritten.
        """
        if not self._store.era:
            return True
        try:
            found = await self._read(group)
            stored = self._find_stored(group)
            if (found.era, found.pending) == (stored.era, stored.pending):
                return True
            # The next driver must not miss the promotion.
            await self._record(self._directory.groups[group])
        except errors.PlatformUnavailable as error:
            log.warning("record not read", group=group, detail=str(error))
        return False

    async def _write_pending(
        self, group: groups.Group, wanted: member_store.StoredMembers
    ) -> bool:
        """Write a record with the same members; return whether it is there.

        :raises PlatformUnavailable: the store did not answer
        """
        written: member_store.StoredMembers | None
        try:
            written = await self._store.write(group.name, wanted)
        except errors.PlatformRefused:
            raise
        except errors.PlatformUnavailable:
            # The write may have been executed: read the record to find out.
            written = await self._store.read(group.name)
            if (written.members, written.pending) != (
                wanted.members,
                wanted.pending,
            ):
                written = None
        if written is None or written.era != wanted.era:
            return False
        self._stored[group.name] = written
        group.promotions.put(
            wanted.pending, time.monotonic(), wanted.replaced_term
        )
        return True

    async def record_end(self, group: str, is_refused: bool = False) -> None:
        """Take a promotion that is over off the record.

        If that fails, the next change of the record does it.

        :param is_refused: whether the request was refused or not sent
        """
        known = self._directory.groups[group]
        now = time.monotonic()
        pending = known.promotions.find(now)
        if pending is not None:
            if pending.repeated or not is_refused:
                return
            known.promotions.refuse(now)
        stored = self._find_stored(group)
        if stored.era != self._store.era:
            return
        wanted = member_store.StoredMembers(
            known.members.recorded,
            stored.revision,
            replaced_term=known.promotions.find_replaced_term(now),
            era=stored.era,
            settled_era=stored.settled_era,
        )
        try:
            await self._write_pending(known, wanted)
        except errors.PlatformUnavailable as error:
            log.info(
                "end of a promotion not recorded",
                group=group,
                detail=str(error),
            )
