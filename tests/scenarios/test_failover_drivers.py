"""Steps of failover_drivers.feature, over the pure decisions."""

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
STEPS_BEFORE = {
    "before its first fence": 0,
    "after one grant": 1,
    "after a majority": 2,
    "after the promotion": 3,
    "after one follow": 4,
}
SCOPE = failover_parts.Scope(writes=0, attempts=9)


class Race:
    """Endpoints and drivers; one step is one command and its reply."""

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
        newest = max(e.term for e in self.endpoints.values())
        driver = failover_steps.Driver(name, highest=newest)
        self._take(name, self.rules.start_fencing(driver, 0.0))

    def step(self, name):
        """Deliver a driver's next command; return whether there was one."""
        if not self.sends[name]:
            return False
        action = self.sends[name].pop(0)
        endpoint = self.endpoints[action.endpoint]
        if endpoint.name in self.failed:
            return True
        event = failover_parts.perform(endpoint, action, name)
        self._take(name, self.rules.advance(self.drivers[name], event, 0.0))
        if endpoint.role is Role.PRIMARY:
            self.primaries.setdefault(endpoint.term, set()).add(endpoint.name)
        return True

    def finish(self, name):
        while self.step(name):
            pass

    def _take(self, name, outcome):
        before = self.drivers[name].step
        self.drivers[name], actions = outcome
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
def race():
    return Race()


@given("a group whose primary has failed")
def check_failed(race):
    assert race.endpoints["a"].role is Role.PRIMARY
    assert race.endpoints["b"].log.last == race.confirmed


@when(parsers.parse("a driver stops {moment}"))
def stop_driver(race, moment):
    race.start("d1")
    race.sends["d1"] = [
        send for send in race.sends["d1"] if send.endpoint not in race.failed
    ]
    for _ in range(STEPS_BEFORE[moment]):
        assert race.step("d1")


@when("another driver drives to its end")
def drive_other(race):
    race.start("d2")
    race.finish("d2")


@when("the first driver goes on where it stopped")
def resume_first(race):
    race.failed.clear()
    race.finish("d1")


@when(parsers.parse("two drivers race in order {seed:d}"))
def race_drivers(race, seed):
    source = random.Random(seed)
    race.start("d1")
    race.start("d2")
    while any(race.sends.values()):
        race.step(source.choice(list(race.sends)))
    if not race.find_primaries():
        race.start("d1")
        race.finish("d1")


@then("exactly one endpoint is primary of the highest term")
def check_one_primary(race):
    assert len(race.find_primaries()) == 1


@then("no term had two primaries")
def check_terms(race):
    assert race.primaries
    assert all(len(names) == 1 for names in race.primaries.values())


@then("it holds every confirmed write")
def check_confirmed(race):
    (primary,) = race.find_primaries()
    positions = [entry.position for entry in primary.log]
    assert race.confirmed in positions


@when("the old primary wakes and writes")
def write_on_waking(race):
    old = race.endpoints["a"]
    race.late = old.write({}, [])
    for name in ("b", "c"):
        replica = race.endpoints[name]
        after = endpoint_log.find_common_index(
            old.log.history, replica.log.history
        )
        replica.accept(old.term, after, old.log.list_after(after))


@then("no majority confirms that write")
def check_unconfirmed(race):
    tracker = confirmation.ConfirmationTracker(race.rules.plan)
    for endpoint in race.endpoints.values():
        tracker.observe(endpoint.report())
    standing = tracker.find_state(race.late)
    assert standing is not confirmation.WriteState.CONFIRMED
