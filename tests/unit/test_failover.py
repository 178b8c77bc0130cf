import random

import pytest

from fescuestile import confirmation
from fescuestile import endpoint_messages
from fescuestile import failover
from fescuestile import failover_steps as steps
from fescuestile import failure_detection
from fescuestile import positions
from fescuestile import read_confirmation
from fescuestile_standins import rejoining
from tests import builders

Position = positions.Position
Role = endpoint_messages.Role
WriteState = confirmation.WriteState
Verdict = endpoint_messages.Verdict
PLAN = builders.build_plan()
NAMES = tuple(PLAN.endpoint_by_name)
REPORT = builders.build_report
OVERDUE = failure_detection.FAILURE_TIMEOUT_SECONDS + 0.1


def build_starts(*pairs):
    return tuple(positions.TermStart(*pair) for pair in pairs)


def build_evidence(
    unresponsive_seconds=0.0, replicas=(0.0, 0.0), age=0.1, **fields
):
    reports = {
        name: failure_detection.ObservedReport(
            REPORT(number, primary_silence=seconds), age
        )
        for number, (name, seconds) in enumerate(
            zip(NAMES, (0.0, *replicas), strict=True), 1
        )
    }
    defaults = {
        "plan": PLAN,
        "term": 1,
        "primary": NAMES[0],
        "unresponsive_seconds": unresponsive_seconds,
        "owner": "d1",
        "watchers": 3,
        "reports": reports,
    }
    return failure_detection.Evidence(**(defaults | fields))


def observe(**seconds_by_daemon):
    return tuple(
        failure_detection.RemoteObservation(*item)
        for item in seconds_by_daemon.items()
    )


@pytest.mark.parametrize(
    ("evidence", "reason"),
    [
        (build_evidence(), None),
        (build_evidence(0.99, (0.99, 0.99)), None),
        (build_evidence(OVERDUE, (OVERDUE, OVERDUE)), "CUT_FROM_REPLICAS"),
        (build_evidence(0.0, (OVERDUE, OVERDUE)), "CUT_FROM_REPLICAS"),
        (build_evidence(0.0, (OVERDUE, OVERDUE), age=2.0), None),
        (build_evidence(0.0, (OVERDUE, 0.0)), None),
        (build_evidence(OVERDUE, (OVERDUE, 0.0)), None),
        (
            build_evidence(OVERDUE, remote_observations=observe(d1=OVERDUE)),
            "UNRESPONSIVE",
        ),
        (
            build_evidence(
                OVERDUE, remote_observations=observe(d1=0.1, d3=OVERDUE)
            ),
            None,
        ),
        (
            build_evidence(OVERDUE, remote_observations=observe(d3=OVERDUE)),
            "UNRESPONSIVE",
        ),
        (build_evidence(OVERDUE, is_owner=True), None),
        (build_evidence(5.0, is_owner=True), "UNRESPONSIVE_TO_OWNER"),
        (build_evidence(primary="", no_primary_seconds=0.5), None),
        (build_evidence(primary="", no_primary_seconds=1.1), "NO_PRIMARY"),
        (build_evidence(term=0, primary="", no_primary_seconds=9.0), None),
        (
            build_evidence(
                reports={
                    NAMES[0]: failure_detection.ObservedReport(
                        REPORT(1, role=Role.REJOINING, term=0), 0.0
                    )
                }
            ),
            "LOST_STATE",
        ),
    ],
)
def test_suspicion_needs_several_observers(evidence, reason):
    found = failure_detection.find_failure(evidence)
    assert found == (failure_detection.Reason[reason] if reason else None)


def test_a_daemon_that_reaches_a_minority_does_not_fence():
    assert failure_detection.can_reach_majority(build_evidence())
    assert not failure_detection.can_reach_majority(build_evidence(age=2.0))


def test_own_pauses_do_not_count_against_endpoints():
    pauses = failure_detection.PauseDetector(0.0)
    pauses.record_running(0.1)
    assert pauses.exclude_pauses(0.1, 0.1) == 0.1
    pauses.record_running(9.1)
    assert pauses.exclude_pauses(9.0, 9.1) == 0.0
    pauses.record_running(9.3)
    assert pauses.exclude_pauses(9.2, 9.3) == pytest.approx(0.2)


def build_rules():
    return failover.FailoverRules(PLAN, random.Random(1))


def grant(number, term=1, verdict=Verdict.DONE, **changes):
    return REPORT(number, term=term, verdict=verdict, **changes)


def start(rules, index=0, now=0.0):
    driver = steps.Driver("d1", highest=1)
    driver, _ = rules.advance(driver, steps.PrimarySuspected(index), now)
    now += index * failover.START_DELAY_SECONDS + failover.MAX_JITTER_SECONDS
    return rules.advance(driver, steps.Ticked(), now)


