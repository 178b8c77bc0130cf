"""One attempt to run a statement at one endpoint."""

import asyncio
import dataclasses
import time

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
from fescuestile_daemon.relay import replay
from fescuestile_daemon.relay import sessions

Kind = messages.Kind
# Statements with less time left than this are not sent, in seconds: about
# one round trip and the shortest statement.
LEAST_SECONDS = 0.005


@dataclasses.dataclass(slots=True)
class Piece:
    """One statement on its way to an endpoint.

    :ivar writes: it may change data
    :ivar deadline: steady seconds at which the route's timeout ends
    :ivar attempts: times that it was tried
    :ivar failures: of these, times that it ran or may have run
    :ivar tried: endpoints that refused it or did not answer
    """

    session: sessions.Session
    route: routes.Route
    group: groups.Group
    arrival: sessions.Arrival
    writes: bool
    deadline: float
    attempts: int = 0
    failures: int = 0
    tried: set[str] = dataclasses.field(default_factory=set)

    @property
    def left(self) -> float:
        """Seconds left."""
        return self.deadline - time.monotonic()

    def has_tried_all(self) -> bool:
        """Tell whether no endpoint that takes new work is left to try."""
        return all(
            member.name in self.tried
            for member in self.group.list_candidates()
        )

    def make_work(self, member: members.Member) -> gate.Work:
        """Return what an endpoint's gate needs to know of it."""
        return gate.Work(
            level=self.route.level,
            kind=self.route.database,
            caller=str(id(self.session)),
            deadline=self.bound_turn(member),
        )

    def bound_turn(self, member: members.Member) -> float:
        """Return the steady seconds until which it may wait for its turn.

        Work that would start after its target only makes the work behind it
        late as well. What is late already waits up to its deadline.
        """
        wanted_by = self.arrival.steady_at + member.bound_patience(self.route)
        if time.monotonic() >= wanted_by:
            return self.deadline
        return min(wanted_by, self.deadline)


def make_piece(
    session: sessions.Session,
    route: routes.Route,
    group: groups.Group,
    arrival: sessions.Arrival,
) -> Piece:
    """Return a statement as a piece of work."""
    statement = arrival.statement
    writes = statement.writes
    if statement.verb is messages.Verb.EXECUTE:
        writes = session.prepared[statement.name].writes
    return Piece(
        session=session,
        route=route,
        group=group,
        arrival=arrival,
        writes=writes,
        deadline=arrival.steady_at + route.timeout,
    )


class Attempts:
    """Runs pieces at endpoints and notes what each attempt showed."""

    def __init__(
        self, relay_options: options.RelayOptions, recorder: events.Recorder
    ) -> None:
        """Take the limits and where lost answers are recorded."""
        self._options = relay_options
        self._recorder = recorder

    async def run(
        self,
        piece: Piece,
        member: members.Member,
        minimum: positions.Position | None,
    ) -> messages.Outcome:
        """Run a statement once at an endpoint."""
        try:
            ticket = await member.gate.enter(piece.make_work(member))
        except errors.NotRun as error:
            return messages.Outcome(Kind.OVERLOADED, detail=error.message)
        measured = refused = False
        try:
            channel = await self.lease(piece, member, minimum)
            if isinstance(channel, messages.Outcome):
                return channel
            outcome = await self._run_on(piece, member, channel, minimum)
            measured = outcome.kind in (Kind.DONE, Kind.LOST)
            refused = outcome.kind is Kind.BUSY
            return outcome
        finally:
            member.gate.leave(ticket, measured, refused)

    async def lease(
        self,
        piece: Piece,
        member: members.Member,
        minimum: positions.Position | None = None,
        holds: bool = False,
    ) -> ports.Channel | messages.Outcome:
        """Lend a connection with the session's state on it.

        :param minimum: given for work that other endpoints may do as well
        :param holds: it is kept for a transaction
        """
        patience = max(piece.left, 0.0)
        if minimum is not None:
            # Another endpoint may have a free connection.
            patience = min(patience, self._options.lease_patience)
        try:
            async with asyncio.timeout(patience):
                channel = await member.pool.lease(
                    piece.session.values, holds=holds
                )
        except TimeoutError:
            return messages.Outcome(Kind.BUSY, detail="no free connection")
        if isinstance(channel, messages.Outcome):
            member.note_failure()
            if channel.kind is Kind.LOST:
                return messages.Outcome(Kind.BUSY, detail=channel.detail)
            return channel
        if await self.set_up(piece, channel):
            return channel
        member.pool.discard(channel)
        member.note_failure()
        return messages.Outcome(
            Kind.BUSY, detail="the connection took no session state"
        )

    async def set_up(self, piece: Piece, channel: ports.Channel) -> bool:
        """Bring the session's state onto a connection."""
        commands = replay.plan_set_up(piece.session, piece.arrival, channel)
        stale = (
            piece.writes
            and time.monotonic() - channel.used_at > self._options.trusted_idle
        )
        if stale and not commands:
            # A silent connection shows before the write is on it.
            commands = [
                messages.Clear(),
                *replay.plan_values({}, piece.session),
            ]
            shape = replay.find_shape(piece.session, piece.arrival.statement)
            if shape is not None:
                commands.append(
                    messages.Prepare(replay.name_prepared(shape), shape)
                )
        if not commands:
            return True
        try:
            async with asyncio.timeout(
                min(max(piece.left, 0.0), self._options.set_up_silence)
            ):
                outcome = await channel.call(*commands)
        except TimeoutError:
            return False
        return outcome.kind is Kind.DONE

    async def _run_on(
        self,
        piece: Piece,
        member: members.Member,
        channel: ports.Channel,
        minimum: positions.Position | None,
    ) -> messages.Outcome:
        """Run on a lent connection and give it back or close it."""
        command = replay.make_run(
            piece.session, piece.arrival.statement, minimum
        )
        seconds = piece.left
        if not piece.writes:
            seconds = min(
                seconds, member.bound_silence(piece.route.target_latency)
            )
        member.note_asked()
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
        self.note(piece, member, outcome, minimum, started)
        return outcome

    def note(
        self,
        piece: Piece,
        member: members.Member,
        outcome: messages.Outcome,
        minimum: positions.Position | None,
        started: float,
    ) -> None:
        """Note what an outcome shows of an endpoint.

        :param minimum: position that the endpoint's log had to hold
        :param started: steady seconds at which the statement was sent
        """
        match outcome.kind:
            case Kind.DONE:
                member.note_answer(time.monotonic() - started)
            case Kind.BEHIND:
                member.note_answer()
                member.note_behind(minimum or positions.START)
            case Kind.LOST:
                member.note_given_up(time.monotonic() - started)
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
