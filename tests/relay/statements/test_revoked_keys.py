"""Keys that a new configuration takes away or moves, on open sessions."""

import asyncio

import pytest
import pytest_asyncio

from fescuestile import clock
from fescuestile import routes
from fescuestile import tenants
from fescuestile_daemon.relay.core import messages
from fescuestile_daemon.relay.core import ports
from fescuestile_daemon.relay.statements import sessions

Kind = messages.Kind
Verb = messages.Verb
ROUTE = routes.Route(
    "db", "g0", routes.Consistency.CURRENT, 0.0, 1.0, 0.2, level=0
)


class FakeCaller(ports.Caller):
    """Keeps the answers in order; None for the end of the connection."""

    def __init__(self):
        self.seen = []

    def answer(self, outcome):
        self.seen.append(outcome.kind)

    def close(self):
        self.seen.append(None)


class FakeExecutor(sessions.Executor):
    """Runs each statement once ``allowed`` is set; keeps its tenant."""

    idle_transaction = 0.05

    def __init__(self):
        self.keys = {"k": "north"}
        self.allowed = asyncio.Event()
        self.allowed.set()
        self.tenants = []

    def find_route(self, database):
        return ROUTE

    def find_tenant(self, route, key_hash):
        for key, name in self.keys.items():
            if tenants.hash_key(key) == key_hash:
                return tenants.Tenant(name)
        return None

    def find_group(self, route):
        return None

    async def run_single(self, session, route, arrival):
        self.tenants.append(session.tenant)
        await self.allowed.wait()
        return messages.Outcome(Kind.DONE)

    async def run_in_transaction(self, session, transaction, arrival):
        transaction.connection = self
        return await self.run_single(session, ROUTE, arrival)

    def abandon(self, transaction):
        transaction.connection = None


@pytest_asyncio.fixture
async def executor():
    return FakeExecutor()


@pytest.fixture
def caller():
    return FakeCaller()


@pytest.fixture
def session(executor, caller):
    return sessions.Session(
        "db", caller, executor, clock.BootClock(), tenants.hash_key("k")
    )


async def send(session, *verbs):
    for verb in verbs:
        session.receive(messages.Statement("i", verb, verb.value))
    await asyncio.sleep(0.01)


async def test_an_idle_session_is_closed_at_once(session, caller, executor):
    """Guards against a session that outlives its key."""
    await send(session, Verb.READ)
    assert not session.close_if_revoked()
    executor.keys.clear()
    assert session.close_if_revoked()
    assert caller.seen == [Kind.DONE, None]


async def test_a_session_does_not_hold_its_key(executor, caller):
    """Guards against keys in a dump of the sessions."""
    key_hash = tenants.hash_key("k-secret")
    made = sessions.Session(
        "db", caller, executor, clock.BootClock(), key_hash
    )
    assert "secret" not in str(vars(made))


async def test_a_refusal_by_an_endpoint_keeps_the_session(
    session, caller, executor
):
    """Guards against sessions closed while their key is in force."""

    async def refuse(session, route, arrival):
        return messages.Outcome(Kind.UNKNOWN_KEY)

    executor.run_single = refuse
    await send(session, Verb.READ)
    assert caller.seen == [Kind.UNKNOWN_KEY]


async def test_an_operation_in_progress_is_answered_first(
    session, caller, executor
):
    """Guards against accepted work whose caller never hears of it."""
    executor.allowed.clear()
    await send(session, Verb.READ)
    executor.keys.clear()
    assert not session.close_if_revoked()
    executor.allowed.set()
    await asyncio.sleep(0.01)
    assert caller.seen == [Kind.DONE, None]


@pytest.mark.parametrize("second", [Verb.READ, Verb.SET, Verb.BEGIN])
async def test_a_waiting_operation_is_refused(
    session, caller, executor, second
):
    """Guards against pipelined work that begins with a revoked key."""
    executor.allowed.clear()
    await send(session, Verb.READ, second, Verb.READ)
    executor.keys.clear()
    executor.allowed.set()
    await asyncio.sleep(0.01)
    assert caller.seen == [Kind.DONE, Kind.UNKNOWN_KEY, None]
    assert executor.tenants == ["north"]


@pytest.mark.parametrize("ending", [Verb.COMMIT, Verb.ROLLBACK])
async def test_an_open_transaction_may_end(session, caller, executor, ending):
    """Guards against a transaction that is cut, or a session that stays."""
    await send(session, Verb.BEGIN, Verb.READ)
    executor.keys.clear()
    assert not session.close_if_revoked()
    await send(session, Verb.WRITE, ending)
    assert caller.seen == [Kind.DONE] * 4 + [None]


async def test_an_idle_transaction_of_a_revoked_key_is_bounded(
    session, caller, executor
):
    """Guards against a session that keeps a revoked key by staying idle."""
    await send(session, Verb.BEGIN, Verb.READ)
    executor.keys.clear()
    await asyncio.sleep(2 * executor.idle_transaction)
    assert caller.seen[-1] is None


async def test_a_transaction_without_a_statement_has_not_begun(
    session, caller, executor
):
    """Guards against BEGIN as a way to use a key after its end."""
    await send(session, Verb.BEGIN)
    executor.keys.clear()
    assert session.close_if_revoked()
    assert caller.seen == [Kind.DONE, None]


async def test_a_moved_key_serves_its_new_tenant(session, caller, executor):
    """Guards against work under the former tenant of a key."""
    await send(session, Verb.READ, Verb.BEGIN)
    executor.keys["k"] = "south"
    assert not session.close_if_revoked()
    await send(session, Verb.READ)
    executor.keys["k"] = "west"
    await send(session, Verb.COMMIT, Verb.READ)
    assert executor.tenants == ["north", "south", "south", "west"]
    assert None not in caller.seen


@pytest.mark.parametrize("verbs", [[Verb.READ], [Verb.BEGIN, Verb.READ]])
async def test_a_key_revoked_while_a_token_is_awaited_starts_nothing(
    session, caller, executor, verbs
):
    """Guards against an operation that begins under a revoked key."""

    async def revoke(session):
        executor.keys.clear()

    executor.admit = revoke
    await send(session, *verbs)
    assert executor.tenants == []
    assert caller.seen[-2:] == [Kind.UNKNOWN_KEY, None]
