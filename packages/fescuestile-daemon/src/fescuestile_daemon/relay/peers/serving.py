"""Runs the statements that other daemons forward to this one."""

import asyncio
import dataclasses
import time
import typing

import structlog

from fescuestile import clock
from fescuestile_daemon.relay.core import events
from fescuestile_daemon.relay.core import messages
from fescuestile_daemon.relay.core import ports
from fescuestile_daemon.relay.groups import directory
from fescuestile_daemon.relay.groups import reachability
from fescuestile_daemon.relay.peers import links
from fescuestile_daemon.relay.peers import statement_messages
from fescuestile_daemon.relay.peers import versions
from fescuestile_daemon.relay.statements import operations
from fescuestile_daemon.relay.statements import sessions

log = structlog.get_logger()

Answer = statement_messages.Answer
Kind = messages.Kind
Refusal = statement_messages.Refusal
Step = statement_messages.Step
Verb = messages.Verb

# Longest wait for a newer configuration that a sender has: reading it from
# the sender takes some milliseconds.
VERSION_SECONDS = 0.2
# The sender ends idle transactions; one that it has lost is ended later.
IDLE_MARGIN_SECONDS = 1.0


class _NoCaller(ports.Caller):
    """Stands for a caller whose connection another daemon has."""

    def answer(self, outcome: messages.Outcome) -> None:
        """Do nothing: the answer is returned to the other daemon."""

    def close(self) -> None:
        """Do nothing."""


@dataclasses.dataclass(slots=True)
class _Served:
    """A transaction that is open here for another daemon.

    :ivar running: whether a statement of it is in progress
    :ivar is_lost: whether it is to be rolled back after that statement
    :ivar timer: rolls it back if it stays idle
    """

    session: sessions.Session
    transaction: operations.Transaction
    running: bool = False
    is_lost: bool = False
    timer: asyncio.TimerHandle | None = None


@dataclasses.dataclass(eq=False, slots=True)
class _Waiting:
    """New work that waits for a configuration.

    :ivar is_lost: whether its peer's link was lost meanwhile
    """

    peer: str
    is_lost: bool = False


