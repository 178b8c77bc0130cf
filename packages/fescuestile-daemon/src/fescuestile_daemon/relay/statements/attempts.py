"""Runs a statement once at one endpoint and records the result."""

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
from fescuestile_daemon.relay.groups import groups
from fescuestile_daemon.relay.statements import operations
from fescuestile_daemon.relay.statements import replay
from fescuestile_daemon.relay.statements import sessions

Kind = messages.Kind
# Statements with less time left are not sent: this is about one round trip
# and the shortest statement.
MIN_REMAINING_SECONDS = 0.005


@dataclasses.dataclass(slots=True)
class PendingStatement:
    """A statement that has not been answered yet.

    :ivar writes: whether it may change data
    :ivar weight: share of the service time that its tenant gets
    :ivar deadline: monotonic seconds at which the route's timeout ends
    :ivar attempts: attempts so far
    :ivar failures: failed attempts in which it ran or may have run
    :ivar tried: endpoints that refused it, did not answer, or are not
        expected to serve it in time
    :ivar endpoint: endpoint of the last attempt, empty before the first
    """

    session: sessions.Session
    route: routes.Route
    group: groups.Group
    arrival: operations.Arrival
    writes: bool
    deadline: float
    weight: int = 1
    attempts: int = 0
    failures: int = 0
    tried: set[str] = dataclasses.field(default_factory=set)
    endpoint: str = ""

    @property
    def remaining(self) -> float:
        """Seconds until the deadline."""
        return self.deadline - time.monotonic()

    def has_tried_all(self) -> bool:
        """Return whether all endpoints that accept new work were tried."""
        return all(
            endpoint.name in self.tried
            for endpoint in self.group.list_candidates()
        )

    def describe_work(
        self, endpoint: endpoint_states.EndpointState
    ) -> admission_controller.Work:
        """Return its description for an endpoint's admission controller."""
        return admission_controller.Work(
            level=self.route.level,
            kind=self.route.database,
            caller=str(id(self.session)),
            deadline=self.find_start_deadline(endpoint),
            tenant=self.session.tenant,
            weight=self.weight,
        )

    def find_start_deadline(
        self, endpoint: endpoint_states.EndpointState
    ) -> float:
        """Return the monotonic seconds until which it may wait for a slot.

        A statement that would start after its latency target only delays
        those queued behind it. One that has already missed its target may
        wait until its deadline.
        """
        wanted_by = self.arrival.monotonic_at + endpoint.get_queue_timeout(
            self.route
        )
        if time.monotonic() >= wanted_by:
            return self.deadline
        return min(wanted_by, self.deadline)


def may_write(
    session: sessions.Session, statement: messages.Statement
) -> bool:
    """Return whether a statement may change data."""
    if statement.verb is messages.Verb.EXECUTE:
        return session.prepared[statement.name].writes
    return statement.writes


def make_pending(
    session: sessions.Session,
    route: routes.Route,
    group: groups.Group,
    arrival: operations.Arrival,
    weight: int = 1,
) -> PendingStatement:
    """Return a statement that is about to be attempted.

    :param weight: share of the service time that its tenant gets
    """
    group.used_at = time.monotonic()
    return PendingStatement(
        session=session,
        route=route,
        group=group,
        arrival=arrival,
        writes=may_write(session, arrival.statement),
        deadline=arrival.monotonic_at + route.timeout,
        weight=weight,
    )


