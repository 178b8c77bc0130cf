import asyncio
import contextlib

import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from fescuestile import errors
from fescuestile_api import fescuestile_pb2 as pb
from fescuestile_client import options as client_options
from fescuestile_standins import fleet as fleets
from fescuestile_standins import wire_messages
from tests.scenarios import statements
from tests.scenarios import worlds
from tests.scenarios import write_outcomes

scenarios("sessions.feature")

# The write has started; the replicas, 700 ms behind, have not confirmed it.
KILL_DELAY_SECONDS = 0.25


@pytest.fixture
def write_recorders(world):
    recorders: list[write_outcomes.WriteRecorder] = []
    yield recorders
    for recorder in recorders:
        recorder.stop()


def find_owner(world):
    """Return the daemon that owns the primary's connections."""
    reply = world.run(
        world.call(world.daemons[0], "Status", pb.StatusRequest())
    )
    primary = world.fleet.groups[worlds.DATABASE].first_primary
    for endpoint in reply.endpoints:
        if endpoint.endpoint == primary:
            return world.fleet.daemons[endpoint.owner.rpartition("-")[0]]
    raise AssertionError("the primary has no owner")


def find_victim(world, victim):
    return world.context["entry"] if victim == "entry" else find_owner(world)


def open_roaming_session(world, first, **options):
    """Return a session that may roam to every daemon."""
    others = world.fleet.daemons.values()
    return world.fleet.open_session(
        first, *others, options=client_options.SessionOptions(**options)
    )


@given(parsers.parse("a fleet whose last replica lags {lag:d} milliseconds"))
def start_with_slow_replica(world, lag):
    world.start_fleet(fleets.GroupOptions(last_replica_extra_ms=lag))


@given(parsers.parse("a fleet whose replicas lag {lag:d} milliseconds"))
def start_with_slow_replicas(world, lag):
    world.start_fleet(fleets.GroupOptions(replication_ms=lag))


@given("a fleet behind relays")
def start_relayed(world):
    world.start_fleet(relayed=True)


@given(
    parsers.parse(
        "a fleet behind relays whose last replica lags {lag:d} milliseconds"
    )
)
def start_relayed_with_slow_replica(world, lag):
    world.start_fleet(
        fleets.GroupOptions(last_replica_extra_ms=lag), relayed=True
    )


@given('the zones of "d3" and of the primary are cut off from each other')
def cut_zones(world):
    plan = world.fleet.groups[worlds.DATABASE].plan
    first, *_, last = plan.endpoints
    sides = [
        wire_messages.make_zone_side(int(endpoint.address.split(".")[2]))
        for endpoint in (first, last)
    ]
    world.run(world.fleet.wire.cut(*sides))


@when(
    parsers.parse(
        'a session writes on "{first}" and roams to "{second}" {times:d} times'
    )
)
def write_and_roam(world, first, second, times):
    async def work():
        read_values = []
        async with open_roaming_session(
            world, world.fleet.daemons[first]
        ) as session:
            for number in range(times):
                await session.roam(world.fleet.daemons[first].caller_address)
                await statements.execute(session, f"PUT pump {number}")
                await session.roam(world.fleet.daemons[second].caller_address)
                answer = await statements.read(session, "pump")
                read_values.append(answer.payload.decode())
        return read_values

    world.context["values"] = world.run(work())
    world.context["expected"] = [str(number) for number in range(times)]


@then(
    parsers.parse(
        'each read through "{name}" returned the session\'s last write'
    )
)
def check_own_writes(world, name):
    assert world.context["values"] == world.context["expected"]


@when("sessions read history of at most 1 second and at most 5 seconds")
def read_history(world):
    async def read_at_most(seconds):
        async with world.open_session(world.fleet.daemons["d3"]) as session:
            return await statements.read(session, "w-0-1", staleness=seconds)

    world.context["fresh"] = world.run(read_at_most(1.0))
    world.context["old"] = world.run(read_at_most(5.0))


@then("the primary answers the first and a replica the second")
def check_endpoints(world):
    assert not world.context["fresh"].replica, world.context["fresh"]
    assert world.context["old"].replica, world.context["old"]


@when(parsers.parse('a session writes on "{name}"'))
def write_once(world, name):
    async def work():
        async with world.open_session(world.fleet.daemons[name]) as session:
            await statements.execute(session, "PUT pump hisses")
            return session.token

    world.context["token"] = world.run(work())


@when("the primary is killed")
def kill_primary(world):
    group = world.fleet.groups[worlds.DATABASE]
    group.endpoints[group.first_primary].kill()


@then(
    parsers.parse(
        'the session reads its write through "{name}" within {limit:d} seconds'
    )
)
def check_write_survived(world, name, limit):
    async def work():
        daemon = world.fleet.daemons[name]
        async with world.fleet.open_session(
            daemon, token=world.context["token"]
        ) as session:
            return await statements.read(
                session, "pump", "dispatch", timeout=limit
            )

    assert world.run(work()).payload == b"hisses"


@given(
    parsers.parse(
        'a session has an open transaction that wrote through "{name}"'
    )
)
def open_transaction(world, name):
    async def begin():
        session = open_roaming_session(world, world.fleet.daemons[name])
        await session.start()
        transaction = session.transaction(worlds.DATABASE, "fault-report")
        await transaction.__aenter__()
        await transaction.execute("PUT pump torn")
        return session, transaction

    world.context["entry"] = world.fleet.daemons[name]
    world.context["transaction"] = world.run(begin())


