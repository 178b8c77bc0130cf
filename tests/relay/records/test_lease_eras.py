"""Tests of the lease in a store that comes back from an older copy."""

import asyncio
import dataclasses
import random

import pytest

from fescuestile import clock
from fescuestile_daemon.relay.records import leases
from tests import lease_stores

WAIT_SECONDS = leases.LEASE_SECONDS + leases.CLOCK_DRIFT_SECONDS


class World:
    """Daemons of one store, which is in its third era."""

    def __init__(self):
        self.clock = clock.ManualClock()
        self.store = lease_stores.MemoryStore()
        self.store.era = 3

    def start_daemon(self, name):
        """Return the lease manager of a daemon that has just started."""
        return leases.LeaseManager(self.store, name, self.clock)

    async def start_settled(self, name):
        """Return one that has seen the object for a whole lease time."""
        manager = self.start_daemon(name)
        await manager.observe()
        self.clock.advance(WAIT_SECONDS + 0.1)
        return manager


@pytest.fixture
def world():
    return World()


async def test_a_lease_of_a_former_era_ends_at_once(world):
    """Guards against ONE: the store has forgotten who holds it."""
    manager = await world.start_settled("d1")
    lease = await manager.acquire()
    assert manager.is_in_force(lease)
    manager.record_era(4)
    assert manager.lease is None
    assert not manager.is_in_force(lease)


async def test_nobody_acquires_it_before_unaware_holders_have_stopped(world):
    """Guards against ONE: the copy says that the lease is free."""
    holder = await world.start_settled("d1")
    candidate = await world.start_settled("d2")
    kept = world.store.copy()
    lease = await holder.acquire()
    world.store.restore(kept)
    await candidate.observe()
    while holder.is_in_force(lease) and world.clock.now() < lease.expires_at:
        assert await candidate.acquire() is None
        world.clock.advance(0.5)
    world.clock.advance(leases.CLOCK_DRIFT_SECONDS + 0.1)
    later = await candidate.acquire()
    assert later is not None
    assert later.token > lease.token


async def test_a_daemon_that_has_just_started_waits_as_well(world):
    """Guards against ONE: it can't know when the era has begun."""
    holder = await world.start_settled("d1")
    kept = world.store.copy()
    await holder.acquire()
    world.store.restore(kept)
    started = world.start_daemon("d2")
    assert await started.acquire() is None
    world.clock.advance(WAIT_SECONDS + 0.1)
    assert await started.acquire() is not None


async def test_a_lease_object_of_the_present_era_spares_the_wait(world):
    holder = await world.start_settled("d1")
    lease = await holder.acquire()
    await holder.release()
    later = await world.start_daemon("d2").acquire()
    assert later is not None
    assert later.token > lease.token


async def test_an_expired_holder_of_the_copy_delays_nobody_twice(world):
    holder = await world.start_settled("d1")
    await holder.acquire()
    kept = world.store.copy()
    await holder.release()
    world.store.restore(kept)
    candidate = await world.start_settled("d2")
    assert await candidate.acquire() is not None


async def test_a_write_that_crosses_the_change_gives_no_lease(
    world, monkeypatch
):
    """Guards against ONE: it rests on a revision of the former era."""
    manager = await world.start_settled("d1")
    write = world.store.write

    async def write_later(record, revision):
        world.store.restore(world.store.copy())
        return await write(record, revision)

    monkeypatch.setattr(world.store, "write", write_later)
    assert await manager.acquire() is None
    assert manager.lease is None


@pytest.mark.parametrize("era", [0, 3])
async def test_a_malformed_object_does_not_restart_the_tokens(world, era):
    """Its token is its revision, as the adapter decodes it."""
    world.store.era = era
    holder = await world.start_settled("d1")
    tokens = []
    for _ in range(3):
        tokens.append((await holder.acquire()).token)
        await holder.release()
    revision = world.store.stored.revision + 1
    world.store.stored = leases.StoredRecord(
        leases.make_unknown(revision), revision
    )
    later = world.start_daemon("d2")
    assert await later.acquire() is None
    world.clock.advance(WAIT_SECONDS + 0.1)
    assert (await later.acquire()).token > max(tokens)


