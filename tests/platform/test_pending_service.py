"""What is served while a promotion that had no effect is pending."""

import asyncio
import itertools

import pytest

from tests.platform.standins import line_server

# A promotion is requested within this time, and its driver waits for it.
REQUEST_SECONDS = 5.0
# Until an endpoint that registers is recorded.
RECORD_SECONDS = 5.0
# Until fences that a driver left are lifted.
LEFT_FENCED_SECONDS = 5.0


@pytest.fixture
def world_size():
    return 1, 2


@pytest.mark.parametrize(
    ("route", "texts"),
    [
        ("primary", ("READ item",)),
        ("primary", ("BEGIN", "READ item", "COMMIT")),
        ("bounded_staleness", ("READ item",)),
        ("primary", ("WRITE item value",)),
    ],
    ids=["read", "transaction", "bounded read", "write"],
)
async def test_a_working_primary_is_served_while_a_promotion_is_pending(
    world, route, texts
):
    """Guards against groups whose reads fail for as long as it is pending.

    The group has four endpoints, as during a release. The primary is back at
    once. All endpoints respond, and one replica receives what it writes; the
    others stay fenced.
    """
    group = world.groups["g0"]
    primary = group.primary
    world.store.register(await group.add_endpoint("i-g0-3", "a"))
    async with asyncio.timeout(RECORD_SECONDS):
        while len(world.store.objects["members", "g0"]["spec"]["members"]) < 4:
            await asyncio.sleep(0.02)
    world.store.faults.promotion_delays = [60.0]
    primary.faults.dark = True
    async with asyncio.timeout(REQUEST_SECONDS):
        while not world.store.promotion_requests:
            await asyncio.sleep(0.002)
    primary.faults.dark = False
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    served = []
    while loop.time() < began_at + 14.0:
        client = await world.connect(route)
        answers = [await client.query(text) for text in texts]
        client.close()
        if all(line_server.get_error(answer) is None for answer in answers):
            served.append(loop.time() - began_at)
        await asyncio.sleep(0.1)
    ends = [0.0, *served, 14.0]
    gap = max(later - former for former, later in itertools.pairwise(ends))
    assert gap < LEFT_FENCED_SECONDS, f"{gap=:.1f} {ends[1]=:.1f}"


async def test_a_leaving_primary_is_replaced_while_a_promotion_is_pending(
    world,
):
    """Guards against switchovers that are tried again and again in vain.

    All endpoints respond, and the one whose promotion is pending receives
    what the primary writes.
    """
    group = world.groups["g0"]
    primary = group.primary
    world.store.faults.promotion_delays = [60.0]
    primary.faults.dark = True
    async with asyncio.timeout(REQUEST_SECONDS):
        while not world.store.promotion_requests:
            await asyncio.sleep(0.002)
    primary.faults.dark = False
    await asyncio.sleep(4.0)
    world.store.calls.clear()
    world.store.register(primary, state="draining")
    loop = asyncio.get_running_loop()
    until = loop.time() + LEFT_FENCED_SECONDS
    while loop.time() < until and group.primary is primary:
        await asyncio.sleep(0.05)
    writes = sum(method == "PUT" for method, _ in world.store.calls)
    assert group.primary is not primary, f"{writes} writes at the store"
