import asyncio
import contextlib
import random
import time

import pytest

from fescuestile import admission
from fescuestile import clock
from fescuestile import liveness
from fescuestile_daemon import connection_set
from fescuestile_daemon import endpoint_pool
from tests import builders
from tests import fakes

FAST_LIVENESS = liveness.LivenessOptions(
    heartbeat_interval=0.02, heartbeat_timeout=0.04, initial_probe_delay=0.01
)
REPLACE_TIMEOUT_SECONDS = 2.0


def make_work(level=0, seconds=5.0, caller="anna"):
    return admission.Work(
        level, f"kind-{level}", caller, time.monotonic() + seconds
    )


@contextlib.asynccontextmanager
async def open_pool(
    dialer, options=FAST_LIVENESS, idle_timeout=30.0, **changes
):
    endpoint = builders.build_endpoint(**changes)
    pool = endpoint_pool.EndpointPool(
        endpoint,
        admission.create_options(builders.build_plan(), endpoint),
        dialer,
        clock.SystemClock(),
        connection_set.ConnectionOptions(
            liveness_options=options, idle_timeout=idle_timeout
        ),
    )
    pool.start()
    try:
        yield pool
    finally:
        await pool.close(drain_timeout=0.1)
        assert pool.connections == 0


async def wait_until(condition, seconds=REPLACE_TIMEOUT_SECONDS):
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.005)


async def reserve(pool, transaction=False, **fields):
    reserved = await pool.reserve(make_work(**fields), transaction)
    assert reserved.is_ok(), reserved
    return reserved.ok


async def test_warm_connections_are_kept_and_used_again():
    dialer = fakes.FakeDialer()
    async with open_pool(dialer) as pool:
        await wait_until(lambda: len(dialer.open) == 4)
        for _ in range(50):
            (await reserve(pool)).release(healthy=True)
        assert dialer.dialed == 4


async def test_slots_bound_what_runs_and_the_most_urgent_waits_least():
    dialer = fakes.FakeDialer()
    async with open_pool(dialer) as pool:
        held = [await reserve(pool) for _ in range(2)]
        order = []

        async def run(level):
            reserved = await reserve(pool, level=level)
            order.append(level)
            reserved.release(healthy=True)

        tasks = [asyncio.create_task(run(level)) for level in (2, 1, 0)]
        await wait_until(lambda: pool.waiting == 3)
        assert pool.running == 2
        held[0].release(healthy=True)
        await asyncio.gather(*tasks)
        assert order[0] == 0
        held[1].release(healthy=True)


async def test_an_idle_transaction_holds_a_connection_but_no_slot():
    dialer = fakes.FakeDialer()
    async with open_pool(dialer) as pool:
        held = []
        for _ in range(14):
            transaction = await reserve(pool, transaction=True)
            transaction.release_slot()
            held.append(transaction)
        assert pool.running == 0
        refused = await pool.reserve(make_work(seconds=0.05), transaction=True)
        assert refused.error.step == "admit"
        statement = await reserve(pool)
        statement.release(healthy=True)
        assert (await held[0].acquire_slot(make_work())).is_ok()
        assert pool.running == 1
        for transaction in held:
            transaction.release(healthy=True)
        assert pool.running == 0
        assert dialer.most <= 16


async def test_a_connection_whose_transaction_ended_unclear_is_closed():
    dialer = fakes.FakeDialer()
    async with open_pool(dialer) as pool:
        transaction = await reserve(pool, transaction=True)
        unclear = transaction.connection
        transaction.release(healthy=False)
        transaction.release(healthy=True)
        await wait_until(lambda: unclear.closed)
        for _ in range(8):
            reserved = await reserve(pool)
            assert reserved.connection is not unclear
            reserved.release(healthy=True)
        await wait_until(lambda: len(dialer.open) == 4)


