"""How many endpoints of a group count when some of them have gone."""

import dataclasses
import time

import pytest

from fescuestile import clock
from fescuestile import endpoint_messages
from fescuestile_daemon.relay.core import messages
from fescuestile_daemon.relay.core import options
from fescuestile_daemon.relay.groups import groups
from tests import builders
from tests import fences

Role = endpoint_messages.Role
NAMES = ("p", "r1", "r2")


def build_entry(name):
    return messages.EndpointEntry(
        name, "g", "127.0.0.1:1", "a", 2, False, name == "p", 0
    )


class Dialer(fences.Dialer):
    """Opens no connections in these tests."""

    endpoints: dict[str, fences.Endpoint] = {}

    async def delay(self, endpoint):
        raise NotImplementedError


class Group(groups.Group):
    """A group of three whose reports the test makes."""

    def __init__(self):
        super().__init__(
            "g", Dialer(), options.RelayOptions(), clock.BootClock()
        )
        for name in NAMES:
            self.put_endpoint(build_entry(name), 4)

    def receive(self, name, end):
        """Apply a report of an endpoint whose log ends at a number."""
        role = Role.PRIMARY if name == "p" else Role.REPLICA
        report = builders.build_log_report(name, end, role)
        self._apply_report(self.endpoints[name], report, time.monotonic())

    def leave(self, name):
        """Remove an endpoint after its notice and its end."""
        endpoint = self.endpoints[name]
        endpoint.put_entry(dataclasses.replace(endpoint.entry, leaving=True))
        endpoint.refused_since = time.monotonic()
        self.vanish(name)

    def vanish(self, name):
        """Remove an endpoint whose entry has been missing for too long."""
        self.endpoints[name].dropped_at = time.monotonic()
        self.remove_endpoint(name)

    def count(self):
        """Return how many endpoints count."""
        self.release_members()
        return self.members.count()


@pytest.fixture
async def group():
    return Group()


async def test_an_endpoint_that_left_counts_until_others_hold_its_log(group):
    """Guards against a group that waits for endpoints that have exited.

    The write that it may have held reaches the other replica.
    """
    group.receive("p", 5)
    group.receive("r2", 4)
    group.leave("r1")
    assert group.count() == 3
    group.receive("p", 6)
    group.receive("r2", 5)
    assert group.count() == 3
    group.receive("r2", 6)
    group.receive("p", 7)
    group.receive("r2", 7)
    assert group.count() == 2


async def test_an_endpoint_whose_address_another_has_taken_has_left(group):
    """Guards against a group that chooses no primary after a release.

    The entry of the endpoint that left goes once its successor answers at its
    address, so no connection is refused there.
    """
    group.receive("p", 5)
    group.receive("r2", 4)
    leaving = group.endpoints["r1"]
    leaving.put_entry(dataclasses.replace(leaving.entry, leaving=True))
    leaving.record_connection_result(
        messages.Outcome(messages.Kind.WRONG_ENDPOINT)
    )
    group.vanish("r1")
    for name, end in (("p", 6), ("r2", 6), ("p", 7), ("r2", 7)):
        group.receive(name, end)
    assert group.count() == 2


async def test_an_endpoint_at_whose_address_another_answers_is_silent(group):
    """Guards against a failed primary whose address is used again."""
    primary = group.endpoints["p"]
    primary.record_request()
    primary.record_connection_result(
        messages.Outcome(messages.Kind.WRONG_ENDPOINT)
    )
    assert primary.unanswered_since is not None
    assert not primary.has_answered


async def test_a_primary_that_steps_down_is_no_replica_of_itself(group):
    """Guards against members released without a copy of their log.

    Other replicas may lack what only the primary and that member hold.
    """
    group.receive("p", 5)
    group.leave("r1")
    group.receive("p", 6)
    group.receive("r2", 6)
    group.receive("p", 7)
    report = builders.build_log_report("p", 7, Role.FENCED, 2, followed=1)
    group._apply_report(group.endpoints["p"], report, time.monotonic())
    assert group.count() == 3


async def test_a_position_from_before_the_end_shows_nothing(group):
    group.receive("p", 5)
    group.leave("r1")
    group.receive("r2", 5)
    assert group.count() == 3


async def test_a_group_whose_primary_has_left_waits_for_nobody(group):
    group.receive("p", 5)
    group.leave("r1")
    group.leave("p")
    assert group.count() == 1


async def test_a_primary_that_never_reported_here_has_not_left(group):
    """Guards against an endpoint whose log nobody is known to hold."""
    group.leave("r1")
    assert group.count() == 3


async def test_an_endpoint_that_may_come_back_counts_on(group):
    """Guards against losing writes of an endpoint that a cut hides."""
    group.receive("p", 5)
    group.vanish("r1")
    group.receive("p", 6)
    group.receive("r2", 6)
    assert group.count() == 3


async def test_an_endpoint_that_has_left_is_not_asked_to_confirm(group):
    assert group.count_confirming() == 2
    for name in ("r3", "r4"):
        group.put_endpoint(build_entry(name), 4)
    assert group.count_confirming() == 4
    leaving = group.endpoints["r1"]
    leaving.put_entry(dataclasses.replace(leaving.entry, leaving=True))
    leaving.dropped_at = time.monotonic()
    assert group.count_confirming() == 4
    leaving.refused_since = time.monotonic()
    assert group.count_confirming() == 3
