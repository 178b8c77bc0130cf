"""Tests of the bytes that are held for streams of callers."""

import asyncio

import pytest
import structlog

from fescuestile_daemon import caller_budget

KIBIBYTE = 1024


@pytest.fixture
def budget():
    return caller_budget.CallerBudget(1024 * KIBIBYTE)


def make_share(budget, ended):
    share = caller_budget.Share(
        budget, 512 * KIBIBYTE, lambda: ended.append(share)
    )
    return share


async def is_readable(share):
    try:
        async with asyncio.timeout(0.01):
            await share.wait_readable()
    except TimeoutError:
        return False
    return True


async def test_a_stream_over_its_share_is_not_read_until_it_is_below(budget):
    """Guards against requests that pile up behind unread answers."""
    share = make_share(budget, [])
    share.add(512 * KIBIBYTE)
    assert not await is_readable(share)
    share.add(-1)
    assert await is_readable(share)


async def test_large_streams_are_not_read_while_bytes_are_scarce(budget):
    """Guards against ending legal callers that together send too fast."""
    shares = [make_share(budget, []) for _ in range(3)]
    for share in shares[:2]:
        share.add(400 * KIBIBYTE)
    shares[2].add(KIBIBYTE)
    assert not await is_readable(shares[0])
    assert await is_readable(shares[2])
    shares[1].close()
    assert await is_readable(shares[0])


async def test_the_stream_that_holds_most_is_ended(budget):
    """Guards against a total above the limit, and the end of others."""
    ended: list[caller_budget.Share] = []
    shares = [make_share(budget, ended) for _ in range(3)]
    for share, size in zip(shares, (300, 500, 300), strict=True):
        share.add(size * KIBIBYTE)
    assert ended == [shares[1]]
    assert budget.total == 600 * KIBIBYTE
    shares[1].add(-500 * KIBIBYTE)
    assert budget.total == 600 * KIBIBYTE


def test_a_cause_is_logged_once_a_second():
    """Guards against a flood of log lines."""
    causes = caller_budget.Causes()
    with structlog.testing.capture_logs() as logs:
        for _ in range(100):
            causes.add("x")
    assert len(logs) == 1
    assert causes.counts["x"] == 100
