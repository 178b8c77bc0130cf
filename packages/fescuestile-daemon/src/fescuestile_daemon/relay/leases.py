"""The lease under which one daemon at a time orders promotions.

It is one object of the platform's store, written on condition. Whoever takes
it from another raises the fencing token. A holder sends nothing that could
arrive after its lease, by the clock that counts suspensions.
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

# The lease lasts this long, in seconds: a promotion and its preparation
# take about two. A daemon that dies with it holds the next up this long.
LEASE_SECONDS = 3.5
# Others wait this much longer, in seconds, for clocks that run unevenly.
LEASE_MARGIN_SECONDS = 0.5
# A lease with less left than this is renewed before use, in seconds.
RENEW_BELOW_SECONDS = 2.5


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """Content of the lease object.

    :ivar holder: daemon, empty when it is free
    :ivar token: fencing token of the last holder
    :ivar claim: unique to each write, to recognise one whose answer was lost
    """

    holder: str = ""
    token: int = 0
    claim: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Stored:
    """A record and the revision that a later write names.

    :ivar revision: None when there is no object yet
    """

    record: Record
    revision: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class _Sighting:
    """Another daemon's lease and when it was first seen, in boot time."""

    revision: int
    seen_at: float


class LeaseStore(abc.ABC):
    """Where the lease object is."""

    @abc.abstractmethod
    async def read(self) -> Stored:
        """Return the object; one that can't be read counts as free.

        :raises PlatformUnavailable: no answer
        """

    @abc.abstractmethod
    async def write(
        self, record: Record, revision: int | None
    ) -> Stored | None:
        """Write it if its revision is still this one; None otherwise.

        :raises PlatformRefused: nothing was written
        :raises PlatformUnavailable: no answer; it may have been written
        """


class LeaseKeeper:
    """Takes, renews and gives back the lease for one daemon."""

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
        self._sighting: _Sighting | None = None

    @property
    def lease(self) -> promotion.Lease | None:
        """The lease as renewed last, None without one."""
        return self._lease

    async def acquire(self) -> promotion.Lease | None:
        """Take or renew the lease; None when another daemon has it."""
        async with self._lock:
            try:
                lease = await self._claim()
            except errors.PlatformUnavailable as error:
                log.warning("lease not taken", detail=str(error))
                return None
            if lease is not None:
                self._users += 1
            return lease

    async def _claim(self) -> promotion.Lease | None:
        held = self._lease
        now = self._clock.now()
        if held is not None and held.expires_at - now > RENEW_BELOW_SECONDS:
            return held
        found = await self._store.read()
        if not self._may_take(found):
            return None
        is_own = held is not None and self._is_own(found.record)
        token = found.record.token + (0 if is_own else 1)
        return await self._write(found, token)

    def _is_own(self, record: Record) -> bool:
        return record.claim.startswith(self._process)

    def _may_take(self, found: Stored) -> bool:
        """Tell whether the lease is free, ours, or has lapsed."""
        if found.revision is None or not found.record.holder:
            return True
        if self._is_own(found.record):
            return True
        now = self._clock.now()
        sighting = self._sighting
        if sighting is None or sighting.revision != found.revision:
            self._sighting = _Sighting(found.revision, now)
            return False
        lasted = now - sighting.seen_at
        return lasted > LEASE_SECONDS + LEASE_MARGIN_SECONDS

    def _make_claim(self) -> str:
        return f"{self._process}-{secrets.token_hex(4)}"

    async def _write(
        self, found: Stored, token: int
    ) -> promotion.Lease | None:
        sent_at = self._clock.now()
        record = Record(self._daemon, token, self._make_claim())
        written: Stored | None
        try:
            written = await self._store.write(record, found.revision)
        except errors.PlatformRefused:
            raise
        except errors.PlatformUnavailable:
            # The write may have been executed: look before relying on it.
            written = await self._store.read()
            if written.record.claim != record.claim:
                written = None
        if written is None:
            return None
        self._lease = promotion.Lease(
            self._daemon, token, sent_at + LEASE_SECONDS
        )
        log.info("lease taken", token=token, revision=written.revision)
        return self._lease

    async def release(self) -> None:
        """Give the lease back once nothing else here needs it."""
        async with self._lock:
            self._users -= 1
            if self._users or self._lease is None:
                return
            held, self._lease = self._lease, None
            if held.expires_at < self._clock.now():
                return
            try:
                found = await self._store.read()
                if self._is_own(found.record):
                    free = Record("", held.token, self._make_claim())
                    await self._store.write(free, found.revision)
            except errors.PlatformUnavailable as error:
                # It lapses by itself.
                log.warning("lease not given back", detail=str(error))
