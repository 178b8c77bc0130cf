"""Records of members in a store that comes back from an older copy."""

import pytest

from fescuestile import endpoint_messages
from fescuestile import pending_promotions
from fescuestile_daemon.relay.groups import reachability
from fescuestile_daemon.relay.records import record_eras
from tests import member_stores
from tests import monitored_groups
from tests import record_worlds

Role = endpoint_messages.Role
make_members = member_stores.make_members
report = record_worlds.report
ALL = record_worlds.ALL


@pytest.fixture
def world(monkeypatch):
    made = record_worlds.World(monkeypatch)
    made.put("p", "r1", "r2")
    return made


async def test_a_forgotten_member_is_written_again(world):
    """Guards against LOST: it may hold acknowledged writes alone."""
    group, records = await world.start_loaded("p", "r1", "r2")
    group.remove_endpoint("r2")
    world.go_back("p", "r1")
    await records.update()
    assert group.members.absent == 1
    assert world.store.find("g").members == ALL


async def test_members_that_an_older_copy_lacks_still_count(world):
    """Guards against STALE and LOST: also while the store is away again."""
    group, records = await world.start_loaded("p", "r1", "r2")
    group.remove_endpoint("r2")
    world.go_back("p", "r1")
    assert not await records.load(group)
    assert group.members.count() == 3
    assert not await records.load(group)
    assert group.members.count() == 3


async def test_two_daemons_that_know_of_different_members_both_count(world):
    first, first_records = await world.start_loaded("p", "r1", "r2")
    world.put("p", "r1", "r2", "r3")
    second, second_records = await world.start_loaded("p", "r3")
    first.remove_endpoint("r2")
    world.go_back("p")
    for _ in range(3):
        await world.run(first_records, 0.4)
        await world.run(second_records, 0.4)
    assert world.store.find("g").members == make_members("p", "r1", "r2", "r3")
    await first_records.load(first)
    assert first.members.count() == second.members.count() == 4


async def test_a_missing_record_is_written_again(world):
    group, records = await world.start_loaded("p", "r1", "r2")
    world.now += 3.0
    world.store.restore({})
    group.remove_endpoint("r2")
    await records.update()
    assert world.store.find("g").members == ALL


async def test_a_forgotten_promotion_is_written_again(world):
    """Guards against LOST: it takes effect later."""
    group, records = await world.start_loaded("p", "r1", "r2")
    assert await records.record_request("g", "r1")
    world.go_back("p", "r1", "r2")
    other, others = world.start_daemon("p", "r1", "r2")
    await records.update()
    assert group.pending_promotion == "r1"
    assert world.store.find("g").pending.endpoint == "r1"
    await world.run(others, 5.0)
    assert other.pending_promotion == "r1"


async def test_a_forgotten_replaced_term_is_written_again(world):
    """Guards against LOST: a former primary's writes are not promoted."""
    world.put("p", "r1", "r2", replaced_term=7)
    _, records = await world.start_loaded("p", "r1", "r2")
    world.go_back("p", "r1", "r2")
    world.store.records["g"] = member_stores.replace(
        world.store.records["g"], replaced_term=2
    )
    await records.update()
    assert world.store.find("g").replaced_term == 7


async def test_nothing_is_decided_on_a_record_that_may_lack_a_promotion(
    world,
):
    """Guards against LOST: its driver may have died."""
    world.go_back("p", "r1", "r2")
    group, records = world.start_daemon("p", "r1", "r2")
    await world.run(records, 4.0)
    report(group, role=Role.FENCED)
    while not await records.load(group):
        await world.run(records, 0.4)
    assert (
        record_eras.FORGOTTEN_SECONDS
        < world.now - 100.0
        < record_eras.FORGOTTEN_SECONDS + 1.0
    )


async def test_a_group_that_follows_one_primary_is_settled_at_once(world):
    group, records = await world.start_loaded("p", "r1", "r2")
    world.go_back("p", "r1", "r2")
    await records.update()
    report(group)
    assert not await records.load(group)
    await world.run(records, record_eras.RESTORE_SECONDS + 0.2)
    assert await records.load(group)
    await world.run(records, 9.0)
    assert world.store.find("g").settled_era == world.store.era


