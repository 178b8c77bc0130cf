"""Fixtures of the platform's tests."""

import pytest
import pytest_asyncio

from tests.platform.standins import world as worlds


@pytest.fixture
def world_size():
    """Numbers of groups and daemons of the world."""
    return 2, 2


@pytest_asyncio.fixture
async def world(world_size):
    groups, daemons = world_size
    made = worlds.World(groups=groups, daemons=daemons)
    await made.start()
    yield made
    await made.close()