class StatementServer(links.RequestHandler):
    """Runs forwarded statements with the local executor.

    It never forwards again, so two daemons that take each other for the
    gateway do not send work in a circle.
    """

    def __init__(
        self,
        local: sessions.Executor,
        routes: directory.Directory,
        known_versions: versions.ConfigurationVersions,
        boot_clock: clock.Clock,
        recorder: events.Recorder,
    ) -> None:
        """Initialize without transactions.

        :param local: runs the statements
        :param routes: holds the groups
        """
        self._local = local
        self._directory = routes
        self._versions = known_versions
        self._clock = boot_clock
        self._recorder = recorder
        self._transactions: dict[tuple[str, str], _Served] = {}
        self._waiting: set[_Waiting] = set()
        self._running = 0
        self._is_stopping = False

    @property
    def is_busy(self) -> bool:
        """Whether a statement is in progress or a transaction is open."""
        return bool(self._running or self._transactions)

    def refuse_new(self) -> None:
        """Refuse new work, because this daemon is about to exit."""
        self._is_stopping = True

    def close_transactions(self) -> None:
        """Refuse new work and roll open transactions back.

        A statement in progress runs to its end first.
        """
        self.refuse_new()
        for key in list(self._transactions):
            self._give_up(key)

    def disconnect(self, peer: str) -> None:
        """Roll back the transactions of a peer whose link was lost.

        A statement in progress runs to its end first, a COMMIT with effect.
        """
        for waiting in self._waiting:
            waiting.is_lost |= waiting.peer == peer
        for key in list(self._transactions):
            if key[0] == peer:
                self._give_up(key)

    def _give_up(self, key: tuple[str, str]) -> None:
        served = self._transactions.get(key)
        if served is None:
            return
        served.is_lost = True
        if not served.running:
            self._remove(key)
            self._local.abandon(served.transaction)

    def _remove(self, key: tuple[str, str]) -> None:
        served = self._transactions.pop(key, None)
        if served is not None:
            self._resume(served)

    async def handle(
        self, peer: str, request: dict[str, typing.Any]
    ) -> dict[str, typing.Any]:
        """Serve a peer's request."""
        found = statement_messages.decode_request(request)
        self._running += 1
        try:
            if found is None:
                answer = Answer(refusal=Refusal.MALFORMED)
            elif isinstance(found, statement_messages.AbandonRequest):
                self._give_up((peer, found.number))
                answer = Answer(outcome=messages.Outcome(Kind.DONE))
            else:
                answer = await self._serve(peer, found)
        finally:
            self._running -= 1
        answer.version = self._versions.current
        if answer.refusal is not Refusal.NONE:
            self._recorder.count(
                "statements_refused_for_peers", answer.refusal.value
            )
        return statement_messages.encode_answer(answer)

    async def _serve(
        self, peer: str, request: statement_messages.RunRequest
    ) -> Answer:
        received_at = self._clock.now(), time.monotonic()
        if request.step is Step.LATER:
            served = self._transactions.get((peer, request.number))
            if served is None or served.is_lost:
                return Answer(is_unknown=True)
            _update_session(served.session, request)
            return await self._run_in(
                served,
                (peer, request.number),
                _make_arrival(request, *received_at),
            )
        refusal = await self._find_refusal(peer, request)
        if refusal is not Refusal.NONE:
            return Answer(refusal=refusal)
        # It is not counted from the arrival at the other daemon, whose clock
        # may differ: checks as of a later time are stricter.
        arrival = _make_arrival(request, *received_at)
        session = self._make_session(request)
        if request.step is Step.SINGLE:
            self._recorder.count("statements_for_peers", request.route.group)
            outcome = await self._local.run_single(
                session, request.route, arrival
            )
            return self._make_answer(session, request, outcome)
        served = _Served(
            session,
            operations.Transaction(
                route=request.route,
                group=self._local.find_group(request.route),
                read_only=request.read_only,
                begun_at=received_at[0],
                is_admitted=True,
            ),
        )
        self._transactions[peer, request.number] = served
        answer = await self._run_in(served, (peer, request.number), arrival)
        if answer.outcome is None:
            return answer
        return self._make_answer(session, request, answer.outcome)

    async def _find_refusal(
        self, peer: str, request: statement_messages.RunRequest
    ) -> Refusal:
        """Return why new work is not run."""
        if self._is_stopping:
            return Refusal.STOPPING
        if not self._directory.is_complete:
            return Refusal.STARTING
        waiting = _Waiting(peer)
        self._waiting.add(waiting)
        try:
            is_current = await self._versions.wait(
                request.version, peer, VERSION_SECONDS
            )
        finally:
            self._waiting.discard(waiting)
        if not is_current:
            return Refusal.OLDER
        if waiting.is_lost:
            return Refusal.LINK_LOST
        if request.version < self._versions.current and not (
            self._versions.is_unchanged(
                request.version, request.route, request.tenant
            )
        ):
            return Refusal.NEWER
        group = self._directory.groups.get(request.route.group)
        if group is None or not group.endpoints:
            return Refusal.UNKNOWN_GROUP
        return Refusal.NONE

    def _make_session(
        self, request: statement_messages.RunRequest
    ) -> sessions.Session:
        session = sessions.Session(
            request.route.database, _NoCaller(), self._local, self._clock
        )
        session.tenant = request.tenant
        _update_session(session, request)
        return session

    async def _run_in(
        self,
        served: _Served,
        key: tuple[str, str],
        arrival: operations.Arrival,
    ) -> Answer:
        """Run a statement or the commit of an open transaction."""
        if served.running:
            # The sender has given the statement in progress up.
            served.is_lost = True
            return Answer(is_unknown=True)
        self._recorder.count(
            "statements_for_peers", served.transaction.route.group
        )
        self._resume(served)
        served.running = True
        is_open = False
        try:
            outcome = await self._local.run_in_transaction(
                served.session, served.transaction, arrival
            )
            is_open = (
                outcome.kind is Kind.DONE
                and arrival.statement.verb is not Verb.COMMIT
            )
        finally:
            served.running = False
            if not is_open or served.is_lost:
                self._remove(key)
                self._local.abandon(served.transaction)
        if is_open and not served.is_lost:
            self._rest(served, key)
        return Answer(outcome=outcome, last_write=served.session.last_write)

    def _rest(self, served: _Served, key: tuple[str, str]) -> None:
        """Let a transaction wait for the next statement of its caller."""
        served.timer = asyncio.get_running_loop().call_later(
            self._local.idle_transaction + IDLE_MARGIN_SECONDS,
            self._give_up,
            key,
        )
        transaction = served.transaction
        if transaction.endpoint is not None and (
            transaction.connection is not None
        ):
            transaction.endpoint.pool.rest(
                transaction.connection, lambda: self._give_up(key)
            )

    def _resume(self, served: _Served) -> None:
        if served.timer is not None:
            served.timer.cancel()
            served.timer = None
        transaction = served.transaction
        if transaction.endpoint is not None and (
            transaction.connection is not None
        ):
            transaction.endpoint.pool.resume(transaction.connection)

    def _make_answer(
        self,
        session: sessions.Session,
        request: statement_messages.RunRequest,
        outcome: messages.Outcome,
    ) -> Answer:
        """Return the answer to new work.

        Work that did not run because this daemon reaches too few endpoints
        is refused, so that the sender tries another daemon.
        """
        group = self._directory.groups.get(request.route.group)
        if (
            outcome.kind is Kind.BUSY
            and group is not None
            and reachability.is_unreachable(group)
        ):
            return Answer(refusal=Refusal.UNREACHABLE)
        return Answer(outcome=outcome, last_write=session.last_write)


def _update_session(
    session: sessions.Session, request: statement_messages.RunRequest
) -> None:
    """Give a session the state that the sender has."""
    session.values = dict(request.values)
    session.last_write = max(session.last_write, request.last_write)
    if request.prepared is not None:
        session.prepared[request.statement.name] = request.prepared


def _make_arrival(
    request: statement_messages.RunRequest, boot_at: float, monotonic_at: float
) -> operations.Arrival:
    """Return the arrival of a statement by the clock of this daemon.

    The route's timeout counts from its monotonic time, so that it ends
    before the sender gives up.
    """
    elapsed = max(request.age, request.route.timeout - request.left, 0.0)
    return operations.Arrival(
        request.statement, boot_at, monotonic_at - elapsed
    )
