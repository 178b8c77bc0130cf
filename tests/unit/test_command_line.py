import json
import pathlib

from cleo.testers import command_tester
import grpc
import pytest

from fescuestile_api import fescuestile_pb2 as pb
from fescuestile_api import models
from fescuestile_cli import calls
from fescuestile_cli import command
from fescuestile_cli import plan_files

SAMPLES = pathlib.Path(__file__).parents[2] / "samples"
PLANS = sorted(SAMPLES.glob("*/plans/*.ini"))
VALID_PLAN = """
[database]
name = werkstatt-db

[rank urgent]
floor = 0.1

[kind fault-report]
rank = urgent
staleness = 0ms

[endpoint e1]
zone = muenchen
address = 10.31.1.21:5432
slots = 2
connections = 16
"""


def test_sample_plans_have_the_sizes_of_both_deployments():
    assert len(PLANS) == 6
    for path in PLANS:
        plan = models.decode_plan(plan_files.read_plan(path).ok).ok
        assert plan.database == path.stem
        zones = {endpoint.zone for endpoint in plan.endpoints}
        connections = 16 if path.parts[-3] == "luftdienst" else 30
        assert (len(zones), len(plan.ranks)) == (3, 3)
        for endpoint in plan.endpoints:
            assert (endpoint.slots, endpoint.connections) == (2, connections)


@pytest.mark.parametrize(
    ("old", "new", "field"),
    [
        ("[database]\nname = werkstatt-db", "", "database"),
        ("name = werkstatt-db", "", "database.name"),
        ("floor = 0.1", "floor = much", "rank urgent.floor"),
        ("floor = 0.1", "floor = 1.1", "ranks.0.floor"),
        ("staleness = 0ms", "staleness = 5", "kind fault-report.staleness"),
        ("rank = urgent", "rank = calm", "kinds.rank"),
        ("slots = 2", "slots = two", "endpoint e1.slots"),
        ("slots = 2", "slots = 20", "endpoints.slots"),
        ("zone = muenchen", "place = x", "endpoint e1.place"),
        ("10.31.1.21:5432", "pump:5432", "endpoints.0.address"),
        ("[rank urgent]", "[rung urgent]", "rung urgent"),
        ("[rank urgent]", "[[", ""),
    ],
)
def test_the_error_of_an_invalid_plan_names_file_section_and_key(
    tmp_path, old, new, field
):
    file = tmp_path / "plan.ini"
    file.write_text(VALID_PLAN.replace(old, new, 1))
    error = plan_files.read_plan(file).error
    assert (error.step, error.peer) == ("read plan", str(file))
    assert error.field == field


def run(cls, arguments, capsys):
    tester = command_tester.CommandTester(cls())
    code = tester.execute(arguments)
    return code, capsys.readouterr().out, tester.io.fetch_error()


@pytest.mark.parametrize(
    ("cls", "arguments", "named"),
    [
        (command.StatusCommand, "", "--address"),
        (command.StatusCommand, "-a pump:1", "--address"),
        (command.StatusCommand, "-a 127.0.0.1:1 -o xml", "--output"),
        (command.DeclareCommand, "no.ini -a 127.0.0.1:1", "no.ini"),
        (command.RevertCommand, "db x -a 127.0.0.1:1", "revision"),
        (command.RevertCommand, "db 1 -a 127.0.0.1:1", "--expected"),
        (command.AuditCommand, "-a 127.0.0.1:1 -l x", "--limit"),
    ],
)
def test_invalid_arguments_exit_with_2(
    cls, arguments, named, capsys, monkeypatch
):
    monkeypatch.delenv(command.ADDRESS_VARIABLE, raising=False)
    code, _, error = run(cls, arguments, capsys)
    assert code == calls.EXIT_BAD_INPUT
    assert named in error


def test_an_unreachable_daemon_exits_with_3(capsys):
    code, _, error = run(
        command.RevertCommand, "db 1 -e 2 -a 127.0.0.1:1", capsys
    )
    assert code == calls.EXIT_UNAVAILABLE
    assert "step revert, peer 127.0.0.1:1" in error
    assert "change id: " in error


class FakeStub:
    def __init__(self, channel):
        pass

    def Apply(self, request, timeout):  # noqa: N802
        return pb.ChangeReply(revision=request.expected_revision + 1)

    def Revert(self, request, timeout):  # noqa: N802
        raise FakeError()


class FakeError(grpc.RpcError):
    def code(self):
        return grpc.StatusCode.FAILED_PRECONDITION

    def trailing_metadata(self):
        failure = pb.Failure(message="no", step="revert", field="f")
        return ((calls.FAILURE_KEY, failure.SerializeToString()),)


def test_json_replies_and_refusals_have_exit_codes(
    tmp_path, capsys, monkeypatch
):
    monkeypatch.setattr(
        "fescuestile_cli.calls.pb_grpc.OperatorServiceStub", FakeStub
    )
    file = tmp_path / "plan.ini"
    file.write_text(VALID_PLAN)
    code, out, _ = run(
        command.ApplyCommand,
        f"{file} -e 4 -a 127.0.0.1:1 -o json --change-id c1",
        capsys,
    )
    content = json.loads(out)
    assert (code, content["revision"], content["change_id"]) == (0, "5", "c1")
    code, _, error = run(
        command.RevertCommand, "db 1 -e 2 -a 127.0.0.1:1", capsys
    )
    assert code == calls.EXIT_REFUSED
    assert "no (step revert, peer 127.0.0.1:1, field f)" in error


def test_wrong_usage_exits_with_2(capsys, monkeypatch):
    for usage in ("revert", "nothing", "status --colour"):
        monkeypatch.setattr("sys.argv", ["fescuestile", *usage.split()])
        with pytest.raises(SystemExit) as ended:
            command.main()
        assert ended.value.code == calls.EXIT_BAD_INPUT
        assert "Traceback" not in capsys.readouterr().err
