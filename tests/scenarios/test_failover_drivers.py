"""Steps of failover_drivers.feature, on the decision logic without I/O."""

import random
import typing

import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from fescuestile import confirmation
from fescuestile import endpoint_messages
from fescuestile import failover_steps
from fescuestile_standins import endpoint_log
from tests.model_check import failover_parts
from tests.model_check import failover_world

scenarios("failover_drivers.feature")

Role = endpoint_messages.Role
STEPS_BEFORE_STOP = {
    "before its first fence": 0,
    "after one grant": 1,
    "after a majority": 2,
    "after the promotion": 3,
    "after one follow": 4,
}
SCOPE = failover_parts.Scope(writes=0, attempts=9)


class FailoverModel:
    """Endpoints and drivers in memory.

    A step delivers one command of a driver and the endpoint's reply.
    """

    def __init__(self):
        world = failover_world.make_world(failover_parts.Build(), SCOPE)
        self.rules = world.rules
        self.endpoints = world.endpoints
        self.drivers = world.drivers
        self.sends: dict[str, list[typing.Any]] = {
            name: [] for name in self.drivers
        }
        self.primaries = {}
        primary, replica, _ = self.endpoints.values()
        self.confirmed = primary.write({}, [])
        replica.accept(1, 1, primary.log.list_after(1))
        primary.write({}, [])
        self.failed = {"a"}

    def start(self, name):
        highest = max(e.term for e in self.endpoints.values())
        driver = failover_steps.Driver(name, highest=highest)
        self._apply(name, self.rules.start_fencing(driver, 0.0))

    def step(self, name):
        """Deliver the next command of a driver, if there is one.

        :returns: whether a command was left
        """
        if not self.sends[name]:
            return False
        action = self.sends[name].pop(0)
        endpoint = self.endpoints[action.endpoint]
        if endpoint.name in self.failed:
            return True
        event = failover_parts.perform(endpoint, action, name)
        self._apply(name, self.rules.advance(self.drivers[name], event, 0.0))
        if endpoint.role is Role.PRIMARY:
            self.primaries.setdefault(endpoint.term, set()).add(endpoint.name)
        return True

    def finish(self, name):
        while self.step(name):
            pass

    def _apply(self, name, transition):
        before = self.drivers[name].step
        self.drivers[name], actions = transition
        if self.drivers[name].step is not before:
            self.sends[name] = []
        self.sends[name] += [
            action
            for action in actions
            if isinstance(action, failover_world.SENDS)
        ]

    def find_primaries(self):
        highest = max(e.term for e in self.endpoints.values())
        return [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.role is Role.PRIMARY and endpoint.term == highest
        ]


@pytest.fixture
def model():
    return FailoverModel()


@given("a group whose primary has failed")
def check_failed(model):
    assert model.endpoints["a"].role is Role.PRIMARY
    assert model.endpoints["b"].log.last == model.confirmed


@when(parsers.parse("a driver stops {moment}"))
def stop_driver(model, moment):
    model.start("d1")
    model.sends["d1"] = [
        send for send in model.sends["d1"] if send.endpoint not in model.failed
    ]
    for _ in range(STEPS_BEFORE_STOP[moment]):
        assert model.step("d1")


@when("another driver drives to its end")
def complete_with_other(model):
    model.start("d2")
    model.finish("d2")


@when("the first driver goes on where it stopped")
def resume_first(model):
    model.failed.clear()
    model.finish("d1")


@when(parsers.parse("two drivers race in order {seed:d}"))
def run_concurrent_drivers(model, seed):
    source = random.Random(seed)
    model.start("d1")
    model.start("d2")
    while any(model.sends.values()):
        model.step(source.choice(list(model.sends)))
    if not model.find_primaries():
        model.start("d1")
        model.finish("d1")


@then("exactly one endpoint is primary of the highest term")
def check_one_primary(model):
    assert len(model.find_primaries()) == 1


@then("no term had two primaries")
def check_terms(model):
    assert model.primaries
    assert all(len(names) == 1 for names in model.primaries.values())


@then("it holds every confirmed write")
def check_confirmed(model):
    (primary,) = model.find_primaries()
    positions = [entry.position for entry in primary.log]
    assert model.confirmed in positions


@when("the old primary wakes and writes")
def write_after_resume(model):
    old_primary = model.endpoints["a"]
    model.late_write = old_primary.write({}, [])
    for name in ("b", "c"):
        replica = model.endpoints[name]
        after = endpoint_log.find_common_index(
            old_primary.log.history, replica.log.history
        )
        replica.accept(
            old_primary.term, after, old_primary.log.list_after(after)
        )


@then("no majority confirms that write")
def check_unconfirmed(model):
    tracker = confirmation.ConfirmationTracker(model.rules.plan)
    for endpoint in model.endpoints.values():
        tracker.observe(endpoint.report())
    write_state = tracker.find_state(model.late_write)
    assert write_state is not confirmation.WriteState.CONFIRMED
