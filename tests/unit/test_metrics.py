"""Tests of the metric sinks with a UDP socket as the statsd server."""

import socket

import pytest

from fescuestile_daemon import metrics
from fescuestile_daemon import settings
from tests import endpoint_groups
from tests import fleets


@pytest.fixture
def server():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp_socket:
        udp_socket.bind(("127.0.0.1", 0))
        udp_socket.settimeout(5)
        yield udp_socket


async def test_observations_are_aggregated(server):
    port = server.getsockname()[1]
    options = settings.StatsdOptions(
        address=f"127.0.0.1:{port}", prefix="p", interval="1h"
    )
    sink = metrics.create_sink(options)
    await sink.start()
    for _ in range(3):
        sink.count("statements")
        sink.timing("statement", 0.002)
    sink.gauge("sessions", 7)
    await sink.close()
    lines = server.recv(1500).decode().splitlines()
    assert "p.statements:3|c" in lines
    assert "p.statement.count:3|c" in lines
    assert "p.statement.p99:2.000000|ms" in lines
    assert "p.sessions:7|g" in lines


def test_a_summary_is_in_milliseconds():
    seconds = [index / 1000 for index in range(1, 101)]
    assert metrics.summarize(seconds) == pytest.approx(
        {"p50": 50, "p99": 99, "max": 100}
    )


async def test_without_a_statsd_section_nothing_is_sent():
    sink = metrics.create_sink(None)
    await sink.start()
    sink.count("statements")
    await sink.close()
    assert isinstance(sink, metrics.NullSink)


async def test_a_daemon_sends_outcomes_and_gauges(server):
    port = server.getsockname()[1]
    statsd = {"address": f"127.0.0.1:{port}", "prefix": "p", "interval": "1h"}
    async with endpoint_groups.serve_group() as group:
        plan = fleets.build_group_plan(group)
        async with (
            fleets.serve_daemons(1, plan, statsd=statsd) as daemons,
            fleets.open_session(daemons[0]) as session,
        ):
            await session.execute(fleets.DATABASE, "fault-report", "PUT a 1")
            daemons[0].gauges.sample()
    lines = server.recv(1500).decode().splitlines()
    assert "p.requests.answered.primary:1|c" in lines
    assert "p.sessions.open:1|g" in lines
    assert "p.endpoints.owned:3|g" in lines
