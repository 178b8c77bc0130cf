"""Which endpoints count as members, and what is recorded of them."""

import itertools
import time

import pytest

from fescuestile import clock
from fescuestile import errors
from fescuestile import group_members
from fescuestile_daemon.relay.core import options
from fescuestile_daemon.relay.groups import directory
from tests import member_stores
from tests import monitored_groups

make_members = member_stores.make_members
LONG = group_members.MISSING_SECONDS + 1.0


def make_known(*names):
    """Return members that have been in use since second 0."""
    known = group_members.GroupMembers()
    for member in make_members(*names):
        known.add(member, 0.0)
    return known


def release(known, now, replicated_at=0.0, has_primary=True, left=False):
    known.release(now, replicated_at, has_primary, left)
    return known.absent


def test_a_recorded_member_counts_that_this_daemon_never_saw():
    """Guards against promotions by daemons that have just started."""
    known = make_known("p", "r1")
    assert not known.is_loaded
    known.apply_record(make_members("p", "r1", "r2"), 1.0)
    assert known.is_loaded
    assert (known.count(), known.absent, known.ended) == (3, 1, 0)


def test_an_endpoint_that_started_again_is_another_member():
    """Guards against an empty endpoint that counts as the former one."""
    known = make_known("p", "r1@5")
    known.remove("r1", 1.0, has_left=False)
    known.add(group_members.Member("r1", 6), 1.0)
    assert (known.count(), known.absent, known.ended) == (3, 1, 1)
    assert release(known, 2.0, replicated_at=0.5) == 1
    assert release(known, 2.0, replicated_at=1.5) == 0


def test_a_missing_member_counts_until_others_hold_its_log():
    """Guards against a lagging replica that seems to be all after a while."""
    known = make_known("p", "r1", "r2")
    known.remove("r2", 1.0, has_left=False)
    assert release(known, LONG * 9) == 1
    assert release(known, 2.0, replicated_at=1.5) == 1
    assert release(known, 1.0 + LONG, replicated_at=1.5) == 0


def test_without_a_primary_a_missing_member_counts_for_a_while():
    known = make_known("r1")
    known.apply_record(make_members("p", "r1"), 1.0)
    assert release(known, 2.0, has_primary=False) == 1
    assert release(known, 1.0 + LONG, has_primary=False) == 0


def test_a_released_member_stays_released_until_it_is_back():
    known = make_known("p", "r1", "r2")
    recorded = make_members("p", "r1", "r2")
    known.apply_record(recorded, 0.0)
    known.remove("r2", 1.0, has_left=True)
    assert release(known, 2.0, replicated_at=1.5) == 0
    known.apply_record(recorded, 3.0)
    assert known.absent == 0
    assert known.make_record() == make_members("p", "r1")
    known.add(group_members.Member("r2", 0), 4.0)
    assert known.make_record() == recorded


def test_a_member_that_another_daemon_released_does_not_count():
    known = make_known("p", "r1", "r2")
    known.apply_record(make_members("p", "r1", "r2"), 0.0)
    known.remove("r2", 1.0, has_left=False)
    known.apply_record(make_members("p", "r1"), 2.0)
    assert known.absent == 0


class World:
    """Daemons with a group each, and a store for their records."""

    def __init__(self, monkeypatch):
        self.store = member_stores.MemoryStore()
        self.now = 100.0
        monkeypatch.setattr(time, "monotonic", lambda: self.now)

    def make_daemon(self, *names):
        """Return a group in use and its records."""
        routes = directory.Directory(
            monitored_groups.NoDialer(),
            options.RelayOptions(),
            clock.BootClock(),
        )
        routes.put_endpoints(
            {name: monitored_groups.make_entry(name) for name in names}, True
        )
        records = monitored_groups.make_records(
            routes, monitored_groups.CurrentRegistry(), self.store
        )
        return routes.groups["g"], records

    async def run(self, records, seconds):
        for _ in range(int(seconds)):
            self.now += 1.0
            await records.update()


@pytest.fixture
def world(monkeypatch):
    return World(monkeypatch)


async def test_members_are_recorded_once_and_read_by_later_daemons(world):
    daemons = [world.make_daemon("p", "r1", "r2") for _ in range(3)]
    for _ in range(20):
        for _, records in daemons:
            await records.update()
        world.now += 1.0
    assert world.store.find("g").members == make_members("p", "r1", "r2")
    assert world.store.calls.count("write") == 1
    before = len(world.store.calls)
    for _, records in daemons:
        await world.run(records, 60)
    assert len(world.store.calls) == before
    group, records = world.make_daemon("p", "r1")
    await records.update()
    assert group.members.count() == 3


async def test_a_missing_record_is_written_before_a_takeover(world):
    """Guards against a decision that daemons that start later don't know."""
    group, records = world.make_daemon("p", "r1", "r2")
    assert not await records.load(group)
    world.now += group_members.SETTLE_SECONDS + 0.1
    assert await records.load(group)
    assert world.store.find("g").members == make_members("p", "r1", "r2")


async def test_nothing_is_decided_on_a_malformed_record(world):
    """It is replaced by what is known once that must be complete."""
    world.store.put("g", None)
    group, records = world.make_daemon("p", "r1")
    assert not await records.load(group)
    await world.run(records, 10)
    assert not group.members.is_loaded
    assert not await records.load(group)
    await world.run(records, 20)
    assert world.store.find("g").members == make_members("p", "r1")
    assert await records.load(group)


@pytest.mark.parametrize("fault", ["refuses", "lost", "late"])
async def test_a_record_is_written_after_a_failed_write(world, fault):
    group, records = world.make_daemon("p", "r1")
    await world.run(records, 4)
    world.store.fault = fault
    for _ in range(20):
        world.now += 1.0
        try:
            await records.update()
        except errors.PlatformUnavailable:
            continue
    assert not await records.load(group) or fault == "lost"
    world.store.fault = ""
    await world.run(records, 20)
    assert world.store.find("g").members == make_members("p", "r1")
    group.put_endpoint(monitored_groups.make_entry("r2"), 4)
    await world.run(records, 20)
    world.store.execute_late()
    assert world.store.find("g").members == make_members("p", "r1", "r2")


async def test_two_daemons_that_write_at_once_both_count(world):
    """Each knows a member that the other does not know."""
    pair = [world.make_daemon("p", name) for name in ("r1", "r2")]
    for (group, records), _ in itertools.product(pair, range(3)):
        await world.run(records, 10)
        assert group.members.is_loaded
    assert world.store.find("g").members == make_members("p", "r1", "r2")
