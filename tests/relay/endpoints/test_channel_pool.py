"""Pools of many daemons that share the few connections of one endpoint."""

import asyncio
import dataclasses
import random
import time

from fescuestile import clock
from fescuestile_daemon.relay.core import messages
from fescuestile_daemon.relay.core import options
from fescuestile_daemon.relay.core import ports
from fescuestile_daemon.relay.endpoints import admission_controller
from fescuestile_daemon.relay.endpoints import endpoint_states
from fescuestile_daemon.relay.endpoints import pool

ENTRY = messages.EndpointEntry(
    "i-1", "g", "127.0.0.1:1", "a", 4, False, False, 0
)


class FakeConnection(ports.EndpointConnection):
    """Connection that a fake endpoint counts."""

    def __init__(self, endpoint, number):
        self.endpoint = "i-1"
        self.values = {}
        self.prepared = {}
        self.used_at = time.monotonic()
        self.number = number
        self._endpoint = endpoint
        self._closed = False

    @property
    def closed(self):
        return self._closed

    async def call(self, *commands):
        self.used_at = time.monotonic()
        return messages.Outcome(messages.Kind.DONE)

    async def inspect(self, command):
        return None

    def close(self):
        if not self._closed:
            self._closed = True
            self._endpoint.open -= 1


class FakeEndpoint(ports.Dialer):
    """Accepts a limited number of connections from all daemons."""

    def __init__(self, limit):
        self.limit = limit
        self.open = 0
        self.dials = 0
        self.refused = 0

    async def dial(self, entry, tenant=""):
        self.dials += 1
        await asyncio.sleep(0.001)
        if self.open >= self.limit:
            self.refused += 1
            return messages.Outcome(messages.Kind.TOO_MANY_CONNECTIONS)
        self.open += 1
        return FakeConnection(self, self.dials)


def make_pool(dialer, cap=11, **settings):
    observer = pool.Observer(lambda: None, lambda outcome: None)
    return pool.ConnectionPool(
        ENTRY, dialer, options.RelayOptions(**settings), cap, observer
    )


async def test_thirty_daemons_share_46_connections():
    endpoint = FakeEndpoint(46)
    pools = [make_pool(endpoint) for _ in range(30)]
    source = random.Random(3)
    served = 0

    async def serve(daemon_pool):
        nonlocal served
        for _ in range(20):
            await asyncio.sleep(source.expovariate(1 / 0.02))
            daemon_pool.usage = endpoint.open / endpoint.limit
            connection = await daemon_pool.acquire()
            if isinstance(connection, messages.Outcome):
                continue
            await asyncio.sleep(0.005)
            daemon_pool.release(connection)
            served += 1

    # Three callers a daemon: bursts need more than the one idle connection.
    await asyncio.gather(*(serve(daemon_pool) for daemon_pool in pools * 3))
    assert served >= 0.97 * 30 * 3 * 20
    assert endpoint.refused <= 0.05 * served
    assert endpoint.open <= 46


async def test_idle_connections_are_closed_while_they_are_scarce():
    endpoint = FakeEndpoint(10)
    daemon_pool = make_pool(endpoint)
    connections = [await daemon_pool.acquire() for _ in range(4)]
    daemon_pool.usage = 0.6
    for connection in connections:
        daemon_pool.release(connection)
    assert endpoint.open == 1


async def test_idle_connections_are_kept_while_they_are_plentiful():
    endpoint = FakeEndpoint(100)
    daemon_pool = make_pool(endpoint)
    connections = [await daemon_pool.acquire() for _ in range(4)]
    for connection in connections:
        daemon_pool.release(connection)
    assert endpoint.open == 4
    assert await daemon_pool.acquire() in connections


async def test_a_refused_connection_delays_the_next():
    endpoint = FakeEndpoint(1)
    daemon_pool = make_pool(endpoint, refused_delay=5.0)
    first = await daemon_pool.acquire()
    assert isinstance(await daemon_pool.acquire(), messages.Outcome)
    waiting = asyncio.create_task(daemon_pool.acquire())
    await asyncio.sleep(0.01)
    assert endpoint.dials == 2
    daemon_pool.release(first)
    assert await waiting is first


async def test_a_connection_with_the_wanted_values_is_preferred():
    endpoint = FakeEndpoint(10)
    daemon_pool = make_pool(endpoint)
    connections = [await daemon_pool.acquire() for _ in range(3)]
    connections[0].values = {"color": "red"}
    for connection in connections:
        daemon_pool.release(connection)
    assert await daemon_pool.acquire({"color": "red"}) is connections[0]


