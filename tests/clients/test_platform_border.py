"""Clients that misbehave at the platform's line protocol and probe.

Guards against a daemon that exits, stops serving, or grows without bound in
memory or descriptors because of what clients send or do not read.
"""

import pytest

from tests.clients import crowd
from tests.clients import daemons

pytestmark = [pytest.mark.alone, pytest.mark.timeout(180)]

# Peak of the process; the settings name a host of ``daemons.MEMORY_MB``.
MAX_PEAK_MB = 120
# Endpoints answer so few large rows that the peak stays lower.
MAX_ROWS_PEAK_MB = 90
# Below the limit of the process, so that it can open further files.
MAX_OPEN_DESCRIPTORS = 240
LARGE_ROW_BYTES = 200_000


async def check(
    daemon, crowds, stays_connected=False, max_peak_mb=MAX_PEAK_MB
):
    """Let crowds misbehave, then check the process.

    :param stays_connected: whether they stay while the request is made
    """
    pid = daemon.pid
    descriptors = 0
    try:
        for each in crowds:
            await each.run()
            descriptors = max(descriptors, daemon.count_descriptors())
        if stays_connected:
            await daemon.request()
    finally:
        for each in crowds:
            each.close()
    await daemon.request()
    peak = daemon.read_peak_mb()
    print(f"peak {peak:.0f} MB, {descriptors} descriptors")
    assert daemon.running
    assert daemon.pid == pid
    assert peak < max_peak_mb
    assert descriptors < MAX_OPEN_DESCRIPTORS


@pytest.mark.parametrize(
    ("size", "behave"),
    [
        (24, crowd.send_largest_messages),
        (24, crowd.send_largest_messages_in_pieces),
        (150, crowd.leave_a_large_message_unfinished),
        (24, crowd.send_without_a_line_end),
        (24, crowd.send_statements_ahead),
        (24, crowd.read_no_errors),
        (12, crowd.set_values),
        (12, crowd.prepare_statements),
    ],
    ids=lambda value: getattr(value, "__name__", None),
)
async def test_received_bytes_are_bounded(daemon, size, behave):
    crowds = [crowd.Crowd(daemon.caller_address, size, behave)]
    await check(daemon, crowds)


@pytest.mark.parametrize(
    "behave",
    [crowd.read_no_answers, crowd.stop_reading_half_way],
    ids=lambda value: value.__name__,
)
async def test_unread_answers_are_bounded(daemon, behave):
    await daemon.request(f"WRITE large {'r' * LARGE_ROW_BYTES}")
    crowds = [crowd.Crowd(daemon.caller_address, 8, behave)]
    await check(daemon, crowds, max_peak_mb=MAX_ROWS_PEAK_MB)


@pytest.mark.parametrize(
    "behave",
    [
        crowd.send_nothing,
        crowd.send_half_a_connect,
        crowd.send_slowly,
        crowd.open_idle_session,
    ],
    ids=lambda value: value.__name__,
)
async def test_open_connections_are_bounded(daemon, behave):
    size = daemons.MAX_DESCRIPTORS + 150
    crowds = [crowd.Crowd(daemon.caller_address, size, behave)]
    await check(daemon, crowds, stays_connected=True)


@pytest.mark.parametrize(
    ("size", "behave"),
    [
        (24, crowd.send_endless_path),
        (24, crowd.send_endless_header),
        (24, crowd.send_endless_headers),
        (6, crowd.send_probes_ahead),
        (4, crowd.send_scrapes_ahead),
        (daemons.MAX_DESCRIPTORS + 150, crowd.send_nothing),
    ],
    ids=lambda value: getattr(value, "__name__", None),
)
async def test_the_ready_address_is_bounded(daemon, size, behave):
    crowds = [crowd.Crowd(daemon.ready_address, size, behave)]
    await check(daemon, crowds, stays_connected=True)
