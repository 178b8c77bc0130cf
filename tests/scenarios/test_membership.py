import asyncio
import json
import time

import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from fescuestile import errors
from fescuestile_api import fescuestile_pb2 as pb
from tests.scenarios import loads
from tests.scenarios import worlds

scenarios("membership.feature")

OBSERVED_SECONDS = 1.5


@pytest.fixture
def load(world):
    started = loads.Load(world)
    yield started
    started.stop()


@given("callers read history and write all the time")
def start_load(load, world):
    async def is_warmed_up():
        return len(load.tally.endpoints) > 40

    world.run(world.wait_until(is_warmed_up, 10.0))


@given(parsers.parse('the host list marks endpoint "{name}" as leaving'))
@when(parsers.parse('the host list marks endpoint "{name}" as leaving'))
@when(parsers.parse('the host list marks daemon "{name}" as leaving'))
def mark_leaving(world, name):
    world.run(world.set_hosts(name))
    world.context["marked_at"] = time.monotonic()


@given("the mark is known to all daemons")
def wait_mark_spread(world, load):
    world.run(asyncio.sleep(3.0))


@when(parsers.parse('the process of endpoint "{name}" is killed'))
def kill_endpoint(world, name):
    world.fleet.groups[worlds.DATABASE].endpoints[name].kill()


@then(parsers.parse('"{name}" becomes primary within {limit:d} seconds'))
def check_new_primary(world, name, limit):
    first = world.fleet.groups[worlds.DATABASE].first_primary

    async def find_primaries():
        reply = await world.call(
            world.daemons[0], "Status", pb.StatusRequest()
        )
        return [
            endpoint.endpoint
            for endpoint in reply.endpoints
            if endpoint.role == "primary" and endpoint.endpoint != first
        ]

    async def is_primary():
        return await find_primaries() == [name]

    world.run(world.wait_until(is_primary, limit))


def list_choices(world):
    """Return each choice of a failover: name, and log ends by endpoint."""
    events = [
        json.loads(line)
        for daemon in world.daemons
        for line in daemon.process.read_log().splitlines()
        if '"failover step changed"' in line
    ]
    return [
        (event["chosen"], event["granted"])
        for event in events
        if event["step"] == "promoting"
    ]


@then(parsers.parse('"{name}" was promoted only if its log was the longest'))
def check_choices(world, name):
    choices = list_choices(world)
    assert choices
    for chosen, ends in choices:
        others = [ends[other] for other in ends if other != name]
        assert chosen != name or ends[name] > max(others)


@then(parsers.parse('{limit:d} seconds later no answer comes from "{name}"'))
def check_no_new_work(world, load, limit, name):
    elapsed = time.monotonic() - world.context["marked_at"]
    world.run(asyncio.sleep(max(0.0, limit - elapsed)))
    before = len(load.tally.endpoints)
    world.run(asyncio.sleep(OBSERVED_SECONDS))
    endpoints = load.tally.endpoints[before:]
    assert len(endpoints) > 10
    assert name not in endpoints


@then("no caller's request was lost")
def check_none_lost(load):
    assert load.stop().lost == []


@then("each write ran once")
def check_each_once(world, load):
    tally = load.stop()
    assert tally.lost == []
    assert read_counts(world, tally) == tally.acknowledged


@then("each write ran at most once and each acknowledged one once")
def check_at_most_once(world, load):
    tally = load.stop()
    for key, count in read_counts(world, tally).items():
        unknown = tally.unknown.get(key, 0)
        acknowledged = tally.acknowledged[key]
        assert acknowledged <= count <= acknowledged + unknown


def read_counts(world, tally):
    async def read():
        counts = {}
        async with world.open_session(world.daemons[-1]) as session:
            for key in tally.acknowledged:
                answer = await session.execute(
                    worlds.DATABASE,
                    "dispatch",
                    f"GET {key}",
                    read_only=True,
                )
                counts[key] = int(answer.payload)
        return counts

    return world.run(read())


