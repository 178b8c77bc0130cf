"""Tests that a seed plays the same in every process."""

import os
import subprocess
import sys

import pytest

# Differ in the hashes of strings, and in the addresses, by which sets order
# what they hold.
PROCESSES = (("1", "0"), ("2", "500"))


@pytest.mark.parametrize(
    "names",
    [
        ("world:0:3", "world:0:146"),
        ("world:1:44", "world:1:51"),
        ("late:0:52", "late:0:403"),
        ("late:1:41", "late:1:200"),
        ("cut:0:111", "cut:0:119"),
    ],
)
def test_a_seed_has_the_same_history_in_each_process(names):
    """Guards against verdicts of the model check that change by themselves."""
    first, second = [
        subprocess.run(
            [sys.executable, "-m", "tests.histories", taken, *names],
            env={**os.environ, "PYTHONHASHSEED": hash_seed},
            check=True,
            capture_output=True,
            text=True,
        ).stdout.splitlines()
        for hash_seed, taken in PROCESSES
    ]
    assert len(first) == len(names)
    assert first == second
