"""Work after a suspension waits for the configuration."""

import asyncio
import time

import pytest
import pytest_asyncio

from fescuestile import clock
from fescuestile_daemon.relay.groups import suspensions


class Reader:
    """Reads the configuration once ``answers`` is set."""

    def __init__(self):
        self.answers = asyncio.Event()
        self.calls = 0

    async def read(self):
        self.calls += 1
        await self.answers.wait()
        return True


@pytest.fixture
def boot_clock():
    return clock.ManualClock(50.0)


@pytest_asyncio.fixture
async def reader():
    return Reader()


@pytest_asyncio.fixture
async def guard(boot_clock, reader):
    made = suspensions.SuspensionGuard(boot_clock, reader.read)
    await made.start()
    yield made
    made.close()


async def test_work_waits_for_the_store_after_a_suspension(
    guard, boot_clock, reader
):
    """Guards against callers served by the keys from before it."""
    assert guard.is_current()
    boot_clock.advance(6.0)
    assert not guard.is_current()
    waiting = asyncio.create_task(guard.wait_current())
    await asyncio.sleep(0.02)
    assert not waiting.done()
    reader.answers.set()
    await asyncio.wait_for(waiting, 0.2)
    assert guard.is_current()
    assert reader.calls == 1


async def test_a_store_that_is_away_holds_work_back_for_a_moment(
    guard, boot_clock
):
    """Guards against daemons that wait for an unavailable store."""
    boot_clock.advance(6.0)
    began_at = time.monotonic()
    await guard.wait_current()
    assert time.monotonic() - began_at < 2 * suspensions.READ_SECONDS
    assert guard.is_current()


async def test_an_answer_from_before_a_suspension_is_not_enough(
    guard, boot_clock, reader
):
    """Guards against a second suspension while the store is being read."""
    boot_clock.advance(6.0)
    assert not guard.is_current()
    await asyncio.sleep(0.01)
    boot_clock.advance(6.0)
    assert not guard.is_current()
    reader.answers.set()
    await guard.wait_current()
    assert reader.calls == 2


async def test_a_short_pause_is_no_suspension(guard, boot_clock, reader):
    """Guards against a busy daemon that refuses its callers."""
    boot_clock.advance(0.9)
    assert guard.is_current()
    assert reader.calls == 0


async def test_nothing_waits_where_no_key_can_be_revoked(boot_clock, reader):
    """Guards against callers refused after a stall of a loaded daemon."""
    made = suspensions.SuspensionGuard(
        boot_clock, reader.read, applies=lambda: False
    )
    await made.start()
    boot_clock.advance(6.0)
    assert made.is_current()
    assert reader.calls == 0
    made.close()
