"""A group's endpoints change only once the last change is recorded."""

import dataclasses
import random

import pytest

from fescuestile import configuration
from fescuestile import confirmation
from fescuestile import endpoint_messages
from fescuestile import failover
from fescuestile import failover_steps
from fescuestile import plan_records
from fescuestile import plans
from fescuestile import positions
from fescuestile import read_confirmation
from fescuestile_standins import endpoint_state
from tests import builders

Position = positions.Position
Role = endpoint_messages.Role
Verdict = endpoint_messages.Verdict
PLAN = dataclasses.replace(builders.build_plan(), endpoints_revision=2)
NAMES = tuple(PLAN.endpoint_by_name)
EARLIER = dataclasses.replace(PLAN, endpoints_revision=1)


def build_report(number, **changes):
    role = Role.PRIMARY if number == 1 else Role.REPLICA
    fields = {"revision": 2, "last": Position(3, 5), "term": 3, "role": role}
    return builders.build_report(number, **(fields | changes))


def build_reports(*reports):
    return {report.endpoint: report for report in reports}


def change(change_id):
    return configuration.Change(change_id, "maria", "2026-01-01T00:00:00Z")


def test_a_majority_of_the_plan_records_its_endpoints():
    primary = build_report(1)
    assert not plan_records.is_recorded(PLAN, build_reports(primary))
    reports = build_reports(primary, build_report(2))
    assert plan_records.is_recorded(PLAN, reports)
    assert plan_records.is_recorded(
        dataclasses.replace(PLAN, endpoints_revision=0), {}
    )


@pytest.mark.parametrize(
    "fields",
    [
        {"revision": 1},
        {"role": Role.FENCED},
        {"role": Role.REJOINING},
        {"term": 2},
        {"last": Position(2, 5)},
        {"endpoint": "elsewhere"},
    ],
    ids=lambda fields: next(iter(fields)),
)
def test_a_record_that_a_failover_may_drop_does_not_count(fields):
    """Guards against a second change before the first one is kept."""
    other = dataclasses.replace(build_report(2), **fields)
    reports = build_reports(build_report(1), other)
    assert not plan_records.is_recorded(PLAN, reports)


def read_content(prepared):
    assert prepared.is_ok(), prepared
    content = prepared.ok.content
    assert content is not None
    return content


def apply_change(held, plan):
    base = held.current.revision
    prepared = configuration.prepare_apply(
        held, plan, base, change(f"c{base + 1}")
    )
    return read_content(prepared)


def test_a_change_of_the_endpoints_gets_the_revision():
    prepared = configuration.prepare_declare(None, PLAN, change("c1"))
    held = read_content(prepared)
    assert held.current.plan.endpoints_revision == 0
    ranks = dataclasses.replace(PLAN, kinds=(), endpoints_revision=9)
    held = apply_change(held, ranks)
    assert held.current.plan.endpoints_revision == 0
    smaller = dataclasses.replace(ranks, endpoints=PLAN.endpoints[:2])
    held = apply_change(held, smaller)
    assert held.current.plan.endpoints_revision == 3
    prepared = configuration.prepare_revert(held, ranks, 3, change("c4"))
    held = read_content(prepared)
    assert held.current.plan.endpoints_revision == 4
    held = apply_change(held, ranks)
    assert held.current.plan.endpoints_revision == 4
    entry = configuration.encode_entry(held.current)
    assert configuration.decode_entry(entry).ok.plan.endpoints_revision == 4


def test_a_plan_stored_without_the_field_counts_as_unchanged():
    revision = builders.build_revision()
    encoded = configuration.encode_revision(revision)
    without = encoded.replace(b"endpoints_revision", b"endpoints_somewhen")
    assert without != encoded
    decoded = configuration.decode_revision(without).ok
    assert decoded.plan == revision.plan


def make_pair():
    primary, replica = map(endpoint_state.EndpointState, NAMES[:2])
    for state in (primary, replica):
        state.bootstrap(NAMES[0])
    replica.accept(1, 0, primary.log.list_after(0))
    return primary, replica


