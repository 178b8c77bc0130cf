"""Tests that the lease has one holder at a time."""

import asyncio
import random

import pytest

from fescuestile import clock
from fescuestile import errors
from fescuestile_daemon.relay import leases


class MemoryStore(leases.LeaseStore):
    """In-memory store that can lose answers and execute writes late.

    :ivar late: writes that are executed later
    :ivar fault: "refuses", "lost", "late" or empty for none
    """

    def __init__(self):
        self.stored = leases.StoredRecord(leases.Record(), None)
        self.late: list[tuple[leases.Record, int | None]] = []
        self.fault = ""

    async def read(self):
        await asyncio.sleep(0)
        if self.fault == "refuses":
            raise errors.PlatformRefused("503", step="read")
        return self.stored

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
        self.stored = leases.StoredRecord(record, (revision or 0) + 1)
        return self.stored

    def execute_late(self):
        for record, revision in self.late:
            self._execute(record, revision)
        self.late.clear()


def make_managers(store, manual, count=3):
    return [
        leases.LeaseManager(store, f"daemon-{number}", manual)
        for number in range(count)
    ]


async def test_the_token_grows_with_each_holder():
    store, manual = MemoryStore(), clock.ManualClock()
    tokens = []
    for manager in make_managers(store, manual):
        lease = await manager.acquire()
        assert lease is not None
        tokens.append(lease.token)
        await manager.release()
    assert tokens == [1, 2, 3]


async def test_a_write_whose_answer_is_lost_is_read_back():
    store, manual = MemoryStore(), clock.ManualClock()
    store.fault = "lost"
    first, second, _ = make_managers(store, manual)
    assert await first.acquire() is not None
    assert await second.acquire() is None


async def test_a_late_write_gives_no_daemon_the_lease():
    store, manual = MemoryStore(), clock.ManualClock()
    store.fault = "late"
    first, second, _ = make_managers(store, manual)
    assert await first.acquire() is None
    store.fault = ""
    store.execute_late()
    assert await second.acquire() is None
    manual.advance(leases.LEASE_SECONDS + leases.CLOCK_DRIFT_SECONDS + 0.1)
    lease = await second.acquire()
    assert lease is not None
    assert lease.token == 2


@pytest.mark.parametrize("seed", range(20))
async def test_the_lease_never_has_two_holders(seed):
    """Managers pause; the store refuses, loses answers, executes late."""
    source = random.Random(seed)
    store, manual = MemoryStore(), clock.ManualClock()
    managers = make_managers(store, manual)
    holders: dict[int, str] = {}
    highest = 0
    for _ in range(400):
        manual.advance(source.uniform(0.0, 1.5))
        store.fault = source.choice(("", "", "", "lost", "late", "refuses"))
        if source.random() < 0.3:
            store.execute_late()
        manager = source.choice(managers)
        if manager.lease is not None and source.random() < 0.4:
            await manager.release()
            continue
        lease = await manager.acquire()
        if lease is None or lease.expires_at <= manual.now():
            continue
        assert holders.setdefault(lease.token, lease.holder) == lease.holder
        assert lease.token >= highest
        highest = lease.token
        others = [
            each.lease
            for each in managers
            if each is not manager and each.lease is not None
        ]
        assert all(each.expires_at <= manual.now() for each in others)
