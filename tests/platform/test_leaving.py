"""Endpoints that are leaving, as callers and operators observe them."""

import asyncio

import pytest
import structlog.testing

from tests.platform import test_path

get_row = test_path.get_row
get_error = test_path.get_error


@pytest.fixture
def daemon(world):
    return world.daemons[0]


async def mark_leaving(world, endpoint):
    """Mark an endpoint as leaving; return once all daemons know it."""
    world.store.register(endpoint, state="draining")
    known = [
        each.node.directory.groups[endpoint.group.name].endpoints[
            endpoint.name
        ]
        for each in world.daemons
    ]
    async with asyncio.timeout(2.0):
        while not all(state.entry.leaving for state in known):
            await asyncio.sleep(0.005)


def find_lines(lines, event):
    return [line for line in lines if line["event"] == event]


async def test_work_at_a_leaving_primary_is_logged_and_counted(world, daemon):
    """The store grants no lease, so the primary is not replaced."""
    primary = world.groups["g0"].primary
    client = await world.connect("primary")
    await mark_leaving(world, primary)
    world.store.faults.status = 503
    with structlog.testing.capture_logs() as lines:
        assert get_error(await client.query("WRITE item a", id_="f0")) is None
    (sent,) = find_lines(lines, "new work sent to leaving endpoint")
    assert (sent["request"], sent["endpoint"]) == ("f0", primary.name)
    assert 0.0 < sent["leaving_seconds"] < 1.0
    counters = daemon.node.recorder.counters
    assert counters["attempts_leaving", primary.name] == 1


async def test_an_answered_statement_names_its_endpoint(world):
    client = await world.connect("primary")
    await client.query("READ item")
    world.groups["g0"].primary.faults.lose_answers = True
    with structlog.testing.capture_logs() as lines:
        await client.query("WRITE item a", id_="f1")
    (line,) = find_lines(lines, "statement answered")
    assert line["endpoint"] == world.groups["g0"].primary.name


async def test_a_leaving_primary_without_replacement_is_logged_once(world):
    group = world.groups["g0"]
    primary = group.primary
    replicas = [e for e in group.endpoints.values() if e is not primary]
    with structlog.testing.capture_logs() as lines:
        for each in (*replicas, primary):
            await mark_leaving(world, each)
        await asyncio.sleep(0.7)
    found = find_lines(lines, "leaving primary has no replacement")
    assert len(found) == len(world.daemons)
    assert found[0]["primary"] == primary.name
    assert sorted(found[0]["leaving"]) == sorted(group.endpoints)


async def test_a_switchover_that_changes_nothing_is_logged(world):
    group = world.groups["g0"]
    primary = group.primary
    primary.faults.refuse_fences = True
    with structlog.testing.capture_logs() as lines:
        await mark_leaving(world, primary)
        await asyncio.sleep(1.0)
    assert find_lines(lines, "switchover changed nothing")
