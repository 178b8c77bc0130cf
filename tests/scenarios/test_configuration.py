import asyncio
import json
import pathlib
import re
import subprocess
import sys

import grpc
import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from fescuestile import errors
from fescuestile_api import fescuestile_pb2 as pb
from tests.scenarios import worlds

scenarios("configuration.feature")

REFUSED = grpc.StatusCode.FAILED_PRECONDITION


@given(parsers.parse("an operator has applied a plan to revision {base:d}"))
@when(parsers.parse("an operator applies a plan to revision {base:d}"))
def apply_plan(world, base):
    try:
        world.context["reply"] = world.run(
            world.apply(world.daemons[0], base, f"to-{base + 1}")
        )
    except grpc.aio.AioRpcError as error:
        world.context["reply"] = error


@given(parsers.parse('endpoint "{name}" is frozen'))
def freeze_endpoint(world, name):
    world.fleet.groups[worlds.DATABASE].endpoints[name].freeze()


@when(parsers.parse('endpoint "{name}" wakes'))
def resume_endpoint(world, name):
    world.fleet.groups[worlds.DATABASE].endpoints[name].resume()


@when(
    parsers.parse(
        'an operator leaves endpoint "{name}" out of revision {base:d}'
    )
)
def leave_endpoint_out(world, name, base):
    world.run(world.apply(world.daemons[0], base, "leave-out", without=name))


@then(
    parsers.parse(
        "revision {revision:d} is in force on all daemons within "
        "{limit:d} seconds"
    )
)
def check_in_force(world, revision, limit):
    world.run(world.wait_revision(revision, limit))


@when("one applies and another reverts from revision 2 at once, 10 times")
def run_concurrent_changes(world):
    async def run_one(number, revision):
        first, second = world.daemons[1:3]
        outcomes = await asyncio.gather(
            world.apply(first, revision, f"apply-{number}", 2000 + number),
            world.revert(second, 1, revision, f"revert-{number}"),
            return_exceptions=True,
        )
        world.context["races"].append(outcomes)
        return max(
            outcome.revision
            for outcome in outcomes
            if isinstance(outcome, pb.ChangeReply)
        )

    world.context["races"] = []
    revision = 2
    for number in range(10):
        revision = world.run(run_one(number, revision))
    world.context["last_revision"] = revision


@then("of each pair one was accepted and one refused for its revision")
def check_races(world):
    for outcomes in world.context["races"]:
        refused = [
            outcome
            for outcome in outcomes
            if isinstance(outcome, grpc.aio.AioRpcError)
        ]
        assert [error.code() for error in refused] == [REFUSED]
    assert world.context["last_revision"] == 12


@then("all daemons agree on the last accepted revision within 2 seconds")
def check_agreed(world):
    world.run(world.wait_revision(world.context["last_revision"], 2.0))


@then("the audit trail tells both sides of each race")
def check_audit(world):
    reply = world.run(world.call(world.daemons[3], "Audit", pb.AuditRequest()))
    outcomes = [entry.outcome for entry in reply.entries]
    assert outcomes.count("done") == 12
    assert outcomes.count("VersionConflict") == 10


@given(
    parsers.parse(
        "the platform loses the next {count:d} answers after the change "
        "took effect"
    )
)
def lose_answers(world, count):
    world.run(world.set_faults(lose_replies=count))


@given(parsers.parse("the platform answers after {delay:d} ms"))
def delay_answers(world, delay):
    world.run(world.set_faults(slow_ms=delay))


@then("the same change made again is answered as repeated, with revision 2")
def check_repeated(world):
    assert world.context["reply"].revision == 2
    again = world.run(world.apply(world.daemons[2], 1, "to-2"))
    assert (again.revision, again.repeated) == (2, True)


@then("the change is refused as not run")
def check_not_run(world):
    error = world.context["reply"]
    assert isinstance(error, grpc.aio.AioRpcError)
    assert error.code() is grpc.StatusCode.UNAVAILABLE
    assert "nothing was changed" in str(error.details())


@given(parsers.parse('daemon "{name}" is frozen until the others miss it'))
def freeze(world, name):
    world.fleet.daemons[name].process.freeze()

    async def is_removed():
        return len(await world.read_revisions()) < len(world.daemons)

    world.run(world.wait_until(is_removed, 10.0))


@when(parsers.parse('daemon "{name}" wakes'))
def resume(world, name):
    world.fleet.daemons[name].process.resume()


@then("no daemon has ever put an older revision in force")
def check_never_older(world):
    for path in world.launcher.directory.glob("d*.log"):
        matches = re.findall(
            r'"revision": (\d+),.*"plan in force"', path.read_text()
        )
        revisions = [int(number) for number in matches]
        assert revisions
        assert revisions == sorted(revisions), path.name


@given("all daemons are killed")
def kill_all(world):
    for daemon in world.daemons:
        daemon.process.kill()
        world.run(daemon.process.wait_exit())


@when('daemon "d0" is started but reaches nobody')
def start_isolated(world):
    world.context["start"] = world.spawn(world.restart("d0"))


@then("it says that it waits for the configuration and takes no callers")
def check_waiting(world):
    process = world.fleet.daemons["d0"].process

    async def is_waiting():
        return "waiting for the configuration" in process.read_log()

    world.run(world.wait_until(is_waiting, 10.0))
    assert "platform" in process.read_log()
    assert not world.context["start"].done()
    with pytest.raises(errors.NotRun):
        world.run(world.write(world.fleet.daemons["d0"], "PUT a 1"))


@then(parsers.parse('a caller of daemon "{name}" can write'))
def check_can_write(world, name):
    if "start" in world.context:
        world.context["start"].result(worlds.STEP_TIMEOUT_SECONDS)
    world.run(world.write(world.fleet.daemons[name], "PUT pump broken"))


@given('the plan is written to "plan.ini"')
def write_plan(world):
    parts = [f"[database]\nname = {worlds.DATABASE}\n"]
    for rank in world.plan.ranks:
        parts.append(f"[rank {rank.name}]\nfloor = {rank.floor}\n")
    for kind in world.plan.kinds:
        milliseconds = round(kind.staleness * 1000)
        parts.append(
            f"[kind {kind.name}]\nrank = {kind.rank}\n"
            f"staleness = {milliseconds}ms\n"
        )
    for endpoint in world.plan.endpoints:
        parts.append(
            f"[endpoint {endpoint.name}]\nzone = {endpoint.zone}\n"
            f"address = {endpoint.address}\nslots = {endpoint.slots}\n"
            f"connections = {endpoint.connections}\n"
        )
    path = world.launcher.directory / "plan.ini"
    path.write_text("\n".join(parts))


@then("these commands exit with these codes:")
def check_commands(world, datatable):
    binary = pathlib.Path(sys.executable).parent / "fescuestile"
    address = world.daemons[1].operator_address
    for command, code in datatable[1:]:
        completed = subprocess.run(
            [binary, *command.split(), "--address", address],
            cwd=world.launcher.directory,
            capture_output=True,
            text=True,
            timeout=worlds.STEP_TIMEOUT_SECONDS,
            check=False,
        )
        output = completed.stdout + completed.stderr
        assert completed.returncode == int(code), (command, output)
        assert "Traceback" not in output
        if "-o json" in command:
            assert json.loads(completed.stdout)
