"""Fixtures of the platform's tests."""

import pytest_asyncio

from tests.platform.standins import world as worlds


@pytest_asyncio.fixture
async def world():
    made = worlds.World(groups=2, daemons=2)
    await made.start()
    yield made
    await made.close()
