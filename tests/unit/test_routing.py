import dataclasses
import random
import types
import typing

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from fescuestile import diversion
from fescuestile import endpoint_messages
from fescuestile import errors
from fescuestile import groups
from fescuestile import lag
from fescuestile import positions
from fescuestile import requests
from fescuestile import routing
from fescuestile import snapshots
from tests import builders

NOW = 100.0
ZONE = builders.ZONES[1]
HISTORY = positions.TermHistory(
    (positions.TermStart(1, 1),), positions.Position(1, 10)
)
READ = builders.build_request(read_only=True, staleness=5.0, deadline=NOW + 5)


def build_view(number, **changes):
    fields: dict[str, typing.Any] = {
        "role": endpoint_messages.Role.REPLICA,
        "term": 1,
        "history": HISTORY,
        "reported_at": NOW - 0.1,
        "current_at": NOW - 0.1,
        "owner": f"daemon-{number}",
    }
    endpoint = builders.build_endpoint(number)
    return snapshots.EndpointView(endpoint, **(fields | changes))


def build_group(primary="endpoint-1", **changes):
    views = [
        build_view(1, role=endpoint_messages.Role.PRIMARY),
        build_view(2, **changes.get("second", {})),
        build_view(3, **changes.get("third", {})),
    ]
    by_name = {view.endpoint.name: view for view in views}
    by_name["endpoint-1"] = dataclasses.replace(
        by_name["endpoint-1"], **changes.get("first", {})
    )
    return snapshots.GroupSnapshot(
        builders.build_revision(),
        1,
        primary,
        types.MappingProxyType(by_name),
    )


def choose(request, group, **changes):
    return routing.route(
        request, group, ZONE, NOW, random.Random(1), **changes
    )


def find_name(request, group):
    return choose(request, group).ok.view.endpoint.name


@pytest.mark.parametrize(
    "changes",
    [
        {"read_only": False},
        {"staleness": 0.0},
        {"action": requests.Action.BEGIN},
        {"action": requests.Action.RESOLVE},
        {"transaction": "t"},
    ],
)
def test_what_may_not_be_stale_goes_to_the_primary(changes):
    request = dataclasses.replace(READ, **changes)
    routed = choose(request, build_group()).ok
    assert routed.view.endpoint.name == "endpoint-1"
    assert not routed.diverted


@pytest.mark.parametrize(
    ("second", "chosen"),
    [
        ({}, "endpoint-2"),
        ({"expected_wait": 0.05}, "endpoint-3"),
        ({"leaving": True}, "endpoint-3"),
        ({"owner": ""}, "endpoint-3"),
        ({"term": 2}, "endpoint-3"),
        ({"role": endpoint_messages.Role.FENCED}, "endpoint-3"),
        ({"role": endpoint_messages.Role.REJOINING}, "endpoint-3"),
        ({"current_at": NOW - 4.5}, "endpoint-3"),
        ({"current_at": NOW - 4.1}, "endpoint-2"),
        ({"history": positions.EMPTY_HISTORY}, "endpoint-3"),
        (
            {"endpoint": builders.build_endpoint(2, readable=False)},
            "endpoint-3",
        ),
    ],
)
def test_a_read_goes_to_the_nearest_replica_that_may_serve_it(second, chosen):
    request = dataclasses.replace(READ, minimum=positions.Position(1, 9))
    view = build_view(2)
    group = build_group()
    views = dict(group.endpoints)
    views["endpoint-2"] = dataclasses.replace(view, **second)
    group = dataclasses.replace(group, endpoints=views)
    assert find_name(request, group) == chosen


@pytest.mark.parametrize(
    ("lag_seconds", "primary_wait", "chosen", "catch_up"),
    [
        (0.02, 0.05, "endpoint-2", 0.1),
        (0.02, 0.0, "endpoint-1", 0.0),
        (0.5, 0.9, "endpoint-1", 0.0),
    ],
)
def test_a_replica_behind_is_waited_for_when_that_is_sooner(
    lag_seconds, primary_wait, chosen, catch_up
):
    behind = {"current_at": NOW - 0.1 - lag_seconds}
    group = build_group(
        first={"expected_wait": primary_wait}, second=behind, third=behind
    )
    request = dataclasses.replace(READ, minimum=positions.Position(1, 11))
    routed = choose(request, group).ok
    assert routed.view.endpoint.name == chosen
    assert routed.catch_up == catch_up
    assert routed.diverted == (catch_up == 0)
    again = choose(request, group, waited=True).ok
    assert again.view.endpoint.name == "endpoint-1"


