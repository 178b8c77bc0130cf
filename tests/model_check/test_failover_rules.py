"""No order of steps loses an acknowledged write or answers a stale read."""

import itertools

import pytest

from fescuestile import endpoint_messages
from fescuestile import promotion_order
from fescuestile_standins import endpoint_commands
from fescuestile_standins import endpoint_state
from tests.model_check import explorer
from tests.model_check import failover_parts
from tests.model_check import failover_world
from tests.model_check import injected_bugs
from tests.model_check import read_world

Build = failover_parts.Build
Scope = failover_parts.Scope
LIMIT = 120_000
STARTS = {
    "new": failover_world.make_world,
    "divergent": injected_bugs.make_divergent_world,
    "contested": injected_bugs.make_contested_world,
}


def explore(start, scope, build=None):
    world = STARTS[start](build or Build(), scope)
    return explorer.explore(world, LIMIT)


@pytest.mark.invariant_2
@pytest.mark.parametrize(
    ("start", "scope"),
    [
        ("new", Scope(writes=1, attempts=2, losses=1)),
        ("new", Scope(writes=1, attempts=2, avoids=True)),
        ("new", Scope(writes=2, attempts=1, crashes=1, losses=1)),
        ("divergent", Scope(writes=1, attempts=1, losses=1)),
        ("contested", Scope(writes=1, attempts=1, losses=1, batch=1)),
    ],
)
def test_no_order_of_steps_breaks_the_rules(start, scope):
    result = explore(start, scope)
    assert result.violation is None, result.trace
    assert result.states > 100


@pytest.mark.invariant_2
@pytest.mark.parametrize(
    ("start", "scope", "build"),
    [
        pytest.param(
            "new",
            Scope(writes=1, attempts=1),
            Build(endpoint=injected_bugs.UnfencedEndpoint),
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
            Build(rules=injected_bugs.FirstGrantRules),
            id="promotion before the fence holds at a majority",
        ),
        pytest.param(
            "contested",
            Scope(writes=0, attempts=1, batch=1),
            Build(tracker=injected_bugs.PriorTermTracker),
            id="an earlier term's entry is confirmed by itself",
        ),
        pytest.param(
            "divergent",
            Scope(writes=1, attempts=1),
            Build(
                endpoint=injected_bugs.KeepsTailEndpoint,
                tracker=injected_bugs.IndexTracker,
            ),
            id="an old primary's unconfirmed entries count",
        ),
        pytest.param(
            "new",
            Scope(writes=1, attempts=1),
            Build(tracker=injected_bugs.HastyTracker),
            id="a write that a later term kept is taken for replaced",
        ),
        pytest.param(
            "new",
            Scope(writes=1, attempts=1, crashes=1),
            Build(endpoint=injected_bugs.StateLossEndpoint),
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
def test_an_injected_bug_is_found(start, scope, build):
    result = explore(start, scope, build)
    assert result.violation is not None
    assert result.trace


@pytest.mark.invariant_2
@pytest.mark.parametrize(
    "sort_key",
    [injected_bugs.sort_by_fenced_term, injected_bugs.sort_by_length],
)
def test_a_wrong_comparison_of_logs_is_found(sort_key, monkeypatch):
    monkeypatch.setattr(promotion_order, "make_log_key", sort_key)
    result = explore("divergent", Scope(writes=0, attempts=1))
    assert result.violation is not None


@pytest.mark.invariant_2
def test_no_order_of_steps_answers_a_stale_read():
    result = explorer.explore(read_world.make_world(2), LIMIT)
    assert result.violation is None, result.trace
    assert result.states > 100


@pytest.mark.invariant_2
def test_a_read_without_a_majority_is_found_stale():
    result = explorer.explore(read_world.make_world(1), LIMIT)
    assert result.violation is not None


TRANSACTION_STEPS = (
    ("begin 1", endpoint_messages.Begin(1, 1)),
    ("write 1", endpoint_messages.Execute(2, 1, "PUT k v", False)),
    ("commit 1", endpoint_messages.Commit(3, 1)),
    ("commit 2", endpoint_messages.Commit(4, 2)),
)


def find_mixed_terms(runner_class):
    """Return the orders in which a transaction commits in another term."""
    found = []
    labels = ["fence", *(label for label, _ in TRANSACTION_STEPS)]
    commands = dict(TRANSACTION_STEPS)
    for order in itertools.permutations(labels):
        state = endpoint_state.EndpointState("a")
        state.bootstrap("a")
        runner = runner_class(state)
        for label in order:
            if label == "fence":
                state.fence(2, "d")
                state.promote(2, "d")
            else:
                runner.run(commands[label])
        if any(entry.changes for entry in state.log.list_after(1)) and (
            order.index("begin 1") < order.index("write 1")
        ):
            (written,) = [entry for entry in state.log if entry.changes]
            if written.position.term != 1:
                found.append(order)
    return found


class LateCommitRunner(endpoint_commands.CommandRunner):
    """Commits a transaction under the term of the commit."""

    def run(self, command):
        if isinstance(command, endpoint_messages.Commit) and self._transaction:
            self._transaction.term = command.term
        return super().run(command)


@pytest.mark.invariant_2
def test_no_transaction_commits_under_a_later_term():
    assert find_mixed_terms(endpoint_commands.CommandRunner) == []
    assert find_mixed_terms(LateCommitRunner)
