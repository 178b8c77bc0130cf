"""Leadership checks beside a replacement that not all endpoints know of."""

import asyncio
import time

import pytest

from fescuestile import clock
from fescuestile import endpoint_messages
from fescuestile import group_members
from fescuestile import pending_promotions
from fescuestile import promotion
from fescuestile_daemon.relay.groups import record_readers
from tests import fences
from tests import member_stores

Role = endpoint_messages.Role
FORMER = "p"
NEXT = "r1"
# This replica was fenced, but does not reach the new primary.
STRAY = "r2"


class Dialer(fences.Dialer):
    """A group of five that has a new primary.

    The daemon still takes the former one for the primary.
    """

    def __init__(self):
        names = (FORMER, STRAY, NEXT, "r3", "r4")
        self.endpoints = {name: fences.Endpoint(name) for name in names}
        self.endpoints[FORMER].role = Role.PRIMARY

    async def delay(self, endpoint):
        await asyncio.sleep(0 if endpoint.reachable else 3600)

    def replace_primary(self):
        for name, endpoint in self.endpoints.items():
            if name not in (FORMER, STRAY):
                endpoint.term = 2
        self.endpoints[NEXT].role = Role.PRIMARY


@pytest.fixture
def dialer():
    return Dialer()


@pytest.fixture
async def replaced(dialer):
    group = fences.make_group(dialer)
    await group.refresh(0.1)
    dialer.replace_primary()
    yield group
    group.close()


async def confirm(group):
    """Return whether a read at the former primary may be answered."""
    checks = group.leadership
    return await checks.wait_confirmed(
        checks.begin_check(),
        group.endpoints[FORMER],
        time.monotonic() + 0.2,
    )


async def test_a_former_primary_and_its_last_follower_confirm_nothing(
    replaced,
):
    """Guards against reads at a primary that has been replaced."""
    assert not await confirm(replaced)


async def test_two_endpoints_would_confirm_it(replaced, monkeypatch):
    """Shows that the test above fails with the former rule."""
    monkeypatch.setattr(promotion, "count_confirming", lambda size: 2)
    assert await confirm(replaced)


async def find_minimum(group):
    """Return a position for a read that may not be stale at all."""
    return await group.leadership.find_minimum(
        clock.BootClock().now(), 0.0, time.monotonic() + 0.2
    )


def hide(group, *names):
    """Let entries be missing; the record names their endpoints still."""
    group.members.apply_record(
        member_stores.make_members(*group.endpoints), time.monotonic()
    )
    for name in names:
        group.remove_endpoint(name)


class Reader(record_readers.RecordReader):
    """Reads a record.

    :ivar replaced_term: as it has it, None while it is unreadable
    :ivar pending: endpoint whose promotion may take effect, empty for none
    :ivar seconds: until a reading ends
    :ivar readings: how many have begun
    """

    def __init__(self, replaced_term, pending=""):
        self.replaced_term = replaced_term
        self.pending = pending
        self.seconds = 0.0
        self.readings = 0

    async def load(self, group):
        self.readings += 1
        replaced_term, pending_name = self.replaced_term, self.pending
        await asyncio.sleep(self.seconds)
        if replaced_term is None:
            return False
        pending = pending_promotions.PendingPromotion(pending_name, 1, "id")
        group.promotions.put(
            pending if pending_name else None, time.monotonic(), replaced_term
        )
        return True


@pytest.mark.parametrize(
    "reader",
    [None, Reader(None), Reader(1), Reader(0, NEXT)],
    ids=["no store", "unreadable", "replaced", "pending"],
)
async def test_members_that_are_not_known_here_may_follow_a_later_term(
    dialer, replaced, reader
):
    """Guards against STALE: two of three known endpoints confirm a term.

    They are the former primary and its last follower; the third is silent.
    The later primary, and a replica that confirms its writes, are hidden.
    """
    replaced.replication.record_reader = reader
    hide(replaced, NEXT, "r4")
    dialer.endpoints["r3"].reachable = False
    assert not await confirm(replaced)


async def test_a_record_without_a_promotion_confirms_the_known_ones(dialer):
    """Guards against reads that fail while members are absent."""
    group = fences.make_group(dialer)
    await group.refresh(0.1)
    group.replication.record_reader = Reader(0)
    hide(group, NEXT, "r4")
    dialer.endpoints["r3"].reachable = False
    assert await confirm(group)
    group.close()


