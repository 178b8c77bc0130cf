"""Fixtures of the platform's tests."""

import pytest
import pytest_asyncio

from tests.platform.standins import cuts
from tests.platform.standins import world as worlds


@pytest.fixture
def world_size():
    """Numbers of groups and daemons of the world."""
    return 2, 2


@pytest.fixture
def dialer():
    """Reaches endpoints until it is cut off; for ``dialers``."""
    return cuts.CutDialer()


@pytest.fixture
def dialers():
    """How the first daemons reach endpoints, by default directly."""
    return ()


@pytest.fixture
def proxied():
    """Whether the daemons reach the store by a proxy each."""
    return False


@pytest.fixture
def zones():
    """Zones of each group's endpoints."""
    return worlds.ZONES


@pytest_asyncio.fixture
async def world(world_size, dialers, proxied, zones):
    groups, daemons = world_size
    made = worlds.World(
        groups=groups,
        daemons=daemons,
        dialers=dialers,
        proxied=proxied,
        zones=zones,
    )
    await made.start()
    yield made
    await made.close()


@pytest.fixture
def group(world):
    """Return the first group of the world."""
    return world.groups["g0"]