@pytest.mark.parametrize("reserved", [False, True])
async def test_a_silent_connection_is_replaced_and_not_its_endpoint(reserved):
    dialer = fakes.FakeDialer()
    options = liveness.LivenessOptions()
    async with open_pool(dialer, options) as pool:
        await wait_until(lambda: len(dialer.open) == 4)
        lost = await reserve(pool)
        if not reserved:
            lost.release(healthy=True)
        lost.connection.silent = True
        await wait_until(lambda: lost.connection.closed)
        await wait_until(lambda: len(dialer.open) == 4)
        assert not pool.down
        lost.release(healthy=False)


async def test_an_endpoint_that_accepts_nothing_is_refused_until_it_does():
    dialer = fakes.FakeDialer()
    dialer.failing = True
    async with open_pool(dialer) as pool:
        await wait_until(lambda: pool.down)
        refused = (await pool.reserve(make_work())).error
        assert refused.retry_after > 0
        assert refused.peer == "endpoint-1"
        dialer.failing = False
        await wait_until(lambda: not pool.down)
        (await reserve(pool)).release(healthy=True)


async def test_unused_connections_beyond_the_spare_ones_are_closed():
    dialer = fakes.FakeDialer()
    async with open_pool(dialer, idle_timeout=0.05) as pool:
        held = [await reserve(pool, transaction=True) for _ in range(2)]
        for transaction in held:
            transaction.release_slot()
        held += [await reserve(pool, transaction=True) for _ in range(2)]
        held[2].release_slot()
        held[3].release_slot()
        (await reserve(pool)).release(healthy=True)
        assert len(dialer.open) == 5
        for transaction in held:
            transaction.release(healthy=True)
        await wait_until(lambda: len(dialer.open) == 4)


async def test_two_owners_at_once_stay_within_what_the_endpoint_accepts():
    dialer = fakes.FakeDialer(cap=16)
    async with open_pool(dialer) as old:
        held = []
        for _ in range(14):
            held.append(await reserve(old, transaction=True))
            held[-1].release_slot()
        async with open_pool(dialer) as new:
            await wait_until(lambda: dialer.refused >= 2)
            assert new.connections <= 4
            for _ in range(8):
                (await reserve(new)).release(healthy=True)
            assert not new.down
        assert dialer.most <= 16
        for transaction in held:
            transaction.release(healthy=True)


async def test_a_close_lets_transactions_end_and_refuses_new_work():
    dialer = fakes.FakeDialer()
    async with open_pool(dialer) as pool:
        transaction = await reserve(pool, transaction=True)
        transaction.release_slot()
        closing = asyncio.create_task(pool.close())
        await asyncio.sleep(0)
        assert (await pool.reserve(make_work())).is_error()
        assert (await transaction.acquire_slot(make_work())).is_ok()
        assert not transaction.connection.closed
        transaction.release(healthy=True)
        await closing


@pytest.mark.parametrize("seed", range(3))
async def test_caps_hold_and_nothing_leaks_under_random_work(seed):
    source = random.Random(seed)
    dialer = fakes.FakeDialer()
    in_use = set()

    async def use_pool(pool):
        reserved = await pool.reserve(
            make_work(source.randrange(3), source.uniform(0.01, 0.2)),
            transaction=source.random() < 0.3,
        )
        if reserved.is_error():
            return
        connection = reserved.ok.connection
        assert connection not in in_use
        in_use.add(connection)
        assert pool.running <= 2
        try:
            await asyncio.sleep(source.uniform(0, 0.004))
            reserved.ok.release_slot()
            await asyncio.sleep(source.uniform(0, 0.004))
        finally:
            in_use.remove(connection)
            reserved.ok.release(healthy=source.random() < 0.8)

    async with open_pool(dialer, connections=6) as pool:
        tasks = []
        for _ in range(300):
            tasks.append(asyncio.create_task(use_pool(pool)))
            if source.random() < 0.2:
                source.choice(tasks).cancel()
            if source.random() < 0.3:
                await asyncio.sleep(0.002)
        results = await asyncio.gather(*tasks, return_exceptions=True)
        for result in results:
            assert result is None or isinstance(result, asyncio.CancelledError)
        assert pool.running == 0
        assert pool.waiting == 0
        assert dialer.most <= 6
        (await reserve(pool)).release(healthy=True)
