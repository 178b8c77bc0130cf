"""Runs single reads and writes: attempts, proofs of freshness, retries."""

import asyncio
import time
import typing

from fescuestile import read_confirmation
from fescuestile import routes
from fescuestile_daemon.relay import attempts
from fescuestile_daemon.relay import choice
from fescuestile_daemon.relay import events
from fescuestile_daemon.relay import groups
from fescuestile_daemon.relay import messages
from fescuestile_daemon.relay import options
from fescuestile_daemon.relay import sessions
from fescuestile_daemon.relay import transactions

Kind = messages.Kind
Verb = messages.Verb

# The endpoint had no room just now.
CROWDED = frozenset({Kind.BUSY, Kind.TOO_MANY_CONNECTIONS})


class Directory(typing.Protocol):
    """Routes in force and their groups."""

    def find_route(self, database: str) -> routes.Route | None:
        """Return the route in force for a database."""

    def find_group(self, route: routes.Route) -> groups.Group:
        """Return the group of a route."""

    @property
    def idle_transaction(self) -> float:
        """Seconds after which an idle transaction is rolled back."""


class Execution(sessions.Executor):
    """Runs what needs an endpoint."""

    def __init__(
        self,
        directory: Directory,
        relay_options: options.RelayOptions,
        recorder: events.Recorder,
        zone: str,
    ) -> None:
        """Take the routes in force.

        :param zone: this daemon's availability zone
        """
        self._directory = directory
        self._options = relay_options
        self._recorder = recorder
        self._attempts = attempts.Attempts(relay_options, recorder)
        self._choice = choice.Choice(relay_options, zone)
        self._transactions = transactions.Transactions(
            self._attempts, self._choice, relay_options, recorder
        )

    def find_route(self, database: str) -> routes.Route | None:
        """Return the route in force for a database."""
        return self._directory.find_route(database)

    def find_group(self, route: routes.Route) -> groups.Group:
        """Return the group of a route."""
        return self._directory.find_group(route)

    @property
    def idle_transaction(self) -> float:
        """Seconds after which an idle transaction is rolled back."""
        return self._directory.idle_transaction

    async def run_alone(
        self,
        session: sessions.Session,
        route: routes.Route,
        arrival: sessions.Arrival,
    ) -> messages.Outcome:
        """Run a statement outside a transaction."""
        piece = attempts.make_piece(
            session, route, self._directory.find_group(route), arrival
        )
        if piece.writes:
            outcome = await self._write(piece)
        else:
            outcome = await self._read(piece)
        self._recorder.note_statement(
            arrival.statement.id,
            route,
            outcome.kind,
            time.monotonic() - arrival.steady_at,
            piece.attempts,
            outcome.detail,
        )
        return outcome

    # Reads

    async def _read(self, piece: attempts.Piece) -> messages.Outcome:
        outcome = messages.Outcome(Kind.BUSY, detail="no endpoint")
        ticket = None
        if piece.route.consistency is routes.Consistency.CURRENT:
            ticket = piece.group.proofs.begin()
        delay = self._options.busy_delay
        while piece.left >= attempts.LEAST_SECONDS:
            piece.attempts += 1
            if ticket is not None:
                outcome = await self._read_current(piece, ticket)
                if outcome.kind not in (Kind.DONE, Kind.MALFORMED):
                    ticket = piece.group.proofs.begin()
            else:
                outcome = await self._read_stale(piece)
                if outcome.kind is Kind.BEHIND and piece.has_tried_all():
                    ticket = piece.group.proofs.begin()
            if outcome.kind in (Kind.DONE, Kind.MALFORMED):
                return outcome
            piece.failures += outcome.kind not in messages.NOT_RUN
            if piece.failures >= self._options.read_failures:
                break
            if piece.group.proofs.cannot_prove() and outcome.kind is Kind.BUSY:
                break
            tried_all = ticket is not None or piece.has_tried_all()
            if outcome.kind is Kind.OVERLOADED and tried_all:
                break
            if outcome.kind in CROWDED and tried_all:
                await asyncio.sleep(min(max(piece.left, 0.0), delay))
                delay = min(delay * 2, self._options.busy_delay_most)
                piece.tried.clear()
        if outcome.kind in (Kind.LOST, Kind.BEHIND, Kind.NOT_PRIMARY):
            # Reads have no effect, so the caller may run it again.
            return messages.Outcome(Kind.BUSY, detail=outcome.detail)
        return outcome

    async def _read_stale(self, piece: attempts.Piece) -> messages.Outcome:
        minimum = await piece.group.proofs.find_minimum(
            piece.arrival.boot_at,
            piece.route.staleness,
            min(piece.deadline, time.monotonic() + self._options.read_silence),
        )
        if minimum is None:
            return messages.Outcome(Kind.BUSY, detail="no fresh position")
        if piece.route.consistency is routes.Consistency.READ_YOUR_WRITES:
            minimum = max(minimum, piece.session.written)
        member = self._choice.choose(piece, minimum)
        if member is None and piece.has_tried_all() and piece.tried:
            return messages.Outcome(
                Kind.OVERLOADED, detail="no endpoint can serve it in time"
            )
        if member is None:
            return await self._wait_member(piece)
        outcome = await self._attempts.run(piece, member, minimum)
        if outcome.kind is not Kind.DONE:
            piece.tried.add(member.name)
        return outcome

    async def _wait_member(self, piece: attempts.Piece) -> messages.Outcome:
        await piece.group.wait_change(min(max(piece.left, 0.0), 0.1))
        return messages.Outcome(Kind.BUSY, detail="no endpoint is known")

    async def _read_current(
        self, piece: attempts.Piece, ticket: read_confirmation.Ticket
    ) -> messages.Outcome:
        member = await self._choice.find_primary(piece)
        if member is None:
            return messages.Outcome(Kind.BUSY, detail="no primary")
        outcome = await self._attempts.run(piece, member, None)
        if outcome.kind is not Kind.DONE:
            return outcome
        proven = await piece.group.proofs.wait(
            ticket,
            member,
            min(piece.deadline, time.monotonic() + self._options.read_silence),
        )
        if proven:
            return outcome
        return messages.Outcome(Kind.BUSY, detail="the primary is not proven")

    # Writes

    async def _write(self, piece: attempts.Piece) -> messages.Outcome:
        outcome = messages.Outcome(Kind.BUSY, detail="no primary")
        while piece.left >= attempts.LEAST_SECONDS:
            member = await self._choice.find_primary(piece)
            if member is None:
                break
            piece.attempts += 1
            outcome = await self._attempts.run(piece, member, None)
            if (
                outcome.kind not in messages.NOT_RUN
                or outcome.kind is Kind.OVERLOADED
            ):
                break
            await self._choice.recover(piece, member, outcome)
        if outcome.kind is Kind.DONE and outcome.position is not None:
            piece.session.written = max(
                piece.session.written, outcome.position
            )
        if outcome.kind in (Kind.LOST, Kind.TIMED_OUT):
            return messages.Outcome(Kind.IN_DOUBT, detail=outcome.detail)
        return outcome

    async def run_inside(
        self,
        session: sessions.Session,
        work: sessions.Transaction,
        arrival: sessions.Arrival,
    ) -> messages.Outcome:
        """Run a statement or the commit of a transaction."""
        return await self._transactions.run(session, work, arrival)

    def abandon(self, work: sessions.Transaction) -> None:
        """Roll a transaction back."""
        self._transactions.abandon(work)
