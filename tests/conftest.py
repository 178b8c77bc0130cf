"""Marks the tests listed in KNOWN-RED.txt as expected failures."""

import os
import pathlib

import pytest

from fescuestile_standins import hosts

FIRST_NETWORK = 20


def choose_network(worker: str | None, inherited: str | None) -> str:
    """Return the loopback network of this test process.

    :param worker: name of a parallel test process, such as ``gw3``
    :param inherited: network in the environment; a worker inherits that of
        its controller, so only a process without workers uses it
    """
    if worker is None:
        return inherited or f"127.{FIRST_NETWORK}"
    return f"127.{FIRST_NETWORK + int(worker.removeprefix('gw'))}"


os.environ[hosts.NETWORK_VARIABLE] = choose_network(
    os.environ.get("PYTEST_XDIST_WORKER"),
    os.environ.get(hosts.NETWORK_VARIABLE),
)

KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


def read_known_red() -> dict[str, str]:
    """Return the entries of KNOWN-RED.txt by test id."""
    entries = {}
    for line in KNOWN_RED.read_text().splitlines():
        if line.strip() and not line.startswith("#"):
            entries[line.split("|")[0].strip()] = line
    return entries


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark exactly the listed tests as expected failures."""
    known = read_known_red()
    for item in items:
        if item.nodeid in known:
            # A test whose entry says "sometimes" is flaky and may pass.
            strict = "sometimes" not in known[item.nodeid]
            mark = pytest.mark.xfail(reason=known[item.nodeid], strict=strict)
            item.add_marker(mark)


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Print the entries of KNOWN-RED.txt after the results."""
    for entry in read_known_red().values():
        terminalreporter.write_line(f"known red: {entry}")
