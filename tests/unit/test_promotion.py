"""No promotion loses an acknowledged write, whatever was fenced."""

import hypothesis
from hypothesis import strategies
import pytest

from fescuestile import endpoint_messages
from fescuestile import plans
from fescuestile import promotion
from tests import builders

Role = endpoint_messages.Role
NAMES = ("p", "r1", "r2", "r3", "r4")


def make_plan(count):
    endpoints = tuple(
        plans.Endpoint(name, "a", "127.0.0.1:1", 2, 16)
        for name in NAMES[:count]
    )
    return plans.Plan("g", endpoints, (), ())


@strategies.composite
def draw_history(draw):
    """Draw the ends of a group's logs and who is fenced and leaving.

    The primary holds all writes and each replica a prefix of them. Every
    write that a replica holds counts as acknowledged.
    """
    count = draw(strategies.integers(2, 5))
    written = draw(strategies.integers(0, 6))
    ends = {"p": written}
    for name in NAMES[1:count]:
        ends[name] = draw(strategies.integers(0, written))
    names = strategies.sets(strategies.sampled_from(NAMES[:count]))
    return count, ends, draw(names), draw(names)


def choose(count, ends, fenced, leaving):
    """Return the endpoint to promote after these fences, if any."""
    return promotion.choose_promotion(
        make_plan(count),
        {name: builders.build_log_report(name, ends[name]) for name in fenced},
        failed_primary="p",
        leaving=leaving,
    )


@hypothesis.given(
    draw_history(), strategies.integers(0, 3), strategies.integers(0, 3)
)
@hypothesis.settings(max_examples=500, derandomize=True, deadline=None)
def test_a_choice_is_ruled_out_only_if_no_fences_allow_one(
    history, absent, ended
):
    """Guards against fences that stop a group in vain."""
    count, ends, fenced, leaving = history
    ended = min(absent, ended)
    chosen = promotion.choose_promotion(
        make_plan(count),
        {name: builders.build_log_report(name, ends[name]) for name in fenced},
        "p",
        absent,
        ended,
        leaving,
    )
    may_choose = promotion.may_choose(make_plan(count), "p", absent, ended)
    if chosen is not None:
        assert may_choose
    if may_choose:
        everyone = {
            name: builders.build_log_report(name, 6) for name in NAMES[:count]
        }
        assert promotion.choose_promotion(
            make_plan(count), everyone, "p", absent, ended
        )


def find_acknowledged(ends):
    return max(end for name, end in ends.items() if name != "p")


@hypothesis.given(draw_history())
@hypothesis.settings(max_examples=500, derandomize=True, deadline=None)
def test_chosen_endpoint_holds_every_acknowledged_write(history):
    count, ends, fenced, leaving = history
    chosen = choose(count, ends, fenced, leaving)
    if chosen is not None:
        assert ends[chosen] >= find_acknowledged(ends)


@hypothesis.given(draw_history())
@hypothesis.settings(max_examples=500, derandomize=True, deadline=None)
def test_nothing_can_be_acknowledged_after_the_choice(history):
    count, ends, fenced, leaving = history
    chosen = choose(count, ends, fenced, leaving)
    if chosen is not None:
        replicas = set(NAMES[1:count])
        assert "p" in fenced or replicas <= fenced


@hypothesis.given(draw_history())
@hypothesis.settings(max_examples=500, derandomize=True, deadline=None)
def test_a_leaving_replica_is_chosen_only_for_its_longer_log(history):
    """Guards against work at an endpoint that was promoted while leaving."""
    count, ends, fenced, leaving = history
    chosen = choose(count, ends, fenced, leaving)
    if chosen in leaving and chosen != "p":
        staying = fenced - leaving - {"p"}
        assert all(ends[name] < ends[chosen] for name in staying)


def test_a_majority_without_the_primary_is_too_few_of_five():
    fenced = {
        name: builders.build_log_report(name, index)
        for name, index in (("r1", 3), ("r2", 4), ("r3", 5))
    }
    plan = make_plan(5)
    assert promotion.choose_promotion(plan, fenced, "p") is None
    fenced["r4"] = builders.build_log_report("r4", 9)
    assert promotion.choose_promotion(plan, fenced, "p") == "r4"


def test_a_majority_with_the_primary_is_too_few_of_five():
    """Guards against losing writes of a primary that a partition hides.

    The two that are not fenced may be a later primary and its replica.
    """
    fenced = {
        name: builders.build_log_report(name, 5) for name in ("p", "r1", "r2")
    }
    plan = make_plan(5)
    assert promotion.choose_promotion(plan, fenced, "p") is None
    fenced["r3"] = builders.build_log_report("r3", 5)
    assert promotion.choose_promotion(plan, fenced, "p") is not None


