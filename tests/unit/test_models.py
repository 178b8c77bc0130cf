"""Tests of the validation of messages, with fuzzing."""

import typing

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from fescuestile import plans
from fescuestile import requests
from fescuestile_api import fescuestile_pb2 as pb
from fescuestile_api import models

LIMITS = models.RequestLimits(
    1000, default_deadline=5.0, maximum_deadline=60.0
)
PLAN = plans.Plan(
    database="db",
    endpoints=(plans.Endpoint("e", "z", "127.0.0.1:1", 2, 16),),
    ranks=(plans.Rank("urgent", 0.1), plans.Rank("normal", 0.1)),
    kinds=(plans.Kind("order", "urgent", 0), plans.Kind("sheet", "normal", 2)),
)
NOW = 100.0


def build_request(**changes) -> pb.Request:
    fields: dict[str, typing.Any] = {
        "sequence": 1,
        "request_id": "r",
        "database": "db",
        "kind": "sheet",
        "statement": pb.Statement(text="get a", read_only=True),
    }
    return pb.Request(**(fields | changes))


def decode_request(message: pb.Request, plan=PLAN):
    return models.decode_request(message, "c", plan, LIMITS, NOW)


def test_the_kind_sets_rank_and_staleness():
    request = decode_request(build_request()).ok
    assert (request.level, request.staleness) == (1, 2.0)
    assert request.deadline == NOW + LIMITS.default_deadline
    assert request.action is requests.Action.STATEMENT
    assert request.read_only


def test_a_request_may_lower_its_rank_and_tighten_its_bounds():
    changes = {"rank": "normal", "kind": "order", "deadline_ms": 250}
    assert decode_request(build_request(**changes)).ok.level == 1
    request = decode_request(
        build_request(staleness_ms=500, deadline_ms=250)
    ).ok
    assert (request.staleness, request.deadline) == (0.5, NOW + 0.25)


@pytest.mark.parametrize(
    ("changes", "field"),
    [
        ({"sequence": 0}, "sequence"),
        ({"request_id": ""}, "request_id"),
        ({"request_id": "r" * 129}, "request_id"),
        ({"request_id": "a b"}, "request_id"),
        ({"request_id": "a\n"}, "request_id"),
        ({"database": "other"}, "database"),
        ({"kind": "other"}, "kind"),
        ({"rank": "other"}, "rank"),
        ({"rank": "urgent"}, "rank"),
        ({"staleness_ms": 2001}, "staleness_ms"),
        ({"deadline_ms": 0}, "deadline_ms"),
        ({"deadline_ms": 60001}, "deadline_ms"),
        ({"statement": None}, "action"),
        ({"statement": pb.Statement()}, "statement.text"),
        ({"statement": pb.Statement(text="a" * 1000)}, "request"),
        ({"statement": None, "commit": pb.Commit()}, "transaction"),
        ({"statement": None, "rollback": pb.Rollback()}, "transaction"),
        (
            {"statement": None, "begin": pb.Begin(), "transaction": "t"},
            "transaction",
        ),
    ],
)
def test_the_error_of_an_invalid_request_names_the_field(changes, field):
    error = decode_request(build_request(**changes)).error
    assert (error.field, error.peer) == (field, "c")


def test_a_database_without_a_plan_is_unknown():
    assert decode_request(build_request(), plan=None).error.field == "database"


@pytest.mark.parametrize(
    ("message", "field"),
    [
        (pb.Open(), "caller"),
        (pb.Open(caller="c" * 200), "caller"),
        (pb.Open(caller="c", token=b"t" * 5000), "token"),
    ],
)
def test_the_error_of_an_invalid_open_frame_names_the_field(message, field):
    assert models.decode_open(message).error.field == field


def test_a_plan_is_the_same_after_conversion_to_a_message_and_back():
    assert models.decode_plan(models.encode_plan(PLAN)).ok == PLAN


@pytest.mark.parametrize(
    ("change", "field"),
    [
        (lambda plan: plan.ClearField("database"), "database"),
        (lambda plan: plan.ClearField("endpoints"), "endpoints"),
        (lambda plan: plan.endpoints.extend([*plan.endpoints]), "endpoints"),
        (
            lambda plan: plan.ranks.extend([pb.Rank(name="r")] * 101),
            "ranks",
        ),
        (
            lambda plan: setattr(plan.endpoints[0], "address", "host:1"),
            "endpoints.0.address",
        ),
        (
            lambda plan: setattr(plan.ranks[1], "floor", float("nan")),
            "ranks.1.floor",
        ),
        (lambda plan: setattr(plan.ranks[0], "floor", 0.95), "ranks.floor"),
        (lambda plan: setattr(plan.kinds[0], "rank", "x"), "kinds.rank"),
        (
            lambda plan: setattr(plan.endpoints[0], "slots", 0),
            "endpoints.slots",
        ),
    ],
)
def test_the_error_of_an_invalid_plan_names_the_field(change, field):
    message = models.encode_plan(PLAN)
    change(message)
    error = models.decode_plan(message).error
    assert error.field == field


def test_an_empty_frame_is_refused():
    assert models.decode_frame(b"", "c").error.field == "frame"


@settings(derandomize=True, max_examples=500)
@given(strategies.binary(max_size=80))
def test_any_bytes_decode_to_a_frame_or_an_error(data):
    result = models.decode_frame(data, "c")
    if result.is_error():
        assert (result.error.step, result.error.peer) == (models.STEP, "c")
        return
    decoded = decode_request(result.ok.request)
    assert decoded.is_ok() or decoded.error.field
    opened = models.decode_open(result.ok.open, "c")
    assert opened.is_ok() or opened.error.field


@settings(derandomize=True, max_examples=300)
@given(
    sequence=strategies.integers(0, 2**64 - 1),
    request_id=strategies.text(max_size=140),
    kind=strategies.sampled_from(["order", "sheet", "", "x"]),
    rank=strategies.sampled_from(["urgent", "normal", "", "x"]),
    staleness_ms=strategies.none() | strategies.integers(0, 4000),
    deadline_ms=strategies.none() | strategies.integers(0, 2**32 - 1),
)
def test_a_request_never_gains_urgency_staleness_or_time(**fields):
    result = decode_request(build_request(**fields))
    if result.is_error():
        assert result.error.field in fields
        return
    request = result.ok
    kind = PLAN.kind_by_name[request.kind]
    assert request.level >= PLAN.level_by_rank[kind.rank]
    assert request.staleness <= kind.staleness
    assert NOW < request.deadline <= NOW + LIMITS.maximum_deadline