async def test_tokens_go_on_from_those_without_an_era(world):
    """A first deployment finds what was counted by ones."""
    world.store.stored = leases.StoredRecord(leases.Record("", 57, "x"), 900)
    world.store._revision = 900
    manager = await world.start_settled("d1")
    assert (await manager.acquire()).token > 57


def note_token(lease, holders, highest):
    """Check a token before it is sent; return the highest one."""
    assert holders.setdefault(lease.token, lease.holder) == lease.holder
    assert lease.token >= highest
    return lease.token


@pytest.mark.parametrize("seed", range(40))
async def test_the_lease_never_has_two_holders(world, seed):
    """The store goes back, also twice; some daemons hear of it late."""
    source = random.Random(seed)
    store = world.store
    managers = [world.start_daemon(f"d{number}") for number in range(4)]
    holders: dict[int, str] = {}
    highest = granted = 0
    kept = store.copy()
    for step in range(600):
        world.clock.advance(source.uniform(0.0, 1.5))
        store.fault = source.choice(("", "", "", "lost", "late", "refuses"))
        if source.random() < 0.1:
            kept = store.copy()
        if source.random() < 0.3:
            store.execute_late()
        if source.random() < 0.03:
            for _ in range(source.choice((1, 1, 2))):
                store.restore(kept)
            for each in managers:
                if source.random() < 0.5:
                    each.record_era(store.era)
        if source.random() < 0.02:
            managers[source.randrange(4)] = world.start_daemon(f"n{step}")
        manager = source.choice(managers)
        if manager.lease is not None and source.random() < 0.4:
            await manager.release()
            continue
        lease = await manager.acquire()
        if lease is None or lease.expires_at <= world.clock.now():
            continue
        granted += 1
        highest = note_token(lease, holders, highest)
        others = [
            each.lease
            for each in managers
            if each is not manager and each.lease is not None
        ]
        assert all(each.expires_at <= world.clock.now() for each in others)
    assert granted > 5


async def test_a_late_write_of_a_former_era_hides_no_holder(world):
    """Guards against ONE: its condition holds for another's object."""
    late, holder = world.start_daemon("d1"), world.start_daemon("d2")
    await late.observe()
    kept = world.store.copy()
    world.clock.advance(WAIT_SECONDS + 0.1)
    assert await late.acquire() is not None
    world.clock.advance(leases.LEASE_SECONDS)
    world.store.fault = "late"
    assert await late.acquire() is None
    world.store.fault = ""
    world.store.restore(kept)
    await holder.observe()
    candidate = await world.start_settled("d3")
    lease = await holder.acquire()
    assert lease is not None
    world.store.execute_late()
    assert world.store.stored.record.holder == "d1"
    assert await candidate.acquire() is None
    world.clock.advance(WAIT_SECONDS + 0.1)
    assert (await candidate.acquire()).token > lease.token


async def test_it_is_observed_at_each_change_of_the_era(world):
    """The first takeover after the change waits no longer than needed."""
    manager = world.start_daemon("d1")
    await manager.start()
    for _ in range(2):
        await asyncio.sleep(0.01)
        world.clock.advance(WAIT_SECONDS + 0.1)
        kept = world.store.copy()
        assert await manager.acquire() is not None
        await manager.release()
        world.store.restore(kept)
        manager.record_era(world.store.era)
    await manager.close()


async def test_an_answer_of_an_earlier_era_gives_no_lease(world):
    manager = await world.start_settled("d1")
    manager.record_era(4)
    world.clock.advance(WAIT_SECONDS + 0.1)
    assert await manager.acquire() is None


def test_a_record_names_the_era_that_it_was_written_in():
    record = leases.Record("d1", 7, "x", era=3)
    assert dataclasses.asdict(record)["era"] == 3
