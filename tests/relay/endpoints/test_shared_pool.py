"""Pools whose connections tenants share."""

import asyncio
import contextlib
import time

import pytest

from fescuestile import clock
from fescuestile import routes
from fescuestile import tenants
from fescuestile_daemon.relay.core import messages
from fescuestile_daemon.relay.core import options
from fescuestile_daemon.relay.core import ports
from fescuestile_daemon.relay.endpoints import endpoint_states
from fescuestile_daemon.relay.statements import sessions
from tests import tenant_endpoints

ENTRY = tenant_endpoints.ENTRY
RESTING_SECONDS = tenant_endpoints.RESTING_SECONDS


async def use(shared, *names):
    for tenant in names:
        shared.release(await tenant_endpoints.acquire(shared, tenant))


def begin(shared, tenant):
    """Begin a transaction that rests once it has a connection."""

    async def run():
        connection = await shared.acquire(tenant=tenant, holds=True)
        ended = asyncio.Event()

        def expire():
            ended.set()
            shared.release(connection)

        shared.rest(connection, expire)
        await ended.wait()

    return asyncio.create_task(run())


@contextlib.asynccontextmanager
async def transactions(shared, *names):
    """Let transactions of tenants begin and rest."""
    tasks = [begin(shared, tenant) for tenant in names]
    await asyncio.sleep(0.01)
    yield tasks
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def test_a_connection_serves_one_tenant():
    endpoint = tenant_endpoints.TenantEndpoint()
    shared = tenant_endpoints.make_pool(endpoint, cap=3)
    await use(shared, "a", "b", "a", "b")
    assert endpoint.dialed == ["a", "b"]


async def test_the_least_needed_connection_makes_room():
    """Guards against closing those of tenants that are used often."""
    endpoint = tenant_endpoints.TenantEndpoint()
    shared = tenant_endpoints.make_pool(endpoint, cap=3)
    await use(shared, "a", "a", "a", "b", "b", "b", "c", "d", "a", "b")
    assert endpoint.dialed == ["a", "b", "c", "d"]


async def test_a_full_pool_waits_for_a_connection_of_the_same_tenant():
    """Guards against an eviction for the time of one statement."""
    endpoint = tenant_endpoints.TenantEndpoint()
    shared = tenant_endpoints.make_pool(endpoint, cap=2, dial_delay=0.5)
    await use(shared, "b")
    busy = await tenant_endpoints.acquire(shared, "a")
    waiting = asyncio.create_task(tenant_endpoints.acquire(shared, "a"))
    await asyncio.sleep(0.01)
    shared.release(busy)
    assert await waiting is busy
    assert endpoint.dialed == ["b", "a"]


async def test_the_wait_for_the_same_tenant_is_bounded():
    endpoint = tenant_endpoints.TenantEndpoint()
    shared = tenant_endpoints.make_pool(endpoint, cap=2, dial_delay=0.02)
    await use(shared, "b")
    await tenant_endpoints.acquire(shared, "a")
    await tenant_endpoints.acquire(shared, "a")
    assert endpoint.dialed == ["b", "a", "a"]


async def test_a_released_connection_wakes_a_request_that_can_use_it():
    """Guards against a request woken in vain while another one waits on."""
    endpoint = tenant_endpoints.TenantEndpoint()
    shared = tenant_endpoints.make_pool(endpoint, cap=2, dial_delay=0.5)
    first, second = (
        await tenant_endpoints.acquire(shared, "a"),
        await tenant_endpoints.acquire(shared, "b"),
    )
    tasks = [
        asyncio.create_task(tenant_endpoints.acquire(shared, name))
        for name in ("a", "b")
    ]
    await asyncio.sleep(0.01)
    shared.release(second)
    assert await tasks[1] is second
    assert not tasks[0].done()
    shared.release(first)
    assert await tasks[0] is first
    assert endpoint.dials == 2


async def test_the_most_urgent_request_gets_the_next_connection():
    """Guards against a flood of one rank that takes every connection."""
    shared = tenant_endpoints.make_pool(
        tenant_endpoints.TenantEndpoint(), cap=1
    )
    busy = await tenant_endpoints.acquire(shared, "a")
    order = []

    async def run(level):
        connection = await tenant_endpoints.acquire(
            shared, f"t{level}", level=level
        )
        order.append(level)
        shared.release(connection)

    tasks = [asyncio.create_task(run(level)) for level in (2, 1, 0)]
    await asyncio.sleep(0.01)
    shared.release(busy)
    await asyncio.gather(*tasks)
    assert order == [0, 1, 2]


