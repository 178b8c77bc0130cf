"""Tests of the lease in a store that may have gone back within an era."""

import pytest

from fescuestile import clock
from fescuestile_daemon.relay.records import leases
from fescuestile_platform import http
from fescuestile_platform import promotions
from fescuestile_platform import store
from tests import lease_stores


class World:
    """Daemons of one store, whose era stays the same."""

    def __init__(self):
        self.clock = clock.ManualClock()
        self.store = lease_stores.MemoryStore()
        self.store.era = 3
        self.managers: list[leases.LeaseManager] = []

    async def start_daemon(self, name):
        """Return the lease manager of a daemon that has seen the object."""
        manager = leases.LeaseManager(self.store, name, self.clock)
        await manager.observe()
        self.managers.append(manager)
        self.clock.advance(leases.WAIT_SECONDS + 0.1)
        return manager

    def restore(self, kept, hearers=()):
        """Come back from a copy; these daemons hear that it may be one."""
        self.store.restore(kept)
        self.store.era = 3
        for manager in hearers or self.managers:
            manager.start_era(3)


@pytest.fixture
def world():
    return World()


class HeaderClient(http.HttpClient):
    """Answers that there are no objects, with prepared headers.

    :ivar texts: era headers that are not sent yet
    """

    def __init__(self, texts):
        super().__init__("127.0.0.1:1")
        self.texts = list(texts)

    async def call(self, method, path, seconds, body=None, headers=None):
        if method == "POST":
            stored = {**body, "meta": {"name": "x", "revision": 2}}
            return http.Response(201, stored, {"store-era": "3"})
        answer_headers = {"store-era": self.texts.pop(0)}
        if path.endswith("?stale_ok=1"):
            return http.Response(
                200, {"items": [], "as_of": 1}, answer_headers
            )
        return http.Response(404, {}, answer_headers)


async def test_a_change_hidden_by_an_unreadable_header_ends_the_lease():
    """Guards against ONE: the store may have forgotten who holds it."""
    manual = clock.ManualClock()
    store_client = store.StoreClient(HeaderClient(["3", "3", "blue", "3"]))
    manager = leases.LeaseManager(
        promotions.PlatformLeaseStore(store_client), "d1", manual
    )
    store_client.add_era_listener(lambda _, era: manager.start_era(era))
    await manager.observe()
    manual.advance(leases.WAIT_SECONDS + 0.1)
    lease = await manager.acquire()
    assert lease is not None
    assert manager.is_in_force(lease)
    await store_client.read("members", "g")
    assert manager.lease is None
    assert not manager.is_in_force(lease)
    await store_client.read("members", "g")
    assert manager.lease is None


async def test_nobody_acquires_it_before_unaware_holders_have_stopped(world):
    """Guards against ONE: the copy says that the lease is free."""
    holder = await world.start_daemon("d1")
    candidate = await world.start_daemon("d2")
    await holder.acquire()
    await holder.release()
    kept = world.store.copy()
    lease = await holder.acquire()
    world.restore(kept, [candidate])
    while world.clock.now() < lease.expires_at:
        assert await candidate.acquire() is None
        world.clock.advance(0.5)
    world.clock.advance(leases.CLOCK_DRIFT_SECONDS + 0.1)
    assert await candidate.acquire() is not None


async def test_the_lease_after_the_change_is_in_force(world):
    """Its token is above the former one, which the copy lacks."""
    manager = await world.start_daemon("d1")
    kept = world.store.copy()
    former = await manager.acquire()
    world.restore(kept)
    await manager.observe()
    world.clock.advance(leases.WAIT_SECONDS + 0.1)
    later = await manager.acquire()
    assert later.token > former.token
    assert manager.is_in_force(later)
    assert not manager.is_in_force(former)
    await manager.release()
    assert await manager.acquire() is not None


async def test_a_write_that_crosses_the_change_gives_no_lease(
    world, monkeypatch
):
    """Guards against ONE: it rests on a revision from before."""
    manager = await world.start_daemon("d1")
    write = world.store.write

    async def write_later(record, revision):
        written = await write(record, revision)
        world.restore(world.store.copy())
        return written

    monkeypatch.setattr(world.store, "write", write_later)
    assert await manager.acquire() is None
    assert manager.lease is None


async def test_a_change_to_an_earlier_era_is_not_recorded(world):
    manager = await world.start_daemon("d1")
    lease = await manager.acquire()
    manager.start_era(2)
    assert manager.is_in_force(lease)


async def test_an_answer_of_the_same_era_does_not_end_the_lease(world):
    manager = await world.start_daemon("d1")
    lease = await manager.acquire()
    manager.record_era(3)
    assert manager.lease is lease
