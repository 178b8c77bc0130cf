"""How often a daemon asks endpoints for reports."""

import dataclasses
import time

import pytest

from fescuestile import clock
from fescuestile import endpoint_messages
from fescuestile import freshness
from fescuestile import positions
from tests import monitored_groups

Role = endpoint_messages.Role
add_report = monitored_groups.add_report
make_entry = monitored_groups.make_entry


@pytest.fixture
def group():
    return monitored_groups.make_group()


@pytest.fixture
def group_monitor():
    return monitored_groups.make_monitor()


def is_probe_due(group_monitor, group, name):
    return group_monitor._requests.is_due(
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


async def test_a_gateway_of_an_idle_group_asks_as_one_of_few(
    group, group_monitor
):
    """Guards against a failed primary that three gateways notice late.

    Their connections to an endpoint are as many as those of many daemons.
    """
    add_report(group, "p", 7, ago=0.8, role=Role.PRIMARY)
    add_report(group, "r1", 7, ago=1.7)
    group.endpoints["p"].answered_at -= 0.8
    for name in ("p", "r1"):
        set_connections(group, name, 62)
        assert not is_probe_due(group_monitor, group, name)
        group.endpoints[name].pool.is_retaining = True
        assert is_probe_due(group_monitor, group, name)


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
