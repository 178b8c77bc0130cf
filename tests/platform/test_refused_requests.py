"""Calls to the platform while it refuses promotions."""

import asyncio

import pytest

# A promotion is requested within this time.
REQUEST_SECONDS = 5.0
# A driver repeats a request for this time.
REPEAT_SECONDS = 3.0
# Well below what the store and the promotion service accept.
MAX_CALLS_PER_SECOND = 20.0


@pytest.fixture
def world_size():
    return 1, 2


@pytest.mark.parametrize("status", [429, 503])
async def test_a_refused_request_is_repeated_at_a_moderate_rate(world, status):
    """Guards against bursts of calls while the platform is overloaded.

    Each repetition writes the record of the members, too.
    """
    store = world.store
    store.faults.promotion_status = status
    world.groups["g0"].primary.faults.dark = True
    async with asyncio.timeout(REQUEST_SECONDS):
        while not store.promotion_requests:
            await asyncio.sleep(0.002)
    store.calls.clear()
    await asyncio.sleep(REPEAT_SECONDS)
    writes = [
        url
        for method, url in store.calls
        if method == "PUT" and "/members/" in url
    ]
    requests = [url for _, url in store.calls if url == "/promote"]
    bound = MAX_CALLS_PER_SECOND * REPEAT_SECONDS
    assert len(writes) <= bound, f"{len(writes)} writes"
    assert len(requests) <= bound, f"{len(requests)} requests"
