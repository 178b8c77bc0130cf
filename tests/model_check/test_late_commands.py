"""Commands that take effect late, and promises that are forgotten."""

import itertools
import random

import pytest

from fescuestile import confirmation
from fescuestile import endpoint_messages
from fescuestile import failover
from fescuestile import failover_steps
from fescuestile_standins import endpoint_state
from fescuestile_standins import rejoining
from tests import builders
from tests.model_check import late_world

Role = endpoint_messages.Role
Verdict = endpoint_messages.Verdict
# Found a promotion under another promise: 19, 25, 44, 45.
SEEDS = (*range(12), 19, 25, 44, 45)


@pytest.mark.invariant_2
@pytest.mark.parametrize("size", [3, 5])
def test_late_commands_and_lost_states_lose_no_write(size):
    """Guards against orders that take effect after their driver gave up."""
    worlds = [late_world.play(seed, size) for seed in SEEDS]
    assert sum(len(world.promoted) for world in worlds) > 5 * len(SEEDS)
    assert sum(world.restarts for world in worlds) > len(SEEDS)
    assert any(world.late for world in worlds)


class AnyPromiseEndpoint(endpoint_state.EndpointState):
    """Takes a promotion under whichever term it promised."""

    def promote(self, term, driver, now=0.0):
        if self.role is Role.FENCED:
            term, driver = self.term, self.driver
        return super().promote(term, driver, now)


class BlankEndpoint(endpoint_state.EndpointState):
    """Grants after it lost its state, like a new endpoint."""

    def __init__(self, name):
        super().__init__(name)
        self.role = Role.FENCED


@pytest.mark.invariant_2
@pytest.mark.parametrize("endpoint", [AnyPromiseEndpoint, BlankEndpoint])
def test_an_endpoint_that_keeps_no_promise_is_found(endpoint):
    build = late_world.Build(endpoint=endpoint)
    found = 0
    for seed in SEEDS:
        try:
            late_world.play(seed, 5, build)
        except late_world.BrokenRule:
            found += 1
    assert found


class Takeover:
    """A driver that pauses while one of five endpoints forgets its term.

    ``b`` grants at once and restarts without its state. ``c`` and ``d`` grant
    while the driver is paused, and its promotion arrives late. The first
    primary ``a`` goes on with everybody who works under its term.
    """

    def __init__(self, endpoint, quarantine):
        plan = builders.build_plan(
            endpoints=tuple(
                builders.build_endpoint(number, name=name)
                for number, name in enumerate("abcde", 1)
            )
        )
        self.endpoints = {name: endpoint(name) for name in "abcde"}
        for each in self.endpoints.values():
            each.bootstrap("a")
            each.accept(1, 0, self.endpoints["a"].log.list_after(0))
        self.tracker = confirmation.ConfirmationTracker(plan)
        self.rules = failover.FailoverRules(plan, random.Random(1))
        self.driver, _ = self.rules.start_fencing(
            failover_steps.Driver("d1", highest=1), 0.0
        )
        self.endpoint = endpoint
        self.quarantine = quarantine

    def grant(self, name, now):
        """Fence an endpoint; its answer reaches the driver at once."""
        endpoint = self.endpoints[name]
        verdict = endpoint.fence(2, "d1", now)
        event = failover_steps.FenceReplied(2, endpoint.report(0, verdict))
        self.driver, _ = self.rules.advance(self.driver, event, now)

    def rejoin(self, name):
        """Follow ``a`` and count again if some of the others allow it."""
        endpoint = self.endpoints[name]
        endpoint.follow(1, "a")
        endpoint.accept(1, 0, self.endpoints["a"].log.list_after(0))
        others = [e.report() for n, e in self.endpoints.items() if n != name]
        count = rejoining.count_required_reports(len(self.endpoints))
        for asked in itertools.combinations(others, count):
            if rejoining.may_rejoin(endpoint.report(), asked, 5):
                endpoint.rejoin()

    def loses_write(self, granted_at, promoted_at):
        """Return whether ``d`` is promoted without a confirmed write."""
        self.grant("b", 0.1)
        self.endpoints["b"] = self.endpoint("b")
        events = [
            (granted_at, lambda: self.grant("d", granted_at)),
            (granted_at, lambda: self.grant("c", granted_at)),
            (promoted_at, lambda: self.promote(promoted_at)),
            (self.quarantine + 0.2, lambda: self.rejoin("b")),
        ]
        for _, act in sorted(events, key=lambda event: event[0]):
            act()
        primary = self.endpoints["a"]
        written = primary.write({}, [])
        for endpoint in self.endpoints.values():
            endpoint.accept(1, 1, primary.log.list_after(1))
            self.tracker.observe(endpoint.report())
        confirmed = confirmation.WriteState.CONFIRMED
        is_confirmed = self.tracker.find_state(written) is confirmed
        return is_confirmed and self.endpoints["d"].role is Role.PRIMARY

    def promote(self, now):
        if self.driver.chosen == "d":
            self.endpoints["d"].promote(2, "d1", now)


GRANTED_AT = (0.5, 1.9, 2.05, 7.9, 8.5)
DELAYS = (0.05, 2.0, 4.9, 5.1, 12.0)


def find_losses(
    endpoint=endpoint_state.EndpointState,
    quarantine=rejoining.QUARANTINE_SECONDS,
):
    """Return the times of a grant and a promotion that lose a write."""
    return [
        (granted_at, granted_at + delay)
        for granted_at, delay in itertools.product(GRANTED_AT, DELAYS)
        if Takeover(endpoint, quarantine).loses_write(
            granted_at, granted_at + delay
        )
    ]


@pytest.mark.invariant_2
def test_no_forgotten_promise_counts_for_a_late_promotion():
    """Guards against grants of endpoints that have lost their state."""
    assert find_losses() == []


@pytest.mark.invariant_2
@pytest.mark.parametrize(
    ("quarantine", "lifetime"),
    [
        pytest.param(1.0, 2.0, id="a quarantine shorter than grants last"),
        pytest.param(8.0, 60.0, id="grants that never expire"),
    ],
)
def test_a_wrong_limit_of_time_is_found(quarantine, lifetime, monkeypatch):
    monkeypatch.setattr(failover, "GRANT_LIFETIME_SECONDS", lifetime)
    assert find_losses(quarantine=quarantine)


@pytest.mark.parametrize(
    ("delay", "verdict"),
    [(4.9, Verdict.DONE), (5.1, Verdict.TERM_REFUSED)],
)
def test_a_repeated_fence_does_not_renew_its_promise(delay, verdict):
    """Guards against a promotion that is taken however late it arrives."""
    endpoint = endpoint_state.EndpointState("b")
    endpoint.bootstrap("a")
    for now in (0.0, 4.0):
        endpoint.fence(2, "d1", now)
    assert endpoint.promote(2, "d1", delay) is verdict
