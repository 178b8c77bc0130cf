"""No acknowledged write is lost, in any order of steps."""

import pytest

from fescuestile import failover
from tests.model_check import explorer
from tests.model_check import failover_world
from tests.model_check import planted_bugs

Build = failover_world.Build
Scope = failover_world.Scope
LIMIT = 120_000
STARTS = {
    "new": failover_world.make_world,
    "divergent": planted_bugs.make_divergent_world,
    "contested": planted_bugs.make_contested_world,
}


def explore(start, scope, build=None):
    world = STARTS[start](build or Build(), scope)
    return explorer.explore(world, LIMIT)


@pytest.mark.invariant_2
@pytest.mark.parametrize(
    ("start", "scope"),
    [
        ("new", Scope(writes=1, attempts=2, losses=1)),
        ("new", Scope(writes=2, attempts=1, crashes=1, losses=1)),
        ("divergent", Scope(writes=1, attempts=1, losses=1)),
        ("contested", Scope(writes=1, attempts=1, losses=1, batch=1)),
    ],
)
def test_no_order_of_steps_breaks_the_rules(start, scope):
    outcome = explore(start, scope)
    assert outcome.violation is None, outcome.trace
    assert outcome.states > 100


@pytest.mark.invariant_2
@pytest.mark.parametrize(
    ("start", "scope", "build"),
    [
        pytest.param(
            "new",
            Scope(writes=1, attempts=1),
            Build(endpoint=planted_bugs.UnfencedEndpoint),
            id="no fence",
        ),
        pytest.param(
            "new",
            Scope(writes=1, attempts=1),
            Build(confirm_majority=1),
            id="no wait for the majority",
        ),
        pytest.param(
            "new",
            Scope(writes=1, attempts=1),
            Build(rules=planted_bugs.FirstGrantRules),
            id="promotion before the fence holds at a majority",
        ),
        pytest.param(
            "contested",
            Scope(writes=0, attempts=1, batch=1),
            Build(tracker=planted_bugs.PriorTermTracker),
            id="a prior term's entry counts by itself",
        ),
        pytest.param(
            "divergent",
            Scope(writes=1, attempts=1),
            Build(
                endpoint=planted_bugs.KeepsTailEndpoint,
                tracker=planted_bugs.IndexTracker,
            ),
            id="an old primary's tail counts",
        ),
        pytest.param(
            "new",
            Scope(writes=1, attempts=1, crashes=1),
            Build(endpoint=planted_bugs.ForgetfulEndpoint),
            id="an endpoint without its state grants",
        ),
        pytest.param(
            "new",
            Scope(writes=1, attempts=1, crashes=1),
            Build(may_rejoin=lambda own, others, size: bool(own.primary)),
            id="an endpoint counts before it has caught up",
        ),
    ],
)
def test_a_planted_bug_is_found(start, scope, build):
    outcome = explore(start, scope, build)
    assert outcome.violation is not None
    assert outcome.trace


@pytest.mark.invariant_2
@pytest.mark.parametrize(
    "rank",
    [planted_bugs.rank_by_fenced_term, planted_bugs.rank_by_length],
)
def test_a_wrong_comparison_of_logs_is_found(rank, monkeypatch):
    monkeypatch.setattr(failover, "rank_log", rank)
    outcome = explore("divergent", Scope(writes=0, attempts=1))
    assert outcome.violation is not None
