"""Tests of what shows that an endpoint answers in a run that is known."""

import types

import pytest

from fescuestile import clock
from fescuestile import endpoint_messages
from fescuestile import positions
from fescuestile_daemon.relay.endpoints import endpoint_runs
from fescuestile_daemon.relay.records import leases
from tests import builders
from tests import lease_stores

Role = endpoint_messages.Role


def make_connection(opened_at):
    return types.SimpleNamespace(opened_at=opened_at)


@pytest.fixture
def run():
    """Return a run of which connections opened until 10.0 are known."""
    made = endpoint_runs.EndpointRun()
    made.trust(10.0)
    return made


def test_a_first_connection_is_unknown():
    run = endpoint_runs.EndpointRun()
    assert not run.record_answer(make_connection(1.0), 2.0)
    assert run.is_unknown
    assert not run.has_been_known


def test_an_answer_on_a_known_connection_vouches_for_earlier_ones(run):
    assert run.record_answer(make_connection(9.0), 12.0)
    assert run.record_answer(make_connection(11.0), 13.0)
    assert not run.is_unknown


def test_an_answer_to_an_earlier_request_vouches_for_nothing(run):
    """Guards against LOST: the endpoint may have ended after the request."""
    assert run.record_answer(make_connection(9.0), 12.0)
    assert not run.record_answer(make_connection(12.5), 14.0)
    assert run.is_unknown


def test_an_unknown_connection_vouches_for_none(run):
    assert not run.record_answer(make_connection(11.0), 20.0)
    assert not run.record_answer(make_connection(12.0), 21.0)


def report_log(run, end, term=1, followed=1, role=Role.REPLICA):
    """Record a report; return whether its log holds all that was shown."""
    report = builders.build_log_report("r1", end, role, term, followed)
    run.record_report(make_connection(1.0), 2.0, report)
    return run.has_kept_log(report)


@pytest.mark.parametrize("role", [Role.REPLICA, Role.FENCED])
def test_a_shorter_log_in_one_term_shows_a_start_without_it(run, role):
    """Guards against LOST and STALE: its entry names the former run."""
    assert report_log(run, 5)
    term = 2 if role is Role.FENCED else 1
    assert not report_log(run, 0, term, role=role)
    assert run.log_end.index == 5
    assert report_log(run, 5, term, role=role)


def test_a_shorter_log_than_a_statement_showed_is_seen(run):
    """Guards against LOST: no report came between the write and the start."""
    assert report_log(run, 4)
    run.record_position(positions.Position(1, 5))
    assert not report_log(run, 4)


def test_the_log_of_a_later_term_may_be_shorter(run):
    """Guards against a replica that never counts again after a takeover."""
    assert report_log(run, 5)
    assert report_log(run, 4, term=2, followed=2)
    run.record_position(positions.Position(1, 5))
    assert report_log(run, 4, term=2, followed=2)
    assert not report_log(run, 5)


async def test_the_lease_is_free_while_nobody_holds_it():
    store, manual = lease_stores.MemoryStore(), clock.ManualClock()
    first = leases.LeaseManager(store, "d1", manual)
    second = leases.LeaseManager(store, "d2", manual)
    assert await first.is_free()
    assert await second.acquire() is not None
    assert not await first.is_free()
    assert not await second.is_free()
    await second.release()
    assert await first.is_free()
    assert await second.is_free()


async def test_the_lease_of_a_daemon_that_has_ended_becomes_free():
    store, manual = lease_stores.MemoryStore(), clock.ManualClock()
    first = leases.LeaseManager(store, "d1", manual)
    second = leases.LeaseManager(store, "d2", manual)
    assert await second.acquire() is not None
    assert not await first.is_free()
    manual.advance(leases.LEASE_SECONDS + 0.1)
    assert not await first.is_free()
    manual.advance(leases.CLOCK_DRIFT_SECONDS)
    assert await first.is_free()


async def test_a_lease_of_a_former_era_is_not_free():
    """Guards against LOST: the store may have forgotten a later holder."""
    store, manual = lease_stores.MemoryStore(), clock.ManualClock()
    manager = leases.LeaseManager(store, "d1", manual)
    assert await manager.is_free()
    store.restore(store.copy())
    assert not await manager.is_free()