@when(parsers.parse("the {victim} daemon of the transaction is killed"))
def kill_transaction_daemon(world, victim):
    process = find_victim(world, victim).process
    process.kill()
    world.run(process.wait_exit())


@then("the transaction ends as not run")
def check_transaction_not_run(world):
    session, transaction = world.context["transaction"]

    async def commit():
        try:
            with pytest.raises(errors.FescuestileError) as caught:
                await transaction.execute("PUT gauge torn")
            with contextlib.suppress(errors.FescuestileError):
                await transaction.__aexit__(type(caught.value), None, None)
        finally:
            await session.close()
        return caught.value

    assert isinstance(world.run(commit()), errors.NotRun)


@then("nothing of the transaction is seen, and the key can be written")
def check_rolled_back(world):
    async def work():
        async with world.open_session(world.daemons[0]) as session:
            before = await statements.read_current(session, "pump")
            await statements.execute(session, "PUT pump whole")
            after = await statements.read_current(session, "pump")
            return (
                before,
                after,
                await statements.read_current(session, "gauge"),
            )

    assert world.run(work()) == (b"", b"whole", b"")


@when(
    parsers.parse(
        "{count:d} sessions run transactions at once"
        " and every third rolls back"
    )
)
def run_transactions(world, count):
    class RollBackError(Exception):
        pass

    async def transact(number):
        daemon = world.daemons[number % len(world.daemons)]
        async with world.open_session(daemon) as session:
            with contextlib.suppress(RollBackError):
                async with session.transaction(
                    worlds.DATABASE, "dispatch"
                ) as transaction:
                    for part in ("a", "b", "c"):
                        await transaction.execute(f"PUT {part}-{number} x")
                    if number % 3 == 0:
                        raise RollBackError

    async def work():
        await asyncio.gather(*(transact(number) for number in range(count)))

    world.run(work())
    world.context["count"] = count


@then("each committed transaction is whole and no other is seen")
def check_transactions(world):
    async def read_all():
        async with world.open_session(world.daemons[0]) as session:
            return {
                number: [
                    (
                        await statements.read(
                            session, f"{part}-{number}", "dispatch"
                        )
                    ).payload
                    for part in ("a", "b", "c")
                ]
                for number in range(world.context["count"])
            }

    for number, values in world.run(read_all()).items():
        expected = b"" if number % 3 == 0 else b"x"
        assert values == [expected] * 3, number


@given(
    parsers.parse(
        "callers write without repeats, each within {limit:d} milliseconds"
    ),
    target_fixture="recorder",
)
def start_writers(world, write_recorders, limit):
    recorder = write_outcomes.WriteRecorder(world, limit / 1000)
    write_recorders.append(recorder)
    world.run(recorder.wait_acknowledged(30))
    return recorder


@when("the open connections to the primary go silent")
def stop_primary_responses(world):
    plan = world.fleet.groups[worlds.DATABASE].plan
    ip = plan.endpoints[0].address.rpartition(":")[0]
    affected = world.run(world.fleet.wire.silence(f"{ip}/32"))
    assert affected > 0


@when("the owner of the primary is killed")
def kill_owner(world):
    process = find_owner(world).process
    process.kill()
    world.run(process.wait_exit())


@when("another daemon is killed")
def kill_daemon(world):
    world.daemons[-1].process.kill()


@then(parsers.parse("writes are acknowledged again within {limit:d} seconds"))
def check_writes_resume(world, recorder, limit):
    world.run(
        recorder.wait_acknowledged(write_outcomes.CALLERS * 2, float(limit))
    )


@then("each write's outcome is what its caller was told")
def check_outcomes(world, recorder):
    recorder.stop()
    assert recorder.count(write_outcomes.Outcome.ACKNOWLEDGED) > 30
    assert world.run(recorder.find_mismatches()) == {}


@when(parsers.parse('a session adds 1 to a count through "{name}"'))
def add_in_background(world, name):
    async def work():
        async with open_roaming_session(
            world, world.fleet.daemons[name], timeout=15.0
        ) as session:
            return await statements.execute(session, "ADD count 1")

    world.context["entry"] = world.fleet.daemons[name]
    world.context["adding"] = world.spawn(work())


@when(
    parsers.parse(
        "the {victim} daemon of the write is killed before its answer"
    )
)
def kill_writing_daemon(world, victim):
    process = find_victim(world, victim).process
    world.run(asyncio.sleep(KILL_DELAY_SECONDS))
    assert not world.context["adding"].done()
    process.kill()


@then("the session is answered and the count is 1")
def check_count_once(world):
    world.context["adding"].result(worlds.STEP_TIMEOUT_SECONDS)
    assert world.run(read_count(world)) == b"1"


async def read_count(world):
    async with world.open_session(world.daemons[0]) as session:
        return await statements.read_current(session, "count")


@when("the same request adds 1 to a count through every daemon at once")
def add_everywhere(world):
    async def add(daemon):
        async with world.open_session(daemon) as session:
            return await statements.execute(
                session, "ADD count 1", request_id="deposit-7"
            )

    async def work():
        return await asyncio.gather(*(add(d) for d in world.daemons))

    world.context["answers"] = world.run(work())


@then("every daemon gives the same answer and the count is 1")
def check_same_answer(world):
    assert {answer.payload for answer in world.context["answers"]} == {b"1"}
    assert world.run(read_count(world)) == b"1"