async def test_it_stays_settled_when_the_primary_fails_later(world):
    """A failover soon after the change waits for nothing else."""
    group, records = await world.start_loaded("p", "r1", "r2")
    world.go_back("p", "r1", "r2")
    await records.update()
    report(group)
    await records.update()
    report(group, role=Role.FENCED, primary="")
    await world.run(records, record_eras.RESTORE_SECONDS + 0.2)
    assert await records.load(group)


async def test_a_primary_that_fails_in_the_change_is_replaced_soon(world):
    """Its last report shows that it led, and no replica is fenced."""
    group, records = await world.start_loaded("p", "r1", "r2")
    report(group)
    world.now += 0.1
    world.go_back("p", "r1", "r2")
    await records.update()
    world.now += 0.1
    for name in ("r1", "r2"):
        monitored_groups.add_report(group, name, 6)
    await world.run(records, record_eras.RESTORE_SECONDS + 0.2)
    assert await records.load(group)


async def test_a_primary_that_failed_while_it_left_may_be_replaced_already(
    world,
):
    """Guards against LOST: a switchover made it step down."""
    group, records = await world.start_loaded("p", "r1", "r2")
    report(group)
    world.now += 0.1
    group.put_endpoint(monitored_groups.make_entry("p", leaving=True), 4)
    world.go_back("p", "r1", "r2")
    await records.update()
    world.now += 0.1
    for name in ("r1", "r2"):
        monitored_groups.add_report(group, name, 6)
    await world.run(records, record_eras.RESTORE_SECONDS + 1.0)
    assert not await records.load(group)


@pytest.mark.parametrize(
    ("silent", "leaving", "is_settled"),
    [("p", "", True), ("", "", False), ("p", "r1", False), ("r2", "", False)],
    ids=["silent", "not heard yet", "leaving", "a silent replica"],
)
async def test_a_silent_primary_counts_by_its_entry(
    world, silent, leaving, is_settled
):
    """The daemon has started after the primary had failed.

    One that was not heard yet may have stepped down for a promotion.
    """
    world.go_back("p", "r1", "r2")
    group, records = world.start_daemon("p", "r1", "r2")
    await records.update()
    if silent:
        group.endpoints[silent].record_request()
    await world.run(records, reachability.UNHEARD_SECONDS + 0.4)
    for name in {"r1", "r2"} - {silent}:
        monitored_groups.add_report(group, name, 6)
    if leaving:
        entry = monitored_groups.make_entry(leaving, leaving=True)
        group.put_endpoint(entry, 4)
    if silent != "p":
        group.endpoints["p"].unanswered_since = None
    assert await records.load(group) is is_settled


async def test_a_released_member_does_not_come_back_with_the_copy(world):
    """Guards against takeovers that wait for a member that is gone."""
    world.put("p", "r1", "r2", "r3")
    group, records = await world.start_loaded("p", "r1", "r2")
    assert group.members.absent == 1
    world.put("p", "r1", "r2")
    assert await records.load(group)
    world.go_back("p", "r1", "r2", "r3")
    await records.update()
    assert group.members.absent == 0
    report(group)
    await world.run(records, 12.0)
    assert world.store.find("g").members == ALL


@pytest.mark.parametrize(
    ("names", "role", "primary", "reported"),
    [
        (("p", "r1", "r2"), Role.FENCED, "p", 1),
        (("p", "r1", "r2"), Role.REPLICA, "", 1),
        (("p", "r1"), Role.REPLICA, "p", 1),
        (("p", "r1", "r3"), Role.REPLICA, "p", 1),
        (("p", "r1", "r2"), Role.REPLICA, "p", -1),
    ],
    ids=["fenced", "no primary", "one replica", "newcomer", "before"],
)
async def test_what_does_not_show_that_no_promotion_is_missing(
    world, names, role, primary, reported
):
    """Guards against LOST: the promotion of an endpoint is forgotten."""
    group, records = await world.start_loaded(*names)
    if reported < 0:
        report(group, role, primary)
        world.now += 0.1
    world.go_back("p", "r1", "r2")
    await records.update()
    if reported > 0:
        report(group, role, primary)
    await world.run(records, record_eras.RESTORE_SECONDS + 1.0)
    assert not await records.load(group)