def find_owner(world):
    """Return the daemon that owns the primary's connections."""
    reply = world.run(
        world.call(world.daemons[0], "Status", pb.StatusRequest())
    )
    primary = world.fleet.groups[worlds.DATABASE].first_primary
    owner = next(
        endpoint.owner
        for endpoint in reply.endpoints
        if endpoint.endpoint == primary
    )
    return world.fleet.daemons[owner.rpartition("-")[0]]


@when(parsers.parse('daemon "{name}" is told to stop'))
def stop_daemon(world, name):
    world.context["stopped"] = world.fleet.daemons[name]
    world.context["stopped"].process.terminate()


@given("a caller has an open transaction through another daemon")
def open_transaction(world):
    owner = find_owner(world)
    entry = next(d for d in world.daemons if d is not owner)

    async def begin():
        session = world.open_session(entry)
        await session.start()
        transaction = session.transaction(worlds.DATABASE, "fault-report")
        await transaction.__aenter__()
        await transaction.execute("PUT pump broken")
        return session, transaction

    world.context["owner"] = owner
    world.context["transaction"] = world.run(begin())


@when("the owner of the primary is told to stop")
def stop_owner(world):
    world.context["stopped"] = world.context["owner"]
    world.context["stopped"].process.terminate()
    world.run(asyncio.sleep(0.5))
    assert world.context["stopped"].process.running


@then("the transaction commits")
def check_commits(world):
    session, transaction = world.context["transaction"]

    async def commit():
        await transaction.execute("PUT valve broken")
        await transaction.__aexit__(None, None, None)
        answer = await session.execute(
            worlds.DATABASE, "dispatch", "GET valve", read_only=True
        )
        await session.close()
        return answer.payload

    assert world.run(commit()) == b"broken"


@then(parsers.parse("it exits with code 0 within {limit:d} seconds"))
def check_exit(world, limit):
    process = world.context["stopped"].process
    assert world.run(process.wait_exit(limit)) == 0
    assert '"finished": true' in process.read_log()


@when("the owner of the primary is killed")
def kill_owner(world):
    owner = find_owner(world)
    owner.process.kill()
    world.context["killed_at"] = time.monotonic()
    world.run(owner.process.wait_exit())


@then(
    parsers.parse(
        "a write through another daemon succeeds within {limit:d} seconds"
    )
)
def check_new_owner(world, limit):
    async def can_write():
        try:
            await world.write(world.daemons[0], "PUT pump broken")
        except errors.FescuestileError:
            return False
        return True

    elapsed = time.monotonic() - world.context["killed_at"]
    world.run(world.wait_until(can_write, limit - elapsed))


@when(parsers.parse('daemon "{name}" is frozen for {pause:d} ms'))
def freeze(world, name, pause):
    process = world.fleet.daemons[name].process
    world.context["logs"] = {
        daemon.name: len(daemon.process.read_log()) for daemon in world.daemons
    }

    async def pause_process():
        process.freeze()
        await asyncio.sleep(pause / 1000)
        process.resume()

    world.run(pause_process())


@then("all daemons serve and none gave up an endpoint")
def check_ownership_unchanged(world):
    world.run(asyncio.sleep(3.0))
    for daemon in world.daemons:
        new_log = daemon.process.read_log()[
            world.context["logs"][daemon.name] :
        ]
        assert "endpoint released" not in new_log
    assert len(world.run(world.read_revisions())) == len(worlds.DAEMON_ZONES)


@then(parsers.parse("all daemons are members again within {limit:d} seconds"))
def check_rejoined(world, limit):
    world.run(world.wait_revision(1, limit))


@then(
    parsers.parse(
        'daemon "{name}" takes no new sessions within {limit:d} seconds'
    )
)
def check_drained(world, name, limit):
    daemon = world.fleet.daemons[name]

    async def is_refusing():
        session = world.open_session(daemon)
        try:
            await session.start()
            return not session.daemon.startswith(name)
        except errors.FescuestileError:
            return True
        finally:
            await session.close()

    elapsed = time.monotonic() - world.context["marked_at"]
    world.run(world.wait_until(is_refusing, limit - elapsed))
