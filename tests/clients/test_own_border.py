"""Clients that misbehave at the product's own border.

Guards against a daemon that exits, stops serving, or grows without bound in
memory or descriptors because of what clients send or do not read.
"""

import os
import pathlib
import resource
import time

import pytest
import pytest_asyncio

from fescuestile import errors
from fescuestile_daemon import settings
from fescuestile_standins import fleet as fleets
from fescuestile_standins import launcher as launchers
from tests.clients import crowd
from tests.clients import streams

pytestmark = [pytest.mark.alone, pytest.mark.timeout(180)]

MAX_PEAK_MB = 120
MAX_DESCRIPTORS = 200
MAX_OPEN_DESCRIPTORS = 180
ANSWER_TIMEOUT_SECONDS = 40.0
LIMITS = {
    "sessions": "40",
    "answer_bytes": "1MiB",
    "session_bytes": "2MiB",
    "total_bytes": "16MiB",
    "open_timeout": "2s",
}


@pytest_asyncio.fixture
async def fleet(tmp_path):
    async with launchers.Launcher(tmp_path) as launcher:
        started = fleets.Fleet(launcher)
        await started.start_platform()
        group = await started.start_group(fleets.GroupOptions())
        # The code that these tests were first run on lacks some of them.
        known = settings.LimitsOptions.model_fields
        limits = {key: LIMITS[key] for key in LIMITS if key in known}
        daemon = await started.start_daemon(
            "d0", started.zones[0], {"limits": limits}
        )
        await started.declare(group)
        resource.prlimit(
            daemon.process.pid,
            resource.RLIMIT_NOFILE,
            (MAX_DESCRIPTORS, MAX_DESCRIPTORS),
        )
        yield started


async def request(fleet, daemon, text="GET -", read_only=True):
    """Have a statement answered, with retries as callers do."""
    end = time.monotonic() + ANSWER_TIMEOUT_SECONDS
    while True:
        try:
            async with fleet.open_session(daemon) as session:
                await session.execute(
                    streams.DATABASE, "dispatch", text, read_only=read_only
                )
            return
        except errors.FescuestileError:
            assert daemon.process.running, "the daemon has exited"
            assert time.monotonic() < end, "no answer to an ordinary request"


def read_peak_mb(pid):
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    lines = [x for x in status.splitlines() if x.startswith("VmHWM:")]
    return int(lines[0].split()[1]) / 1024


async def check(fleet, made):
    daemon = fleet.daemons["d0"]
    pid = daemon.process.pid
    value = "v" * streams.LARGE_VALUE_BYTES
    await request(fleet, daemon, f"PUT {streams.LARGE_KEY} {value}", False)
    print(f"start {read_peak_mb(pid):.0f} MB")
    try:
        await made.run()
        descriptors = len(os.listdir(f"/proc/{pid}/fd"))
    finally:
        closing = made.close()
        if closing is not None:
            await closing
    await request(fleet, daemon)
    peak = read_peak_mb(pid)
    print(f"peak {peak:.0f} MB, {descriptors} descriptors")
    assert daemon.process.running
    assert daemon.process.pid == pid
    assert peak < MAX_PEAK_MB
    assert descriptors < MAX_OPEN_DESCRIPTORS


@pytest.mark.parametrize(
    ("channels", "count", "behave"),
    [
        (8, 1, streams.read_no_answers),
        (16, 1, streams.send_largest_requests),
        (8, 1, streams.send_invalid_frames),
        (8, 1, streams.send_oversized_frames),
        (1, 3000, streams.send_nothing),
        (1, 3000, streams.open_idle_session),
        (250, 1, streams.open_idle_session),
    ],
    ids=lambda value: getattr(value, "__name__", None),
)
async def test_streams_are_bounded(fleet, channels, count, behave):
    address = fleet.daemons["d0"].caller_address
    await check(fleet, streams.Crowd(address, channels, count, behave))


async def test_connections_are_bounded(fleet):
    address = fleet.daemons["d0"].caller_address
    await check(fleet, crowd.Crowd(address, 250, crowd.send_nothing))