async def test_one_inspection_may_exceed_the_cap():
    endpoint = FakeEndpoint(10)
    daemon_pool = make_pool(endpoint, cap=2)
    for _ in range(2):
        await daemon_pool.acquire()
    assert isinstance(await daemon_pool.acquire(inspects=True), FakeConnection)


async def test_closing_wakes_waiters():
    endpoint = FakeEndpoint(10)
    daemon_pool = make_pool(endpoint, cap=1)
    connection = await daemon_pool.acquire()
    waiting = asyncio.create_task(daemon_pool.acquire())
    await asyncio.sleep(0)
    daemon_pool.close()
    outcome = await waiting
    assert isinstance(outcome, messages.Outcome)
    daemon_pool.release(connection)
    assert endpoint.open == 0


async def test_cancelled_waiter_wakes_the_next():
    endpoint = FakeEndpoint(10)
    daemon_pool = make_pool(endpoint, cap=1)
    connection = await daemon_pool.acquire()
    first = asyncio.create_task(daemon_pool.acquire())
    second = asyncio.create_task(daemon_pool.acquire())
    await asyncio.sleep(0)
    daemon_pool.release(connection)
    first.cancel()
    async with asyncio.timeout(1):
        assert await second is connection


async def test_while_scarce_statements_wait_for_a_connection_in_use():
    """Guards against opening a connection for each concurrent statement."""
    endpoint = FakeEndpoint(46)
    daemon_pool = make_pool(endpoint)
    daemon_pool.usage = 0.7
    source = random.Random(3)

    async def serve():
        for _ in range(20):
            await asyncio.sleep(source.expovariate(1 / 0.01))
            connection = await daemon_pool.acquire()
            await asyncio.sleep(0.005)
            daemon_pool.release(connection)

    await asyncio.gather(serve(), serve(), serve())
    # One connection is enough for nearly all of the sixty statements.
    assert endpoint.dials <= 6


async def test_no_statement_waits_for_a_connection_that_a_transaction_holds():
    endpoint = FakeEndpoint(46)
    daemon_pool = make_pool(endpoint, dial_delay=5.0)
    daemon_pool.usage = 0.9
    await daemon_pool.acquire(holds=True)
    async with asyncio.timeout(1.0):
        assert isinstance(await daemon_pool.acquire(), FakeConnection)
    assert endpoint.dials == 2


async def test_a_connection_is_opened_when_none_becomes_free_in_time():
    endpoint = FakeEndpoint(46)
    daemon_pool = make_pool(endpoint, dial_delay=0.02)
    daemon_pool.usage = 0.6
    await daemon_pool.acquire()
    async with asyncio.timeout(1.0):
        assert isinstance(await daemon_pool.acquire(), FakeConnection)


async def test_no_work_waits_for_a_connection_to_a_leaving_endpoint():
    """Guards against work at an endpoint that no longer accepts any.

    The work waits for a connection; status reports still get one.
    """
    leaving = endpoint_states.EndpointState(
        dataclasses.replace(ENTRY, leaving=True),
        FakeEndpoint(46),
        options.RelayOptions(leaving_limit=1.0),
        1,
        time_source := clock.ManualClock(),
    )
    held = await leaving.pool.acquire()
    assert isinstance(held, FakeConnection)
    waiting = asyncio.create_task(leaving.pool.acquire())
    await asyncio.sleep(0.01)
    time_source.advance(0.9)
    leaving.refuse_late_work()
    assert not waiting.done()
    time_source.advance(0.2)
    leaving.refuse_late_work()
    async with asyncio.timeout(0.1):
        refusal = await waiting
    assert isinstance(refusal, messages.Outcome)
    assert refusal.kind is messages.Kind.BUSY
    leaving.pool.release(held)
    assert await leaving.pool.acquire(inspects=True) is held


async def test_while_connections_are_scarce_statements_start_by_rank():
    """Guards against statements queueing for a connection without rank.

    With one connection and many statements, the most urgent one goes first.
    """
    observed = endpoint_states.EndpointState(
        ENTRY,
        FakeEndpoint(46),
        options.RelayOptions(),
        11,
        clock.ManualClock(),
    )
    observed.record_connection_usage(0.9)
    started = []

    async def run(level):
        deadline = time.monotonic() + 5.0
        work = admission_controller.Work(
            level, f"kind-{level}", "caller", deadline
        )
        ticket = await observed.admission.acquire(work)
        started.append(level)
        await asyncio.sleep(0.002)
        observed.admission.release(ticket)

    await asyncio.gather(*map(run, (2, 2, 1, 0)))
    assert started == [2, 0, 1, 2]
    observed.record_connection_usage(0.3)
    assert observed.admission.queue.limit == ENTRY.slots
