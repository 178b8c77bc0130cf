"""Sessions of callers: values, prepared statements and transactions."""

import asyncio
import collections
import time

from fescuestile import clock
from fescuestile import positions
from fescuestile import routes
from fescuestile import tenants
from fescuestile_daemon.relay.core import messages
from fescuestile_daemon.relay.core import options
from fescuestile_daemon.relay.core import ports
from fescuestile_daemon.relay.endpoints import pool
from fescuestile_daemon.relay.groups import groups
from fescuestile_daemon.relay.statements import operations
from fescuestile_daemon.relay.statements import state_size

Kind = messages.Kind
State = messages.State
Verb = messages.Verb
ENDINGS = (Verb.COMMIT, Verb.ROLLBACK)


class Executor:
    """Runs statements that need an endpoint; see ``execution``."""

    def find_route(self, database: str) -> routes.Route | None:
        """Return the route in force for a database."""
        raise NotImplementedError

    def find_tenant(
        self, route: routes.Route, key_hash: bytes
    ) -> tenants.Tenant | None:
        """Return who calls on a route, None for an unknown key."""
        raise NotImplementedError

    def record_unknown_key(self) -> None:
        """Record that an operation was refused for its key."""

    async def wait_current(self) -> None:
        """Wait, for a bounded time, while routes and keys may be old."""

    async def admit(self, session: "Session") -> messages.Outcome | None:
        """Count an operation against its tenant's limit.

        :returns: the refusal of one above the limit, else None
        """
        return None

    def find_group(self, route: routes.Route) -> groups.Group:
        """Return the group of a route."""
        raise NotImplementedError

    @property
    def idle_transaction(self) -> float:
        """Seconds after which an idle transaction is rolled back."""
        raise NotImplementedError

    async def run_single(
        self,
        session: "Session",
        route: routes.Route,
        arrival: operations.Arrival,
    ) -> messages.Outcome:
        """Run a statement outside a transaction."""
        raise NotImplementedError

    async def run_in_transaction(
        self,
        session: "Session",
        transaction: operations.Transaction,
        arrival: operations.Arrival,
    ) -> messages.Outcome:
        """Run a statement or the commit of an open transaction."""
        raise NotImplementedError

    def abandon(self, transaction: operations.Transaction) -> None:
        """Roll a transaction back in the background."""
        raise NotImplementedError