async def test_a_request_goes_on_after_the_pause_of_a_failed_attempt():
    """Guards against a wait without end: only other tenants' are in use."""
    endpoint = tenant_endpoints.TenantEndpoint(limit=1)
    shared = tenant_endpoints.make_pool(endpoint, cap=3, refused_delay=0.05)
    await tenant_endpoints.acquire(shared, "a")
    refusal = await shared.acquire(tenant="b")
    assert refusal.kind is messages.Kind.TOO_MANY_CONNECTIONS
    endpoint.limit = 3
    shared.usage = 0.4
    await tenant_endpoints.acquire(shared, "b")


async def test_120_idle_transactions_leave_connections_to_single_statements():
    endpoint = tenant_endpoints.TenantEndpoint()
    shared = tenant_endpoints.make_pool(
        endpoint, cap=42, resting_transaction=60.0
    )
    crowd = [f"t{number % 3}" for number in range(130)]
    async with transactions(shared, *crowd):
        assert shared.open == 31
        for number in range(20):
            await use(shared, f"s{number}")
        assert isinstance(
            await shared.acquire(inspects=True), ports.EndpointConnection
        )
        with pytest.raises(TimeoutError):
            await tenant_endpoints.acquire(
                shared, "late", seconds=0.05, holds=True
            )
        assert shared.open <= 42


async def test_resting_transactions_are_rolled_back_while_others_wait():
    """Guards against callers that rest inside transactions for the limit.

    Only as many end as requests wait, those that rest for longest first.
    """
    shared = tenant_endpoints.make_pool(
        tenant_endpoints.TenantEndpoint(), cap=4
    )
    async with transactions(shared, "a", "b", "c") as resting:
        await asyncio.sleep(2 * RESTING_SECONDS)
        assert not any(task.done() for task in resting)
        await tenant_endpoints.acquire(shared, "d", holds=True)
        await asyncio.sleep(2 * RESTING_SECONDS)
        assert [task.done() for task in resting] == [True, False, False]


async def test_transactions_that_begin_to_rest_later_are_rolled_back():
    """Guards against a wait for the idle limit after a wait for statements.

    A request that finds no transaction at rest has no time to wait for.
    """
    shared = tenant_endpoints.make_pool(
        tenant_endpoints.TenantEndpoint(), cap=1
    )
    connection = await tenant_endpoints.acquire(shared, "a", holds=True)
    waiting = asyncio.create_task(tenant_endpoints.acquire(shared, "b"))
    await asyncio.sleep(0.01)
    shared.rest(connection, lambda: shared.release(connection))
    shared.trim()
    assert not waiting.done()
    await asyncio.sleep(2 * RESTING_SECONDS)
    shared.trim()
    await waiting


async def test_a_transaction_that_goes_on_is_not_rolled_back():
    shared = tenant_endpoints.make_pool(
        tenant_endpoints.TenantEndpoint(), cap=1
    )
    connection = await tenant_endpoints.acquire(shared, "a", holds=True)
    expired = []
    shared.rest(connection, lambda: expired.append(True))
    waiting = asyncio.create_task(tenant_endpoints.acquire(shared, "b"))
    await asyncio.sleep(0.01)
    shared.resume(connection)
    await asyncio.sleep(2 * RESTING_SECONDS)
    assert not expired
    shared.release(connection)
    await waiting


async def test_one_tenants_transactions_give_way_to_those_of_others():
    """Guards against a tenant whose transactions take each place again."""
    shared = tenant_endpoints.make_pool(
        tenant_endpoints.TenantEndpoint(), cap=8, resting_transaction=60.0
    )
    held = [
        await tenant_endpoints.acquire(shared, "hot", holds=True)
        for _ in range(6)
    ]
    hot = asyncio.create_task(
        tenant_endpoints.acquire(shared, "hot", holds=True)
    )
    await asyncio.sleep(0.01)
    calm = asyncio.create_task(
        tenant_endpoints.acquire(shared, "calm", holds=True)
    )
    await asyncio.sleep(0.01)
    assert not hot.done()
    shared.release(held.pop())
    await calm
    assert not hot.done()
    shared.release(held.pop())
    await hot


async def test_without_tenants_transactions_take_connections_as_before():
    shared = tenant_endpoints.make_pool(
        tenant_endpoints.TenantEndpoint(), cap=4
    )
    connections = [
        await tenant_endpoints.acquire(shared, "", holds=True)
        for _ in range(4)
    ]
    expired = []
    for connection in connections:
        shared.rest(connection, lambda: expired.append(True))
    with pytest.raises(TimeoutError):
        await tenant_endpoints.acquire(shared, "", seconds=3 * RESTING_SECONDS)
    assert not expired


