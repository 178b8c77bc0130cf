"""One holder at a time, whatever the store does."""

import asyncio
import random

import pytest

from fescuestile import clock
from fescuestile import errors
from fescuestile_daemon.relay import leases


class MemoryStore(leases.LeaseStore):
    """Keeps the object; loses answers and executes writes late as told."""

    def __init__(self):
        self.stored = leases.Stored(leases.Record(), None)
        self.late: list[tuple[leases.Record, int | None]] = []
        self.trouble = ""

    async def read(self):
        await asyncio.sleep(0)
        if self.trouble == "refuses":
            raise errors.PlatformRefused("503", step="read")
        return self.stored

    async def write(self, record, revision):
        await asyncio.sleep(0)
        if self.trouble == "refuses":
            raise errors.PlatformRefused("503", step="write")
        if self.trouble == "late":
            self.late.append((record, revision))
            raise errors.PlatformUnavailable("no answer", step="write")
        done = self._execute(record, revision)
        if self.trouble == "lost":
            raise errors.PlatformUnavailable("no answer", step="write")
        return done

    def _execute(self, record, revision):
        if revision != self.stored.revision:
            return None
        self.stored = leases.Stored(record, (revision or 0) + 1)
        return self.stored

    def execute_late(self):
        for record, revision in self.late:
            self._execute(record, revision)
        self.late.clear()


def make_keepers(store, manual, count=3):
    return [
        leases.LeaseKeeper(store, f"daemon-{number}", manual)
        for number in range(count)
    ]


async def test_the_token_grows_with_each_holder():
    store, manual = MemoryStore(), clock.ManualClock()
    tokens = []
    for keeper in make_keepers(store, manual):
        lease = await keeper.acquire()
        assert lease is not None
        tokens.append(lease.token)
        await keeper.release()
    assert tokens == [1, 2, 3]


async def test_a_lost_answer_is_read_back():
    store, manual = MemoryStore(), clock.ManualClock()
    store.trouble = "lost"
    first, second, _ = make_keepers(store, manual)
    assert await first.acquire() is not None
    assert await second.acquire() is None


async def test_a_write_executed_late_gives_nobody_the_lease():
    store, manual = MemoryStore(), clock.ManualClock()
    store.trouble = "late"
    first, second, _ = make_keepers(store, manual)
    assert await first.acquire() is None
    store.trouble = ""
    store.execute_late()
    assert await second.acquire() is None
    manual.advance(leases.LEASE_SECONDS + leases.CLOCK_DRIFT_SECONDS + 0.1)
    lease = await second.acquire()
    assert lease is not None
    assert lease.token == 2


@pytest.mark.parametrize("seed", range(20))
async def test_two_never_hold_it_at_a_time(seed):
    """Daemons that stall, a store that refuses, loses and executes late."""
    source = random.Random(seed)
    store, manual = MemoryStore(), clock.ManualClock()
    keepers = make_keepers(store, manual)
    holders: dict[int, str] = {}
    highest = 0
    for _ in range(400):
        manual.advance(source.uniform(0.0, 1.5))
        store.trouble = source.choice(("", "", "", "lost", "late", "refuses"))
        if source.random() < 0.3:
            store.execute_late()
        keeper = source.choice(keepers)
        if keeper.lease is not None and source.random() < 0.4:
            await keeper.release()
            continue
        lease = await keeper.acquire()
        if lease is None or lease.expires_at <= manual.now():
            continue
        assert holders.setdefault(lease.token, lease.holder) == lease.holder
        assert lease.token >= highest
        highest = lease.token
        others = [
            each.lease
            for each in keepers
            if each is not keeper and each.lease is not None
        ]
        assert all(each.expires_at <= manual.now() for each in others)
