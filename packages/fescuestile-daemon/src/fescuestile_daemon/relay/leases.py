"""The lease under which one daemon at a time requests promotions.

It is one object of the platform's store, written on condition of its
revision. A daemon that acquires it from another raises the fencing token. A
holder sends nothing that could arrive after its lease has expired, by the
clock that counts suspensions.
"""

import abc
import asyncio
import dataclasses
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
# A lease that expires sooner than this is renewed before use.
RENEW_BELOW_SECONDS = 2.5


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """Content of the lease object.

    :ivar holder: name of the daemon, empty when the lease is free
    :ivar token: fencing token of the last holder
    :ivar claim: unique to each write, to recognise one whose answer was lost;
        begins with an id of the process
    """

    holder: str = ""
    token: int = 0
    claim: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRecord:
    """A record and its revision, on which a later write is conditional.

    :ivar revision: None when there is no object yet
    """

    record: Record
    revision: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class _Observation:
    """Another daemon's lease and the boot time when it was first seen."""

    revision: int
    first_seen_at: float


class LeaseStore(abc.ABC):
    """Store of the lease object."""

    @abc.abstractmethod
    async def read(self) -> StoredRecord:
        """Return the object; one that cannot be parsed counts as free.

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

    @property
    def lease(self) -> promotion.Lease | None:
        """The lease as of its latest renewal, None without one."""
        return self._lease

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
        if not self._may_acquire(stored):
            return None
        is_own = held is not None and self._is_own(stored.record)
        token = stored.record.token + (0 if is_own else 1)
        return await self._write(stored, token)

    def _is_own(self, record: Record) -> bool:
        return record.claim.startswith(self._process)

    def _may_acquire(self, stored: StoredRecord) -> bool:
        """Return whether the lease is free, held here or expired."""
        if stored.revision is None or not stored.record.holder:
            return True
        if self._is_own(stored.record):
            return True
        now = self._clock.now()
        observation = self._observation
        if observation is None or observation.revision != stored.revision:
            self._observation = _Observation(stored.revision, now)
            return False
        observed_for = now - observation.first_seen_at
        return observed_for > LEASE_SECONDS + CLOCK_DRIFT_SECONDS

    def _make_claim(self) -> str:
        return f"{self._process}-{secrets.token_hex(4)}"

    async def _write(
        self, stored: StoredRecord, token: int
    ) -> promotion.Lease | None:
        sent_at = self._clock.now()
        record = Record(self._daemon, token, self._make_claim())
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
        self._lease = promotion.Lease(
            self._daemon, token, sent_at + LEASE_SECONDS
        )
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
                if self._is_own(stored.record):
                    free = Record("", held.token, self._make_claim())
                    await self._store.write(free, stored.revision)
            except errors.PlatformUnavailable as error:
                # The lease expires by itself.
                log.warning("lease not released", detail=str(error))
