import dataclasses
import json
import subprocess
import sys

from measurements import base
from measurements import latencies
from measurements import output
from measurements import registry


@dataclasses.dataclass(frozen=True)
class ProbeRow:
    load: float
    served: int


REPORT = base.Report(
    "probe",
    7,
    (ProbeRow(1.0, 5), ProbeRow(20.0, 4)),
    (
        base.require_at_least("served", 4, 5),
        base.require_at_most("wait, s", 0.5, 1.0),
    ),
)


def test_json_holds_rows_and_targets_by_name():
    content = json.loads(output.format_json(REPORT))
    assert content["measurement"] == "probe"
    assert content["seed"] == 7
    assert content["rows"][1] == {"load": 20.0, "served": 4}
    assert content["targets"][0] == {
        "name": "served",
        "target": ">= 5",
        "measured": 4,
        "met": False,
    }


def test_a_table_shows_a_missed_target_as_missed():
    lines = output.format_table(REPORT).splitlines()
    assert [line.split()[-1] for line in lines[-2:]] == ["MISSED", "met"]


def test_the_command_lists_measurements_and_names_an_invalid_argument():
    command = [sys.executable, "-m", "measurements"]
    listed = subprocess.run([*command, "list"], capture_output=True, text=True)
    names = [line.split(":")[0] for line in listed.stdout.splitlines()]
    assert names == list(registry.find_measurements())
    wrong = subprocess.run(
        [*command, "run", "nothing"], capture_output=True, text=True
    )
    assert wrong.returncode == 2
    assert "name: unknown 'nothing'" in wrong.stderr


def test_percentiles_are_in_seconds():
    durations = latencies.Latencies()
    for milliseconds in range(1, 101):
        durations.record(milliseconds / 1000)
    assert round(durations.get_percentile(50), 3) == 0.05
    assert round(durations.max_seconds, 2) == 0.1
