"""Runs statements at endpoints: choice, admission, attempts, proofs."""

import asyncio
import dataclasses
import time
import typing

from fescuestile import clock
from fescuestile import endpoint_choice
from fescuestile import errors
from fescuestile import positions
from fescuestile import routes
from fescuestile_daemon.relay import events
from fescuestile_daemon.relay import gate
from fescuestile_daemon.relay import groups
from fescuestile_daemon.relay import members
from fescuestile_daemon.relay import messages
from fescuestile_daemon.relay import options
from fescuestile_daemon.relay import ports
from fescuestile_daemon.relay import sessions

Kind = messages.Kind
Verb = messages.Verb
# Statements with less time left than this are not sent, in seconds: about
# one round trip and the shortest statement.
LEAST_SECONDS = 0.005


@dataclasses.dataclass(slots=True)
class Piece:
    """One statement on its way to an endpoint.

    :ivar writes: it may change data
    :ivar deadline: steady seconds at which the route's timeout ends
    :ivar tried: endpoints that refused it or did not answer
    """

    session: sessions.Session
    route: routes.Route
    group: groups.Group
    arrival: sessions.Arrival
    writes: bool
    deadline: float
    attempts: int = 0
    tried: set[str] = dataclasses.field(default_factory=set)

    @property
    def left(self) -> float:
        """Seconds left."""
        return self.deadline - time.monotonic()


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
        boot_clock: clock.Clock,
        recorder: events.Recorder,
        zone: str,
    ) -> None:
        """Take the routes in force.

        :param zone: this daemon's availability zone
        """
        self._directory = directory
        self._options = relay_options
        self._clock = boot_clock
        self._recorder = recorder
        self._zone = zone
        self._cleanups: set[asyncio.Task[None]] = set()

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
        piece = self._make_piece(session, route, arrival)
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
        )
        return outcome

    def _make_piece(
        self,
        session: sessions.Session,
        route: routes.Route,
        arrival: sessions.Arrival,
    ) -> Piece:
        statement = arrival.statement
        writes = statement.writes
        if statement.verb is Verb.EXECUTE:
            writes = session.prepared[statement.name].writes
        return Piece(
            session=session,
            route=route,
            group=self._directory.find_group(route),
            arrival=arrival,
            writes=writes,
            deadline=arrival.steady_at + route.timeout,
        )

    # Reads

    async def _read(self, piece: Piece) -> messages.Outcome:
        outcome = messages.Outcome(Kind.BUSY, detail="no endpoint")
        ticket = None
        if piece.route.consistency is routes.Consistency.CURRENT:
            ticket = piece.group.begin_proof()
        while piece.attempts < self._options.read_attempts:
            if piece.left < LEAST_SECONDS:
                break
            piece.attempts += 1
            if ticket is not None:
                outcome = await self._read_current(piece, ticket)
                if outcome.kind not in (Kind.DONE, Kind.MALFORMED):
                    ticket = piece.group.begin_proof()
            else:
                outcome = await self._read_stale(piece)
                if outcome.kind is Kind.BEHIND and len(piece.tried) >= len(
                    piece.group.members
                ):
                    ticket = piece.group.begin_proof()
            if outcome.kind in (Kind.DONE, Kind.MALFORMED):
                return outcome
            if piece.group.cannot_prove() and outcome.kind is Kind.BUSY:
                break
        if outcome.kind in (Kind.LOST, Kind.BEHIND, Kind.NOT_PRIMARY):
            # Reads have no effect, so the caller may run it again.
            return messages.Outcome(Kind.BUSY, detail=outcome.detail)
        return outcome

    async def _read_stale(self, piece: Piece) -> messages.Outcome:
        minimum = await piece.group.find_minimum(
            piece.arrival.boot_at,
            piece.route.staleness,
            min(piece.deadline, time.monotonic() + self._options.read_silence),
        )
        if minimum is None:
            return messages.Outcome(Kind.BUSY, detail="no fresh position")
        if piece.route.consistency is routes.Consistency.READ_YOUR_WRITES:
            minimum = max(minimum, piece.session.written)
        member = self._choose(piece, minimum)
        if member is None:
            return await self._wait_member(piece)
        outcome = await self._attempt(piece, member, minimum)
        if outcome.kind is not Kind.DONE:
            piece.tried.add(member.name)
        return outcome

    def _choose(
        self, piece: Piece, minimum: positions.Position | None
    ) -> members.Member | None:
        group = piece.group
        primary = group.find_primary()
        able = [
            member.describe(
                piece.route.level,
                piece.route.database,
                minimum,
                self._zone,
                member is primary,
            )
            for member in group.list_candidates()
        ]
        fresh = [c for c in able if c.name not in piece.tried]
        name = endpoint_choice.choose(fresh or able)
        return group.members[name] if name else None

    async def _wait_member(self, piece: Piece) -> messages.Outcome:
        await piece.group.wait_change(min(max(piece.left, 0.0), 0.1))
        return messages.Outcome(Kind.BUSY, detail="no endpoint is known")

    async def _read_current(
        self, piece: Piece, ticket: typing.Any
    ) -> messages.Outcome:
        member = await self._find_primary(piece)
        if member is None:
            return messages.Outcome(Kind.BUSY, detail="no primary")
        outcome = await self._attempt(piece, member, None)
        if outcome.kind is not Kind.DONE:
            return outcome
        proven = await piece.group.wait_proof(
            ticket,
            member,
            min(piece.deadline, time.monotonic() + self._options.read_silence),
        )
        if proven:
            return outcome
        return messages.Outcome(Kind.BUSY, detail="the primary is not proven")

    async def _find_primary(self, piece: Piece) -> members.Member | None:
        """Return the primary, waiting for one while there is time."""
        while True:
            member = piece.group.find_primary()
            if member is not None:
                return member
            left = piece.left
            if left < LEAST_SECONDS:
                return None
            await piece.group.wait_change(left)

    # Writes

    async def _write(self, piece: Piece) -> messages.Outcome:
        outcome = messages.Outcome(Kind.BUSY, detail="no primary")
        while piece.left >= LEAST_SECONDS:
            member = await self._find_primary(piece)
            if member is None:
                break
            piece.attempts += 1
            outcome = await self._attempt(piece, member, None)
            if outcome.kind not in messages.NOT_RUN:
                break
            await self._recover(piece, member, outcome)
        if outcome.kind is Kind.DONE and outcome.position is not None:
            piece.session.written = max(
                piece.session.written, outcome.position
            )
        if outcome.kind in (Kind.LOST, Kind.TIMED_OUT):
            return messages.Outcome(Kind.IN_DOUBT, detail=outcome.detail)
        return outcome

    async def _recover(
        self,
        piece: Piece,
        member: members.Member,
        outcome: messages.Outcome,
    ) -> None:
        """Find out why an endpoint refused before the next attempt."""
        if outcome.kind is Kind.NOT_PRIMARY:
            await piece.group.inspect(
                member, messages.Inspect(), self._options.inspect_timeout
            )
            if piece.group.find_primary() is member:
                await piece.group.wait_change(
                    min(max(piece.left, 0.0), self._options.busy_delay)
                )
        else:
            await asyncio.sleep(
                min(max(piece.left, 0.0), self._options.busy_delay)
            )

    # One attempt

    async def _attempt(
        self,
        piece: Piece,
        member: members.Member,
        minimum: positions.Position | None,
    ) -> messages.Outcome:
        """Run a statement once at an endpoint."""
        work = gate.Work(
            level=piece.route.level,
            kind=piece.route.database,
            caller=str(id(piece.session)),
            deadline=piece.deadline,
        )
        try:
            ticket = await member.gate.enter(work)
        except errors.NotRun as error:
            return messages.Outcome(Kind.BUSY, detail=error.message)
        measured = False
        try:
            channel = await self._lease(piece, member)
            if isinstance(channel, messages.Outcome):
                return channel
            outcome = await self._run(piece, member, channel, minimum)
            measured = outcome.kind is Kind.DONE
            return outcome
        finally:
            member.gate.leave(ticket, measured)

    async def _lease(
        self, piece: Piece, member: members.Member
    ) -> ports.Channel | messages.Outcome:
        """Lend a connection with the session's state on it."""
        patience = max(piece.left, 0.0)
        if not piece.writes and len(piece.tried) + 1 < len(
            piece.group.members
        ):
            patience = min(patience, self._options.lease_patience)
        try:
            async with asyncio.timeout(patience):
                channel = await member.pool.lease(piece.session.values)
        except TimeoutError:
            return messages.Outcome(Kind.BUSY, detail="no free connection")
        if isinstance(channel, messages.Outcome):
            member.note_failure()
            if channel.kind is Kind.LOST:
                return messages.Outcome(Kind.BUSY, detail=channel.detail)
            return channel
        if await self._set_up(piece, channel):
            return channel
        member.pool.discard(channel)
        member.note_failure()
        return messages.Outcome(
            Kind.BUSY, detail="the connection took no session state"
        )

    async def _set_up(self, piece: Piece, channel: ports.Channel) -> bool:
        """Bring the session's state onto a connection."""
        commands = plan_set_up(piece.session, piece.arrival, channel)
        stale = (
            piece.writes
            and time.monotonic() - channel.used_at > self._options.trusted_idle
        )
        if stale and not commands:
            # A silent connection shows before the write is on it.
            commands = [messages.Clear(), *plan_values({}, piece.session)]
            shape = find_shape(piece.session, piece.arrival.statement)
            if shape is not None:
                commands.append(messages.Prepare(name_prepared(shape), shape))
        if not commands:
            return True
        try:
            async with asyncio.timeout(
                min(max(piece.left, 0.0), self._options.read_silence)
            ):
                outcome = await channel.call(*commands)
        except TimeoutError:
            return False
        return outcome.kind is Kind.DONE

    async def _run(
        self,
        piece: Piece,
        member: members.Member,
        channel: ports.Channel,
        minimum: positions.Position | None,
    ) -> messages.Outcome:
        """Run on a lent connection and give it back or close it."""
        command = make_run(piece.session, piece.arrival.statement, minimum)
        seconds = piece.left
        if not piece.writes:
            seconds = min(seconds, self._find_silence(piece))
        started = time.monotonic()
        clean = False
        try:
            async with asyncio.timeout(max(seconds, 0.0)):
                outcome = await channel.call(command)
            clean = outcome.state is messages.State.IDLE
        except TimeoutError:
            outcome = messages.Outcome(Kind.LOST, detail="no answer in time")
        finally:
            if clean and not channel.closed:
                member.pool.give_back(channel)
            else:
                member.pool.discard(channel)
        self._note(piece, member, outcome, minimum, started)
        return outcome

    def _find_silence(self, piece: Piece) -> float:
        """Return how long a read may stay without an answer."""
        return max(self._options.read_silence, piece.route.target_latency / 2)

    def _note(
        self,
        piece: Piece,
        member: members.Member,
        outcome: messages.Outcome,
        minimum: positions.Position | None,
        started: float,
    ) -> None:
        match outcome.kind:
            case Kind.DONE:
                member.note_answer(time.monotonic() - started)
            case Kind.BEHIND:
                member.note_answer()
                member.note_behind(minimum or positions.START)
            case Kind.LOST:
                member.note_failure()
                self._recorder.note_lost(
                    piece.arrival.statement.id, member.name, outcome.detail
                )
            case Kind.WRONG_ENDPOINT:
                member.pool.drop_idle()
                member.note_failure()
            case Kind.BUSY | Kind.FAILED | Kind.TIMED_OUT:
                member.note_answer()
                member.note_failure()
            case _:
                member.note_answer()

    # Transactions

    async def run_inside(
        self,
        session: sessions.Session,
        work: sessions.Transaction,
        arrival: sessions.Arrival,
    ) -> messages.Outcome:
        """Run a statement or the commit of a transaction."""
        piece = self._make_piece(session, work.route, arrival)
        piece.group = work.group
        outcome = messages.Outcome(Kind.BUSY, detail="no endpoint")
        while piece.left >= LEAST_SECONDS:
            piece.attempts += 1
            outcome = await self._try_inside(piece, work)
            if outcome.kind is Kind.DONE:
                work.answered = True
                break
            if work.answered or piece.attempts >= self._options.read_attempts:
                break
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
        )
        return outcome

    async def _pause(
        self,
        piece: Piece,
        work: sessions.Transaction,
        outcome: messages.Outcome,
    ) -> None:
        primary = piece.group.find_primary()
        if outcome.kind is Kind.NOT_PRIMARY and primary is not None:
            await self._recover(piece, primary, outcome)
        elif outcome.kind is not Kind.BEHIND:
            await asyncio.sleep(
                min(max(piece.left, 0.0), self._options.busy_delay)
            )

    def _conclude(
        self,
        piece: Piece,
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
        self, piece: Piece, work: sessions.Transaction
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
        proven = await work.group.wait_proof(
            work.ticket, member, piece.deadline
        )
        if proven:
            work.ticket = None
            return outcome
        if piece.arrival.statement.verb is Verb.COMMIT:
            return outcome
        return messages.Outcome(Kind.BUSY, detail="the primary is not proven")

    async def _open(
        self, piece: Piece, work: sessions.Transaction
    ) -> messages.Outcome:
        """Begin the transaction at an endpoint."""
        member, minimum = await self._choose_for(piece, work)
        if member is None:
            return messages.Outcome(Kind.BUSY, detail="no endpoint")
        channel = await self._lease(piece, member)
        if isinstance(channel, messages.Outcome):
            piece.tried.add(member.name)
            return channel
        try:
            async with asyncio.timeout(
                min(max(piece.left, 0.0), self._options.read_silence)
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
        self._note(piece, member, outcome, minimum, time.monotonic())
        return outcome

    async def _choose_for(
        self, piece: Piece, work: sessions.Transaction
    ) -> tuple[members.Member | None, positions.Position | None]:
        """Return where a transaction begins and what it must see."""
        stale = work.route.consistency is not routes.Consistency.CURRENT
        if work.read_only and stale:
            minimum = await work.group.find_minimum(
                work.begun_at, work.route.staleness, piece.deadline
            )
            if minimum is None:
                return None, None
            if work.route.consistency is routes.Consistency.READ_YOUR_WRITES:
                minimum = max(minimum, piece.session.written)
            member = self._choose(piece, minimum)
            if member is not None and len(piece.tried) < len(
                piece.group.members
            ):
                return member, minimum
        work.ticket = work.group.begin_proof()
        return await self._find_primary(piece), None

    async def _run_inside(
        self,
        piece: Piece,
        work: sessions.Transaction,
        member: members.Member,
        channel: ports.Channel,
    ) -> messages.Outcome:
        admitted = gate.Work(
            level=work.route.level,
            kind=work.route.database,
            caller=str(id(piece.session)),
            deadline=piece.deadline,
            continues=True,
        )
        try:
            ticket = await member.gate.enter(admitted)
        except errors.NotRun as error:
            return messages.Outcome(Kind.BUSY, detail=error.message)
        started = time.monotonic()
        if piece.writes:
            work.wrote = True
        outcome = messages.Outcome(Kind.LOST, detail="no answer in time")
        try:
            if not await self._set_up(piece, channel):
                return messages.Outcome(Kind.LOST, detail="no session state")
            async with asyncio.timeout(max(piece.left, 0.0)):
                outcome = await channel.call(
                    make_run(piece.session, piece.arrival.statement)
                )
        except TimeoutError:
            channel.close()
        finally:
            member.gate.leave(ticket, outcome.kind is Kind.DONE)
        self._note(piece, member, outcome, None, started)
        return outcome

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


def find_shape(
    session: sessions.Session, statement: messages.Statement
) -> messages.Shape | None:
    """Return what an EXECUTE runs, None for other statements."""
    if statement.verb is not Verb.EXECUTE:
        return None
    return session.prepared[statement.name]


def name_prepared(shape: messages.Shape) -> str:
    """Return the name under which connections know a shape."""
    return f"{'w' if shape.writes else 'r'}_{shape.text}"


def make_run(
    session: sessions.Session,
    statement: messages.Statement,
    minimum: positions.Position | None = None,
) -> messages.Run:
    """Return the command that runs a statement."""
    shape = find_shape(session, statement)
    name = name_prepared(shape) if shape is not None else ""
    return messages.Run(statement.id, statement, name, minimum)


def plan_values(
    present: typing.Mapping[str, str], session: sessions.Session
) -> list[messages.Command]:
    """Return commands that add the session's values to those present."""
    return [
        messages.SetValue(name, value)
        for name, value in session.values.items()
        if present.get(name) != value
    ]


def plan_set_up(
    session: sessions.Session,
    arrival: sessions.Arrival,
    channel: ports.Channel,
) -> list[messages.Command]:
    """Return commands after which a connection has the session's state.

    Values of another session must not stay, so a connection that has more
    than the session's is cleared first.
    """
    commands: list[messages.Command] = []
    present: typing.Mapping[str, str] = channel.values
    prepared: typing.Mapping[str, messages.Shape] = channel.prepared
    if present.keys() - session.values.keys():
        commands.append(messages.Clear())
        present = {}
        prepared = {}
    commands.extend(plan_values(present, session))
    shape = find_shape(session, arrival.statement)
    if shape is not None and name_prepared(shape) not in prepared:
        commands.append(messages.Prepare(name_prepared(shape), shape))
    return commands