@pytest.mark.parametrize("names", [("p", "r1"), ("p", "r1", "r3")])
async def test_one_recorded_replica_shows_nothing(world, names):
    """Guards against LOST: it may be the promotion's endpoint."""
    world.put("p", "r1")
    group, records = await world.start_loaded(*names)
    world.go_back("p", "r1")
    await records.update()
    report(group)
    await world.run(records, record_eras.RESTORE_SECONDS + 1.0)
    assert group.members.absent == 0
    assert not await records.load(group)


async def test_a_record_that_crosses_the_change_is_written_again(
    world, monkeypatch
):
    """Guards against LOST: the next copy lacks the member as well."""
    group, records = await world.start_loaded("p", "r1", "r2")
    world.go_back("p", "r1")
    write = world.store.write

    async def write_later(name, wanted):
        monkeypatch.setattr(world.store, "write", write)
        older = world.store.copy()
        written = await write(name, wanted)
        world.store.restore(older)
        return member_stores.replace(written, era=world.store.era)

    monkeypatch.setattr(world.store, "write", write_later)
    await records.update()
    assert group.members.recorded == make_members("p", "r1")
    await world.run(records, 1.0)
    assert world.store.find("g").members == ALL


async def test_a_known_promotion_keeps_the_record_unsettled(world):
    """Guards against LOST: unaware daemons see fences lifted by others."""
    group, records = await world.start_loaded("p", "r1", "r2")
    assert await records.record_request("g", "r1")
    world.go_back("p", "r1", "r2")
    await records.update()
    report(group)
    await world.run(records, record_eras.RESTORE_SECONDS + 1.0)
    assert not await records.load(group)


async def test_no_member_is_added_meanwhile(world):
    """Guards against LOST: a forgotten promotion did not fence it."""
    group, records = await world.start_loaded("p", "r1", "r2")
    world.go_back("p", "r1", "r2")
    group.put_endpoint(monitored_groups.make_entry("r3"), 4)
    group.members.is_awaited = True
    await world.run(records, 5.0)
    assert world.store.find("g").members == ALL
    report(group)
    await world.run(records, 9.0)
    assert world.store.find("g").members == ALL | make_members("r3")


async def test_a_daemon_that_starts_reads_an_old_record_later(world):
    """Guards against STALE: others may know of more members."""
    world.go_back("p", "r1")
    group, records = world.start_daemon("p", "r1")
    await records.update()
    assert not group.members.is_loaded
    world.store.put("g", ALL)
    await world.run(records, 3.0)
    assert group.members.count() == 3


async def test_a_request_rests_on_a_read_of_the_same_era(world):
    """Guards against LOST: the revision may be that of another content."""
    _, records = await world.start_loaded("p", "r1", "r2")
    world.store.era += 1
    assert not await records.record_request("g", "r1")
    assert world.store.find("g").pending is None


async def test_a_request_that_crosses_the_change_does_not_count(
    world, monkeypatch
):
    _, records = await world.start_loaded("p", "r1", "r2")
    write = world.store.write

    async def write_later(group, wanted):
        world.store.era += 1
        return await write(group, wanted)

    monkeypatch.setattr(world.store, "write", write_later)
    assert not await records.record_request("g", "r1")


@pytest.mark.parametrize("is_back", [False, True])
async def test_a_driver_learns_whether_its_request_was_forgotten(
    world, is_back
):
    """Guards against LOST: its fence came after the request was recorded."""
    _, records = await world.start_loaded("p", "r1", "r2")
    assert await records.record_request("g", "r1")
    if is_back:
        world.go_back("p", "r1", "r2")
    assert await records.is_current("g") is not is_back


async def test_a_store_without_eras_is_settled(world):
    world.store.era = 0
    world.put("p", "r1", "r2")
    group, records = world.start_daemon("p", "r1", "r2")
    assert await records.load(group)


def test_a_merged_record_ends_no_promotion_that_is_known():
    tracker = pending_promotions.PromotionTracker()
    known = pending_promotions.PendingPromotion("r1", 3, "x")
    older = pending_promotions.PendingPromotion("r2", 2, "y")
    tracker.put(known, 100.0, 5)
    tracker.merge(None, 101.0, 2)
    assert (tracker.find(101.0), tracker.replaced_term) == (known, 5)
    tracker.merge(older, 102.0, 2)
    assert tracker.find(102.0) == known
    tracker.put(None, 103.0)
    tracker.merge(older, 104.0, 6)
    assert (tracker.find(104.0), tracker.replaced_term) == (older, 6)
