from fescuestile import endpoint_messages
from fescuestile import groups
from fescuestile import positions
from tests import builders

PRIMARY = endpoint_messages.Role.PRIMARY


def build_tracker():
    tracker = groups.GroupTracker(builders.build_revision())
    tracker.observe(builders.build_report(1, role=PRIMARY), 1.0)
    tracker.observe(builders.build_report(2), 1.0)
    return tracker


def test_the_primary_is_the_one_of_the_highest_term():
    tracker = build_tracker()
    promoted = builders.build_report(2, role=PRIMARY, term=2)
    tracker.observe(promoted, 2.0)
    assert tracker.take_snapshot().primary == "endpoint-2"


def test_no_primary_is_known_while_a_higher_term_is_only_promised():
    tracker = build_tracker()
    fenced = builders.build_report(
        3, role=endpoint_messages.Role.FENCED, term=2
    )
    tracker.observe(fenced, 2.0)
    assert tracker.take_snapshot().primary == ""


def test_an_older_report_does_not_replace_a_newer_one():
    tracker = build_tracker()
    late = builders.build_report(2, last=positions.Position(1, 3))
    assert not tracker.observe(late, 0.5)
    view = tracker.take_snapshot().endpoints["endpoint-2"]
    assert view.history.last == positions.Position(1, 10)


def test_a_replica_is_current_as_of_the_primary_position_it_holds():
    tracker = build_tracker()
    ahead = builders.build_report(
        1, role=PRIMARY, last=positions.Position(1, 20)
    )
    tracker.observe(ahead, 3.0)
    tracker.observe(builders.build_report(2), 4.0)
    view = tracker.take_snapshot().endpoints["endpoint-2"]
    assert view.current_at == 1.0


def test_a_replica_with_another_tail_is_not_current():
    tracker = build_tracker()
    tracker.observe(
        builders.build_report(3, last=positions.Position(1, 30)), 1.5
    )
    starts = (positions.TermStart(1, 1), positions.TermStart(2, 11))
    for number, role in ((2, PRIMARY), (1, endpoint_messages.Role.REPLICA)):
        report = builders.build_report(
            number,
            role=role,
            term=2,
            last=positions.Position(2, 11),
            starts=starts,
        )
        tracker.observe(report, 4.0)
    following = builders.build_report(
        3, term=2, last=positions.Position(1, 30)
    )
    tracker.observe(following, 5.0)
    assert tracker.take_snapshot().endpoints["endpoint-3"].current_at == 1.0


def test_a_primary_without_a_majority_makes_no_replica_current():
    tracker = build_tracker()
    tracker.observe(builders.build_report(2), 2.0)
    for at in (3.0, 4.0, 5.0):
        tracker.observe(builders.build_report(1, role=PRIMARY), at)
    view = tracker.take_snapshot().endpoints["endpoint-2"]
    assert view.current_at == 2.0


def test_reports_of_an_ended_term_make_no_replica_current():
    tracker = build_tracker()
    cut_off = builders.build_report(
        1, role=PRIMARY, last=positions.Position(1, 12)
    )
    tracker.observe(cut_off, 9.0)
    for number in (2, 3):
        tracker.observe(
            builders.build_report(
                number, term=2, last=positions.Position(1, 12)
            ),
            10.0,
        )
    view = tracker.take_snapshot().endpoints["endpoint-2"]
    assert view.current_at == 1.0
