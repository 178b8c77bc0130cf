"""Steps of failover.feature, with real processes."""

import asyncio
import contextlib
import random
import threading
import time

import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from fescuestile_client import session as sessions
from measurements import failover_bench
from measurements import failover_gap
from measurements import failover_kinds

scenarios("failover.feature")

FAILURES: dict[str, type[failover_kinds.Failure]] = {
    kind.name: kind
    for kind in (
        failover_kinds.Kill,
        failover_kinds.Freeze,
        failover_kinds.CutFromReplicas,
        failover_kinds.CutFromDaemons,
    )
}
STEP_TIMEOUT_SECONDS = 60.0
OBSERVED_SECONDS = 2.0
WARM_UP_WRITES = 20
PRIMARY_ZONE_DAEMONS = ("host-1", "host-4")


class FailoverWorld:
    """A test bench on its own event loop; writers run between the steps."""

    def __init__(self):
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._thread.start()
        self._stack = contextlib.AsyncExitStack()
        self.failure: failover_kinds.Failure
        self.victim: failover_kinds.Victim
        self.started_at = 0.0
        self.term = 0
        self.session: sessions.Session

    def run(self, work):
        future = asyncio.run_coroutine_threadsafe(work, self._loop)
        return future.result(STEP_TIMEOUT_SECONDS)

    def start(self):
        context = failover_bench.serve(1, failover_gap.GROUP_OPTIONS)
        self.bench = self.run(self._stack.enter_async_context(context))
        self.group = self.bench.groups[0]
        self.writer = self.bench.writers[self.group.plan.database]
        self.run(self.wait_warm_up())
        self.update_primary()

    async def wait_warm_up(self):
        """Wait for the first acknowledged writes."""
        while len(self.writer.acknowledged) < WARM_UP_WRITES:
            await asyncio.sleep(0.05)

    def update_primary(self):
        """Wait until all endpoints follow one primary and record it."""
        report = self.run(failover_bench.wait_until_recovered(self.group))
        self.term = report.term
        self.victim = failover_kinds.Victim(
            self.bench, self.group, report.endpoint
        )

    def open_session(self, daemon):
        address = self.bench.fleet.daemons[daemon].caller_address
        session = sessions.Session([address], "technician")
        self.run(self._stack.enter_async_context(session))
        return session

    def execute(self, session, text):
        return session.execute(
            self.group.plan.database,
            "fault-report",
            text,
            read_only=text.startswith("GET"),
            timeout=10.0,
        )

    def close(self):
        self.run(self._stack.aclose())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()


@pytest.fixture
def world():
    world = FailoverWorld()
    yield world
    world.close()


@given("four daemons before a group under writes")
def start_world(world):
    world.start()


@given(parsers.parse("the platform is {state}"))
def fail_platform(world, state):
    platform = world.bench.fleet.platform
    {"killed": platform.kill, "frozen": platform.freeze}[state]()


@given("a caller's session through the primary's zone")
def open_zone_session(world):
    world.session = world.open_session(PRIMARY_ZONE_DAEMONS[0])
    world.run(world.execute(world.session, "PUT pump old"))


@when(parsers.parse("the primary is frozen for {seconds:f} seconds"))
def freeze_briefly(world, seconds):
    process = world.group.processes[world.victim.primary]
    process.freeze()
    world.run(asyncio.sleep(seconds))
    process.resume()


@when(parsers.re(r"the primary is (?P<failure>[a-z ]+)$"))
def cause_failure(world, failure):
    world.failure = FAILURES[failure]()
    world.started_at = time.monotonic()
    world.run(world.failure.cause(world.victim))


@when("an operator moves the primary")
def move_primary(world):
    world.started_at = time.monotonic()
    switchover = failover_kinds.Switchover(random.Random(1))
    world.run(switchover.cause(world.victim))


@then("no write ended as unknown")
def check_none_unknown(world):
    assert world.writer.unknown == 0


@when("the failure ends")
def end_failure(world):
    world.run(world.failure.end(world.victim))


@when("the daemons of the primary's zone are killed")
def kill_zone_daemons(world):
    for name in PRIMARY_ZONE_DAEMONS:
        world.bench.fleet.daemons[name].process.kill()


@when("the primary and the daemons of its zone are frozen")
def freeze_zone(world):
    world.started_at = time.monotonic()
    for process in list_zone_processes(world):
        process.freeze()


@when("a caller writes through another zone")
def write_through_other_zone(world):
    session = world.open_session("host-2")
    world.run(world.execute(session, "PUT pump new"))


@when("the session reads while all wake")
def read_during_resume(world):
    async def read():
        pending = asyncio.create_task(world.execute(world.session, "GET pump"))
        await asyncio.sleep(0.1)
        for process in list_zone_processes(world):
            process.resume()
        return await pending

    world.answer = world.run(read())


@when("both replicas are killed")
def kill_replicas(world):
    for name, process in world.group.processes.items():
        if name != world.victim.primary:
            process.kill()
    world.started_at = time.monotonic()


@then(
    parsers.parse(
        "writes under a new term are acknowledged within {n:d} seconds"
    )
)
def check_new_term(world, n):
    work = failover_bench.wait_for_writes(
        world.writer, world.started_at, world.term + 1
    )
    assert world.run(work).at - world.started_at < n


@then("all endpoints follow one primary")
def check_single_primary(world):
    world.update_primary()


@then("every acknowledged write is in its log")
def check_log(world):
    assert find_lost_keys(world) == set()


@then("every acknowledged write is in the new primary's log")
def check_new_log(world):
    reports = world.run(failover_bench.collect_reports(world.group))
    primary = max(reports.values(), key=lambda report: report.term)
    world.victim = failover_kinds.Victim(
        world.bench, world.group, primary.primary
    )
    assert find_lost_keys(world) == set()


@then(parsers.parse("{seconds:d} seconds later the term is the same"))
def check_term(world, seconds):
    world.run(asyncio.sleep(seconds))
    before = world.term
    world.update_primary()
    assert world.term == before


@then("the read sees that write")
def check_read(world):
    assert world.answer.payload == b"new"


@then("no further write is acknowledged")
def check_none_acknowledged(world):
    world.run(asyncio.sleep(OBSERVED_SECONDS))
    quiet_from = world.started_at + 0.2
    late = [
        write for write in world.writer.acknowledged if write.at > quiet_from
    ]
    assert late == []
    assert world.writer.unknown > 0


def list_zone_processes(world):
    daemons = world.bench.fleet.daemons
    return [
        world.group.processes[world.victim.primary],
        *(daemons[name].process for name in PRIMARY_ZONE_DAEMONS),
    ]


def find_lost_keys(world):
    """Return acknowledged keys that the primary's log lacks."""
    acknowledged = {write.key for write in world.writer.acknowledged}
    assert len(acknowledged) >= WARM_UP_WRITES
    reports = world.run(failover_bench.collect_reports(world.group))
    primary = reports[world.victim.primary]
    stored = world.run(failover_bench.read_keys(world.group, primary))
    return acknowledged - stored
