"""Choice of the endpoint that a failover promotes."""

import random

import pytest

from fescuestile import endpoint_messages
from fescuestile import failover
from fescuestile import failover_steps as steps
from fescuestile import positions
from fescuestile import promotion_order
from tests import builders

Position = positions.Position
Verdict = endpoint_messages.Verdict
PLAN = builders.build_plan()
NAMES = tuple(PLAN.endpoint_by_name)


def grant(number, term, **changes):
    """Return the report of an endpoint that grants a term."""
    return builders.build_report(
        number, term=term, verdict=Verdict.DONE, **changes
    )


def start(leaving, plan=PLAN):
    """Return rules and a driver that fences the endpoints at term 2."""
    rules = failover.FailoverRules(plan, random.Random(1))
    rules.leaving = frozenset(leaving)
    driver = steps.Driver("d1", highest=1)
    driver, _ = rules.advance(driver, steps.PrimarySuspected(0), 0.0)
    now = failover.MAX_JITTER_SECONDS
    return rules, rules.advance(driver, steps.Ticked(), now)[0]


@pytest.mark.parametrize(
    ("lasts", "target", "chosen"),
    [
        ((Position(1, 30), Position(2, 9), Position(2, 8)), "", 1),
        ((Position(1, 9), Position(1, 10), Position(1, 8)), "", 1),
        ((Position(1, 9), Position(1, 9), Position(1, 9)), NAMES[0], 0),
        ((Position(1, 9), Position(1, 8), Position(1, 8)), NAMES[2], 2),
        ((Position(1, 9), Position(1, 9), Position(1, 8)), NAMES[2], 1),
    ],
)
def test_the_most_advanced_log_is_chosen(lasts, target, chosen):
    grants = {
        name: grant(number, 3, last=last)
        for number, (name, last) in enumerate(
            zip(NAMES, lasts, strict=True), 1
        )
    }
    assert (
        promotion_order.choose_endpoint(PLAN, grants, target) == NAMES[chosen]
    )


def test_a_failover_promotes_an_endpoint_that_stays():
    """Guards against a new primary that is leaving and refuses all work.

    The replicas have logs of equal length.
    """
    rules, driver = start({NAMES[2]})
    for number in (2, 3):
        replied = steps.FenceReplied(2, grant(number, 2))
        driver, actions = rules.advance(driver, replied, 0.2)
    assert actions == (steps.SendPromote(NAMES[1], 2),)


def test_a_failover_promotes_a_leaving_endpoint_for_its_longer_log():
    """Guards against losing a write that a leaving endpoint confirmed."""
    rules, driver = start({NAMES[2]})
    ahead = grant(3, 2, last=Position(1, 11))
    for reply in (grant(2, 2), ahead):
        replied = steps.FenceReplied(2, reply)
        driver, _ = rules.advance(driver, replied, 0.2)
    late = 0.2 + failover.GRANT_WAIT_SECONDS
    _, actions = rules.advance(driver, steps.Ticked(), late)
    assert actions == (steps.SendPromote(NAMES[2], 2),)


def test_a_driver_waits_for_the_grant_of_an_endpoint_that_stays():
    """Guards against a new primary that is leaving, likewise.

    The majority that grants the term first is leaving as a whole.
    """
    plan = builders.build_plan(
        endpoints=tuple(builders.build_endpoint(n) for n in range(1, 6))
    )
    rules, driver = start({f"endpoint-{n}" for n in (3, 4, 5)}, plan)
    for number in (3, 4, 5):
        replied = steps.FenceReplied(2, grant(number, 2))
        driver, actions = rules.advance(driver, replied, 0.2)
        assert actions == ()
    replied = steps.FenceReplied(2, grant(2, 2))
    _, actions = rules.advance(driver, replied, 0.2)
    assert actions == (steps.SendPromote("endpoint-2", 2),)
