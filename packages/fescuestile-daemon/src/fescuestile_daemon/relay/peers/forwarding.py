"""Forwards the statements of this daemon's callers to gateways."""

import asyncio
import itertools
import secrets

from fescuestile import routes
from fescuestile import tenants
from fescuestile_daemon.relay.core import events
from fescuestile_daemon.relay.core import messages
from fescuestile_daemon.relay.groups import groups
from fescuestile_daemon.relay.peers import gateway_calls
from fescuestile_daemon.relay.peers import gateway_table
from fescuestile_daemon.relay.peers import links
from fescuestile_daemon.relay.peers import statement_messages
from fescuestile_daemon.relay.peers import versions
from fescuestile_daemon.relay.statements import attempts
from fescuestile_daemon.relay.statements import operations
from fescuestile_daemon.relay.statements import sessions

Answer = statement_messages.Answer
Kind = messages.Kind
LinkFailure = links.LinkFailure
Refusal = statement_messages.Refusal
Step = statement_messages.Step
Verb = messages.Verb

# Gateways that may refuse work because they reach too few endpoints. After
# that the endpoints are at fault, and work would only pass all daemons.
MAX_UNREACHABLE = 2
# Longest wait for a newer configuration that a gateway has.
VERSION_SECONDS = 0.25


class ForwardingExecutor(sessions.Executor):
    """Runs statements at the gateways of their groups, or else here."""

    def __init__(
        self,
        local: sessions.Executor,
        table: gateway_table.GatewayTable,
        known_versions: versions.ConfigurationVersions,
        recorder: events.Recorder,
        name: str,
    ) -> None:
        """Run everything here until links are set.

        :param local: runs statements here
        :param table: lists the gateways
        :param name: name of this daemon
        """
        self._local = local
        self._versions = known_versions
        self._recorder = recorder
        self._calls = gateway_calls.GatewayCalls(local, table, recorder, name)
        # Another run of this daemon must not use the same transaction ids.
        self._prefix = secrets.token_hex(6)
        self._numbers = itertools.count(1)
        self._cleanups: set[asyncio.Task[None]] = set()

    def set_links(self, peer_links: links.PeerLinks) -> None:
        """Forward statements by some links."""
        self._calls.set_links(peer_links)

    def find_route(self, database: str) -> routes.Route | None:
        """Return the route in force for a database."""
        return self._local.find_route(database)

    def find_tenant(
        self, route: routes.Route, key_hash: bytes
    ) -> tenants.Tenant | None:
        """Return who calls on a route, None for an unknown key."""
        return self._local.find_tenant(route, key_hash)

    def record_unknown_key(self) -> None:
        """Count a caller or an operation whose key is not in force."""
        self._local.record_unknown_key()

    async def wait_current(self) -> None:
        """Wait until the configuration is read after a suspension."""
        await self._local.wait_current()

    async def admit(
        self, session: sessions.Session
    ) -> messages.Outcome | None:
        """Count an operation against its tenant's limit, at this daemon."""
        return await self._local.admit(session)

    def find_group(self, route: routes.Route) -> groups.Group:
        """Return the group of a route."""
        return self._local.find_group(route)

    @property
    def idle_transaction(self) -> float:
        """Seconds after which an idle transaction is rolled back."""
        return self._local.idle_transaction

    # Statements outside transactions

    async def run_single(
        self,
        session: sessions.Session,
        route: routes.Route,
        arrival: operations.Arrival,
    ) -> messages.Outcome:
        """Run a statement outside a transaction."""
        writes = attempts.may_write(session, arrival.statement)
        work = gateway_calls.Work(
            session=session,
            route=route,
            group=self._local.find_group(route),
            arrival=arrival,
            writes=writes,
            version=self._versions.current,
            needs_primary=writes
            or route.consistency is routes.Consistency.CURRENT,
        )
        while True:
            peer = self._calls.choose(work)
            if peer is None:
                return await self._local.run_single(
                    session, work.route, arrival
                )
            if work.remaining < attempts.MIN_REMAINING_SECONDS:
                return self._record(work, Kind.BUSY, "no gateway answered")
            answer = await (
                self._calls.call(work, peer)
                if writes
                else self._calls.call_hedged(work, peer)
            )
            if isinstance(answer, LinkFailure):
                if answer.sent and writes:
                    self._recorder.count("statements_in_doubt_by_gateway")
                    return self._record(work, Kind.IN_DOUBT, answer.detail)
            elif answer.outcome is not None:
                session.last_write = max(session.last_write, answer.last_write)
                return answer.outcome
            elif await self._wait_version(work, peer, answer):
                refusal = self._identify(work)
                if refusal is not None:
                    return refusal
                continue
            if self._is_out_of_reach(work, answer):
                return self._record(work, Kind.BUSY, "endpoints unreachable")
            self._calls.note_retry(work, peer)

    def _record(
        self, work: gateway_calls.Work, kind: Kind, detail: str
    ) -> messages.Outcome:
        """Return an outcome that no gateway has recorded."""
        self._recorder.record_statement(
            work.arrival.statement.id,
            work.route,
            kind,
            work.age,
            work.attempts,
            detail=detail,
        )
        return messages.Outcome(kind, detail=detail)

    async def _wait_version(
        self, work: gateway_calls.Work, peer: str, answer: Answer
    ) -> bool:
        """Wait for the configuration of a gateway that has a newer one.

        :returns: whether the gateway may be tried again
        """
        if answer.refusal is not Refusal.NEWER or work.has_waited:
            return False
        work.has_waited = True
        seconds = min(VERSION_SECONDS, max(work.remaining, 0.0))
        return await self._versions.wait(answer.version, peer, seconds)

    def _identify(self, work: gateway_calls.Work) -> messages.Outcome | None:
        """Find route and tenant again in a newer configuration.

        :returns: the refusal of a caller whose key is no longer in force
        """
        session = work.session
        route = self._local.find_route(session.database)
        if route is None:
            return self._record(work, Kind.UNKNOWN_DATABASE, session.database)
        work.route = route
        work.group = self._local.find_group(route)
        work.needs_primary = (
            work.writes or route.consistency is routes.Consistency.CURRENT
        )
        return self._identify_tenant(work)

    def _identify_tenant(
        self, work: gateway_calls.Work
    ) -> messages.Outcome | None:
        """Find the tenant again; return the refusal of a revoked key."""
        session = work.session
        route = self._local.find_route(session.database) or work.route
        tenant = self._local.find_tenant(route, session.key_hash)
        if tenant is None:
            return self._record(work, Kind.UNKNOWN_KEY, "unknown key")
        session.tenant = tenant.name
        work.version = self._versions.current
        return None

    def _is_out_of_reach(
        self, work: gateway_calls.Work, answer: Answer | LinkFailure
    ) -> bool:
        """Return whether enough gateways have reached too few endpoints."""
        if (
            isinstance(answer, Answer)
            and answer.refusal is Refusal.UNREACHABLE
        ):
            work.unreachable += 1
        return work.unreachable >= MAX_UNREACHABLE

    # Transactions

    async def run_in_transaction(
        self,
        session: sessions.Session,
        transaction: operations.Transaction,
        arrival: operations.Arrival,
    ) -> messages.Outcome:
        """Run a statement or the commit of an open transaction."""
        place = transaction.forwarded_to
        if place is None and (
            transaction.connection is not None or transaction.answered
        ):
            return await self._local.run_in_transaction(
                session, transaction, arrival
            )
        work = gateway_calls.Work(
            session=session,
            route=transaction.route,
            group=transaction.group,
            arrival=arrival,
            writes=attempts.may_write(session, arrival.statement),
            version=self._versions.current,
            needs_primary=not transaction.read_only
            or transaction.route.consistency is routes.Consistency.CURRENT,
            step=Step.FIRST if place is None else Step.LATER,
            transaction=transaction,
        )
        if place is None:
            return await self._run_first(work, transaction)
        return await self._run_later(work, transaction, place)

    async def _run_first(
        self, work: gateway_calls.Work, transaction: operations.Transaction
    ) -> messages.Outcome:
        """Open a transaction with its first statement."""
        while True:
            peer = self._calls.choose(work)
            if peer is None:
                return await self._local.run_in_transaction(
                    work.session, transaction, work.arrival
                )
            if work.remaining < attempts.MIN_REMAINING_SECONDS:
                return self._record(work, Kind.ABORTED, "no gateway answered")
            work.number = f"{self._prefix}-{next(self._numbers)}"
            place = operations.ForwardedTo(peer, work.number)
            transaction.forwarded_to = place
            try:
                answer = await self._calls.call(work, peer)
            except asyncio.CancelledError:
                self.abandon(transaction)
                raise
            if isinstance(answer, LinkFailure):
                self.abandon(transaction)
                if answer.sent and work.writes:
                    # Rolled back: no COMMIT was sent.
                    return self._record(work, Kind.ABORTED, answer.detail)
            elif answer.outcome is not None:
                return self._finish(work, transaction, answer, answer.outcome)
            else:
                transaction.forwarded_to = None
                if await self._wait_version(work, peer, answer):
                    # It goes on under the route of its start, but none of it
                    # has run, so its key must be in force.
                    refusal = self._identify_tenant(work)
                    if refusal is not None:
                        return refusal
                    continue
            if self._is_out_of_reach(work, answer):
                return self._record(work, Kind.BUSY, "endpoints unreachable")
            self._calls.note_retry(work, peer)

    async def _run_later(
        self,
        work: gateway_calls.Work,
        transaction: operations.Transaction,
        place: operations.ForwardedTo,
    ) -> messages.Outcome:
        """Run a further statement where the transaction is open."""
        work.number = place.number
        commits = work.arrival.statement.verb is Verb.COMMIT
        answer = await self._calls.call(work, place.peer)
        if isinstance(answer, LinkFailure):
            self.abandon(transaction)
            if commits and answer.sent and transaction.wrote:
                self._recorder.count("statements_in_doubt_by_gateway")
                return self._record(work, Kind.IN_DOUBT, answer.detail)
            return self._record(work, Kind.ABORTED, answer.detail)
        if answer.outcome is None:
            # The gateway has rolled it back: it has started again, or the
            # link was lost meanwhile. A COMMIT is sent once only, so none
            # has taken effect.
            self.abandon(transaction)
            return self._record(work, Kind.ABORTED, "the gateway lost it")
        return self._finish(work, transaction, answer, answer.outcome)

    def _finish(
        self,
        work: gateway_calls.Work,
        transaction: operations.Transaction,
        answer: Answer,
        outcome: messages.Outcome,
    ) -> messages.Outcome:
        """Apply a gateway's answer to the transaction."""
        work.session.last_write = max(
            work.session.last_write, answer.last_write
        )
        if outcome.kind is Kind.DONE:
            transaction.answered = True
            transaction.wrote |= work.writes
        if (
            outcome.kind is not Kind.DONE
            or work.arrival.statement.verb is Verb.COMMIT
        ):
            transaction.forwarded_to = None
        return outcome

    def abandon(self, transaction: operations.Transaction) -> None:
        """Roll a transaction back in the background."""
        place, transaction.forwarded_to = transaction.forwarded_to, None
        if place is None:
            self._local.abandon(transaction)
            return
        task = asyncio.create_task(self._calls.abandon(place))
        self._cleanups.add(task)
        task.add_done_callback(self._cleanups.discard)
