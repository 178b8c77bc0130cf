"""Fixtures of the tests with clients that misbehave."""

import pytest_asyncio

from tests.clients import daemons


@pytest_asyncio.fixture
async def daemon(tmp_path):
    started = daemons.Daemon(tmp_path)
    try:
        await started.start()
        yield started
    finally:
        await started.close()
