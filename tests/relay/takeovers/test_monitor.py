"""Tests of the conditions under which a primary is replaced."""

import asyncio
import dataclasses
import time

import pytest

from fescuestile import clock
from fescuestile import endpoint_messages
from fescuestile import promotion
from fescuestile_daemon.relay.core import messages
from fescuestile_daemon.relay.takeovers import monitor
from tests import member_stores
from tests import monitored_groups

Role = endpoint_messages.Role
Reason = monitor.Reason
add_report = monitored_groups.add_report
make_entry = monitored_groups.make_entry


@pytest.fixture
def group():
    return monitored_groups.make_group()


@pytest.fixture
def group_monitor():
    return monitored_groups.make_monitor()


def stall_replication(group, seconds):
    """Give the primary an entry that no replica received for so long."""
    add_report(group, "r1", 5, ago=seconds + 0.1)
    add_report(group, "r2", 5, ago=seconds + 0.1)
    add_report(group, "p", 7, ago=seconds, role=Role.PRIMARY)
    group.stalled_since = time.monotonic() - seconds


def find_reason(group_monitor, group, unpaused=60.0):
    return group_monitor._find_reason(group, time.monotonic(), unpaused)


async def test_a_working_primary_is_kept(group, group_monitor):
    add_report(group, "p", 7, role=Role.PRIMARY)
    add_report(group, "r1", 7)
    assert find_reason(group_monitor, group) is None


async def test_a_primary_without_following_replicas_is_replaced(
    group, group_monitor
):
    stall_replication(group, 1.5)
    add_report(group, "r1", 5)
    add_report(group, "r2", 5)
    assert find_reason(group_monitor, group) is Reason.NO_COMMITS


@pytest.mark.parametrize("term", [1, 2])
async def test_a_primary_without_a_successor_is_kept(
    group, group_monitor, term
):
    """Guards against fences that only stop a working group.

    A member is missing, or the replicas never followed the primary's term.
    """
    stall_replication(group, 1.5)
    add_report(group, "p", 7, role=Role.PRIMARY, term=term)
    group.endpoints["p"].report = dataclasses.replace(
        group.endpoints["p"].report, followed=term
    )
    add_report(group, "r1", 5)
    add_report(group, "r2", 5)
    if term == 1:
        missing = member_stores.make_members("r3")
        group.members.apply_record(missing, time.monotonic())
    assert find_reason(group_monitor, group) is None


async def test_old_reports_of_replicas_show_no_stall(group, group_monitor):
    stall_replication(group, 1.5)
    assert find_reason(group_monitor, group) is None


async def test_replicas_fenced_by_another_driver_show_no_stall(
    group, group_monitor
):
    stall_replication(group, 1.5)
    add_report(group, "r1", 5, role=Role.FENCED, term=2)
    add_report(group, "r2", 5, role=Role.FENCED, term=2)
    assert find_reason(group_monitor, group) is None


async def test_a_replica_that_follows_ends_the_stall(group, group_monitor):
    stall_replication(group, 1.5)
    add_report(group, "r1", 7)
    add_report(group, "r2", 5)
    assert find_reason(group_monitor, group) is None


async def test_an_unanswered_request_counts_as_silence(group, group_monitor):
    add_report(group, "p", 7, role=Role.PRIMARY)
    group.endpoints["p"].unanswered_since = time.monotonic() - 1.1
    assert find_reason(group_monitor, group) is Reason.SILENT


async def test_an_idle_primary_is_not_silent(group, group_monitor):
    add_report(group, "p", 7, ago=2.5, role=Role.PRIMARY)
    group.endpoints["p"].answered_at -= 60
    assert find_reason(group_monitor, group) is None


async def test_a_daemon_that_reaches_no_endpoint_replaces_no_primary(
    group, group_monitor
):
    add_report(group, "p", 7, role=Role.PRIMARY)
    for name in monitored_groups.NAMES:
        group.endpoints[name].unanswered_since = time.monotonic() - 1.1
    assert find_reason(group_monitor, group) is None


async def test_refused_connections_are_acted_on_sooner(group, group_monitor):
    add_report(group, "p", 7, role=Role.PRIMARY)
    refusal = messages.Outcome(messages.Kind.LOST, connection_refused=True)
    group.endpoints["p"].record_connection_result(refusal)
    assert find_reason(group_monitor, group) is None
    group.endpoints["p"].refused_since -= 0.7
    assert find_reason(group_monitor, group) is Reason.SILENT


async def test_a_leaving_primary_is_replaced(group, group_monitor):
    add_report(group, "p", 7, role=Role.PRIMARY)
    add_report(group, "r1", 7)
    group.put_endpoint(make_entry("p", leaving=True), 4)
    assert find_reason(group_monitor, group) is Reason.LEAVING


def test_a_leaving_endpoint_that_reappears_gets_no_more_time(group):
    """Guards against work at a leaving endpoint whose entry was lost."""
    group._known_since -= 60.0
    group.put_endpoint(make_entry("p", leaving=True), 4)
    assert group.endpoints["p"].accepts_work
    group.remove_endpoint("p")
    group.put_endpoint(make_entry("p", leaving=True), 4)
    assert not group.endpoints["p"].accepts_work


async def test_a_primary_that_never_answered_is_kept(group, group_monitor):
    add_report(group, "p", 7, role=Role.PRIMARY)
    group.endpoints["p"].has_answered = False
    group.endpoints["p"].unanswered_since = time.monotonic() - 9.0
    assert find_reason(group_monitor, group) is None


