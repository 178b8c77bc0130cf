import dataclasses

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from fescuestile import configuration
from fescuestile import errors
from fescuestile import session_keys
from fescuestile import sessions
from tests import builders

PLAN = builders.build_plan()
OTHER = builders.build_plan(endpoints=PLAN.endpoints[:2])


def change(name):
    return configuration.Change(name, "maria", "2026-01-01T00:00:00Z")


def declare() -> configuration.PlanObject:
    prepared = configuration.prepare_declare(None, PLAN, change("c1")).ok
    assert prepared.content is not None
    return prepared.content


def test_a_revert_is_a_new_revision_with_old_content():
    first = declare()
    second = configuration.prepare_apply(first, OTHER, 1, change("c2")).ok
    third = configuration.prepare_revert(
        second.content, first.current.plan, 2, change("c3")
    ).ok.content
    assert third is not None
    assert third.current.revision == 3
    assert third.current.plan == PLAN
    assert third.current.action == "revert"


@pytest.mark.parametrize(
    "endpoints",
    [
        PLAN.endpoints[:1],
        (*PLAN.endpoints[:2], builders.build_endpoint(4)),
        # Another server under the same name.
        (
            *PLAN.endpoints[:2],
            dataclasses.replace(PLAN.endpoints[2], address="127.0.9.11:7003"),
        ),
    ],
    ids=("two removed", "one replaced", "one moved"),
)
def test_a_change_of_more_than_one_endpoint_is_refused(endpoints):
    # Majorities before and after a change have to overlap.
    plan = builders.build_plan(endpoints=endpoints)
    refused = configuration.prepare_apply(declare(), plan, 1, change("c2"))
    assert isinstance(refused.error, errors.InvalidInput)
    assert (refused.error.step, refused.error.field) == ("apply", "endpoints")


def test_of_two_changes_from_one_revision_the_later_is_refused():
    first = declare()
    second = configuration.prepare_apply(first, OTHER, 1, change("c2")).ok
    late = configuration.prepare_revert(
        second.content, PLAN, 1, change("c3")
    ).error
    assert isinstance(late, errors.VersionConflict)
    assert (late.step, late.field) == ("revert", "expected_revision")


def test_a_repeated_change_id_returns_its_first_revision():
    first = declare()
    second = configuration.prepare_apply(first, OTHER, 1, change("c2")).ok
    again = configuration.prepare_apply(
        second.content, PLAN, 1, change("c2")
    ).ok
    assert again == configuration.PreparedChange(2, None)


def test_a_wrong_change_names_the_field():
    cases = (
        (builders.build_plan("a/b"), change("c"), "database"),
        (PLAN, change(""), "change_id"),
        (builders.build_plan(ranks=()), change("c"), "ranks"),
        (builders.build_plan("x" * 200_000), change("c"), "plan"),
    )
    for plan, given_change, field in cases:
        result = configuration.prepare_declare(None, plan, given_change)
        assert result.error.field == field
    missing = configuration.prepare_apply(None, PLAN, 1, change("c"))
    assert missing.error.field == "database"


def test_recent_changes_and_history_slots_are_bounded():
    held = declare()
    for number in range(1, 200):
        prepared = configuration.prepare_apply(
            held, PLAN, number, change(f"n{number}")
        ).ok
        assert prepared.content is not None
        held = prepared.content
    assert len(held.recent) == configuration.MAX_RECENT_CHANGES
    paths = {
        configuration.find_history_path("a", number) for number in range(200)
    }
    assert len(paths) == configuration.HISTORY_REVISIONS


def test_objects_and_revisions_survive_a_round_trip():
    held = declare()
    value = configuration.encode_object(held)
    assert configuration.decode_object(value).ok == held
    entry = configuration.encode_entry(held.current)
    assert configuration.decode_entry(entry).ok == held.current
    moved = dataclasses.replace(entry, version=7)
    assert configuration.decode_entry(moved, "peer").error.peer == "peer"


@given(strategies.binary(max_size=100))
@settings(derandomize=True)
def test_malformed_bytes_are_a_typed_error(value):
    for decode in (
        configuration.decode_object,
        configuration.decode_revision,
        session_keys.decode,
    ):
        assert isinstance(decode(value).error, errors.InvalidInput)


@given(strategies.lists(strategies.integers(1, 9), max_size=30))
@settings(derandomize=True)
def test_a_store_keeps_the_highest_revision_whatever_the_order(numbers):
    store = configuration.PlanStore()
    highest = 0
    for number in numbers:
        applied = store.apply(builders.build_revision(number))
        assert applied == (number > highest)
        highest = max(highest, number)
        found = store.find("werkstatt-db")
        assert found is not None
        assert found.revision == highest


def test_a_new_key_is_accepted_before_it_signs():
    keys = [sessions.SigningKey(name, b"x" * 16) for name in "abc"]
    first = session_keys.rotate(None, keys[0], 0.0)
    assert session_keys.rotate(first, keys[1], 1000.0) is None
    staged = session_keys.rotate(first, keys[1], 86_400.0)
    assert staged is not None
    assert staged.ring == sessions.KeyRing(keys[0], keys[1])
    assert session_keys.rotate(staged, keys[2], 86_430.0) is None
    promoted = session_keys.rotate(staged, keys[2], 86_460.0)
    assert promoted is not None
    assert promoted.ring == sessions.KeyRing(keys[1], keys[0])
    value = session_keys.encode(promoted)
    assert session_keys.decode(value).ok == promoted
