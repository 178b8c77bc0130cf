"""Runs statements: endpoint selection, freshness, leadership, retries."""

import asyncio
import time
import typing

from fescuestile import read_confirmation
from fescuestile import routes
from fescuestile import tenants
from fescuestile_daemon.relay.core import events
from fescuestile_daemon.relay.core import messages
from fescuestile_daemon.relay.core import options
from fescuestile_daemon.relay.groups import groups
from fescuestile_daemon.relay.groups import suspensions
from fescuestile_daemon.relay.statements import attempts
from fescuestile_daemon.relay.statements import choice
from fescuestile_daemon.relay.statements import limits
from fescuestile_daemon.relay.statements import operations
from fescuestile_daemon.relay.statements import sessions
from fescuestile_daemon.relay.statements import transactions

Kind = messages.Kind
Verb = messages.Verb

# Outcomes of an endpoint that had no free slot or connection.
AT_CAPACITY = frozenset({Kind.BUSY, Kind.TOO_MANY_CONNECTIONS})
NO_ROOM = AT_CAPACITY | {Kind.OVERLOADED}


class Directory(typing.Protocol):
    """Looks up the routes in force and their groups."""

    def find_route(self, database: str) -> routes.Route | None:
        """Return the route in force for a database."""

    def find_tenant(
        self, route: routes.Route, key_hash: bytes
    ) -> tenants.Tenant | None:
        """Return who calls on a route, None for an unknown key."""

    def find_weight(self, tenant: str) -> int:
        """Return a tenant's share of the service time, by its name."""

    def find_group(self, route: routes.Route) -> groups.Group:
        """Return the group of a route."""

    @property
    def idle_transaction(self) -> float:
        """Seconds after which an idle transaction is rolled back."""