def leave_unheard(group, seconds=9.0):
    """Let the primary be silent for a daemon that has no report of it."""
    group.endpoints["p"].has_answered = False
    group.endpoints["p"].unanswered_since = time.monotonic() - seconds


async def test_an_unheard_primary_that_all_others_miss_is_replaced(
    group, group_monitor
):
    """Guards against a group that nobody serves: all daemons are new."""
    leave_unheard(group)
    add_report(group, "r1", 7)
    assert find_reason(group_monitor, group) is None
    add_report(group, "r2", 7)
    assert find_reason(group_monitor, group) is Reason.SILENT


@pytest.mark.parametrize(
    ("seconds", "role", "term", "ago"),
    [
        (2.0, Role.REPLICA, 1, 0.0),
        (9.0, Role.FENCED, 1, 0.0),
        (9.0, Role.REPLICA, 2, 0.0),
        (9.0, Role.REPLICA, 1, 4.0),
    ],
    ids=["first attempts", "another driver", "other terms", "old reports"],
)
async def test_an_unheard_primary_that_may_be_served_is_kept(
    group, group_monitor, seconds, role, term, ago
):
    """Guards against takeovers by daemons that have just started."""
    leave_unheard(group, seconds)
    add_report(group, "r1", 7)
    add_report(group, "r2", 7, ago, role, term)
    assert find_reason(group_monitor, group) is None


def test_a_stall_does_not_count_against_the_next_primary(group):
    stall_replication(group, 1.5)
    add_report(group, "r1", 6, role=Role.PRIMARY, term=2)
    add_report(group, "r2", 5, term=2)
    add_report(group, "p", 5, term=2)
    assert not group.is_stalled(time.monotonic(), unpaused=60.0)


class SlowPromoter(monitored_groups.NoPromoter):
    """Its store never answers.

    :ivar attempts: calls of ``acquire``
    """

    def __init__(self):
        self.attempts = 0

    async def acquire(self):
        self.attempts += 1
        await asyncio.sleep(3600)


def make_monitor(group, promoter, registry=None):
    return monitored_groups.make_monitor(promoter, registry, [group])


async def fail_primary(group, group_monitor):
    """Make only the primary unresponsive, and check the groups."""
    group_monitor._check_groups()
    await asyncio.sleep(0.25)
    for endpoint in group.endpoints.values():
        endpoint.reset_failure_detection()
    add_report(group, "p", 5, role=Role.PRIMARY)
    group.endpoints["p"].unanswered_since = time.monotonic() - 1.5
    group_monitor._check_groups()
    await asyncio.sleep(0.25)


async def test_a_hanging_takeover_does_not_delay_the_stop(group):
    promoter = SlowPromoter()
    group_monitor = make_monitor(group, promoter)
    await fail_primary(group, group_monitor)
    assert promoter.attempts == 1
    started_at = time.monotonic()
    await group_monitor.close(0.2)
    assert time.monotonic() - started_at < 0.5


class FreePromoter(monitored_groups.NoPromoter):
    """Grants the lease.

    :ivar granted: leases that were granted
    :ivar held: those of them that were not released
    """

    def __init__(self):
        self.held = self.granted = 0

    async def acquire(self):
        self.held += 1
        self.granted += 1
        return promotion.Lease("d", 1, clock.BootClock().now() + 60)

    async def release(self, lease):
        self.held -= 1


async def test_no_takeover_starts_without_an_answer_of_the_registry(
    group, monkeypatch
):
    """Guards against takeovers from an outdated copy of the registry."""
    started = []
    registry = monitored_groups.CurrentRegistry()
    registry.available = False
    promoter = FreePromoter()
    group_monitor = make_monitor(group, promoter, registry)
    monkeypatch.setattr(
        group_monitor, "_take_over", lambda *args: started.append(args)
    )
    await fail_primary(group, group_monitor)
    assert started == []
    assert promoter.held == 0
    await group_monitor.close(0.0)


async def test_no_takeover_starts_while_the_members_are_not_known(
    group, monkeypatch
):
    """Guards against promotions by a daemon that knows a part of a group."""
    started = []

    async def start(*args):
        started.append(args)

    member_store = member_stores.MemoryStore()
    member_store.fault = "refuses"
    group_monitor = monitored_groups.make_monitor(
        FreePromoter(), None, [group], member_store
    )
    monkeypatch.setattr(group_monitor, "_take_over", start)
    await fail_primary(group, group_monitor)
    assert started == []
    member_store.fault = ""
    members = member_stores.make_members(*monitored_groups.NAMES)
    member_store.put("g", members)
    await fail_primary(group, group_monitor)
    assert started
    await group_monitor.close(0.0)


class UnreachablePromoter(FreePromoter):
    async def is_reachable(self):
        return False


async def test_no_takeover_starts_without_a_way_to_request_promotions(group):
    """Guards against a group that a daemon fences and can't promote in."""
    promoter = UnreachablePromoter()
    group_monitor = make_monitor(group, promoter)
    await fail_primary(group, group_monitor)
    assert promoter.granted == 0
    await group_monitor.close(0.0)


async def test_a_stopping_daemon_starts_no_takeover(group):
    promoter = SlowPromoter()
    group_monitor = make_monitor(group, promoter)
    group_monitor.stop_takeovers()
    await fail_primary(group, group_monitor)
    assert promoter.attempts == 0
    await group_monitor.close(0.0)
