"""Statements that are cancelled while an attempt is under way."""

import asyncio
import time

import pytest

from fescuestile import clock
from fescuestile import routes
from fescuestile_daemon.relay.core import events
from fescuestile_daemon.relay.core import messages
from fescuestile_daemon.relay.core import options
from fescuestile_daemon.relay.core import ports
from fescuestile_daemon.relay.endpoints import endpoint_states
from fescuestile_daemon.relay.groups import groups
from fescuestile_daemon.relay.statements import attempts
from fescuestile_daemon.relay.statements import operations
from fescuestile_daemon.relay.statements import sessions
from tests.relay.endpoints import test_channel_pool

ROUTE = routes.Route(
    "db", "g", routes.Consistency.BOUNDED, 1.0, 2.0, 0.2, level=0
)


class SilentConnection(test_channel_pool.FakeConnection):
    """Does not answer; a cancelled call closes it."""

    async def call(self, *commands):
        try:
            await asyncio.sleep(60.0)
        finally:
            self.close()


class SilentEndpoint(test_channel_pool.FakeEndpoint):
    async def dial(self, entry, tenant=""):
        self.open += 1
        return SilentConnection(self, 1)


class NoCaller(ports.Caller):
    def answer(self, outcome):
        pass

    def close(self):
        pass


@pytest.mark.parametrize("values", [{}, {"name": "value"}])
async def test_a_cancelled_statement_keeps_no_connection(values):
    """Guards against a pool that slow, hedged reads use up.

    The slower of two attempts is cancelled, also while it sets session
    values.
    """
    relay_options = options.RelayOptions()
    boot_clock = clock.ManualClock()
    dialer = SilentEndpoint(10)
    endpoint = endpoint_states.EndpointState(
        test_channel_pool.ENTRY, dialer, relay_options, 1, boot_clock
    )
    session = sessions.Session(
        "db", NoCaller(), sessions.Executor(), boot_clock
    )
    session.values = values
    pending = attempts.make_pending(
        session,
        ROUTE,
        groups.Group("g", dialer, relay_options, boot_clock),
        operations.Arrival(
            messages.Statement("1", messages.Verb.READ, ""),
            boot_clock.now(),
            time.monotonic(),
        ),
    )
    attempt = asyncio.create_task(
        attempts.Attempts(relay_options, events.Recorder()).run(
            pending, endpoint, None
        )
    )
    await asyncio.sleep(0.02)
    assert endpoint.pool.open == 1
    attempt.cancel()
    await asyncio.wait([attempt])
    assert endpoint.pool.open == 0
    assert not endpoint.admission.queue.running
