"""Tests of the checks that a recorded member holds a write."""

import asyncio
import time

import pytest

from fescuestile import endpoint_messages
from fescuestile import pending_promotions
from fescuestile import positions
from fescuestile_daemon.relay.groups import record_readers
from tests import member_stores
from tests import monitored_groups

Role = endpoint_messages.Role
add_report = monitored_groups.add_report
POSITION = positions.Position(1, 6)


@pytest.fixture
def group():
    made = monitored_groups.make_group()
    made.members.apply_record(
        member_stores.make_members("p", "r1", "r2"), time.monotonic()
    )
    yield made
    made.close()


def wait(group, seconds=0.05):
    return group.replication.wait_replicated(
        "p", POSITION, time.monotonic() + seconds
    )


class Reader(record_readers.RecordReader):
    """Answers at once.

    :ivar readable: whether the record can be read
    """

    def __init__(self, readable):
        self.readable = readable

    async def load(self, group):
        return self.readable


def lose(group, name):
    """Let an endpoint leave requests unanswered for a second."""
    group.endpoints[name].unanswered_since = time.monotonic() - 1.0


async def test_a_write_that_all_members_hold_is_confirmed(group):
    add_report(group, "r1", 7)
    add_report(group, "r2", 6)
    assert await wait(group)


async def test_writes_are_confirmed_in_the_order_of_their_arrival(group):
    """Guards against an order that differs from process to process."""
    confirmed = []

    async def record(number):
        assert await wait(group, 5.0)
        confirmed.append(number)

    tasks = [asyncio.create_task(record(number)) for number in range(30)]
    await asyncio.sleep(0)
    add_report(group, "r1", 7)
    add_report(group, "r2", 6)
    await asyncio.gather(*tasks)
    assert confirmed == list(range(30))


async def test_a_member_that_lacks_it_has_to_follow_the_term_still(group):
    """Guards against LOST: the other member may lead a later term."""
    add_report(group, "r1", 5)
    add_report(group, "r2", 6)
    assert not await wait(group)
    task = asyncio.create_task(wait(group, 5.0))
    await asyncio.sleep(0.03)
    assert not task.done()
    add_report(group, "r1", 5)
    assert await task


@pytest.mark.parametrize("readable", [True, False])
async def test_the_record_decides_if_a_member_does_not_respond(
    group, readable
):
    """Guards against LOST: that member may lead a later term."""
    group.replication.record_reader = Reader(readable)
    lose(group, "r1")
    add_report(group, "r2", 6)
    assert await wait(group, 0.3) is readable


async def test_the_record_decides_if_a_member_is_absent(group):
    group.replication.record_reader = Reader(True)
    group.remove_endpoint("r1")
    add_report(group, "r2", 6)
    assert await wait(group, 0.3)


async def test_a_pending_promotion_in_the_record_leaves_it_in_doubt(group):
    group.replication.record_reader = Reader(True)
    group.promotions.put(
        pending_promotions.PendingPromotion("r1", 1, "x"), time.monotonic()
    )
    lose(group, "r1")
    add_report(group, "r2", 6)
    assert not await wait(group, 0.3)


async def test_a_replaced_term_in_the_record_leaves_it_in_doubt(group):
    group.replication.record_reader = Reader(True)
    group.promotions.put(None, time.monotonic(), replaced_term=1)
    lose(group, "r1")
    add_report(group, "r2", 6)
    assert not await wait(group, 0.3)


async def test_writes_are_refused_while_a_needed_record_is_unreadable(group):
    """Guards against writes that can only end in doubt."""
    group.replication.record_reader = reader = Reader(False)
    lose(group, "r1")
    add_report(group, "r2", 6)
    assert group.replication.is_possible("p")
    assert not await wait(group, 0.3)
    assert not group.replication.is_possible("p")
    reader.readable = True
    await asyncio.sleep(0.15)
    group.replication.is_possible("p")
    await asyncio.sleep(0.01)
    assert group.replication.is_possible("p")


async def test_a_member_that_lacks_the_write_does_not(group):
    add_report(group, "r1", 5)
    assert not await wait(group)


async def test_the_primary_itself_does_not(group):
    add_report(group, "p", 6)
    assert not await wait(group)


async def test_a_report_that_arrives_meanwhile_confirms_it(group):
    task = asyncio.create_task(wait(group, 5.0))
    await asyncio.sleep(0.03)
    add_report(group, "r1", 7)
    add_report(group, "r2", 7)
    assert await task


async def test_the_log_of_a_later_term_does_not_confirm_it(group):
    """Guards against writes that the later primary has rolled back."""
    group.replication.record_position(
        group.endpoints["r1"], positions.Position(2, 9)
    )
    assert not await wait(group)


async def test_no_member_confirms_a_write_beside_a_later_primary(group):
    """Guards against LOST: its promotion has lifted the member's fence."""
    add_report(group, "r1", 5, role=Role.PRIMARY, term=2)
    add_report(group, "r2", 6)
    assert not await wait(group)


@pytest.mark.parametrize("recorded", [("p",), ("p", "r1@7")])
async def test_an_endpoint_that_is_not_recorded_does_not(group, recorded):
    """Guards against LOST: no takeover knows it, or not this start of it."""
    group.members.apply_record(
        member_stores.make_members(*recorded), time.monotonic()
    )
    add_report(group, "r1", 6)
    assert not await wait(group)
    assert group.members.is_awaited


async def test_nobody_does_before_the_record_has_been_read():
    unread = monitored_groups.make_group()
    add_report(unread, "r1", 6)
    assert not unread.replication.is_possible("p")
    assert not await wait(unread)
    unread.close()


async def test_a_group_that_does_not_replicate_waits_for_nobody(group):
    group.replicated = False
    assert group.replication.is_possible("p")
    assert await wait(group)


async def test_writes_wait_for_no_member_that_does_not_respond(group):
    assert group.replication.is_possible("p")
    for name in ("r1", "r2"):
        lose(group, name)
    assert not group.replication.is_possible("p")