async def test_a_retaining_pool_keeps_idle_connections():
    """Guards against a gateway that closes and opens connections in turn."""
    endpoint = tenant_endpoints.TenantEndpoint()
    shared = tenant_endpoints.make_pool(endpoint, cap=42, scarce_idle=0.0)
    shared.is_retaining = True
    shared.usage = 0.7
    used = [
        await tenant_endpoints.acquire(shared, f"t{number}")
        for number in range(20)
    ]
    for connection in used:
        shared.release(connection)
    shared.trim()
    assert endpoint.open == 20
    shared.usage = 0.85
    shared.trim()
    assert endpoint.open == 19


async def test_a_retaining_pool_of_one_tenant_bounds_transactions():
    shared = tenant_endpoints.make_pool(
        tenant_endpoints.TenantEndpoint(), cap=8, resting_transaction=60.0
    )
    shared.is_retaining = True
    async with transactions(shared, *[""] * 20):
        assert shared.open == 6
        await use(shared, "")


async def test_a_retaining_pool_opens_for_a_tenant_that_has_none():
    """Guards against a wait for statements of other tenants."""
    shared = tenant_endpoints.make_pool(
        tenant_endpoints.TenantEndpoint(), cap=4, dial_delay=5.0
    )
    shared.is_retaining = True
    shared.usage = 0.9
    await tenant_endpoints.acquire(shared, "a")
    await tenant_endpoints.acquire(shared, "b")


async def test_after_a_refusal_a_retaining_pool_replaces_connections():
    """Guards against refusals by a full endpoint while others rest here."""
    endpoint = tenant_endpoints.TenantEndpoint(limit=2)
    shared = tenant_endpoints.make_pool(endpoint, cap=4, refused_delay=0.02)
    shared.is_retaining = True
    await use(shared, "a", "a", "b")
    refusal = await shared.acquire(tenant="c")
    assert refusal.kind is messages.Kind.TOO_MANY_CONNECTIONS
    await use(shared, "c", "a")
    assert endpoint.dialed == ["a", "b", "c"]
    assert endpoint.refused == 1


class Answers(ports.Caller):
    """Keeps the answers to a caller."""

    def __init__(self):
        self.outcomes = []

    def answer(self, outcome):
        self.outcomes.append(outcome)

    def close(self):
        pass


class HoldingExecutor(sessions.Executor):
    """Begins transactions on a pool and rolls them back."""

    idle_transaction = 60.0

    def __init__(self, endpoint):
        self.endpoint = endpoint

    def find_route(self, database):
        return routes.Route(
            database, "g", routes.Consistency.CURRENT, 0.0, 1.0, 1.0, 0
        )

    def find_tenant(self, route, key_hash):
        return tenants.Tenant("a")

    def find_group(self, route):
        return None

    async def run_in_transaction(self, session, transaction, arrival):
        transaction.connection = await tenant_endpoints.acquire(
            self.endpoint.pool, session.tenant, holds=True
        )
        transaction.endpoint = self.endpoint
        return messages.Outcome(messages.Kind.DONE)

    def abandon(self, transaction):
        if transaction.connection is not None:
            self.endpoint.pool.release(transaction.connection)
        transaction.connection = transaction.endpoint = None


def make_statement(verb):
    return messages.Statement("s", verb, "")


async def test_a_resting_session_is_told_that_its_transaction_ended():
    """Guards against a commit that is answered without a transaction."""
    endpoint = endpoint_states.EndpointState(
        ENTRY,
        tenant_endpoints.TenantEndpoint(),
        options.RelayOptions(resting_transaction=RESTING_SECONDS),
        1,
        clock.ManualClock(),
    )
    answers = Answers()
    session = sessions.Session(
        "db", answers, HoldingExecutor(endpoint), clock.ManualClock()
    )
    session.receive(make_statement(messages.Verb.BEGIN))
    session.receive(make_statement(messages.Verb.READ))
    await asyncio.sleep(0.01)
    started = time.monotonic()
    await tenant_endpoints.acquire(endpoint.pool, "b")
    assert time.monotonic() - started >= RESTING_SECONDS / 2
    session.receive(make_statement(messages.Verb.COMMIT))
    assert answers.outcomes[-1].kind is messages.Kind.ABORTED
    assert not session.in_transaction