class Session:
    """Answers the statements of one caller, one at a time, in order.

    :ivar values: session values acknowledged to the caller
    :ivar prepared: prepared statements acknowledged to the caller, by name
    :ivar last_write: position of its last confirmed write
    :ivar tenant: tenant of the operation in progress
    :ivar key_hash: hash of the caller's key
    """

    def __init__(
        self,
        database: str,
        caller: ports.Caller,
        executor: Executor,
        boot_clock: clock.Clock,
        key_hash: bytes = b"",
        limits: options.ClientOptions = options.DEFAULT_CLIENT_OPTIONS,
    ) -> None:
        """Start without session state or transaction."""
        self.key_hash = key_hash
        self._state_size = state_size.StateSize(
            limits.values, limits.value_bytes
        )
        self.tenant = tenants.ANONYMOUS
        self.database = database
        self.values: dict[str, str] = {}
        self.prepared: dict[str, messages.Shape] = {}
        self.last_write = positions.START
        self._caller = caller
        self._executor = executor
        self._clock = boot_clock
        self._transaction: operations.Transaction | None = None
        self._queue: collections.deque[operations.Arrival] = (
            collections.deque()
        )
        self._task: asyncio.Task[None] | None = None
        self._disconnected = False
        self._idle_timer: asyncio.TimerHandle | None = None
        self._resting: (
            tuple[pool.ConnectionPool, ports.EndpointConnection] | None
        ) = None

    @property
    def busy(self) -> bool:
        """Whether a statement waits for its answer."""
        return self._task is not None

    @property
    def state_bytes(self) -> int:
        """Size of the session values and prepared statements."""
        return self._state_size.total

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open."""
        return self._transaction is not None

    def receive(self, statement: messages.Statement) -> None:
        """Answer the next statement, or queue it behind those in progress."""
        arrival = operations.Arrival(
            statement, self._clock.now(), time.monotonic()
        )
        if self._task is None:
            outcome = self._answer_locally(arrival)
            if outcome is not None:
                self._send_answer(outcome)
                self.close_if_revoked()
                return
        self._queue.append(arrival)
        if self._task is None:
            self._stop_idle_timer()
            self._task = asyncio.create_task(self._run())

    def disconnect(self) -> None:
        """End the session of a caller that has disconnected.

        A statement in progress runs to its end; then an open transaction is
        rolled back.
        """
        self._disconnected = True
        self._stop_idle_timer()
        if self._task is None:
            self._abandon()

    def _is_revoked(self) -> bool:
        """Return whether the caller's key is no longer in force."""
        route = self._executor.find_route(self.database)
        return route is not None and (
            self._executor.find_tenant(route, self.key_hash) is None
        )

    def close_if_revoked(self) -> bool:
        """Close the session if nothing of it may go on.

        A transaction that has run a statement may end; one that has failed,
        or has run none, holds nothing.

        :returns: whether the session was closed
        """
        if self.busy or self._disconnected or self._has_work():
            return False
        is_revoked = self._is_revoked()
        if is_revoked:
            self.close()
        return is_revoked

    def _has_work(self) -> bool:
        """Return whether a transaction has run statements and may go on."""
        transaction = self._transaction
        return (
            transaction is not None
            and transaction.is_admitted
            and not transaction.failed
        )

    def close(self) -> None:
        """Close the caller's connection and end the session."""
        self._caller.close()
        self.disconnect()

    async def _run(self) -> None:
        try:
            while self._queue and not self._disconnected:
                if self._caller.is_stalled:
                    await self._caller.wait_writable()
                    continue
                self._stop_idle_timer()
                arrival = self._queue.popleft()
                outcome = self._answer_locally(arrival)
                if outcome is None:
                    outcome = await self._execute(arrival)
                self._send_answer(outcome)
                if outcome.kind is Kind.UNKNOWN_KEY and self._is_revoked():
                    self.close()
        finally:
            self._task = None
            if self._disconnected:
                self._abandon()
        self.close_if_revoked()

    def _send_answer(self, outcome: messages.Outcome) -> None:
        transaction = self._transaction
        if transaction is None:
            outcome.state = State.IDLE
        elif transaction.failed:
            outcome.state = State.FAILED_TRANSACTION
        else:
            outcome.state = State.IN_TRANSACTION
        if not self._disconnected:
            self._caller.answer(outcome)
        if transaction is not None and not transaction.failed:
            self._start_idle_timer()

    def _answer_locally(
        self, arrival: operations.Arrival
    ) -> messages.Outcome | None:
        """Answer a statement that needs no endpoint; None for the others."""
        statement = arrival.statement
        transaction = self._transaction
        if self.busy and not self._has_work() and self._is_revoked():
            return self._refuse_key()
        if transaction is not None and transaction.failed:
            if statement.verb in ENDINGS:
                return self._end_failed(statement)
            return messages.Outcome(
                Kind.MALFORMED, detail="the transaction has failed"
            )
        match statement.verb:
            case Verb.SET | Verb.PREPARE if not self._state_size.put(
                statement.verb, statement.name, statement.argument
            ):
                return self._refuse_state()
            case Verb.SET:
                self.values = {
                    **self.values,
                    statement.name: statement.argument,
                }
            case Verb.PREPARE:
                self.prepared[statement.name] = messages.Shape(
                    statement.argument, statement.writes
                )
            case Verb.DEALLOCATE:
                self._state_size.remove(Verb.PREPARE, statement.name)
                if self.prepared.pop(statement.name, None) is None:
                    return messages.Outcome(
                        Kind.UNPREPARED, detail=statement.name
                    )
            case Verb.BEGIN:
                return self._begin(arrival)
            case Verb.ROLLBACK:
                if transaction is None:
                    return self._refuse("no transaction is open")
                self._abandon()
            case Verb.COMMIT if transaction is None:
                return self._refuse("no transaction is open")
            case Verb.EXECUTE if statement.name not in self.prepared:
                return messages.Outcome(Kind.UNPREPARED, detail=statement.name)
            case Verb.UNKNOWN:
                return self._refuse("unknown statement")
            case _:
                return None
        return messages.Outcome(Kind.DONE)

    def _begin(self, arrival: operations.Arrival) -> messages.Outcome:
        if self._transaction is not None:
            return self._refuse("a transaction is open")
        route = self._executor.find_route(self.database)
        if route is None:
            return self._refuse_database()
        # Its tenant is that of its first statement, which begins its work.
        self._transaction = operations.Transaction(
            route=route,
            group=self._executor.find_group(route),
            read_only=arrival.statement.read_only,
            begun_at=arrival.boot_at,
        )
        return messages.Outcome(Kind.DONE)

    def _end_failed(self, statement: messages.Statement) -> messages.Outcome:
        self._abandon()
        if statement.verb is Verb.ROLLBACK:
            return messages.Outcome(Kind.DONE)
        return messages.Outcome(Kind.ABORTED, detail="rolled back")

    def _refuse(self, detail: str) -> messages.Outcome:
        return messages.Outcome(Kind.MALFORMED, detail=detail)

    def _refuse_state(self) -> messages.Outcome:
        """Refuse a value over the limits and close the connection."""
        asyncio.get_running_loop().call_soon(self.close)
        return self._refuse("too many session values or prepared statements")

    def _refuse_database(self) -> messages.Outcome:
        return messages.Outcome(Kind.UNKNOWN_DATABASE, detail=self.database)

    async def _execute(self, arrival: operations.Arrival) -> messages.Outcome:
        transaction = self._transaction
        if transaction is not None:
            refusal = await self._admit_transaction(transaction)
            outcome = refusal or await self._executor.run_in_transaction(
                self, transaction, arrival
            )
            if arrival.statement.verb is Verb.COMMIT:
                self._transaction = None
            elif outcome.kind is not Kind.DONE:
                transaction.failed = True
            return outcome
        await self._executor.wait_current()
        route = self._executor.find_route(self.database)
        if route is None:
            return self._refuse_database()
        if not self._identify(route):
            return self._refuse_key()
        refusal = await self._admit()
        return refusal or await self._executor.run_single(self, route, arrival)

    async def _admit(self) -> messages.Outcome | None:
        """Count an operation; its key may be revoked while it waits."""
        refusal = await self._executor.admit(self)
        if refusal is None and self._is_revoked():
            return self._refuse_key()
        return refusal

    def _identify(self, route: routes.Route) -> bool:
        """Find the tenant of an operation that begins.

        :returns: False if the caller's key is not in force
        """
        tenant = self._executor.find_tenant(route, self.key_hash)
        if tenant is not None:
            self.tenant = tenant.name
        return tenant is not None

    def _refuse_key(self) -> messages.Outcome:
        """Refuse a statement, after whose answer the session is closed."""
        self._abandon()
        self._executor.record_unknown_key()
        return messages.Outcome(Kind.UNKNOWN_KEY, detail="unknown key")

    async def _admit_transaction(
        self, transaction: operations.Transaction
    ) -> messages.Outcome | None:
        if transaction.is_admitted:
            return None
        await self._executor.wait_current()
        route = self._executor.find_route(self.database)
        if not self._identify(route or transaction.route):
            return self._refuse_key()
        transaction.is_admitted = True
        return await self._admit()

    def _abandon(self) -> None:
        transaction, self._transaction = self._transaction, None
        self._stop_idle_timer()
        if transaction is not None:
            self._executor.abandon(transaction)

    def _start_idle_timer(self) -> None:
        self._stop_idle_timer()
        transaction = self._transaction
        if transaction is None or not transaction.holds_connection:
            return
        self._idle_timer = asyncio.get_running_loop().call_later(
            self._executor.idle_transaction, self._expire_transaction
        )
        if transaction.endpoint is not None and (
            transaction.connection is not None
        ):
            self._resting = transaction.endpoint.pool, transaction.connection
            transaction.endpoint.pool.rest(
                transaction.connection, self._expire_transaction
            )

    def _stop_idle_timer(self) -> None:
        if self._resting is not None:
            connections, connection = self._resting
            connections.resume(connection)
            self._resting = None
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None

    def _expire_transaction(self) -> None:
        """Fail and roll back a transaction that was idle for too long."""
        self._stop_idle_timer()
        transaction = self._transaction
        if transaction is not None and self._task is None:
            transaction.failed = True
            self._executor.abandon(transaction)
            self.close_if_revoked()