@pytest.mark.parametrize(
    ("size", "needed"), [(1, 2), (2, 2), (3, 2), (4, 3), (5, 4), (6, 5)]
)
def test_all_endpoints_but_one_confirm_a_term(size, needed):
    assert promotion.count_confirming(size) == needed


def test_an_endpoint_that_left_the_plan_still_counts():
    plan = make_plan(2)
    fenced = {"r1": builders.build_log_report("r1", 3)}
    assert promotion.choose_promotion(plan, fenced, "p", absent=1) is None
    assert promotion.choose_promotion(plan, fenced, "p") == "r1"


def test_a_group_of_one_has_no_failover():
    plan = make_plan(1)
    fenced = {"p": builders.build_log_report("p", 3)}
    assert promotion.choose_promotion(plan, fenced, "p") is None


def test_a_primary_that_alone_holds_the_last_entries_is_promoted():
    fenced = {
        "p": builders.build_log_report("p", 9),
        "r1": builders.build_log_report("r1", 3),
    }
    assert promotion.choose_promotion(make_plan(3), fenced, "p") == "p"
    fenced["r1"] = builders.build_log_report("r1", 9)
    assert promotion.choose_promotion(make_plan(3), fenced, "p") == "r1"


def test_a_replica_of_an_earlier_term_does_not_replace_a_fenced_primary():
    """Guards against losing what the primary held when it was promoted.

    The replica that held it too is not known, so one seems to be all.
    """
    fenced = {
        "p": builders.build_log_report("p", 9, followed=2),
        "r1": builders.build_log_report("r1", 3, followed=1),
    }
    plan = make_plan(2)
    assert promotion.choose_promotion(plan, fenced, "p") == "p"
    fenced["r1"] = builders.build_log_report("r1", 3, followed=2)
    assert promotion.choose_promotion(plan, fenced, "p") == "r1"
    fenced["r1"] = builders.build_log_report("r1", 9, followed=1)
    assert promotion.choose_promotion(plan, fenced, "p") == "r1"


def test_next_term_is_above_promises():
    reports = [
        builders.build_log_report("p", 1, Role.PRIMARY, 4),
        builders.build_log_report("r1", 1, Role.FENCED, 6),
    ]
    assert promotion.find_next_term(reports) == 7
    assert promotion.find_next_term([]) == 1


def test_primary_of_the_highest_term_counts():
    old = builders.build_log_report("p", 9, Role.PRIMARY, 3)
    new = builders.build_log_report("r1", 5, Role.PRIMARY, 4)
    assert promotion.find_primary([old, new]) is new
    assert promotion.find_primary([builders.build_log_report("r1", 5)]) is None


@pytest.mark.parametrize(("left", "covered"), [(1.0, True), (0.7, False)])
def test_nothing_is_sent_that_may_outlive_the_lease(left, covered):
    lease = promotion.Lease("d", 3, expires_at=10.0)
    assert promotion.covers_call(lease, 10.0 - left, 0.8) is covered


def test_a_fenced_primary_alone_may_not_be_the_latest():
    """The other endpoints may work under a later term."""
    plan = make_plan(3)
    fenced = {"p": builders.build_log_report("p", 9)}
    assert promotion.choose_promotion(plan, fenced, "p") is None
    fenced["r1"] = builders.build_log_report("r1", 8)
    assert promotion.choose_promotion(plan, fenced, "p") == "p"


def test_a_fenced_primary_of_an_earlier_term_does_not_count():
    plan = make_plan(3)
    fenced = {
        "p": builders.build_log_report("p", 9, followed=1),
        "r1": builders.build_log_report("r1", 9, followed=2),
    }
    assert promotion.choose_promotion(plan, fenced, "p") is None


@pytest.mark.parametrize(
    ("role", "term", "led_term", "counts"),
    [
        (Role.FENCED, 3, 0, True),
        (Role.FENCED, 4, 0, False),
        (Role.REPLICA, 3, 0, False),
        (Role.REPLICA, 2, 0, False),
        (Role.REPLICA, 2, 2, True),
        (Role.REPLICA, 2, 1, False),
        (Role.REPLICA, 3, 2, False),
        (Role.PRIMARY, 2, 2, False),
    ],
)
def test_a_fence_counts_only_where_it_took_effect(
    role, term, led_term, counts
):
    report = builders.build_log_report("r1", 5, role, term)
    assert promotion.counts_as_fenced(report, 3, led_term) is counts