def test_without_a_primary_only_replica_reads_are_served():
    group = build_group(primary="")
    assert find_name(READ, group) == "endpoint-2"
    error = choose(builders.build_request(), group).error
    assert isinstance(error, errors.NotRun)
    assert error.retry_after


def test_a_leaving_primary_gets_no_new_work():
    group = build_group(first={"leaving": True})
    assert choose(builders.build_request(), group).is_error()


def test_equal_replicas_share_the_reads():
    group = build_group(second={"expected_wait": 0.003})
    source = random.Random(3)
    chosen = {
        routing.route(READ, group, ZONE, NOW, source).ok.view.endpoint.name
        for _ in range(50)
    }
    assert chosen == {"endpoint-2", "endpoint-3"}


@pytest.mark.parametrize(
    ("position", "minimum", "held"),
    [
        ((1, 8), (1, 8), True),
        ((1, 7), (1, 8), False),
        ((1, 99), (2, 1), False),
        ((2, 6), (1, 8), True),
        ((2, 4), (1, 8), False),
        ((1, 1), (9, 0), True),
    ],
)
def test_positions_of_an_ended_term_count_up_to_its_end(
    position, minimum, held
):
    history = positions.TermHistory(
        (positions.TermStart(1, 1), positions.TermStart(2, 6)),
        positions.Position(2, 9),
    )
    assert held == lag.covers(
        positions.Position(*position), positions.Position(*minimum), history
    )


@pytest.mark.parametrize(
    ("index", "current_at", "accepted"),
    [
        (10, NOW - 0.1, True),
        (8, NOW - 0.1, False),
        (10, NOW - 4.5, False),
    ],
)
def test_an_answer_is_checked_against_session_and_bound(
    index, current_at, accepted
):
    request = dataclasses.replace(READ, minimum=positions.Position(1, 9))
    group = build_group(second={"current_at": current_at})
    view = group.endpoints["endpoint-2"]
    answer = requests.Answer(
        b"", "endpoint-2", positions.Position(1, index), replica=True
    )
    checked = routing.check_answer(
        request,
        answer,
        routing.RoutingDecision(view, 1, replica=True),
        group,
        NOW,
    )
    assert checked.is_ok() == accepted


def test_diverted_reads_of_lower_ranks_are_bounded_per_slot():
    diverted = diversion.DivertedReadLimiter()
    assert [diverted.acquire("e", 2, 1).is_ok() for _ in range(3)] == [
        True,
        True,
        False,
    ]
    assert diverted.acquire("e", 2, 1).error.retry_after
    assert diverted.acquire("e", 2, 0).is_ok()
    assert diverted.acquire("other", 1, 2).is_ok()
    for _ in range(3):
        diverted.release("e")
    assert diverted.acquire("e", 2, 2).is_ok()


DELAYS = strategies.floats(0, lag.REPORT_DELAY_SECONDS)


@settings(derandomize=True, max_examples=200)
@given(
    strategies.lists(
        strategies.tuples(
            strategies.floats(0.01, 1), strategies.booleans(), DELAYS, DELAYS
        ),
        min_size=2,
        max_size=20,
    )
)
def test_staleness_is_never_underestimated(steps):
    """In each step the primary writes and a replica copies all or nothing."""
    tracker = groups.GroupTracker(builders.build_revision())
    arrivals = []
    missing_since = None
    now = 0.0
    held = 0
    for index, (pause, copies, first, second) in enumerate(steps, start=1):
        now += pause
        held = index if copies else held
        missing_since = None if copies else missing_since or now
        for number, at, last in ((1, first, index), (2, second, held)):
            report = builders.build_report(
                number,
                role=endpoint_messages.Role.PRIMARY
                if number == 1
                else endpoint_messages.Role.REPLICA,
                last=positions.Position(1, last),
                starts=(positions.TermStart(1, 1),) if last else (),
            )
            arrivals.append((now + at, report))
    for at, report in sorted(arrivals, key=lambda item: item[0]):
        if at <= now:
            tracker.observe(report, at)
    view = tracker.take_snapshot().endpoints["endpoint-2"]
    actual = now - missing_since if missing_since is not None else 0.0
    assert lag.bound_staleness(view, now) >= actual