def test_a_primary_records_each_revision_once():
    primary, replica = make_pair()
    assert replica.record_revision(1, 2) is Verdict.TERM_REFUSED
    assert primary.record_revision(2, 2) is Verdict.TERM_REFUSED
    assert primary.record_revision(1, 2) is Verdict.DONE
    assert primary.record_revision(1, 2) is Verdict.DONE
    assert primary.record_revision(1, 1) is Verdict.DONE
    assert primary.report().last == Position(1, 2)
    assert primary.report().revision == 2
    assert primary.copy().report().revision == 2


def test_an_endpoint_refuses_fences_by_an_earlier_revision():
    """Guards against a driver that does not know the present majority."""
    primary, replica = make_pair()
    primary.record_revision(1, 2)
    assert replica.fence(2, "d1", revision=1) is Verdict.DONE
    replica.follow(2, NAMES[0])
    primary.fence(2, "d1", revision=2)
    primary.promote(2, "d1")
    replica.accept(2, 1, primary.log.list_after(1))
    assert replica.fence(3, "d1", revision=1) is Verdict.TERM_REFUSED
    assert replica.report().term == 2
    assert replica.fence(3, "d1", revision=2) is Verdict.DONE


def test_a_record_that_is_dropped_from_the_log_does_not_count():
    primary, _ = make_pair()
    primary.record_revision(1, 2)
    primary.truncate(1)
    assert primary.report().revision == 0
    assert primary.fence(2, "d1") is Verdict.DONE


def test_a_driver_names_the_revision_of_its_endpoints():
    rules = failover.FailoverRules(PLAN, random.Random(1))
    _, actions = rules.start_fencing(failover_steps.Driver("d1"), 0.0)
    assert actions == tuple(
        failover_steps.SendFence(name, 1, 2) for name in NAMES
    )


def test_the_primary_is_told_of_endpoints_that_its_log_lacks():
    reports = build_reports(
        build_report(1, term=2, revision=0),
        build_report(2, role=Role.PRIMARY, revision=1),
        build_report(3, revision=2),
    )
    command = failover_steps.SendRecord(NAMES[1], 3, 2)
    assert failover.find_missing_record(PLAN, reports) == (command,)
    assert failover.find_missing_record(EARLIER, reports) == ()
    assert failover.find_missing_record(PLAN, {}) == ()


def test_reports_of_a_later_revision_confirm_no_write():
    """Guards against a daemon that does not know the present majority."""
    tracker = confirmation.ConfirmationTracker(EARLIER)
    for number in (1, 2, 3):
        assert not tracker.observe(build_report(number))
    tracker.set_plan(PLAN)
    tracker.observe(build_report(1))
    assert tracker.observe(build_report(2))
    assert tracker.confirmed == Position(3, 5)


def test_reports_of_a_later_revision_confirm_no_read():
    rounds = read_confirmation.LeadershipRounds(EARLIER)
    ticket = rounds.begin_read()
    number = rounds.begin_round() or 0
    rounds.observe(number, build_report(2))
    assert not rounds.is_confirmed(ticket, 3, NAMES[0])
    rounds.set_plan(PLAN)
    rounds.observe(number, build_report(2))
    assert rounds.is_confirmed(ticket, 3, NAMES[0])


def make_single(revision):
    return plans.Plan("one", PLAN.endpoints[:1], (), (), revision)


def test_an_answer_alone_confirms_no_write_in_a_group_of_one():
    """Guards against a daemon that does not know that the group has grown."""
    tracker = confirmation.ConfirmationTracker(make_single(1))
    tracker.record_answer(NAMES[0], Position(3, 5))
    assert tracker.confirmed == positions.START
    assert not tracker.observe(build_report(1))
    tracker.set_plan(make_single(2))
    assert tracker.observe(build_report(1))


def test_an_answer_alone_confirms_no_read_in_a_group_of_one():
    rounds = read_confirmation.LeadershipRounds(make_single(1))
    ticket = rounds.begin_read()
    number = rounds.begin_round() or 0
    rounds.observe(number, build_report(1))
    assert not rounds.is_confirmed(ticket, 3, NAMES[0])
    rounds.set_plan(make_single(2))
    rounds.observe(number, build_report(1))
    assert rounds.is_confirmed(ticket, 3, NAMES[0])