def test_a_driver_fences_promotes_publishes_and_follows():
    rules = build_rules()
    driver, actions = start(rules)
    assert actions == tuple(steps.SendFence(name, 2) for name in NAMES)
    ahead = grant(2, 2, last=Position(1, 11))
    driver, _ = rules.advance(driver, steps.FenceReplied(2, ahead), 0.2)
    event: steps.Event = steps.FenceReplied(2, grant(3, 2))
    driver, actions = rules.advance(driver, event, 0.2)
    assert actions == (steps.SendPromote(NAMES[1], 2),)
    event = steps.PromoteReplied(2, grant(2, 2, role=Role.PRIMARY))
    driver, actions = rules.advance(driver, event, 0.3)
    assert actions[0] == steps.Publish(2, NAMES[1])
    for number in (1, 3):
        event = steps.FollowReplied(2, grant(number, 2))
        driver, _ = rules.advance(driver, event, 0.4)
    assert driver.step is steps.Step.IDLE


def test_drivers_start_by_index_and_a_recovery_ends_the_wait():
    rules = build_rules()
    waits = []
    for index in (0, 1, 2):
        waiting, _ = rules.advance(
            steps.Driver("d1"), steps.PrimarySuspected(index), 0.0
        )
        waits.append(waiting.wait)
        rested, _ = rules.advance(waiting, steps.SuspicionCleared(), 0.1)
        assert rested.step is steps.Step.IDLE
    assert waits == sorted(waits)
    assert waits[1] - waits[0] >= (
        failover.START_DELAY_SECONDS - failover.MAX_JITTER_SECONDS
    )


def test_grants_expire_while_their_driver_is_paused():
    rules = build_rules()
    driver, _ = start(rules)
    driver, _ = rules.advance(driver, steps.FenceReplied(2, grant(2, 2)), 0.2)
    late = driver.started_at + failover.GRANT_LIFETIME_SECONDS + 0.1
    event = steps.FenceReplied(2, grant(3, 2))
    driver, actions = rules.advance(driver, event, late)
    assert [type(action) for action in actions] == [steps.Abandon]
    assert driver.step is steps.Step.WAITING


@pytest.mark.parametrize(
    ("event", "now"),
    [
        (steps.FenceReplied(2, grant(2, 5, Verdict.TERM_REFUSED)), 0.2),
        (steps.ReportReceived(grant(2, 5)), 0.2),
        (steps.Ticked(), 1.0),
    ],
)
def test_a_failed_attempt_is_retried_under_a_higher_term(event, now):
    rules = build_rules()
    driver, _ = start(rules)
    driver, _ = rules.advance(driver, event, now)
    assert driver.step is steps.Step.WAITING
    driver, actions = rules.advance(driver, steps.Ticked(), now + 1.0)
    assert {action.term for action in actions} == {driver.highest}
    assert driver.term > 2


def test_commands_without_a_reply_are_sent_again():
    rules = build_rules()
    driver, _ = start(rules)
    driver, _ = rules.advance(driver, steps.FenceReplied(2, grant(2, 2)), 0.1)
    later = driver.sent_at + failover.RESEND_INTERVAL_SECONDS
    _, actions = rules.advance(driver, steps.Ticked(), later)
    assert {action.endpoint for action in actions} == {NAMES[0], NAMES[2]}


def test_a_switchover_waits_for_its_target():
    rules = build_rules()
    driver = steps.Driver("d1", highest=1)
    driver, actions = rules.advance(
        driver, steps.SwitchoverRequested(NAMES[2]), 0.0
    )
    assert not actions
    driver, _ = rules.advance(driver, steps.TargetCaughtUp(), 0.1)
    for number in (1, 2):
        event = steps.FenceReplied(2, grant(number, 2))
        driver, actions = rules.advance(driver, event, 0.1)
        assert not actions
    event = steps.FenceReplied(2, grant(3, 2))
    driver, actions = rules.advance(driver, event, 0.1)
    assert actions == (steps.SendPromote(NAMES[2], 2),)


def test_a_switchover_waits_for_a_late_grant_of_its_target():
    rules = build_rules()
    driver = steps.Driver("d1", highest=1)
    driver, _ = rules.advance(driver, steps.SwitchoverRequested(NAMES[2]), 0.0)
    driver, _ = rules.advance(driver, steps.TargetCaughtUp(), 0.0)
    for number in (1, 2):
        event = steps.FenceReplied(2, grant(number, 2))
        driver, _ = rules.advance(driver, event, 0.01)
    # A busy endpoint answers a fence after some statements.
    driver, actions = rules.advance(driver, steps.Ticked(), 0.4)
    assert not any(isinstance(each, steps.SendPromote) for each in actions)
    late: tuple[tuple[steps.Event, str], ...] = (
        (steps.FenceReplied(2, grant(3, 2)), NAMES[2]),
        (steps.Ticked(), NAMES[1]),
    )
    for following, chosen in late:
        _, actions = rules.advance(driver, following, 0.55)
        assert actions == (steps.SendPromote(chosen, 2),)


