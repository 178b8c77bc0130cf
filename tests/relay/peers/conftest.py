"""Fixtures of the tests of links."""

import pytest_asyncio

from tests.relay.peers import link_builders


@pytest_asyncio.fixture
async def network():
    made = link_builders.Network()
    yield made
    await made.close()
