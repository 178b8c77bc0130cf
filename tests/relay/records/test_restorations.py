"""Records that are settled once all daemons have written again."""

import pytest

from fescuestile import endpoint_messages
from fescuestile import errors
from fescuestile_daemon.relay.records import record_eras
from tests import member_stores
from tests import monitored_groups
from tests import record_worlds

Role = endpoint_messages.Role
ALL = record_worlds.ALL
# Until two daemons that run have written and listed.
SETTLED_SECONDS = 2.0
# Likewise after several seconds, when they list less often.
LATE_SECONDS = 2.5
# Well before a request of a former era can have no effect any more.
EARLY_SECONDS = record_eras.FORGOTTEN_SECONDS - 4.0


class World(record_worlds.World):
    """Two daemons that the store lists.

    :ivar eras: what the store knows of them
    """

    def __init__(self, monkeypatch):
        super().__init__(monkeypatch)
        self.eras = {}
        self.put("p", "r1", "r2")

    def make_restorations(self, name):
        return member_stores.MemoryRestorations(self.eras, name)

    async def start(self, name, *names):
        """Return the group and the records of a daemon that has read them."""
        return await self.start_loaded(
            *(names or ("p", "r1", "r2")),
            restored=self.make_restorations(name),
        )

    async def run_all(self, seconds, *all_records):
        for _ in range(int(seconds * 5)):
            self.now += 0.2
            for records in all_records:
                await records.update()


@pytest.fixture
def world(monkeypatch):
    return World(monkeypatch)


async def test_a_record_is_settled_once_all_daemons_have_written_again(world):
    """Whatever the endpoints report, or do not."""
    group, records = await world.start("d1")
    _, others = await world.start("d2")
    world.go_back("p", "r1", "r2")
    assert not await records.load(group)
    await world.run_all(SETTLED_SECONDS, records, others)
    assert world.eras == {"d1": 4, "d2": 4}
    assert await records.load(group)


async def test_a_daemon_that_has_died_leaves_the_record_unsettled(world):
    """Guards against LOST: it may have requested a promotion."""
    group, records = await world.start("d1")
    await world.start("d2")
    await records.update()
    world.go_back("p", "r1", "r2")
    await world.run_all(EARLY_SECONDS, records)
    assert world.eras == {"d1": 4, "d2": 0}
    assert not await records.load(group)


async def test_a_daemon_that_the_copy_lacks_is_awaited(world):
    """Guards against LOST: it was listed in the seconds that are lost."""
    group, records = await world.start("d1")
    await world.start("d2")
    await world.run_all(3.0, records)
    world.go_back("p", "r1", "r2")
    del world.eras["d2"]
    await world.run_all(EARLY_SECONDS, records)
    assert not await records.load(group)


async def test_a_stale_listing_that_lacks_a_daemon_settles_nothing(world):
    """Guards against LOST: as after a start just before the drill."""
    restored = world.make_restorations("d1")
    restored.stale_eras = {"d1": 4}
    group, records = await world.start_loaded(
        "p", "r1", "r2", restored=restored
    )
    world.eras["d2"] = 0
    world.go_back("p", "r1", "r2")
    await world.run_all(EARLY_SECONDS, records)
    assert not await records.load(group)


async def test_a_daemon_that_starts_after_the_change_settles_nothing(world):
    """Guards against LOST: its process before may have requested one."""
    world.eras["d1"] = 0
    world.go_back("p", "r1", "r2")
    group, records = world.start_daemon(
        "p", "r1", "r2", restored=world.make_restorations("d1")
    )
    await world.run_all(EARLY_SECONDS, records)
    assert world.eras == {"d1": 0}
    assert not await records.load(group)


async def test_a_promotion_that_another_daemon_knows_is_read_first(world):
    """Guards against LOST: its driver hears of the drill later."""
    group, records = await world.start("d1")
    _, drivers = await world.start("d2")
    await records.update()
    await drivers.update()
    assert await drivers.record_request("g", "r1")
    world.go_back("p", "r1", "r2")
    await world.run_all(3.0, records)
    assert not await records.load(group)
    await world.run_all(LATE_SECONDS, drivers, records)
    assert await records.load(group)
    assert group.pending_promotion == "r1"