def test_a_failed_primary_that_still_grants_is_not_promoted_again():
    rules = build_rules()
    driver = steps.Driver("d1", highest=1)
    driver, _ = rules.advance(driver, steps.PrimarySuspected(0, NAMES[0]), 0.0)
    driver, _ = rules.advance(driver, steps.Ticked(), 0.1)
    longer = grant(1, 2, last=Position(1, 99))
    for report in (longer, grant(2, 2)):
        event = steps.FenceReplied(2, report)
        driver, actions = rules.advance(driver, event, 0.1)
        assert not actions
    others: tuple[tuple[steps.Event, str], ...] = (
        (steps.FenceReplied(2, grant(3, 2)), NAMES[2]),
        (steps.Ticked(), NAMES[0]),
    )
    for following, chosen in others:
        _, actions = rules.advance(driver, following, 0.3)
        assert actions == (steps.SendPromote(chosen, 2),)


def test_a_switchover_is_abandoned_when_its_target_stays_behind():
    rules = build_rules()
    driver, _ = rules.advance(
        steps.Driver("d1"), steps.SwitchoverRequested(NAMES[2]), 0.0
    )
    driver, actions = rules.advance(
        driver, steps.Ticked(), failover.CATCH_UP_TIMEOUT_SECONDS
    )
    assert isinstance(actions[0], steps.Abandon)
    assert driver.step is steps.Step.IDLE


def test_endpoints_that_do_not_follow_get_a_follow_command():
    reports = {
        NAMES[0]: REPORT(1, role=Role.PRIMARY),
        NAMES[1]: REPORT(2, role=Role.PRIMARY, term=2, primary=NAMES[1]),
        NAMES[2]: REPORT(3, term=2, primary=NAMES[1]),
    }
    follow = steps.SendFollow(NAMES[0], 2, NAMES[1])
    assert failover.find_missing_follows(PLAN, reports) == (follow,)
    reports[NAMES[2]] = REPORT(3, role=Role.FENCED, term=3, primary="")
    assert failover.find_missing_follows(PLAN, reports) == ()


NEW_TERM = build_starts((1, 1), (2, 8))


@pytest.mark.parametrize(
    ("reports", "position", "state"),
    [
        ([REPORT(1), REPORT(2)], Position(1, 10), WriteState.CONFIRMED),
        ([REPORT(1)], Position(1, 10), WriteState.PENDING),
        ([REPORT(1), REPORT(2)], Position(1, 11), WriteState.PENDING),
        (
            [REPORT(1), REPORT(2, role=Role.FENCED)],
            Position(1, 10),
            WriteState.PENDING,
        ),
        (
            [REPORT(1), REPORT(2, role=Role.REJOINING)],
            Position(1, 10),
            WriteState.PENDING,
        ),
        ([REPORT(1), REPORT(2, term=2)], Position(1, 10), WriteState.PENDING),
        (
            [
                REPORT(n, term=2, last=Position(2, 8), starts=NEW_TERM)
                for n in (2, 3)
            ],
            Position(1, 7),
            WriteState.CONFIRMED,
        ),
        (
            [
                REPORT(n, term=2, last=Position(2, 9), starts=NEW_TERM)
                for n in (2, 3)
            ],
            Position(1, 9),
            WriteState.LOST,
        ),
    ],
)
def test_a_majority_of_the_term_confirms(reports, position, state):
    tracker = confirmation.ConfirmationTracker(PLAN)
    for report in reports:
        tracker.observe(report)
    assert tracker.find_state(position) is state


def test_the_primarys_answer_counts_as_an_acknowledgement():
    tracker = confirmation.ConfirmationTracker(PLAN)
    tracker.record_answer(NAMES[0], Position(1, 10))
    assert tracker.find_state(Position(1, 10)) is WriteState.PENDING
    assert tracker.observe(REPORT(2))
    assert tracker.find_state(Position(1, 10)) is WriteState.CONFIRMED


def test_a_current_read_needs_responses_from_after_it_began():
    rounds = read_confirmation.LeadershipRounds(PLAN)
    first = rounds.begin_read()
    number = rounds.begin_round() or 0
    late = rounds.begin_read()
    rounds.observe(number, REPORT(2))
    assert rounds.is_confirmed(first, 1, NAMES[0])
    assert not rounds.is_confirmed(late, 1, NAMES[0])
    rounds.observe(rounds.begin_round() or 0, REPORT(2, term=2))
    assert not rounds.is_confirmed(late, 1, NAMES[0])
    assert rounds.is_superseded(late, 1)
    assert rounds.begin_round() is None


@pytest.mark.parametrize(
    ("own", "others", "may"),
    [
        ({}, [{"role": Role.PRIMARY}, {}], True),
        ({}, [{"role": Role.PRIMARY}], False),
        ({}, [{}, {}], False),
        ({}, [{"role": Role.PRIMARY}, {"term": 2}], False),
        ({"last": Position(1, 9)}, [{"role": Role.PRIMARY}, {}], False),
        ({}, [{"role": Role.PRIMARY}, {"role": Role.REJOINING}], False),
    ],
)
def test_an_endpoint_without_state_rejoins_by_the_others_reports(
    own, others, may
):
    reports = [REPORT(n, **fields) for n, fields in enumerate(others, 1)]
    assert rejoining.may_rejoin(REPORT(3, **own), reports, 3) is may
