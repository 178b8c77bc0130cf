"""The lease under which one daemon at a time requests promotions.

It is one object of the platform's store, written on condition of its
revision. A daemon that acquires it from another raises the fencing token. A
holder sends nothing that could arrive after its lease has expired, by the
clock that counts suspensions.

The store may come back from an older copy, in the next era. It has forgotten
leases and tokens then, so a lease ends with its era, and an object that was
not written in the present one counts as held by an unknown daemon.
"""

import abc
import asyncio
import dataclasses
import math
import secrets

import structlog

from fescuestile import clock
from fescuestile import errors
from fescuestile import promotion

log = structlog.get_logger()

# A promotion and its preparation take about two seconds. A holder that dies
# delays the next one for this time.
LEASE_SECONDS = 3.5
# Others wait this much longer, since clocks run at slightly different rates.
CLOCK_DRIFT_SECONDS = 0.5
WAIT_SECONDS = LEASE_SECONDS + CLOCK_DRIFT_SECONDS
# A lease that expires sooner than this is renewed before use.
RENEW_BELOW_SECONDS = 2.5
# Bits of a token below the era: more revisions than a copy can lack, and few
# enough that a JSON reader which decodes numbers as floats keeps them all.
REVISION_BITS = 32
# Tokens fit into a signed 64-bit integer up to this era, with room for some
# that are counted on by ones.
MAX_ERA = (1 << (63 - REVISION_BITS)) - 2
TOKEN_LIMIT = (MAX_ERA + 1) << REVISION_BITS
# Pause before an object that could not be read is observed again.
RETRY_SECONDS = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """Content of the lease object.

    :ivar holder: name of the daemon, empty when the lease is free
    :ivar token: fencing token of the last holder
    :ivar claim: unique to each write, to recognise one whose answer was lost;
        begins with an id of the process
    :ivar era: era of the store in which it was written, 0 if unknown
    """

    holder: str = ""
    token: int = 0
    claim: str = ""
    era: int = 0


def make_unknown(revision: int) -> Record:
    """Return the record of an object that cannot be parsed.

    Somebody may hold the lease. Each token was written with a revision of its
    own, so none is above the object's.
    """
    return Record(holder="unknown", token=revision)


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRecord:
    """A record and its revision, on which a later write is conditional.

    :ivar revision: None when there is no object yet
    :ivar era: era of the store in which it was read, 0 for none
    """

    record: Record
    revision: int | None
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _Observation:
    """Another daemon's lease and the boot time when it was first seen."""

    stored: StoredRecord
    first_seen_at: float


class LeaseStore(abc.ABC):
    """Store of the lease object."""

    @abc.abstractmethod
    async def read(self, allow_stale: bool = False) -> StoredRecord:
        """Return the object; see ``make_unknown`` for one that is malformed.

        :param allow_stale: whether it may be seconds old
        :raises PlatformUnavailable: the store did not answer
        """

    @abc.abstractmethod
    async def write(
        self, record: Record, revision: int | None
    ) -> StoredRecord | None:
        """Write the object if its revision is still this one.

        :returns: None when the revision has changed
        :raises PlatformRefused: nothing was written
        :raises PlatformUnavailable: no answer; it may have been written
        """


