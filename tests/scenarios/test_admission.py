import asyncio
import time

import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from fescuestile import errors
from fescuestile_api import fescuestile_pb2 as pb
from fescuestile_standins import fleet as fleets
from tests.scenarios import open_loop
from tests.scenarios import worlds

# Concurrent tests would change the service rates that are measured here.
pytestmark = pytest.mark.alone

scenarios("admission.feature")

LOAD_SECONDS = 12.0
KILL_LOAD_SECONDS = 10.0


@pytest.fixture
def load(world):
    return open_loop.OpenLoopLoad(world)


@given(
    parsers.parse(
        "today's fleet whose endpoints serve {rate:d} statements a second"
    )
)
def start_slow_fleet(world, rate):
    options = fleets.GroupOptions()
    service_ms = 1000 * options.slots / rate
    world.start_fleet(fleets.GroupOptions(service_ms=service_ms))
    world.context["rate"] = rate


@when(
    parsers.parse(
        'callers send {one:d} of "{kind}" and {two:d} of "{other}" a second'
    )
)
def add_load(load, one, kind, two, other):
    load.add(kind, one)
    load.add(other, two)


@when(
    parsers.parse(
        '"{kind}" floods in at {times:d} times what the primary serves'
    )
)
def add_overload(world, load, kind, times):
    load.add(kind, times * world.context["rate"])
    world.context["overload_kind"] = kind


@when("the primary's owner is killed in the middle")
def kill_owner(world, load):
    reply = world.run(
        world.call(world.daemons[0], "Status", pb.StatusRequest())
    )
    primary = world.fleet.groups[worlds.DATABASE].first_primary
    name = next(e.owner for e in reply.endpoints if e.endpoint == primary)
    owner = world.fleet.daemons[name.rpartition("-")[0]]

    def kill():
        owner.process.kill()
        world.context["killed_at"] = time.monotonic()

    load.run(KILL_LOAD_SECONDS, kill)


@then(parsers.parse('at least {share:d} % of "{kind}" is served'))
def check_share_served(load, share, kind):
    if not load.sent:
        load.run(LOAD_SECONDS)
    assert_share(load.list_sent(kind), share)


@then(parsers.parse('at least {share:d} % of the work served is "{kind}"'))
def check_share_of_work(load, share, kind):
    if not load.sent:
        load.run(LOAD_SECONDS)
    served = load.count_served()
    assert served[kind] >= served.total() * share / 100, served


@then(
    "each write of the flood that was refused as not run did not run",
)
def check_not_run(world, load):
    kind = world.context["overload_kind"]
    sent = [s for s in load.sent if s.kind == kind]
    refused = sum(isinstance(s.error, errors.NotRun) for s in sent)
    assert refused > 0

    async def read():
        async with world.open_session(world.daemons[0]) as session:
            answer = await session.execute(
                worlds.DATABASE, "dispatch", f"GET {kind}", read_only=True
            )
        return int(answer.payload or 0)

    served = sum(s.served for s in sent)
    assert served <= world.run(read()) <= len(sent) - refused


@then(
    parsers.parse('"{kind}" is served again within {limit:d} seconds'),
)
def check_recovery_time(world, load, kind, limit):
    killed_at = world.context["killed_at"]
    ends = [s.ended_at for s in load.list_sent(kind, killed_at) if s.served]
    world.context["served_again_at"] = min(ends)
    assert min(ends) - killed_at <= limit


@then(
    parsers.parse('from then on at least {share:d} % of "{kind}" is served'),
)
def check_share_after_recovery(world, load, share, kind):
    assert_share(load.list_sent(kind, world.context["served_again_at"]), share)


@when(
    parsers.parse("callers leave {count:d} transactions open on the primary")
)
def open_transactions(world, count):
    async def begin(number):
        daemon = world.daemons[number % len(world.daemons)]
        session = world.open_session(daemon, f"caller-{number}")
        await session.start()
        transaction = session.transaction(
            worlds.DATABASE, "dispatch", timeout=30.0
        )
        await transaction.__aenter__()
        return session, transaction

    async def begin_all():
        return await asyncio.gather(*(begin(n) for n in range(count)))

    world.context["transactions"] = world.run(begin_all())


@then(
    parsers.parse("{count:d} statements are served within {limit:d} seconds")
)
def check_statements_served(world, count, limit):
    async def run():
        async with world.open_session(world.daemons[0]) as session:
            async with asyncio.timeout(limit):
                await asyncio.gather(
                    *(
                        session.execute(
                            worlds.DATABASE, "fault-report", f"ADD n{n} 1"
                        )
                        for n in range(count)
                    )
                )

    world.run(run())


@then("one more transaction is refused as not run")
def check_transaction_refused(world):
    async def begin():
        async with world.open_session(world.daemons[0]) as session:
            transaction = session.transaction(
                worlds.DATABASE, "dispatch", timeout=0.5
            )
            with pytest.raises(errors.NotRun):
                await transaction.__aenter__()

    async def end():
        for session, transaction in world.context["transactions"]:
            await transaction.__aexit__(None, None, None)
            await session.close()

    world.run(begin())
    world.run(end())


def assert_share(sent, percent):
    served = sum(s.served for s in sent)
    unserved = [str(s.error) for s in sent if not s.served]
    assert served >= len(sent) * percent / 100, unserved
