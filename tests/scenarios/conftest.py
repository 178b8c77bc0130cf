"""Fixtures of the scenarios: real processes, ended with each scenario."""

import pytest_asyncio

from fescuestile_standins import fleet as fleets
from fescuestile_standins import launcher as launchers


@pytest_asyncio.fixture
async def launcher(tmp_path):
    """Start processes that end with the scenario."""
    async with launchers.Launcher(tmp_path) as started:
        yield started


@pytest_asyncio.fixture
async def fleet(launcher):
    """Start a deployment piece by piece."""
    return fleets.Fleet(launcher)
