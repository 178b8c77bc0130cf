"""Promotions that may still take effect, and how they are recorded."""

import dataclasses
import time

import pytest

from fescuestile import clock
from fescuestile import endpoint_messages
from fescuestile import pending_promotions
from fescuestile import plans
from fescuestile import promotion
from fescuestile_daemon.relay.core import messages
from fescuestile_daemon.relay.core import options
from fescuestile_daemon.relay.groups import directory
from fescuestile_daemon.relay.takeovers import monitor
from tests import builders
from tests import member_stores
from tests import monitored_groups

Role = endpoint_messages.Role
PENDING = pending_promotions.PendingPromotion("r1", 3, "x", 0)
LATER = pending_promotions.PENDING_SECONDS + 0.1


@pytest.fixture
def tracker():
    made = pending_promotions.PromotionTracker()
    made.put(PENDING, 100.0)
    return made


def test_a_promotion_is_pending_for_a_while(tracker):
    assert tracker.find(100.0 + LATER - 0.2) == PENDING
    assert tracker.find(100.0 + LATER) is None
    assert tracker.is_over(100.0 + LATER)


def test_a_record_that_is_read_again_makes_it_last_no_longer(tracker):
    tracker.put(PENDING, 108.0)
    assert tracker.find(100.0 + LATER) is None


def test_a_promotion_that_took_effect_is_over(tracker):
    tracker.record_primary("r1", 3)
    assert tracker.find(101.0) == PENDING
    tracker.record_primary("r1", 4)
    assert tracker.find(101.0) is None


def test_the_effect_of_one_of_two_requests_does_not_end_the_other(tracker):
    """Guards against LOST: the other takes effect later."""
    tracker.put(dataclasses.replace(PENDING, repeated=True), 100.0)
    tracker.record_primary("r1", 4)
    assert tracker.find(101.0) is not None
    assert tracker.find(100.0 + LATER) is None


def test_another_primary_does_not_end_it(tracker):
    tracker.record_primary("r2", 4)
    assert tracker.find(101.0) == PENDING


@pytest.mark.parametrize(
    ("pending", "ends", "expected"),
    [
        ("", {"r1": 5, "r2": 6}, "r2"),
        ("r2", {"r1": 5, "r2": 6}, "r2"),
        ("r1", {"r1": 5, "r2": 6}, None),
        ("r1", {"r1": 6, "r2": 6}, "r1"),
        ("r3", {"r1": 6, "r2": 6}, None),
    ],
)
def test_no_other_endpoint_is_chosen_meanwhile(pending, ends, expected):
    """Guards against LOST: writes of another primary are rolled back."""
    plan = plans.Plan(
        "g",
        tuple(
            plans.Endpoint(name, "a", "127.0.0.1:1", 2, 16)
            for name in ("p", "r1", "r2")
        ),
        (),
        (),
    )
    fenced = {
        name: builders.build_log_report(name, end, Role.FENCED, 2)
        for name, end in ends.items()
    }
    chosen = promotion.choose_promotion(plan, fenced, "p", pending=pending)
    assert chosen == expected


class World:
    """A store of records and the daemons that use it."""

    def __init__(self):
        self.store = member_stores.MemoryStore()
        self.store.put("g", member_stores.make_members("p", "r1", "r2"))

    async def make_daemon(self):
        """Return a group and its records, which have been read."""
        routes = directory.Directory(
            monitored_groups.NoDialer(),
            options.RelayOptions(),
            clock.BootClock(),
        )
        routes.put_endpoints(
            {
                name: monitored_groups.make_entry(name)
                for name in monitored_groups.NAMES
            },
            True,
        )
        records = monitored_groups.make_records(
            routes, monitored_groups.CurrentRegistry(), self.store
        )
        group = routes.groups["g"]
        assert await records.load(group)
        return group, records


@pytest.fixture
def world():
    return World()


async def test_a_request_is_known_to_the_next_driver(world):
    """Guards against LOST: a driver dies after its request."""
    _, records = await world.make_daemon()
    assert await records.record_request("g", "r1")
    group, _ = await world.make_daemon()
    assert group.pending_promotion == "r1"


async def test_a_member_recorded_meanwhile_is_known_before_the_request(world):
    """Guards against LOST: it holds writes and was not stopped."""
    group, records = await world.make_daemon()
    world.store.put("g", member_stores.make_members("p", "r1", "r2", "r3"))
    assert not await records.record_request("g", "r1")
    assert group.members.absent == 1
    assert await records.record_request("g", "r1")


@pytest.mark.parametrize(
    ("fault", "recorded"),
    [("refuses", False), ("lost", True), ("late", False)],
)
async def test_a_request_counts_as_recorded_only_if_it_is(
    world, fault, recorded
):
    _, records = await world.make_daemon()
    world.store.fault = fault
    assert await records.record_request("g", "r1") is recorded
    assert (world.store.find("g").pending is not None) is recorded


