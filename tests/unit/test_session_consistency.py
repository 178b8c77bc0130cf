"""Session guarantees on the consistency model, also with injected bugs."""

import dataclasses

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies
import pytest

from fescuestile import groups
from fescuestile import positions
from fescuestile import sessions
from measurements import session_consistency
from measurements import session_model

EPISODE_STEPS = 250
SEEDS = range(4)
NAMES = [f"endpoint-{number}" for number in range(5)]


def run_walk(seed, size=5, build=session_model.SessionModel):
    walk = session_consistency.RandomWalk(seed, size, build)
    for _ in range(EPISODE_STEPS):
        walk.step()


class RoamWithoutToken(session_model.SessionModel):
    def roam(self, caller, daemon):
        caller.token = b""
        super().roam(caller, daemon)


class ReadWithoutMinimum(session_model.SessionModel):
    def make_request(self, caller, staleness):
        request = super().make_request(caller, staleness)
        return dataclasses.replace(request, minimum=positions.START)


class LooseStalenessBound(session_model.SessionModel):
    def make_request(self, caller, staleness):
        request = super().make_request(caller, staleness)
        return dataclasses.replace(request, staleness=1000 * staleness)


class UncheckedAnswers(session_model.SessionModel):
    def check(self, request, answer, routed, group):
        return True


@pytest.mark.parametrize("size", [3, 5])
def test_session_guarantees_hold(size):
    for seed in SEEDS:
        run_walk(seed, size)


@pytest.mark.parametrize(
    ("build", "seed"),
    [
        (RoamWithoutToken, 11),
        (ReadWithoutMinimum, 0),
        (LooseStalenessBound, 0),
        (UncheckedAnswers, 30),
    ],
)
def test_the_model_detects_injected_bugs(build, seed):
    with pytest.raises(session_model.Violation):
        run_walk(seed, build=build)


def test_the_model_detects_freshness_without_a_majority(monkeypatch):
    monkeypatch.setattr(
        groups.GroupTracker, "_find_majority_at", lambda self: float("inf")
    )
    with pytest.raises(session_model.Violation):
        run_walk(18)


class SessionMachine(stateful.RuleBasedStateMachine):
    """Steps of the model in an order that hypothesis generates."""

    def __init__(self):
        super().__init__()
        self.model = session_model.SessionModel(1, 5)

    callers = strategies.integers(0, session_model.SESSION_COUNT - 1)
    daemons = strategies.integers(0, session_model.DAEMON_COUNT - 1)
    names = strategies.sampled_from(NAMES)

    @stateful.rule(seconds=strategies.floats(0, 3))
    def advance(self, seconds):
        self.model.advance(seconds)

    @stateful.rule(name=names, daemon=daemons, delay=strategies.floats(0, 0.8))
    def report(self, name, daemon, delay):
        self.model.send_report(name, daemon, delay)

    @stateful.rule()
    def report_all(self):
        for name in NAMES:
            for daemon in range(session_model.DAEMON_COUNT):
                self.model.send_report(name, daemon, 0.001)
        self.model.advance(0.002)

    @stateful.rule(name=names, count=strategies.integers(1, 9))
    def replicate(self, name, count):
        self.model.replicate(name, count)

    @stateful.rule(granting=strategies.sets(names, min_size=3).map(sorted))
    def fail_over(self, granting):
        self.model.fail_over(granting)

    @stateful.rule(name=names)
    def join(self, name):
        self.model.follow_primary(name)

    @stateful.rule(caller=callers)
    def write(self, caller):
        self.model.write(self.model.callers[caller])

    @stateful.rule(caller=callers, daemon=daemons)
    def roam(self, caller, daemon):
        self.model.roam(self.model.callers[caller], daemon)

    @stateful.rule(
        caller=callers,
        staleness=strategies.sampled_from([0.0, 1.0, 5.0]),
        queued=strategies.floats(0, 1),
    )
    def read(self, caller, staleness, queued):
        self.model.read(self.model.callers[caller], staleness, queued)

    @stateful.rule()
    def rotate_keys(self):
        self.model.rotate_keys()

    @stateful.invariant()
    def tokens_are_valid(self):
        for caller in self.model.callers:
            if caller.token:
                ring = self.model.ring
                assert sessions.read_token(
                    ring, caller.token, caller.name
                ).is_ok()


SessionMachine.TestCase.settings = settings(
    derandomize=True,
    max_examples=25,
    stateful_step_count=60,
    deadline=None,
)
TestSessionMachine = SessionMachine.TestCase
