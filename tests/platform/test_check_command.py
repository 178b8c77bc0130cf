"""The command that checks a configuration before it is sent."""

import json
import os
import subprocess
import sys

import pytest

from fescuestile_platform import command
from tests.platform.standins import world as worlds

KEYS = {"north": ["k-secret-1", "k-secret-2"], "south": ["k-secret-3"]}
PART_OF_KEYS = "secret"


def make_spec(version=2, **fields):
    return worlds.make_configuration(["g0"], version, KEYS) | fields


def make_odd_tenants(*entries):
    return make_spec(tenants=list(entries))


@pytest.fixture
def run(tmp_path, capsys):
    """Run the command on values or texts; return exit code and output."""

    def run_check(*documents, options=()):
        paths = []
        for number, document in enumerate(documents):
            path = tmp_path / f"{number}.json"
            if not isinstance(document, bytes):
                document = json.dumps(document).encode()
            path.write_bytes(document)
            paths.append(str(path))
        if len(paths) > 1:
            paths.insert(1, "--against")
        code = command.run(["check", *paths, *options])
        output = capsys.readouterr()
        assert PART_OF_KEYS not in output.out + output.err
        return code, output.out.splitlines(), output.err

    return run_check


ROUTE = make_spec()["routes"][0]
NORTH = {"name": "north", "api_keys": ["k-secret-1"]}


@pytest.mark.parametrize(
    ("document", "expected"),
    [
        (make_spec(), []),
        (
            make_spec(routes=[*make_spec()["routes"], ROUTE]),
            ["error: route g0-primary: 2 routes"],
        ),
        (
            make_spec(routes=[ROUTE, {**ROUTE, "host": "a\nb"}], services=[]),
            [
                "error: route a\\nb: its group",
                "error: route g0-primary: its group",
            ],
        ),
        (
            make_spec(routes=[ROUTE, {"host": "k-secret-1"}]),
            ["error: document: route 1 is malformed"],
        ),
        (
            make_odd_tenants(NORTH, {**NORTH, "name": "south"}),
            [
                "warning: tenant south: it has no key",
                "warning: tenants: a key of tenant south",
            ],
        ),
        (
            make_odd_tenants({**NORTH, "api_keys": ["k secret", "k-secret"]}),
            ["error: document: tenant north: 1 malformed keys"],
        ),
        (
            make_odd_tenants({**NORTH, "rate_per_s": "k-secret"}),
            [
                "error: document: tenant north: malformed limit",
                "warning: tenant north: its rate is 0",
            ],
        ),
        (
            make_spec("k-secret"),
            ["error: document: is refused: malformed ver"],
        ),
        (
            make_spec(tenants=KEYS),
            ["error: document: is refused: malformed t"],
        ),
        ("k-secret", ["error: document: is no object"]),
    ],
)
def test_each_finding_is_a_line(run, document, expected):
    """Guards against parts that daemons leave out, and keys in output."""
    code, lines, error = run(document)
    assert code == any(line.startswith("error") for line in expected)
    assert len(lines) == len(expected)
    for line, start in zip(lines, expected, strict=True):
        assert line.startswith(start)
    assert error == ""


@pytest.mark.parametrize(
    "text",
    [
        b"",
        b'{"api_keys": ["k-secret',
        b'{"api_keys": ["k-secret\\x"]}',
        b'{"api_keys": [k-secret]}',
        b'{"api_keys": ["k-secret\n"]}',
        b"[" * 100_000 + b'"k-secret"',
        b"\xff\xfe",
    ],
    ids=range(7),
)
def test_what_is_not_json_is_bad_input(run, text):
    """Guards against parsers' errors that quote keys."""
    for documents in ((text,), (make_spec(), text)):
        code, lines, error = run(*documents)
        assert (code, lines) == (2, [])
        assert "not JSON" in error
        assert error.count("\n") == 1


def test_a_missing_file_is_bad_input(capsys, tmp_path):
    """Guards against a check that passes without a document."""
    for path in (tmp_path / "missing", tmp_path):
        assert command.run(["check", str(path)]) == 2
        assert str(path) in capsys.readouterr().err


@pytest.mark.parametrize(
    ("before", "code", "expected"),
    [
        (
            make_spec(1, tenants=[NORTH]),
            0,
            {
                "errors": [],
                "changes": ["keys", "tenant south"],
            },
        ),
        (make_spec(2), 1, {"errors": ["version"], "changes": []}),
        (7, 1, {"errors": ["version in force"], "changes": []}),
    ],
    ids=["older", "same", "malformed"],
)
def test_the_version_in_force_is_compared(run, before, code, expected):
    """Guards against JSON that scripts cannot rely on."""
    found, lines, _ = run(make_spec(), before, options=["--json"])
    report = json.loads("".join(lines))
    subjects = {
        part: [entry["subject"] for entry in report[part]] for part in report
    }
    assert found == code
    assert subjects == expected | {"warnings": []}


def test_a_malformed_route_stays_as_it_was(run):
    """Guards against changes that daemons would not make."""
    odd = make_spec(3, routes=[{**ROUTE, "timeout_ms": None}])
    code, lines, _ = run(odd, make_spec(2, routes=[ROUTE]))
    assert code == 1
    assert [line.split(":")[0] for line in lines] == ["error"]


def test_the_module_runs_the_command(tmp_path):
    """Guards against a daemon, or a crash at a name, in its place."""
    path = tmp_path / "main.json"
    path.write_text(json.dumps(make_spec(routes=[{**ROUTE, "host": "ü"}] * 2)))
    done = subprocess.run(
        [sys.executable, "-m", "fescuestile_platform", "check", str(path)],
        capture_output=True,
        env=os.environ | {"PYTHONIOENCODING": "ascii"},
        timeout=60,
    )
    assert (done.returncode, done.stderr) == (1, b"")
    assert done.stdout.startswith(b"error: route \\xfc: 2 routes")
