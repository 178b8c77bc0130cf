"""Runs the statements of transactions, each on its own connection."""

import asyncio
import dataclasses
import time

from fescuestile import errors
from fescuestile import positions
from fescuestile import routes
from fescuestile_daemon.relay.core import events
from fescuestile_daemon.relay.core import messages
from fescuestile_daemon.relay.core import options
from fescuestile_daemon.relay.core import ports
from fescuestile_daemon.relay.endpoints import admission_controller
from fescuestile_daemon.relay.endpoints import endpoint_states
from fescuestile_daemon.relay.statements import attempts
from fescuestile_daemon.relay.statements import choice
from fescuestile_daemon.relay.statements import operations
from fescuestile_daemon.relay.statements import replay
from fescuestile_daemon.relay.statements import sessions

Kind = messages.Kind
Verb = messages.Verb


class Transactions:
    """Opens, runs and ends transactions at endpoints."""

    def __init__(
        self,
        attempts_: attempts.Attempts,
        chooser: choice.EndpointChooser,
        relay_options: options.RelayOptions,
        recorder: events.Recorder,
    ) -> None:
        """Initialize with the components that attempt and route statements.

        :param attempts_: runs a statement once
        :param chooser: selects the endpoint of a transaction
        """
        self._attempts = attempts_
        self._chooser = chooser
        self._options = relay_options
        self._recorder = recorder
        self._cleanups: set[asyncio.Task[None]] = set()

    async def run(
        self,
        session: sessions.Session,
        transaction: operations.Transaction,
        arrival: operations.Arrival,
        weight: int = 1,
    ) -> messages.Outcome:
        """Run a statement or the commit of a transaction.

        Until a statement of the transaction was answered, a failed attempt
        is rolled back and the transaction begins again, perhaps at another
        endpoint.

        :param weight: share of the service time that its tenant gets
        """
        pending = attempts.make_pending(
            session, transaction.route, transaction.group, arrival, weight
        )
        outcome = messages.Outcome(Kind.BUSY, detail="no endpoint")
        while pending.remaining >= attempts.MIN_REMAINING_SECONDS:
            pending.attempts += 1
            outcome = await self._attempt(pending, transaction)
            if outcome.kind is Kind.DONE:
                transaction.answered = True
                break
            if self._may_retry(transaction, outcome):
                await self._wait_before_retry(pending, transaction, outcome)
                continue
            if outcome.kind in messages.FINAL_REFUSALS:
                break
            if (
                transaction.answered
                or pending.failures >= self._options.read_failures
            ):
                break
            pending.failures += outcome.kind not in messages.NOT_RUN
            if outcome.kind is Kind.LOST and (
                arrival.statement.verb is Verb.COMMIT
            ):
                break
            self.abandon(transaction)
            if outcome.kind in messages.NOT_RUN:
                await self._wait_before_retry(pending, transaction, outcome)
        outcome = self._make_final_outcome(pending, transaction, outcome)
        if self._commits_writes(pending, transaction) and (
            outcome.kind is Kind.DONE
        ):
            outcome = await self._attempts.confirm_write(pending, outcome)
            if outcome.kind is Kind.DONE and outcome.position is not None:
                session.last_write = max(session.last_write, outcome.position)
        self._recorder.record_statement(
            arrival.statement.id,
            transaction.route,
            outcome.kind,
            time.monotonic() - arrival.monotonic_at,
            pending.attempts,
            pending.endpoint,
            outcome.detail,
        )
        return outcome

    def _commits_writes(
        self,
        pending: attempts.PendingStatement,
        transaction: operations.Transaction,
    ) -> bool:
        return (
            transaction.wrote and pending.arrival.statement.verb is Verb.COMMIT
        )

    def _may_retry(
        self, transaction: operations.Transaction, outcome: messages.Outcome
    ) -> bool:
        """Return whether a refused statement may be retried on its connection.

        Only if the endpoint itself reported that the transaction is still
        open: outcomes with a position come from the endpoint.
        """
        return (
            outcome.kind is Kind.BUSY
            and outcome.position is not None
            and outcome.state is messages.State.IN_TRANSACTION
            and transaction.connection is not None
            and not transaction.connection.closed
        )

    async def _wait_before_retry(
        self,
        pending: attempts.PendingStatement,
        transaction: operations.Transaction,
        outcome: messages.Outcome,
    ) -> None:
        primary = pending.group.find_primary()
        if outcome.kind is Kind.NOT_PRIMARY and primary is not None:
            await self._chooser.handle_refusal(pending, primary, outcome)
        elif outcome.kind is not Kind.BEHIND:
            await asyncio.sleep(
                min(max(pending.remaining, 0.0), self._options.busy_delay)
            )

    def _make_final_outcome(
        self,
        pending: attempts.PendingStatement,
        transaction: operations.Transaction,
        outcome: messages.Outcome,
    ) -> messages.Outcome:
        """Return the caller's outcome and end the transaction if it is over.

        The connection of a committed transaction is released; after any
        failure the transaction is rolled back.
        """
        if pending.arrival.statement.verb is Verb.COMMIT:
            if outcome.kind is Kind.DONE:
                self._release(transaction)
                return outcome
            self.abandon(transaction)
            if outcome.kind in (Kind.LOST, Kind.TIMED_OUT):
                kind = Kind.IN_DOUBT if transaction.wrote else Kind.ABORTED
                return messages.Outcome(kind, detail=outcome.detail)
            return outcome
        if outcome.kind is not Kind.DONE:
            self.abandon(transaction)
            if outcome.kind in (Kind.LOST, Kind.TIMED_OUT, Kind.FAILED):
                # Certainly rolled back: no COMMIT was or will be sent.
                return messages.Outcome(Kind.ABORTED, detail=outcome.detail)
        return outcome

    async def _attempt(
        self,
        pending: attempts.PendingStatement,
        transaction: operations.Transaction,
    ) -> messages.Outcome:
        if transaction.connection is None:
            outcome = await self._begin(pending, transaction)
            if outcome.kind is not Kind.DONE:
                return outcome
        connection, endpoint = transaction.connection, transaction.endpoint
        if connection is None or endpoint is None or connection.closed:
            return messages.Outcome(Kind.LOST, detail="connection ended")
        if self._commits_writes(pending, transaction) and not (
            pending.group.replication.is_possible(endpoint.name)
        ):
            return messages.Outcome(
                Kind.BUSY, detail="no recorded replica responds"
            )
        outcome = await self._run_statement(
            pending, transaction, endpoint, connection
        )
        if (
            outcome.kind is not Kind.DONE
            or transaction.leadership_ticket is None
        ):
            return outcome
        confirmed = await transaction.group.leadership.wait_confirmed(
            transaction.leadership_ticket, endpoint, pending.deadline
        )
        if confirmed:
            transaction.leadership_ticket = None
            return outcome
        if pending.arrival.statement.verb is Verb.COMMIT:
            return outcome
        return messages.Outcome(Kind.BUSY, detail="the primary is not proven")

    async def _begin(
        self,
        pending: attempts.PendingStatement,
        transaction: operations.Transaction,
    ) -> messages.Outcome:
        """Begin the transaction on a connection to an endpoint."""
        endpoint, minimum = await self._choose_endpoint(pending, transaction)
        if isinstance(endpoint, messages.Outcome):
            return endpoint
        connection = await self._attempts.acquire_connection(
            pending, endpoint, minimum, holds=True
        )
        if isinstance(connection, messages.Outcome):
            pending.tried.add(endpoint.name)
            return connection
        try:
            async with asyncio.timeout(
                min(max(pending.remaining, 0.0), self._options.set_up_timeout)
            ):
                outcome = await connection.call(
                    messages.Begin(transaction.read_only, minimum)
                )
        except TimeoutError:
            outcome = messages.Outcome(Kind.LOST, detail="no answer to begin")
        except asyncio.CancelledError:
            endpoint.pool.discard(connection)
            raise
        if outcome.kind is Kind.DONE:
            transaction.connection, transaction.endpoint = connection, endpoint
            return outcome
        pending.tried.add(endpoint.name)
        if outcome.state is messages.State.IDLE and not connection.closed:
            endpoint.pool.release(connection)
        else:
            endpoint.pool.discard(connection)
        self._attempts.record_outcome(
            pending, endpoint, connection, outcome, minimum, time.monotonic()
        )
        return outcome

    async def _choose_endpoint(
        self,
        pending: attempts.PendingStatement,
        transaction: operations.Transaction,
    ) -> tuple[
        endpoint_states.EndpointState | messages.Outcome,
        positions.Position | None,
    ]:
        """Return where to begin a transaction, and the position it must see.

        Without a position the endpoint is the primary, and its leadership is
        checked.
        """
        stale = transaction.route.consistency is not routes.Consistency.CURRENT
        if transaction.read_only and stale:
            minimum = await transaction.group.leadership.find_minimum(
                transaction.begun_at,
                transaction.route.staleness,
                pending.deadline,
            )
            if minimum is None:
                return messages.Outcome(
                    Kind.BUSY, detail="no fresh position"
                ), None
            if (
                transaction.route.consistency
                is routes.Consistency.READ_YOUR_WRITES
            ):
                minimum = max(minimum, pending.session.last_write)
            endpoint = self._chooser.choose(pending, minimum)
            if endpoint is not None and not pending.has_tried_all():
                return endpoint, minimum
        transaction.leadership_ticket = (
            transaction.group.leadership.begin_check()
        )
        return await self._chooser.find_primary(pending), None

    async def _run_statement(
        self,
        pending: attempts.PendingStatement,
        transaction: operations.Transaction,
        endpoint: endpoint_states.EndpointState,
        connection: ports.EndpointConnection,
    ) -> messages.Outcome:
        # A transaction in progress is served first, because until it ends it
        # occupies a connection and keeps what it wrote.
        admitted = pending.describe_work(endpoint)
        if transaction.answered:
            admitted = dataclasses.replace(
                admitted,
                level=admission_controller.MOST_URGENT,
                deadline=pending.deadline,
                continues=True,
            )
        try:
            ticket = await endpoint.admission.acquire(admitted)
        except errors.NotRun as error:
            return messages.Outcome(Kind.OVERLOADED, detail=error.message)
        self._attempts.record_sent(
            pending, endpoint, continues=transaction.answered
        )
        started = time.monotonic()
        if pending.writes:
            transaction.wrote = True
        outcome = messages.Outcome(Kind.LOST, detail="no answer in time")
        try:
            if not await self._attempts.set_up(pending, connection):
                return messages.Outcome(Kind.LOST, detail="no session state")
            if not (transaction.answered or endpoint.accepts_work):
                return messages.Outcome(
                    Kind.BUSY, detail="the endpoint is leaving"
                )
            async with asyncio.timeout(
                self._find_answer_timeout(pending, transaction, endpoint)
            ):
                outcome = await connection.call(
                    replay.make_run(pending.session, pending.arrival.statement)
                )
        except TimeoutError:
            connection.close()
        finally:
            endpoint.admission.release(
                ticket,
                outcome.kind is Kind.DONE,
                refused=outcome.kind is Kind.BUSY,
            )
        self._attempts.record_outcome(
            pending, endpoint, connection, outcome, None, started
        )
        return outcome

    def _find_answer_timeout(
        self,
        pending: attempts.PendingStatement,
        transaction: operations.Transaction,
        endpoint: endpoint_states.EndpointState,
    ) -> float:
        """Return how long to wait for a statement's answer, in seconds."""
        left = max(pending.remaining, 0.0)
        if (
            transaction.answered
            or pending.arrival.statement.verb is Verb.COMMIT
        ):
            return left
        # No statement of it was answered yet, so it can still begin again.
        longest = endpoint.get_response_timeout(pending.route.target_latency)
        return min(left, longest)

    def _release(self, transaction: operations.Transaction) -> None:
        """Release the connection of a transaction that has ended."""
        connection, endpoint = transaction.connection, transaction.endpoint
        transaction.connection = transaction.endpoint = None
        if connection is not None and endpoint is not None:
            endpoint.pool.release(connection)

    def abandon(self, transaction: operations.Transaction) -> None:
        """Roll a transaction back in the background."""
        connection, endpoint = transaction.connection, transaction.endpoint
        transaction.connection = transaction.endpoint = None
        if connection is None or endpoint is None:
            return
        task = asyncio.create_task(self._roll_back(endpoint, connection))
        self._cleanups.add(task)
        task.add_done_callback(self._cleanups.discard)

    async def _roll_back(
        self,
        endpoint: endpoint_states.EndpointState,
        connection: ports.EndpointConnection,
    ) -> None:
        clean = False
        try:
            if not connection.closed:
                async with asyncio.timeout(self._options.freshness_timeout):
                    outcome = await connection.call(messages.Rollback())
                clean = outcome.kind is Kind.DONE
        except TimeoutError:
            clean = False
        if clean and not connection.closed:
            endpoint.pool.release(connection)
        else:
            endpoint.pool.discard(connection)
