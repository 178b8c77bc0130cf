"""Leadership checks beside a replacement that not all endpoints know of."""

import asyncio
import time

import pytest

from fescuestile import endpoint_messages
from fescuestile import promotion
from tests import fences

Role = endpoint_messages.Role
FORMER = "p"
NEXT = "r1"
# This replica was fenced, but does not reach the new primary.
STRAY = "r2"


class Dialer(fences.Dialer):
    """A group of five that has a new primary.

    The daemon still takes the former one for the primary.
    """

    def __init__(self):
        names = (FORMER, STRAY, NEXT, "r3", "r4")
        self.endpoints = {name: fences.Endpoint(name) for name in names}
        self.endpoints[FORMER].role = Role.PRIMARY

    async def delay(self, endpoint):
        await asyncio.sleep(0 if endpoint.reachable else 3600)

    def replace_primary(self):
        for name, endpoint in self.endpoints.items():
            if name not in (FORMER, STRAY):
                endpoint.term = 2
        self.endpoints[NEXT].role = Role.PRIMARY


@pytest.fixture
async def replaced():
    dialer = Dialer()
    group = fences.make_group(dialer)
    await group.refresh(0.1)
    dialer.replace_primary()
    yield group
    group.close()


async def confirm(group):
    """Return whether a read at the former primary may be answered."""
    checks = group.leadership
    return await checks.wait_confirmed(
        checks.begin_check(),
        group.endpoints[FORMER],
        time.monotonic() + 0.2,
    )


async def test_a_former_primary_and_its_last_follower_confirm_nothing(
    replaced,
):
    """Guards against reads at a primary that has been replaced."""
    assert not await confirm(replaced)


async def test_two_endpoints_would_confirm_it(replaced, monkeypatch):
    """Shows that the test above fails with the former rule."""
    monkeypatch.setattr(promotion, "count_confirming", lambda size: 2)
    assert await confirm(replaced)


async def test_one_silent_endpoint_prevents_no_check():
    dialer = Dialer()
    group = fences.make_group(dialer)
    await group.refresh(0.1)
    dialer.endpoints["r4"].reachable = False
    assert await confirm(group)
    dialer.endpoints["r3"].reachable = False
    assert not await confirm(group)
    group.close()