class LeaseManager:
    """Acquires, renews and releases the lease for one daemon.

    Tasks of the daemon share it; the last one to release it frees it.
    """

    def __init__(
        self, store: LeaseStore, daemon: str, boot_clock: clock.Clock
    ) -> None:
        """Start without the lease.

        :param daemon: name of this daemon
        """
        self._store = store
        self._daemon = daemon
        self._process = secrets.token_hex(4)
        self._clock = boot_clock
        self._lock = asyncio.Lock()
        self._lease: promotion.Lease | None = None
        self._users = 0
        self._observation: _Observation | None = None
        self._era = 0
        # Changes of the era, also to the same one.
        self._changes = 0
        # Boot seconds until which the store may lack a lease of this era.
        self._forgotten_until = -math.inf
        # Highest token acquired here, and the one at the latest change.
        self._highest_token = 0
        self._ended_token = 0
        self._era_changed = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to observe the object at each change of the era."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Cancel the task."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        while True:
            self._era_changed.clear()
            try:
                await self.observe()
            except errors.PlatformUnavailable:
                await asyncio.sleep(RETRY_SECONDS)
                continue
            await self._era_changed.wait()

    async def observe(self) -> None:
        """See the object, so that the first takeover need not wait for it.

        An older answer serves: a revision that is there later has been there
        all the while.

        :raises PlatformUnavailable: the store did not answer
        """
        stored = await self._store.read(allow_stale=True)
        self.record_era(stored.era)
        if not self._is_outdated(stored):
            self._measure_observed(stored)

    def _is_outdated(self, stored: StoredRecord) -> bool:
        """Return whether a later revision has been observed."""
        known = self._observation
        return known is not None and (
            (stored.era, stored.revision or 0)
            < (known.stored.era, known.stored.revision or 0)
        )

    def record_era(self, era: int) -> None:
        """Record the era of an answer of the store.

        A lease of a former era ends.
        """
        if era > self._era:
            self.start_era(era)

    def start_era(self, era: int) -> None:
        """Record that the store has, or may have, gone back to a copy.

        The lease ends.

        :param era: era since then, which may be the one before
        """
        if era < self._era:
            return
        if era == self._era:
            self._forgotten_until = self._clock.now() + WAIT_SECONDS
        self._era = era
        self._changes += 1
        self._ended_token = self._highest_token
        self._era_changed.set()
        if self._lease is not None:
            log.warning(
                "lease ended with the store's era",
                token=self._lease.token,
                era=era,
            )
            self._lease = None

    def is_in_force(self, lease: promotion.Lease) -> bool:
        """Return whether the store has not gone back since the lease began.

        It may have expired nevertheless.
        """
        return lease.era == self._era and lease.token > self._ended_token

    @property
    def lease(self) -> promotion.Lease | None:
        """The lease as of its latest renewal, None without one."""
        return self._lease

    async def is_free(self) -> bool:
        """Return whether no daemon holds the lease, this one included.

        :raises PlatformUnavailable: the store did not answer
        """
        if self._is_held():
            return False
        stored = await self._store.read()
        self.record_era(stored.era)
        return (
            stored.era == self._era
            and not self._is_held()
            and self._may_acquire(stored)
        )

    def _is_held(self) -> bool:
        held = self._lease
        return held is not None and held.expires_at > self._clock.now()

    async def acquire(self) -> promotion.Lease | None:
        """Acquire or renew the lease.

        :returns: None when another daemon holds it or the store is
            unavailable
        """
        async with self._lock:
            try:
                lease = await self._acquire_or_renew()
            except errors.PlatformUnavailable as error:
                log.warning("lease not acquired", detail=str(error))
                return None
            if lease is not None:
                self._users += 1
            return lease

    async def _acquire_or_renew(self) -> promotion.Lease | None:
        held = self._lease
        now = self._clock.now()
        if held is not None and held.expires_at - now > RENEW_BELOW_SECONDS:
            return held
        stored = await self._store.read()
        self.record_era(stored.era)
        if stored.era < self._era or not self._may_acquire(stored):
            return None
        held = self._lease
        if (
            held is not None
            and self._is_own(stored.record)
            and (stored.record.era, stored.record.token)
            == (held.era, held.token)
        ):
            return await self._write(stored, held.token)
        token = max(_make_token(stored), self._highest_token + 1)
        return await self._write(stored, token)

    def _is_own(self, record: Record) -> bool:
        return record.claim.startswith(self._process)

    def _may_acquire(self, stored: StoredRecord) -> bool:
        """Return whether the lease is free, held here or expired.

        In an object that was not written in the present era, a later holder
        may have been forgotten or overwritten.
        """
        record = stored.record
        if (
            record.era == stored.era
            and self._clock.now() >= self._forgotten_until
            and (
                stored.revision is None
                or not record.holder
                or self._is_own(record)
            )
        ):
            return True
        return self._measure_observed(stored) > WAIT_SECONDS

    def _measure_observed(self, stored: StoredRecord) -> float:
        """Return for how many seconds this object has been there at least."""
        now = self._clock.now()
        if self._observation is None or self._observation.stored != stored:
            self._observation = _Observation(stored, now)
        return now - self._observation.first_seen_at

    def _make_claim(self) -> str:
        return f"{self._process}-{secrets.token_hex(4)}"

    async def _write(
        self, stored: StoredRecord, token: int
    ) -> promotion.Lease | None:
        sent_at = self._clock.now()
        changes = self._changes
        record = Record(self._daemon, token, self._make_claim(), stored.era)
        written: StoredRecord | None
        try:
            written = await self._store.write(record, stored.revision)
        except errors.PlatformRefused:
            raise
        except errors.PlatformUnavailable:
            # The write may have been executed: read the object to find out.
            written = await self._store.read()
            if written.record.claim != record.claim:
                written = None
        if written is None:
            return None
        if changes != self._changes or written.era != stored.era:
            # Its condition was a revision of a former era.
            return None
        self._lease = promotion.Lease(
            self._daemon, token, sent_at + LEASE_SECONDS, self._era
        )
        self._highest_token = max(self._highest_token, token)
        log.info("lease acquired", token=token, revision=written.revision)
        return self._lease

    async def release(self) -> None:
        """Release the lease once no other task of this daemon uses it."""
        async with self._lock:
            self._users -= 1
            if self._users or self._lease is None:
                return
            held, self._lease = self._lease, None
            if held.expires_at < self._clock.now():
                return
            try:
                stored = await self._store.read()
                self.record_era(stored.era)
                if stored.era == held.era and self._is_own(stored.record):
                    free = Record("", held.token, self._make_claim(), held.era)
                    await self._store.write(free, stored.revision)
            except errors.PlatformUnavailable as error:
                # The lease expires by itself.
                log.warning("lease not released", detail=str(error))


def _make_token(stored: StoredRecord) -> int:
    """Return a token above all that were sent before.

    The store may have forgotten some: those of former eras are below the era,
    those of this one below a later revision.
    """
    token = stored.record.token + 1
    if not stored.era:
        return token
    revision = min(stored.revision or 0, (1 << REVISION_BITS) - 1)
    return max(token, (stored.era << REVISION_BITS) + revision)
