"""Statements inside transactions, each on its transaction's connection."""

import asyncio
import time

from fescuestile import errors
from fescuestile import positions
from fescuestile import routes
from fescuestile_daemon.relay import attempts
from fescuestile_daemon.relay import choice
from fescuestile_daemon.relay import events
from fescuestile_daemon.relay import gate
from fescuestile_daemon.relay import members
from fescuestile_daemon.relay import messages
from fescuestile_daemon.relay import options
from fescuestile_daemon.relay import ports
from fescuestile_daemon.relay import replay
from fescuestile_daemon.relay import sessions

Kind = messages.Kind
Verb = messages.Verb


class Transactions:
    """Opens, runs and ends transactions at endpoints."""

    def __init__(
        self,
        attempts_: attempts.Attempts,
        choice_: choice.Choice,
        relay_options: options.RelayOptions,
        recorder: events.Recorder,
    ) -> None:
        """Take how statements run and where they go."""
        self._attempts = attempts_
        self._choice = choice_
        self._options = relay_options
        self._recorder = recorder
        self._cleanups: set[asyncio.Task[None]] = set()

    async def run(
        self,
        session: sessions.Session,
        work: sessions.Transaction,
        arrival: sessions.Arrival,
    ) -> messages.Outcome:
        """Run a statement or the commit of a transaction."""
        piece = attempts.make_piece(session, work.route, work.group, arrival)
        outcome = messages.Outcome(Kind.BUSY, detail="no endpoint")
        while piece.left >= attempts.LEAST_SECONDS:
            piece.attempts += 1
            outcome = await self._try_inside(piece, work)
            if outcome.kind is Kind.DONE:
                work.answered = True
                break
            if self._may_repeat(work, outcome):
                await self._pause(piece, work, outcome)
                continue
            if outcome.kind is Kind.OVERLOADED:
                break
            if work.answered or piece.failures >= self._options.read_failures:
                break
            piece.failures += outcome.kind not in messages.NOT_RUN
            if outcome.kind is Kind.LOST and (
                arrival.statement.verb is Verb.COMMIT
            ):
                break
            self.abandon(work)
            if outcome.kind in messages.NOT_RUN:
                await self._pause(piece, work, outcome)
        outcome = self._conclude(piece, work, outcome)
        self._recorder.note_statement(
            arrival.statement.id,
            work.route,
            outcome.kind,
            time.monotonic() - arrival.steady_at,
            piece.attempts,
            outcome.detail,
        )
        return outcome

    def _may_repeat(
        self, work: sessions.Transaction, outcome: messages.Outcome
    ) -> bool:
        """Tell whether a refused statement may run in the same transaction.

        The endpoint itself must have said that it stands as before.
        """
        return (
            outcome.kind is Kind.BUSY
            and outcome.position is not None
            and outcome.state is messages.State.IN_TRANSACTION
            and work.channel is not None
            and not work.channel.closed
        )

    async def _pause(
        self,
        piece: attempts.Piece,
        work: sessions.Transaction,
        outcome: messages.Outcome,
    ) -> None:
        primary = piece.group.find_primary()
        if outcome.kind is Kind.NOT_PRIMARY and primary is not None:
            await self._choice.recover(piece, primary, outcome)
        elif outcome.kind is not Kind.BEHIND:
            await asyncio.sleep(
                min(max(piece.left, 0.0), self._options.busy_delay)
            )

    def _conclude(
        self,
        piece: attempts.Piece,
        work: sessions.Transaction,
        outcome: messages.Outcome,
    ) -> messages.Outcome:
        """Return what the caller is told; nothing is left half done."""
        if piece.arrival.statement.verb is Verb.COMMIT:
            if outcome.kind is Kind.DONE:
                self._release(work)
                if work.wrote and outcome.position is not None:
                    piece.session.written = max(
                        piece.session.written, outcome.position
                    )
                return outcome
            self.abandon(work)
            if outcome.kind in (Kind.LOST, Kind.TIMED_OUT):
                kind = Kind.IN_DOUBT if work.wrote else Kind.ABORTED
                return messages.Outcome(kind, detail=outcome.detail)
            return outcome
        if outcome.kind is not Kind.DONE:
            self.abandon(work)
            if outcome.kind in (Kind.LOST, Kind.TIMED_OUT, Kind.FAILED):
                # The rollback is certain: no commit was or will be sent.
                return messages.Outcome(Kind.ABORTED, detail=outcome.detail)
        return outcome

    async def _try_inside(
        self, piece: attempts.Piece, work: sessions.Transaction
    ) -> messages.Outcome:
        if work.channel is None:
            outcome = await self._open(piece, work)
            if outcome.kind is not Kind.DONE:
                return outcome
        channel, member = work.channel, work.member
        if channel is None or member is None or channel.closed:
            return messages.Outcome(Kind.LOST, detail="connection ended")
        outcome = await self._run_inside(piece, work, member, channel)
        if outcome.kind is not Kind.DONE or work.ticket is None:
            return outcome
        proven = await work.group.proofs.wait(
            work.ticket, member, piece.deadline
        )
        if proven:
            work.ticket = None
            return outcome
        if piece.arrival.statement.verb is Verb.COMMIT:
            return outcome
        return messages.Outcome(Kind.BUSY, detail="the primary is not proven")

    async def _open(
        self, piece: attempts.Piece, work: sessions.Transaction
    ) -> messages.Outcome:
        """Begin the transaction at an endpoint."""
        member, minimum = await self._choose_for(piece, work)
        if member is None:
            return messages.Outcome(Kind.BUSY, detail="no endpoint")
        channel = await self._attempts.lease(
            piece, member, minimum, holds=True
        )
        if isinstance(channel, messages.Outcome):
            piece.tried.add(member.name)
            return channel
        try:
            async with asyncio.timeout(
                min(max(piece.left, 0.0), self._options.set_up_silence)
            ):
                outcome = await channel.call(
                    messages.Begin(work.read_only, minimum)
                )
        except TimeoutError:
            outcome = messages.Outcome(Kind.LOST, detail="no answer to begin")
        except asyncio.CancelledError:
            member.pool.discard(channel)
            raise
        if outcome.kind is Kind.DONE:
            work.channel, work.member = channel, member
            return outcome
        piece.tried.add(member.name)
        if outcome.state is messages.State.IDLE and not channel.closed:
            member.pool.give_back(channel)
        else:
            member.pool.discard(channel)
        self._attempts.note(piece, member, outcome, minimum, time.monotonic())
        return outcome

    async def _choose_for(
        self, piece: attempts.Piece, work: sessions.Transaction
    ) -> tuple[members.Member | None, positions.Position | None]:
        """Return where a transaction begins and what it must see."""
        stale = work.route.consistency is not routes.Consistency.CURRENT
        if work.read_only and stale:
            minimum = await work.group.proofs.find_minimum(
                work.begun_at, work.route.staleness, piece.deadline
            )
            if minimum is None:
                return None, None
            if work.route.consistency is routes.Consistency.READ_YOUR_WRITES:
                minimum = max(minimum, piece.session.written)
            member = self._choice.choose(piece, minimum)
            if member is not None and not piece.has_tried_all():
                return member, minimum
        work.ticket = work.group.proofs.begin()
        return await self._choice.find_primary(piece), None

    async def _run_inside(
        self,
        piece: attempts.Piece,
        work: sessions.Transaction,
        member: members.Member,
        channel: ports.Channel,
    ) -> messages.Outcome:
        # What was begun ends first: it holds a connection and what it wrote.
        admitted = gate.Work(
            level=gate.MOST_URGENT if work.answered else work.route.level,
            kind=work.route.database,
            caller=str(id(piece.session)),
            deadline=(
                piece.deadline if work.answered else piece.bound_turn(member)
            ),
            continues=work.answered,
        )
        try:
            ticket = await member.gate.enter(admitted)
        except errors.NotRun as error:
            return messages.Outcome(Kind.OVERLOADED, detail=error.message)
        member.note_asked()
        started = time.monotonic()
        if piece.writes:
            work.wrote = True
        outcome = messages.Outcome(Kind.LOST, detail="no answer in time")
        try:
            if not await self._attempts.set_up(piece, channel):
                return messages.Outcome(Kind.LOST, detail="no session state")
            async with asyncio.timeout(self._bound(piece, work, member)):
                outcome = await channel.call(
                    replay.make_run(piece.session, piece.arrival.statement)
                )
        except TimeoutError:
            channel.close()
        finally:
            member.gate.leave(
                ticket,
                outcome.kind is Kind.DONE,
                refused=outcome.kind is Kind.BUSY,
            )
        self._attempts.note(piece, member, outcome, None, started)
        return outcome

    def _bound(
        self,
        piece: attempts.Piece,
        work: sessions.Transaction,
        member: members.Member,
    ) -> float:
        """Return how long a statement may stay without an answer."""
        left = max(piece.left, 0.0)
        if work.answered or piece.arrival.statement.verb is Verb.COMMIT:
            return left
        # Nothing of the transaction was answered, so it can begin anew.
        silence = member.bound_silence(piece.route.target_latency)
        return min(left, silence)

    def _release(self, work: sessions.Transaction) -> None:
        """Give back the connection of a transaction that has ended."""
        channel, member = work.channel, work.member
        work.channel = work.member = None
        if channel is not None and member is not None:
            member.pool.give_back(channel)

    def abandon(self, work: sessions.Transaction) -> None:
        """Roll a transaction back."""
        channel, member = work.channel, work.member
        work.channel = work.member = None
        if channel is None or member is None:
            return
        task = asyncio.create_task(self._roll_back(member, channel))
        self._cleanups.add(task)
        task.add_done_callback(self._cleanups.discard)

    async def _roll_back(
        self, member: members.Member, channel: ports.Channel
    ) -> None:
        clean = False
        try:
            if not channel.closed:
                async with asyncio.timeout(self._options.read_silence):
                    outcome = await channel.call(messages.Rollback())
                clean = outcome.kind is Kind.DONE
        except TimeoutError:
            clean = False
        if clean and not channel.closed:
            member.pool.give_back(channel)
        else:
            member.pool.discard(channel)