async def test_an_earlier_promotion_in_the_copy_does_not_hide_a_later_one(
    world,
):
    """Guards against LOST: the record holds one promotion only."""
    group, records = await world.start("d1")
    _, drivers = await world.start("d2")
    assert await drivers.record_request("g", "r2")
    older = world.store.copy()
    await drivers.record_end("g", is_refused=True)
    assert await drivers.record_request("g", "r1")
    world.store.restore(older)
    await world.run_all(3.0, drivers, records)
    assert not await records.load(group) or group.pending_promotion == "r1"


async def test_a_replaced_term_that_another_daemon_knows_is_read_first(world):
    """Guards against LOST: a silent endpoint has been promoted already.

    Its promotion has lifted the fence of a replica, which follows the former
    primary again.
    """
    group, records = await world.start("d1")
    world.put("p", "r1", "r2", replaced_term=7)
    _, drivers = await world.start("d2")
    world.go_back("p", "r1", "r2")
    world.store.records["g"] = member_stores.replace(
        world.store.records["g"], replaced_term=0
    )
    for name, role in (("p", Role.PRIMARY), ("r1", Role.REPLICA)):
        monitored_groups.add_report(group, name, 6, role=role, term=7)
    await world.run_all(3.0, records)
    assert not await records.load(group)
    await world.run_all(LATE_SECONDS, drivers, records)
    assert await records.load(group)
    assert group.promotions.find_replaced_term(world.now) == 7


async def test_a_daemon_records_nothing_before_it_has_written_again(
    world, monkeypatch
):
    """Guards against LOST: the store does not take what it knows."""
    group, records = await world.start("d1")
    group.remove_endpoint("r2")
    world.go_back("p", "r1")

    async def refuse(name, wanted):
        return None

    with monkeypatch.context() as patch:
        patch.setattr(world.store, "write", refuse)
        await world.run_all(3.0, records)
    assert world.eras == {"d1": 0}
    await world.run_all(1.0, records)
    assert world.eras == {"d1": 4}
    assert world.store.find("g").members == ALL


async def test_a_daemon_that_is_not_listed_requests_no_promotion(
    world, monkeypatch
):
    """Guards against LOST: nobody would wait for what it knows."""
    restored = world.make_restorations("d1")

    async def refuse():
        raise errors.PlatformRefused("503", step="register")

    with monkeypatch.context() as patch:
        patch.setattr(restored, "register", refuse)
        group, records = world.start_daemon("p", "r1", restored=restored)
        with pytest.raises(errors.PlatformRefused):
            await records.update()
        assert group.members.is_loaded
        assert not await records.record_request("g", "r1")
    assert await records.record_request("g", "r1")
    assert world.eras == {"d1": 0}


async def test_two_drills_in_a_row_are_waited_out_each(world):
    """Guards against LOST: the second copy is older than what was written."""
    group, records = await world.start("d1")
    _, others = await world.start("d2")
    world.go_back("p", "r1", "r2")
    await world.run_all(SETTLED_SECONDS, records, others)
    assert await records.load(group)
    world.go_back("p", "r1", "r2")
    await world.run_all(EARLY_SECONDS, records)
    assert not await records.load(group)
    await world.run_all(LATE_SECONDS, others, records)
    assert await records.load(group)


async def test_a_settled_store_costs_few_listings(world, monkeypatch):
    """Guards against calls to the store that change nothing."""
    restored = world.make_restorations("d1")
    listed = []

    async def list_eras(allow_stale=False):
        listed.append(allow_stale)
        return dict(world.eras)

    monkeypatch.setattr(restored, "list_eras", list_eras)
    _, records = await world.start_loaded("p", "r1", "r2", restored=restored)
    await world.run_all(60.0, records)
    assert len(listed) < 6
    assert all(listed)
