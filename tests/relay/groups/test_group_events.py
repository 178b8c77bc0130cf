"""Tests of the log lines that tell how a takeover may have lost writes."""

import dataclasses

import pytest
import structlog

from fescuestile import endpoint_messages
from tests import monitored_groups

Role = endpoint_messages.Role


@pytest.fixture
def group():
    """Return a group led by p in term 1, whose replicas are fenced at 5."""
    group = monitored_groups.make_group()
    add_report = monitored_groups.add_report
    add_report(group, "p", 5, role=Role.PRIMARY)
    for name in ("r1", "r2"):
        add_report(group, name, 5, role=Role.FENCED, term=2)
    return group


def join(group, name):
    """Make the group see the entry of another endpoint."""
    group.put_endpoint(monitored_groups.make_entry(name), 4)


def record_reports(group, *reports):
    """Apply reports and return the lines about them.

    :param reports: each with the arguments of ``add_report``
    """
    with structlog.testing.capture_logs() as lines:
        for name, index, role, term in reports:
            monitored_groups.add_report(
                group, name, index, role=role, term=term
            )
    return lines


def find_lines(lines, event):
    """Return the lines of one event."""
    return [line for line in lines if line["event"] == event]


def test_an_endpoint_that_joins_beside_fences_is_logged(group):
    with structlog.testing.capture_logs() as lines:
        join(group, "new")
    (line,) = find_lines(lines, "endpoint joined a fenced group")
    assert (line["group"], line["endpoint"]) == ("g", "new")
    assert line["fenced"].keys() == {"r1", "r2"}
    assert all(
        end.endswith("index=5) in term 2") for end in line["fenced"].values()
    )


def test_an_endpoint_that_starts_again_joins(group):
    entry = dataclasses.replace(group.endpoints["r1"].entry, started_at=7)
    with structlog.testing.capture_logs() as lines:
        group.put_endpoint(entry, 4)
    (line,) = find_lines(lines, "endpoint joined a fenced group")
    assert line["endpoint"] == "r1"
    assert line["fenced"].keys() == {"r2"}


def test_a_join_without_fences_is_not_logged():
    group = monitored_groups.make_group()
    monitored_groups.add_report(group, "p", 5, role=Role.PRIMARY)
    monitored_groups.add_report(group, "r1", 5)
    with structlog.testing.capture_logs() as lines:
        join(group, "new")
    assert not find_lines(lines, "endpoint joined a fenced group")


def test_a_replica_ahead_of_fenced_endpoints_is_logged_once(group):
    join(group, "new")
    lines = record_reports(
        group, ("new", 6, Role.REPLICA, 1), ("new", 8, Role.REPLICA, 1)
    )
    (line,) = find_lines(lines, "replica is ahead of fenced endpoints")
    assert (line["group"], line["endpoint"]) == ("g", "new")
    assert line["term"] == 1
    assert line["position"].endswith("index=6)")
    assert line["fenced"].keys() == {"r1", "r2"}


def test_a_replica_that_lost_its_fence_and_goes_on_is_logged(group):
    lines = record_reports(
        group, ("r1", 5, Role.REPLICA, 1), ("r1", 6, Role.REPLICA, 1)
    )
    (line,) = find_lines(lines, "replica is ahead of fenced endpoints")
    assert line["endpoint"] == "r1"
    assert line["fenced"].keys() == {"r2"}


def test_a_replica_that_goes_on_after_its_fence_is_lifted(group):
    """The lifted fence of r2 has not been seen yet."""
    lines = record_reports(
        group, ("r1", 7, Role.REPLICA, 1), ("r1", 8, Role.REPLICA, 1)
    )
    assert not find_lines(lines, "replica is ahead of fenced endpoints")


@pytest.mark.parametrize(
    ("index", "term"),
    [(5, 1), (6, 2)],
    ids=["not ahead", "follows the term of the fences"],
)
def test_a_replica_that_received_nothing_past_the_fences(group, index, term):
    join(group, "new")
    lines = record_reports(group, ("new", index, Role.REPLICA, term))
    assert not find_lines(lines, "replica is ahead of fenced endpoints")


def test_a_changed_term_is_logged_with_the_one_before(group):
    (line,) = record_reports(group, ("r1", 5, Role.REPLICA, 1))
    assert line["event"] == "endpoint follows another term"
    assert (line["role"], line["term"]) == ("replica", 1)
    assert line["before"] == "fenced in term 2"


def test_a_primary_that_another_daemon_promoted_is_logged(group):
    lines = record_reports(
        group, ("r1", 5, Role.PRIMARY, 2), ("r1", 6, Role.PRIMARY, 2)
    )
    (line,) = find_lines(lines, "endpoint leads a new term")
    assert (line["group"], line["endpoint"]) == ("g", "r1")
    assert (line["term"], line["led_term"]) == (2, 1)
    assert line["position"].endswith("index=5)")
    assert line["requested_seconds"] is None


def test_a_promotion_is_logged_with_the_time_since_its_request(group):
    group.events.record_request("r1")
    lines = record_reports(
        group, ("r1", 5, Role.PRIMARY, 2), ("r1", 6, Role.PRIMARY, 3)
    )
    first, second = find_lines(lines, "endpoint leads a new term")
    assert 0 <= first["requested_seconds"] < 60
    assert second["requested_seconds"] is None


def test_the_first_primary_that_a_daemon_sees_is_not_new():
    group = monitored_groups.make_group()
    lines = record_reports(group, ("p", 5, Role.PRIMARY, 4))
    assert not find_lines(lines, "endpoint leads a new term")