class Attempts:
    """Attempts statements at endpoints and records the results."""

    def __init__(
        self, relay_options: options.RelayOptions, recorder: events.Recorder
    ) -> None:
        """Initialize with the limits and the recorder of lost answers."""
        self._options = relay_options
        self._recorder = recorder

    async def run(
        self,
        pending: PendingStatement,
        endpoint: endpoint_states.EndpointState,
        minimum: positions.Position | None,
    ) -> messages.Outcome:
        """Run a statement once at an endpoint.

        :param minimum: position that the endpoint's log must hold, None for
            work that only the primary can do
        """
        try:
            ticket = await endpoint.admission.acquire(
                pending.describe_work(endpoint)
            )
        except errors.NotRun as error:
            return messages.Outcome(Kind.OVERLOADED, detail=error.message)
        measured = refused = ok = False
        try:
            connection = await self.acquire_connection(
                pending, endpoint, minimum
            )
            if isinstance(connection, messages.Outcome):
                return connection
            outcome = await self._run_on(
                pending, endpoint, connection, minimum
            )
            measured = outcome.kind in (Kind.DONE, Kind.LOST)
            refused = outcome.kind is Kind.BUSY
            ok = outcome.kind is Kind.DONE
            return outcome
        finally:
            endpoint.admission.release(ticket, measured, refused, ok)

    async def acquire_connection(
        self,
        pending: PendingStatement,
        endpoint: endpoint_states.EndpointState,
        minimum: positions.Position | None = None,
        holds: bool = False,
    ) -> ports.EndpointConnection | messages.Outcome:
        """Acquire a connection and apply the session's state to it.

        :param minimum: position that the endpoint's log must hold, None for
            work that only the primary can do
        :param holds: whether it is kept for a transaction
        :returns: the connection, or why there is none
        """
        seconds = max(pending.remaining, 0.0)
        if minimum is not None:
            # Another endpoint may have a free connection.
            seconds = min(seconds, self._options.free_connection_timeout)
        try:
            async with asyncio.timeout(seconds):
                connection = await endpoint.pool.acquire(
                    pending.session.values,
                    holds=holds,
                    tenant=pending.session.tenant,
                    level=pending.route.level,
                )
        except TimeoutError:
            return messages.Outcome(Kind.BUSY, detail="no free connection")
        if isinstance(connection, messages.Outcome):
            endpoint.record_failure()
            if connection.kind is Kind.LOST:
                return messages.Outcome(Kind.BUSY, detail=connection.detail)
            return connection
        try:
            is_set_up = await self.set_up(pending, connection)
        except asyncio.CancelledError:
            endpoint.pool.discard(connection)
            raise
        if is_set_up:
            if endpoint.accepts_work:
                return connection
            endpoint.pool.release(connection)
            return messages.Outcome(
                Kind.BUSY, detail="the endpoint is leaving"
            )
        endpoint.pool.discard(connection)
        endpoint.record_failure()
        return messages.Outcome(
            Kind.BUSY, detail="the connection took no session state"
        )

    async def set_up(
        self, pending: PendingStatement, connection: ports.EndpointConnection
    ) -> bool:
        """Apply the session's state to a connection.

        :returns: whether all of it was applied in time
        """
        commands = replay.plan_set_up(
            pending.session, pending.arrival, connection
        )
        stale = (
            pending.writes
            and time.monotonic() - connection.used_at
            > self._options.trusted_idle
        )
        if stale and not commands:
            # Probes a connection that was idle for long: if it is broken, the
            # set-up fails and the write, which was not sent, is not in doubt.
            commands = [
                messages.Clear(),
                *replay.plan_values({}, pending.session),
            ]
            shape = replay.find_shape(
                pending.session, pending.arrival.statement
            )
            if shape is not None:
                commands.append(
                    messages.Prepare(replay.name_prepared(shape), shape)
                )
        if not commands:
            return True
        try:
            async with asyncio.timeout(
                min(max(pending.remaining, 0.0), self._options.set_up_timeout)
            ):
                outcome = await connection.call(*commands)
        except TimeoutError:
            return False
        return outcome.kind is Kind.DONE

    async def _run_on(
        self,
        pending: PendingStatement,
        endpoint: endpoint_states.EndpointState,
        connection: ports.EndpointConnection,
        minimum: positions.Position | None,
    ) -> messages.Outcome:
        """Run on an acquired connection, then release or close it."""
        command = replay.make_run(
            pending.session, pending.arrival.statement, minimum
        )
        seconds = pending.remaining
        if not pending.writes:
            seconds = min(
                seconds,
                endpoint.get_response_timeout(pending.route.target_latency),
            )
        self.record_sent(pending, endpoint)
        started = time.monotonic()
        clean = False
        try:
            async with asyncio.timeout(max(seconds, 0.0)):
                outcome = await connection.call(command)
            clean = outcome.state is messages.State.IDLE
        except TimeoutError:
            outcome = messages.Outcome(Kind.LOST, detail="no answer in time")
        finally:
            if clean and not connection.closed:
                endpoint.pool.release(connection)
            else:
                endpoint.pool.discard(connection)
        self.record_outcome(
            pending, endpoint, connection, outcome, minimum, started
        )
        return outcome

    async def confirm_write(
        self, pending: PendingStatement, outcome: messages.Outcome
    ) -> messages.Outcome:
        """Return the outcome of a write that its primary acknowledged.

        :returns: in doubt if no recorded member is seen to hold it in time
        """
        checks = pending.group.replication
        if outcome.position is not None and await checks.wait_replicated(
            pending.endpoint, outcome.position, pending.deadline
        ):
            return outcome
        return messages.Outcome(
            Kind.IN_DOUBT,
            detail=f"no recorded replica holds {outcome.position}:"
            f" {checks.describe(pending.endpoint) or 'none known'}",
        )

    def record_sent(
        self,
        pending: PendingStatement,
        endpoint: endpoint_states.EndpointState,
        continues: bool = False,
    ) -> None:
        """Record that a statement is sent to an endpoint.

        :param continues: whether it continues a transaction begun there
        """
        pending.endpoint = endpoint.name
        endpoint.record_request()
        if endpoint.entry.leaving and not continues:
            self._recorder.record_leaving_attempt(
                pending.arrival.statement.id,
                endpoint.name,
                endpoint.measure_leaving(),
            )

    def record_outcome(
        self,
        pending: PendingStatement,
        endpoint: endpoint_states.EndpointState,
        connection: ports.EndpointConnection,
        outcome: messages.Outcome,
        minimum: positions.Position | None,
        started: float,
    ) -> None:
        """Update an endpoint's statistics from the outcome of an attempt.

        :param minimum: position that the endpoint's log had to hold
        :param started: monotonic seconds at which the statement was sent
        """
        if outcome.kind is Kind.DONE:
            endpoint.run.record_answer(connection, started)
            pending.group.replication.record_position(
                endpoint, outcome.position
            )
        match outcome.kind:
            case Kind.DONE:
                endpoint.record_answer(time.monotonic() - started)
                if minimum is not None:
                    endpoint.record_held_position(minimum)
            case Kind.BEHIND:
                endpoint.record_answer()
                endpoint.record_missing_position(minimum or positions.START)
            case Kind.LOST:
                endpoint.record_abandoned(time.monotonic() - started)
                self._recorder.record_lost_attempt(
                    pending.arrival.statement.id, endpoint.name, outcome.detail
                )
            case Kind.WRONG_ENDPOINT:
                endpoint.pool.drop_idle()
                endpoint.record_failure()
            case Kind.BUSY | Kind.FAILED | Kind.TIMED_OUT:
                endpoint.record_answer()
                endpoint.record_failure()
            case _:
                endpoint.record_answer()