async def test_members_that_have_not_been_read_may_follow_a_later_term(
    dialer, replaced
):
    """Guards against STALE: a daemon starts while entries are missing."""
    for name in (NEXT, "r3", "r4"):
        replaced.remove_endpoint(name)
    known = member_stores.make_members(*replaced.endpoints)
    replaced.members = group_members.GroupMembers()
    for member in known:
        replaced.members.add(member, time.monotonic())
    assert not await confirm(replaced)
    assert await find_minimum(replaced) is None
    replaced.members.apply_record(known, time.monotonic())
    assert await confirm(replaced)


async def test_the_record_alone_confirms_no_former_primary(dialer, replaced):
    """Guards against STALE: a record that lacks the promotion, say."""
    replaced.replication.record_reader = reader = Reader(0)
    hide(replaced, NEXT, "r4")
    dialer.endpoints[STRAY].reachable = False
    dialer.endpoints["r3"].reachable = False
    assert not await confirm(replaced)
    assert reader.readings == 0
    task = asyncio.create_task(confirm(replaced))
    await asyncio.sleep(0.01)
    # As a write does.
    await replaced.replication.read_record()
    assert reader.readings == 1
    assert not await task


async def test_a_promotion_after_the_last_reading_is_seen(dialer, replaced):
    """Guards against STALE: the record was read before the read began."""
    replaced.replication.record_reader = reader = Reader(0)
    hide(replaced, NEXT, "r4")
    dialer.endpoints["r3"].reachable = False
    assert await confirm(replaced)
    reader.replaced_term = 1
    assert not await confirm(replaced)


async def test_a_reading_that_began_earlier_confirms_nothing(dialer, replaced):
    """Guards against STALE: it may have missed the promotion."""
    replaced.replication.record_reader = reader = Reader(0)
    hide(replaced, NEXT, "r4")
    dialer.endpoints["r3"].reachable = False
    reader.seconds = 0.05
    assert replaced.replication.read_record() is not None
    await asyncio.sleep(0)
    reader.replaced_term = None
    assert not await confirm(replaced)
    assert replaced.replication.read_at > 0


async def test_the_new_primary_confirms_reads_beside_hidden_members(dialer):
    """Guards against reads that fail after a takeover."""
    dialer.replace_primary()
    dialer.endpoints[FORMER].role = Role.REPLICA
    group = fences.make_group(dialer)
    await group.refresh(0.1)
    group.replication.record_reader = Reader(1)
    hide(group, FORMER, STRAY)
    dialer.endpoints["r4"].reachable = False
    checks = group.leadership
    assert await checks.wait_confirmed(
        checks.begin_check(), group.endpoints[NEXT], time.monotonic() + 0.2
    )
    group.close()


async def test_a_pending_promotion_of_the_primary_confirms_it(dialer):
    """Guards against reads that fail after a switchover was given up."""
    group = fences.make_group(dialer)
    await group.refresh(0.1)
    group.replication.record_reader = Reader(0, FORMER)
    hide(group, NEXT, "r4")
    dialer.endpoints["r3"].reachable = False
    assert await confirm(group)
    group.close()


@pytest.mark.parametrize("reader", [None, Reader(1)], ids=["none", "replaced"])
async def test_a_former_primary_shows_no_fresh_position(
    dialer, replaced, reader
):
    """Guards against STALE: reads that may be stale take its log's end."""
    replaced.replication.record_reader = reader
    hide(replaced, NEXT, "r4")
    dialer.endpoints["r3"].reachable = False
    assert await find_minimum(replaced) is None


async def test_a_confirmed_primary_shows_a_fresh_position(dialer):
    group = fences.make_group(dialer)
    await group.refresh(0.1)
    group.replication.record_reader = Reader(0)
    hide(group, NEXT, "r4")
    dialer.endpoints["r3"].reachable = False
    assert await find_minimum(group) is not None
    group.close()


@pytest.mark.parametrize("hidden", [(), ("r4",)], ids=["none", "one"])
async def test_the_record_is_read_only_if_members_are_missed(dialer, hidden):
    """Guards against calls to the platform on a quiet day."""
    group = fences.make_group(dialer)
    await group.refresh(0.1)
    group.replication.record_reader = reader = Reader(0)
    hide(group, *hidden)
    for _ in range(3):
        assert await confirm(group)
    if not hidden:
        dialer.endpoints["r3"].reachable = False
        dialer.endpoints["r4"].reachable = False
        assert not await confirm(group)
    assert reader.readings == 0
    group.close()


async def test_one_silent_endpoint_prevents_no_check():
    dialer = Dialer()
    group = fences.make_group(dialer)
    await group.refresh(0.1)
    dialer.endpoints["r4"].reachable = False
    assert await confirm(group)
    dialer.endpoints["r3"].reachable = False
    assert not await confirm(group)
    group.close()
