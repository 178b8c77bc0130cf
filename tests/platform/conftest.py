"""Fixtures of the platform's tests."""

import pytest
import pytest_asyncio

from tests.platform.standins import world as worlds


@pytest.fixture
def world_size():
    """Numbers of groups and daemons of the world."""
    return 2, 2


@pytest.fixture
def dialers():
    """How the first daemons reach endpoints, by default directly."""
    return ()


@pytest_asyncio.fixture
async def world(world_size, dialers):
    groups, daemons = world_size
    made = worlds.World(groups=groups, daemons=daemons, dialers=dialers)
    await made.start()
    yield made
    await made.close()
