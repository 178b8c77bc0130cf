"""Tests that the lease has one holder at a time."""

import random

import pytest

from fescuestile import clock
from fescuestile_daemon.relay.records import leases
from tests import lease_stores


def make_managers(store, manual, count=3):
    return [
        leases.LeaseManager(store, f"daemon-{number}", manual)
        for number in range(count)
    ]


async def test_the_token_grows_with_each_holder():
    store, manual = lease_stores.MemoryStore(), clock.ManualClock()
    tokens = []
    for manager in make_managers(store, manual):
        lease = await manager.acquire()
        assert lease is not None
        tokens.append(lease.token)
        await manager.release()
    assert tokens == [1, 2, 3]


async def test_a_write_whose_answer_is_lost_is_read_back():
    store, manual = lease_stores.MemoryStore(), clock.ManualClock()
    store.fault = "lost"
    first, second, _ = make_managers(store, manual)
    assert await first.acquire() is not None
    assert await second.acquire() is None


async def test_a_late_write_gives_no_daemon_the_lease():
    store, manual = lease_stores.MemoryStore(), clock.ManualClock()
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
    store, manual = lease_stores.MemoryStore(), clock.ManualClock()
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
