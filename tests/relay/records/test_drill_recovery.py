"""What a copy must not bring back, and how soon a group goes on after it."""

import typing

import pytest

from fescuestile import clock
from fescuestile import endpoint_messages
from fescuestile import group_members
from fescuestile import promotion
from fescuestile_daemon.relay.records import leases
from fescuestile_platform import http
from fescuestile_platform import promotions
from tests import lease_stores
from tests import member_stores
from tests import monitored_groups
from tests import record_worlds

Role = endpoint_messages.Role
make_members = member_stores.make_members


@pytest.fixture
def world(monkeypatch):
    made = record_worlds.World(monkeypatch)
    made.put("p", "r1", "r2")
    return made


async def wait_settled(world, group, records, rest):
    """Return the seconds until the record may be used."""
    began_at = world.now
    while not await records.load(group):
        await world.run(records, 0.4)
        for name in rest:
            monitored_groups.add_report(
                group,
                name,
                6,
                role=Role.PRIMARY if name == "p" else Role.REPLICA,
            )
        assert world.now - began_at < 30.0
    return world.now - began_at


async def test_a_member_that_this_daemon_took_off_the_record_stays_released(
    world,
):
    """Guards against takeovers that wait for a member that is gone."""
    group, records = await world.start_loaded("p", "r1", "r2")
    record_worlds.report(group)
    group.remove_endpoint("r2")
    world.now += group_members.MISSING_SECONDS + 1.0
    group.members.release(world.now, world.now, True, False)
    assert group.members.absent == 0
    await world.run(records, 10.0)
    assert world.store.find("g").members == make_members("p", "r1")
    # A takeover or a write reads the record.
    assert await records.load(group)
    world.go_back("p", "r1", "r2")
    await records.update()
    assert group.members.absent == 0


async def test_a_silent_replica_does_not_stop_writes_after_a_drill(world):
    """A drill costs at most the outage and a second of writes.

    The store lists all daemons that may request promotions: one, which runs.
    """
    group, records = await world.start_loaded(
        "p", "r1", "r2", restored=member_stores.MemoryRestorations({}, "d1")
    )
    record_worlds.report(group)
    world.now += 5.0
    # r2 crashed before the drill; p and r1 serve all the while.
    world.go_back("p", "r1", "r2")
    await records.update()
    assert await wait_settled(world, group, records, ("p", "r1")) < 4.0


@pytest.mark.parametrize("names", [("p", "r1"), ("p", "r1", "r2")])
async def test_the_first_era_of_a_new_store_is_no_drill(world, names):
    """A failover in the first seconds after the first start."""
    world.store.records.clear()
    group, records = world.start_daemon(*names)
    began_at = world.now
    record_worlds.report(group)
    seconds = await wait_settled(world, group, records, names)
    assert seconds < group_members.SETTLE_SECONDS + 1.0, began_at


async def test_a_refused_promotion_does_not_come_back_with_the_copy(world):
    """Its driver knows that it has no effect."""
    group, records = await world.start_loaded("p", "r1", "r2")
    assert await records.record_request("g", "r1")
    kept = world.store.copy()
    await records.record_end("g", is_refused=True)
    assert group.pending_promotion == ""
    world.store.restore(kept)
    await records.update()
    assert group.pending_promotion == ""


class SentRequests:
    """Counts the calls to the promotion service."""

    count = 0

    async def call(self, *args):
        self.count += 1
        raise AssertionError("sent under a lease of a later era")


async def test_a_takeover_of_a_former_era_uses_no_later_lease():
    """Another task of the daemon has acquired the lease again."""
    manual = clock.ManualClock()
    store = lease_stores.MemoryStore()
    store.era = 3
    manager = leases.LeaseManager(store, "d1", manual)
    await manager.observe()
    manual.advance(leases.WAIT_SECONDS + 0.1)
    former = await manager.acquire()
    assert isinstance(former, promotion.Lease)
    store.restore(store.copy())
    await manager.observe()
    manual.advance(leases.WAIT_SECONDS + 0.1)
    assert await manager.acquire() is not None
    requests = SentRequests()
    promoter = promotions.PlatformPromoter(
        manager, typing.cast(http.HttpClient, requests), manual
    )
    assert not promoter.is_in_force(former)
    assert await promoter.promote("g", "r1", former) is False
    assert requests.count == 0


async def test_an_older_answer_does_not_restart_the_wait_for_a_lease():
    """An observation that may be stale follows one that is current."""
    manual = clock.ManualClock()
    store = lease_stores.MemoryStore()
    first = leases.LeaseManager(store, "d1", manual)
    await first.acquire()
    stale = store.stored
    manual.advance(1.5)
    await first.acquire()
    second = leases.LeaseManager(store, "d2", manual)
    assert await second.acquire() is None
    current = store.stored
    store.stored = stale
    manual.advance(1.0)
    await second.observe()
    store.stored = current
    manual.advance(leases.WAIT_SECONDS - 0.9)
    assert await second.acquire() is not None