async def test_no_member_is_added_while_a_promotion_is_pending(world):
    """Guards against LOST: it confirms writes that the promotion loses."""
    group, records = await world.make_daemon()
    assert await records.record_request("g", "r1")
    group.put_endpoint(monitored_groups.make_entry("r3"), 4)
    group.members.is_awaited = True
    await records.update()
    assert world.store.find("g").members == member_stores.make_members(
        "p", "r1", "r2"
    )
    await records.record_end("g", is_refused=True)
    assert world.store.find("g").pending is None
    group.members.is_awaited = True
    await records.update()
    assert world.store.find("g").members == member_stores.make_members(
        "p", "r1", "r2", "r3"
    )


async def test_a_promotion_that_is_over_leaves_the_record(world, monkeypatch):
    """The daemon that requested it may have died."""
    _, records = await world.make_daemon()
    assert await records.record_request("g", "r1")
    _, others = await world.make_daemon()
    await others.update()
    now = time.monotonic()
    monkeypatch.setattr(time, "monotonic", lambda: now + LATER)
    await others.update()
    monkeypatch.setattr(time, "monotonic", lambda: now + LATER + 10.0)
    await others.update()
    stored = world.store.find("g")
    assert stored.pending is None
    assert stored.members == member_stores.make_members("p", "r1", "r2")


async def test_a_refused_repetition_does_not_end_the_earlier_request(world):
    group, records = await world.make_daemon()
    assert await records.record_request("g", "r1")
    assert await records.record_request("g", "r1")
    await records.record_end("g", is_refused=True)
    assert group.pending_promotion == "r1"


async def test_fences_of_other_endpoints_stay_meanwhile():
    """Guards against LOST: they confirm writes that the promotion loses."""
    group = monitored_groups.make_group()
    monitored_groups.add_report(group, "p", 6, role=Role.PRIMARY)
    for name in ("r1", "r2"):
        monitored_groups.add_report(group, name, 6, role=Role.FENCED, term=2)
    group.promotions.put(PENDING, time.monotonic())
    left = [e.name for e in monitor._list_left_fenced(group)]
    assert left == ["r1"]


def displace(group):
    outcome = messages.Outcome(messages.Kind.WRONG_ENDPOINT)
    group.endpoints["r1"].record_connection_result(outcome)


def refuse(group):
    outcome = messages.Outcome(messages.Kind.LOST, connection_refused=True)
    group.endpoints["r1"].record_connection_result(outcome)


def restart(group):
    entry = monitored_groups.make_entry("r1")
    group.put_endpoint(dataclasses.replace(entry, started_at=7), 4)


def refuse_and_vanish(group):
    refuse(group)
    group.remove_endpoint("r1")


@pytest.mark.parametrize("end", [displace, refuse, restart, refuse_and_vanish])
async def test_a_promotion_of_an_endpoint_that_has_ended_is_over(
    monkeypatch, end
):
    """Guards against groups that wait for a primary that is gone."""
    group = monitored_groups.make_group()
    group.promotions.put(PENDING, time.monotonic())
    assert group.pending_promotion == "r1"
    now = time.monotonic()
    monkeypatch.setattr(time, "monotonic", lambda: now + 4.0)
    assert group.pending_promotion == "r1"
    end(group)
    assert group.pending_promotion == ""
    assert group.promotions.find_replaced_term(now + 4.0) == 3


async def test_a_missing_registry_entry_does_not_end_a_promotion(monkeypatch):
    """Guards against LOST: the endpoint runs, and is promoted later."""
    group = monitored_groups.make_group()
    started_at = time.monotonic()
    group.promotions.put(PENDING, started_at)
    group.remove_endpoint("r1")
    monkeypatch.setattr(time, "monotonic", lambda: started_at + LATER - 0.2)
    assert group.pending_promotion == "r1"
    assert not group.promotions.is_over(time.monotonic())
    monkeypatch.setattr(time, "monotonic", lambda: started_at + LATER)
    assert group.pending_promotion == ""


async def test_an_end_without_an_answer_hides_no_member(world, monkeypatch):
    """Guards against LOST: the next request drops a member off the record.

    The end is recorded, but its answer is lost. Another daemon records a
    member before the record is read again.
    """
    _, records = await world.make_daemon()
    assert await records.record_request("g", "r1")
    read = world.store.read

    async def read_later(name):
        world.store.put("g", member_stores.make_members("p", "r1", "r2", "r3"))
        return await read(name)

    world.store.fault = "lost"
    with monkeypatch.context() as patch:
        patch.setattr(world.store, "read", read_later)
        await records.record_end("g", is_refused=True)
    world.store.fault = ""
    assert not await records.record_request("g", "r2")
    assert world.store.find("g").members == member_stores.make_members(
        "p", "r1", "r2", "r3"
    )


async def test_a_missing_record_ends_no_promotion(world, monkeypatch):
    """Guards against LOST: the promotion that it named may take effect."""
    group, records = await world.make_daemon()
    assert await records.record_request("g", "r1")
    del world.store.records["g"]
    now = time.monotonic()
    monkeypatch.setattr(time, "monotonic", lambda: now + 3.0)
    await records.load(group)
    assert group.pending_promotion == "r1"