class StatementExecutor(sessions.Executor):
    """Runs statements that need an endpoint."""

    def __init__(
        self,
        directory: Directory,
        relay_options: options.RelayOptions,
        recorder: events.Recorder,
        zone: str,
        limiter: limits.Limiter,
        guard: suspensions.SuspensionGuard | None = None,
    ) -> None:
        """Initialize with the routes in force and the limits.

        :param zone: this daemon's availability zone
        :param limiter: enforces the limits of tenants
        :param guard: holds operations back after a suspension, None to hold
            none back
        """
        self._limiter = limiter
        self._guard = guard
        self._directory = directory
        self._options = relay_options
        self._recorder = recorder
        self._attempts = attempts.Attempts(relay_options, recorder)
        self._chooser = choice.EndpointChooser(relay_options, zone)
        self._transactions = transactions.Transactions(
            self._attempts, self._chooser, relay_options, recorder
        )

    def find_route(self, database: str) -> routes.Route | None:
        """Return the route in force for a database."""
        return self._directory.find_route(database)

    def find_tenant(
        self, route: routes.Route, key_hash: bytes
    ) -> tenants.Tenant | None:
        """Return who calls on a route, None for an unknown key."""
        return self._directory.find_tenant(route, key_hash)

    def record_unknown_key(self) -> None:
        """Record that an operation was refused for its key."""
        self._recorder.tenants.record_unknown_key()

    async def wait_current(self) -> None:
        """Wait until the configuration was read after a suspension."""
        if self._guard is not None:
            await self._guard.wait_current()

    def find_group(self, route: routes.Route) -> groups.Group:
        """Return the group of a route."""
        return self._directory.find_group(route)

    @property
    def idle_transaction(self) -> float:
        """Seconds after which an idle transaction is rolled back."""
        return self._directory.idle_transaction

    async def admit(
        self, session: sessions.Session
    ) -> messages.Outcome | None:
        """Count an operation against its tenant's limit."""
        refusal = None
        if session.tenant != tenants.ANONYMOUS:
            refusal = await self._limiter.admit(session.tenant)
        if refusal is None:
            self._recorder.tenants.record_admitted(session.tenant)
        return refusal

    def _count_refusal(
        self, session: sessions.Session, outcome: messages.Outcome
    ) -> messages.Outcome:
        if outcome.kind in NO_ROOM:
            self._recorder.tenants.record_no_room(session.tenant)
        return outcome

    async def run_single(
        self,
        session: sessions.Session,
        route: routes.Route,
        arrival: operations.Arrival,
    ) -> messages.Outcome:
        """Run a statement outside a transaction, retrying where it is safe."""
        pending = attempts.make_pending(
            session,
            route,
            self._directory.find_group(route),
            arrival,
            self._directory.find_weight(session.tenant),
        )
        if pending.writes:
            outcome = await self._write(pending)
        else:
            outcome = await self._read(pending)
        self._recorder.record_statement(
            arrival.statement.id,
            route,
            outcome.kind,
            time.monotonic() - arrival.monotonic_at,
            pending.attempts,
            pending.endpoint,
            outcome.detail,
        )
        return self._count_refusal(session, outcome)

    # Reads

    async def _read(
        self, pending: attempts.PendingStatement
    ) -> messages.Outcome:
        outcome = messages.Outcome(Kind.BUSY, detail="no endpoint")
        ticket = None
        if pending.route.consistency is routes.Consistency.CURRENT:
            ticket = pending.group.leadership.begin_check()
        delay = self._options.busy_delay
        while pending.remaining >= attempts.MIN_REMAINING_SECONDS:
            pending.attempts += 1
            if ticket is not None:
                outcome = await self._read_current(pending, ticket)
                if outcome.kind not in (Kind.DONE, Kind.MALFORMED):
                    ticket = pending.group.leadership.begin_check()
            else:
                outcome = await self._read_stale(pending)
                if outcome.kind is Kind.BEHIND and pending.has_tried_all():
                    ticket = pending.group.leadership.begin_check()
            if outcome.kind in (Kind.DONE, Kind.MALFORMED):
                return outcome
            pending.failures += outcome.kind not in messages.NOT_RUN
            if pending.failures >= self._options.read_failures:
                break
            if (
                pending.group.leadership.lacks_majority()
                and outcome.kind is Kind.BUSY
            ):
                break
            tried_all = ticket is not None or pending.has_tried_all()
            if outcome.kind in messages.FINAL_REFUSALS and tried_all:
                break
            if outcome.kind in AT_CAPACITY and tried_all:
                await asyncio.sleep(min(max(pending.remaining, 0.0), delay))
                delay = min(delay * 2, self._options.busy_delay_max)
                pending.tried.clear()
        if outcome.kind in (Kind.LOST, Kind.BEHIND, Kind.NOT_PRIMARY):
            # Reads have no effect, so the caller can safely repeat it.
            return messages.Outcome(Kind.BUSY, detail=outcome.detail)
        return outcome

    async def _read_stale(
        self, pending: attempts.PendingStatement
    ) -> messages.Outcome:
        minimum = await pending.group.leadership.find_minimum(
            pending.arrival.boot_at,
            pending.route.staleness,
            min(
                pending.deadline,
                time.monotonic() + self._options.freshness_timeout,
            ),
        )
        if minimum is None:
            return messages.Outcome(Kind.BUSY, detail="no fresh position")
        if pending.route.consistency is routes.Consistency.READ_YOUR_WRITES:
            minimum = max(minimum, pending.session.last_write)
        if not any(pending.group.list_candidates()):
            return messages.Outcome(
                Kind.BEHIND, detail="all endpoints are leaving"
            )
        endpoint = self._chooser.choose(pending, minimum)
        if endpoint is None:
            return messages.Outcome(
                Kind.OVERLOADED, detail="no endpoint can serve it in time"
            )
        outcome = await self._attempts.run(pending, endpoint, minimum)
        if outcome.kind is not Kind.DONE:
            pending.tried.add(endpoint.name)
        return outcome

    async def _read_current(
        self,
        pending: attempts.PendingStatement,
        ticket: read_confirmation.ReadTicket,
    ) -> messages.Outcome:
        endpoint = await self._chooser.find_primary(pending)
        if isinstance(endpoint, messages.Outcome):
            return endpoint
        outcome = await self._attempts.run(pending, endpoint, None)
        if outcome.kind is not Kind.DONE:
            return outcome
        confirmed = await pending.group.leadership.wait_confirmed(
            ticket,
            endpoint,
            min(
                pending.deadline,
                time.monotonic() + self._options.freshness_timeout,
            ),
        )
        if confirmed:
            return outcome
        return messages.Outcome(Kind.BUSY, detail="the primary is not proven")

    # Writes

    async def _write(
        self, pending: attempts.PendingStatement
    ) -> messages.Outcome:
        outcome = messages.Outcome(Kind.BUSY, detail="no primary")
        while pending.remaining >= attempts.MIN_REMAINING_SECONDS:
            endpoint = await self._chooser.find_primary(pending)
            if isinstance(endpoint, messages.Outcome):
                outcome = endpoint
                break
            if not pending.group.replication.is_possible(endpoint.name):
                return messages.Outcome(
                    Kind.BUSY, detail="no recorded replica responds"
                )
            pending.attempts += 1
            outcome = await self._attempts.run(pending, endpoint, None)
            if (
                outcome.kind not in messages.NOT_RUN
                or outcome.kind in messages.FINAL_REFUSALS
            ):
                break
            await self._chooser.handle_refusal(pending, endpoint, outcome)
        if outcome.kind is Kind.DONE:
            outcome = await self._attempts.confirm_write(pending, outcome)
        if outcome.kind is Kind.DONE and outcome.position is not None:
            pending.session.last_write = max(
                pending.session.last_write, outcome.position
            )
        if outcome.kind in (Kind.LOST, Kind.TIMED_OUT):
            return messages.Outcome(Kind.IN_DOUBT, detail=outcome.detail)
        return outcome

    async def run_in_transaction(
        self,
        session: sessions.Session,
        transaction: operations.Transaction,
        arrival: operations.Arrival,
    ) -> messages.Outcome:
        """Run a statement or the commit of an open transaction."""
        weight = self._directory.find_weight(session.tenant)
        outcome = await self._transactions.run(
            session, transaction, arrival, weight
        )
        return self._count_refusal(session, outcome)

    def abandon(self, transaction: operations.Transaction) -> None:
        """Roll a transaction back in the background."""
        self._transactions.abandon(transaction)
