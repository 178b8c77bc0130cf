"""One caller's session: its values, prepared names and transaction."""

import asyncio
import collections
import dataclasses
import time

from fescuestile import clock
from fescuestile import positions
from fescuestile import read_confirmation
from fescuestile import routes
from fescuestile_daemon.relay import groups
from fescuestile_daemon.relay import members
from fescuestile_daemon.relay import messages
from fescuestile_daemon.relay import ports

Kind = messages.Kind
State = messages.State
Verb = messages.Verb
ENDINGS = (Verb.COMMIT, Verb.ROLLBACK)


@dataclasses.dataclass(slots=True)
class Transaction:
    """An open transaction.

    :ivar route: route at its start, kept to its end
    :ivar begun_at: boot-time seconds at which its BEGIN arrived
    :ivar channel: connection that it holds, None before the first statement
    :ivar ticket: proof that its reads wait for, None when none is needed
    :ivar answered: a statement of it has succeeded
    :ivar wrote: a write of it was sent
    :ivar failed: only its end is accepted
    """

    route: routes.Route
    group: groups.Group
    read_only: bool
    begun_at: float
    channel: ports.Channel | None = None
    member: members.Member | None = None
    ticket: read_confirmation.Ticket | None = None
    answered: bool = False
    wrote: bool = False
    failed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A statement and when it arrived.

    :ivar boot_at: boot-time seconds
    :ivar steady_at: steady seconds
    """

    statement: messages.Statement
    boot_at: float
    steady_at: float


class Executor:
    """Runs what needs an endpoint; see ``relay.execution``."""

    def find_route(self, database: str) -> routes.Route | None:
        """Return the route in force for a database."""
        raise NotImplementedError

    def find_group(self, route: routes.Route) -> groups.Group:
        """Return the group of a route."""
        raise NotImplementedError

    @property
    def idle_transaction(self) -> float:
        """Seconds after which an idle transaction is rolled back."""
        raise NotImplementedError

    async def run_alone(
        self, session: "Session", route: routes.Route, arrival: Arrival
    ) -> messages.Outcome:
        """Run a statement outside a transaction."""
        raise NotImplementedError

    async def run_inside(
        self, session: "Session", work: Transaction, arrival: Arrival
    ) -> messages.Outcome:
        """Run a statement or the commit of a transaction."""
        raise NotImplementedError

    def abandon(self, work: Transaction) -> None:
        """Roll a transaction back."""
        raise NotImplementedError


class Session:
    """Answers one caller's statements in order.

    :ivar values: session values acknowledged to the caller
    :ivar prepared: prepared names acknowledged to the caller
    :ivar written: position of its last write
    """

    def __init__(
        self,
        database: str,
        caller: ports.Caller,
        executor: Executor,
        boot_clock: clock.Clock,
    ) -> None:
        """Start idle."""
        self.database = database
        self.values: dict[str, str] = {}
        self.prepared: dict[str, messages.Shape] = {}
        self.written = positions.START
        self._caller = caller
        self._executor = executor
        self._clock = boot_clock
        self._work: Transaction | None = None
        self._queue: collections.deque[Arrival] = collections.deque()
        self._task: asyncio.Task[None] | None = None
        self._gone = False
        self._idle_timer: asyncio.TimerHandle | None = None

    @property
    def busy(self) -> bool:
        """Whether a statement waits for its answer."""
        return self._task is not None

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open."""
        return self._work is not None

    def receive(self, statement: messages.Statement) -> None:
        """Take the next statement."""
        arrival = Arrival(statement, self._clock.now(), time.monotonic())
        if self._task is None:
            outcome = self._answer_alone(arrival)
            if outcome is not None:
                self._finish(outcome)
                return
        self._queue.append(arrival)
        if self._task is None:
            self._stop_idle_timer()
            self._task = asyncio.create_task(self._run())

    def disconnect(self) -> None:
        """Roll back what is open; what runs is left to end."""
        self._gone = True
        self._stop_idle_timer()
        if self._task is None:
            self._abandon()

    def close(self) -> None:
        """Close the caller's connection."""
        self._caller.close()
        self.disconnect()

    async def _run(self) -> None:
        try:
            while self._queue and not self._gone:
                arrival = self._queue.popleft()
                outcome = self._answer_alone(arrival)
                if outcome is None:
                    outcome = await self._execute(arrival)
                self._finish(outcome)
        finally:
            self._task = None
            if self._gone:
                self._abandon()

    def _finish(self, outcome: messages.Outcome) -> None:
        work = self._work
        if work is None:
            outcome.state = State.IDLE
        elif work.failed:
            outcome.state = State.FAILED_TRANSACTION
        else:
            outcome.state = State.IN_TRANSACTION
        if not self._gone:
            self._caller.answer(outcome)
        if work is not None and not work.failed:
            self._start_idle_timer()

    def _answer_alone(self, arrival: Arrival) -> messages.Outcome | None:
        """Answer what needs no endpoint; None for the rest."""
        statement = arrival.statement
        work = self._work
        if work is not None and work.failed:
            if statement.verb in ENDINGS:
                return self._end_failed(statement)
            return messages.Outcome(
                Kind.MALFORMED, detail="the transaction has failed"
            )
        match statement.verb:
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
                if self.prepared.pop(statement.name, None) is None:
                    return messages.Outcome(
                        Kind.UNPREPARED, detail=statement.name
                    )
            case Verb.BEGIN:
                return self._begin(arrival)
            case Verb.ROLLBACK:
                if work is None:
                    return self._refuse("no transaction is open")
                self._abandon()
            case Verb.COMMIT if work is None:
                return self._refuse("no transaction is open")
            case Verb.EXECUTE if statement.name not in self.prepared:
                return messages.Outcome(Kind.UNPREPARED, detail=statement.name)
            case Verb.UNKNOWN:
                return self._refuse("unknown statement")
            case _:
                return None
        return messages.Outcome(Kind.DONE)

    def _begin(self, arrival: Arrival) -> messages.Outcome:
        if self._work is not None:
            return self._refuse("a transaction is open")
        route = self._executor.find_route(self.database)
        if route is None:
            return self._refuse_database()
        self._work = Transaction(
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

    def _refuse_database(self) -> messages.Outcome:
        return messages.Outcome(Kind.UNKNOWN_DATABASE, detail=self.database)

    async def _execute(self, arrival: Arrival) -> messages.Outcome:
        work = self._work
        if work is not None:
            outcome = await self._executor.run_inside(self, work, arrival)
            if arrival.statement.verb is Verb.COMMIT:
                self._work = None
            elif outcome.kind is not Kind.DONE:
                work.failed = True
            return outcome
        route = self._executor.find_route(self.database)
        if route is None:
            return self._refuse_database()
        return await self._executor.run_alone(self, route, arrival)

    def _abandon(self) -> None:
        work, self._work = self._work, None
        self._stop_idle_timer()
        if work is not None:
            self._executor.abandon(work)

    def _start_idle_timer(self) -> None:
        self._stop_idle_timer()
        if self._work is not None and self._work.channel is not None:
            self._idle_timer = asyncio.get_running_loop().call_later(
                self._executor.idle_transaction, self._expire_transaction
            )

    def _stop_idle_timer(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None

    def _expire_transaction(self) -> None:
        """Give back the connection of a transaction that rests too long."""
        self._idle_timer = None
        work = self._work
        if work is not None and self._task is None:
            work.failed = True
            self._executor.abandon(work)
