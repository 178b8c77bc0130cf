"""Tests of the conditions under which a primary is replaced."""

import asyncio
import dataclasses
import random
import time

import pytest

from fescuestile import clock
from fescuestile import endpoint_messages
from fescuestile import freshness
from fescuestile import positions
from fescuestile import promotion
from fescuestile_daemon.relay import directory
from fescuestile_daemon.relay import groups
from fescuestile_daemon.relay import messages
from fescuestile_daemon.relay import monitor
from fescuestile_daemon.relay import options
from fescuestile_daemon.relay import ports
from fescuestile_daemon.relay import sampling
from tests import builders

Role = endpoint_messages.Role
Reason = monitor.Reason
NAMES = ("p", "r1", "r2")


class NoDialer(ports.Dialer):
    async def dial(self, entry):
        return messages.Outcome(messages.Kind.LOST, detail="no network")


class NoPromoter(ports.Promoter):
    async def acquire(self):
        return None

    async def release(self, lease):
        pass

    async def promote(self, group, endpoint, lease):
        return None


class CurrentRegistry(ports.Registry):
    """Answers that nothing has changed.

    :ivar available: whether it answers
    """

    available = True

    async def refresh(self):
        return self.available


def make_entry(name, leaving=False):
    return messages.EndpointEntry(
        name, "g", "127.0.0.1:1", "a", 2, leaving, name == "p", 0
    )


@pytest.fixture
def group():
    new_group = groups.Group(
        "g", NoDialer(), options.RelayOptions(), clock.BootClock()
    )
    for name in NAMES:
        new_group.put_endpoint(make_entry(name), 4).has_answered = True
    return new_group


def make_sampler(boot_clock):
    """Return a sampler that knows no peers."""
    return sampling.PositionSampler("d", "a", lambda name: None, boot_clock)


@pytest.fixture
def group_monitor():
    relay_options = options.RelayOptions()
    boot_clock = clock.BootClock()
    return monitor.Monitor(
        directory.Directory(NoDialer(), relay_options, boot_clock),
        NoPromoter(),
        CurrentRegistry(),
        relay_options,
        boot_clock,
        random.Random(1),
        make_sampler(boot_clock),
    )


def add_report(group, name, index, ago=0.0, role=Role.REPLICA, term=1):
    """Apply a report that was requested so many seconds ago."""
    group._apply_report(
        group.endpoints[name],
        builders.build_log_report(name, index, role, term),
        time.monotonic() - ago,
    )


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
    for name in NAMES:
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


def test_a_stall_does_not_count_against_the_next_primary(group):
    stall_replication(group, 1.5)
    add_report(group, "r1", 6, role=Role.PRIMARY, term=2)
    add_report(group, "r2", 5, term=2)
    add_report(group, "p", 5, term=2)
    assert not group.is_stalled(time.monotonic(), unpaused=60.0)


class SlowPromoter(NoPromoter):
    """Its store never answers.

    :ivar attempts: calls of ``acquire``
    """

    def __init__(self):
        self.attempts = 0

    async def acquire(self):
        self.attempts += 1
        await asyncio.sleep(3600)


def make_monitor(group, promoter, registry=None):
    relay_options = options.RelayOptions()
    boot_clock = clock.BootClock()
    routes = directory.Directory(NoDialer(), relay_options, boot_clock)
    routes.groups[group.name] = group
    return monitor.Monitor(
        routes,
        promoter,
        registry or CurrentRegistry(),
        relay_options,
        boot_clock,
        random.Random(1),
        make_sampler(boot_clock),
    )


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


class FreePromoter(NoPromoter):
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
    registry = CurrentRegistry()
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


def is_probe_due(group_monitor, group, name):
    return group_monitor._is_probe_due(
        group, group.endpoints[name], time.monotonic()
    )


def set_connections(group, name, connections):
    """Make the latest report of an endpoint show so many connections."""
    endpoint = group.endpoints[name]
    endpoint.report = dataclasses.replace(
        endpoint.report, connections=connections
    )


async def test_one_of_many_daemons_asks_for_fewer_reports(
    group, group_monitor
):
    """Answers reports that grow with daemons times endpoints."""
    group.used_at = time.monotonic()
    add_report(group, "r1", 7, ago=1.7)
    assert is_probe_due(group_monitor, group, "r1")
    set_connections(group, "r1", 58)
    assert not is_probe_due(group_monitor, group, "r1")
    add_report(group, "r2", 7, ago=2.9)
    set_connections(group, "r2", 580)
    assert is_probe_due(group_monitor, group, "r2")


async def test_a_daemon_without_work_in_a_group_asks_seldom(
    group, group_monitor
):
    """Answers many daemons that watch each group before traffic starts."""
    add_report(group, "r1", 7, ago=2.9)
    set_connections(group, "r1", 58)
    assert not is_probe_due(group_monitor, group, "r1")
    group.used_at = time.monotonic()
    assert is_probe_due(group_monitor, group, "r1")
    group.used_at -= 5.0
    add_report(group, "r2", 7, ago=6.5)
    set_connections(group, "r2", 58)
    assert is_probe_due(group_monitor, group, "r2")


async def test_an_idle_primary_is_asked_as_seldom_as_its_replicas(
    group, group_monitor
):
    """Answers reports of replicas that each report of the primary causes.

    They show that its position was received.
    """
    add_report(group, "p", 7, ago=1.0, role=Role.PRIMARY)
    add_report(group, "r1", 7, ago=1.2)
    group.endpoints["p"].answered_at -= 1.0
    group.stalled_since = time.monotonic() - 1.0
    assert is_probe_due(group_monitor, group, "p")
    assert is_probe_due(group_monitor, group, "r1")
    for name in ("p", "r1"):
        set_connections(group, name, 58)
        assert not is_probe_due(group_monitor, group, name)


async def test_a_group_with_a_leaving_endpoint_is_watched_closely(
    group, group_monitor
):
    add_report(group, "r1", 7, ago=1.7)
    set_connections(group, "r1", 58)
    group.put_endpoint(make_entry("p", leaving=True), 4)
    assert is_probe_due(group_monitor, group, "r1")


async def test_an_endpoint_without_work_is_not_asked_for_its_queue(
    group, group_monitor
):
    """Answers pauses that outlast the work that they spaced out."""
    add_report(group, "r1", 7, ago=0.5)
    group.endpoints["r1"].admission.record_refusal()
    assert group.endpoints["r1"].admission.pacer.mean_pause
    assert not is_probe_due(group_monitor, group, "r1")


@pytest.mark.parametrize(
    ("staleness", "age", "begun"),
    [(1.5, 0.9, False), (1.5, 1.1, True), (2.5, 1.6, False), (0.5, 0.9, True)],
)
async def test_positions_are_sampled_as_the_reads_need_them(
    group, staleness, age, begun
):
    """Answers rounds of reports that no read needs."""
    checks = group.leadership
    now = clock.BootClock().now()
    position = positions.Position(1, 7)
    checks._freshness.add(freshness.Sample(now - age, position))
    await checks.find_minimum(now, staleness, time.monotonic())
    assert checks.needs_sample() is begun
