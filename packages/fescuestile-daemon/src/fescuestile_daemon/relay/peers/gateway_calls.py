"""Calls of gateways: which one, with what request, and when a second one."""

import asyncio
import dataclasses
import time

from fescuestile import routes
from fescuestile_daemon.relay.core import events
from fescuestile_daemon.relay.core import messages
from fescuestile_daemon.relay.groups import groups
from fescuestile_daemon.relay.peers import gateway_table
from fescuestile_daemon.relay.peers import links
from fescuestile_daemon.relay.peers import statement_messages
from fescuestile_daemon.relay.statements import operations
from fescuestile_daemon.relay.statements import replay
from fescuestile_daemon.relay.statements import sessions

Answer = statement_messages.Answer
Kind = messages.Kind
LinkFailure = links.LinkFailure
Step = statement_messages.Step

# A gateway is to answer this long before the sender gives up: the way there
# and back, between zones.
TRANSIT_SECONDS = 0.01
# A read that a gateway is slow to answer is also sent to the next one after
# this part of its target latency.
HEDGE_SHARE = 0.5
# Second attempts of slow reads are limited to this part of the forwarded
# reads, and some at once, so that an overloaded group does not get twice the
# work. Links that are dead are not counted.
HEDGE_RATIO = 0.1
HEDGE_BURST = 20.0
# Longest wait for the answer to a roll-back.
ABANDON_SECONDS = 0.25


@dataclasses.dataclass(slots=True)
class Work:
    """A statement that is to be run here or at a gateway.

    :ivar writes: whether it may change data
    :ivar version: configuration in which its key was looked up
    :ivar needs_primary: whether only the primary can do it
    :ivar step: its place in ``transaction``
    :ivar tried: gateways that did not run it, or did not answer
    :ivar attempts: calls of gateways so far
    :ivar unreachable: gateways that reached too few endpoints
    :ivar has_waited: whether it has waited for a newer configuration
    """

    session: sessions.Session
    route: routes.Route
    group: groups.Group
    arrival: operations.Arrival
    writes: bool
    needs_primary: bool
    version: int
    step: Step = Step.SINGLE
    transaction: operations.Transaction | None = None
    number: str = ""
    tried: set[str] = dataclasses.field(default_factory=set)
    attempts: int = 0
    unreachable: int = 0
    has_waited: bool = False

    @property
    def age(self) -> float:
        """Seconds since it arrived."""
        return time.monotonic() - self.arrival.monotonic_at

    @property
    def remaining(self) -> float:
        """Seconds until its route's timeout ends."""
        return self.route.timeout - self.age


class GatewayCalls:
    """Sends work to gateways."""

    def __init__(
        self,
        local: sessions.Executor,
        table: gateway_table.GatewayTable,
        recorder: events.Recorder,
        name: str,
    ) -> None:
        """Reach no gateway until links are set.

        :param local: runs slow reads here if no other gateway is left
        :param table: lists the gateways
        :param name: name of this daemon
        """
        self._local = local
        self._table = table
        self._recorder = recorder
        self._name = name
        self._links: links.PeerLinks | None = None
        self._hedges = HEDGE_BURST

    def set_links(self, peer_links: links.PeerLinks) -> None:
        """Reach the gateways by some links."""
        self._links = peer_links

    def choose(self, work: Work) -> str | None:
        """Return the next gateway to try, None to run the work here."""
        if self._links is None:
            return None
        for name in self._table.list_candidates(
            work.group, work.needs_primary
        ):
            if name == self._name:
                return None
            if name not in work.tried:
                return name
        return None

    def note_retry(self, work: Work, peer: str) -> None:
        """Leave a gateway out of the further attempts of some work."""
        work.tried.add(peer)
        self._recorder.count("statements_retried_elsewhere", peer)

    async def call(self, work: Work, peer: str) -> Answer | LinkFailure:
        """Send work to a gateway and return its answer."""
        if self._links is None:
            return LinkFailure(False, "no links")
        work.attempts += 1
        self._recorder.count("statements_forwarded", work.group.name)
        request = self._make_request(work)
        result = await self._links.call(
            peer,
            statement_messages.encode_request(request),
            max(work.remaining, 0.0),
        )
        if isinstance(result, LinkFailure):
            return result
        answer = statement_messages.decode_answer(result)
        if answer is None:
            return LinkFailure(True, "malformed answer")
        return answer

    def _make_request(self, work: Work) -> statement_messages.RunRequest:
        session = work.session
        transaction = work.transaction
        return statement_messages.RunRequest(
            step=work.step,
            number=work.number,
            read_only=transaction is not None and transaction.read_only,
            version=work.version,
            route=work.route,
            tenant=session.tenant,
            values=session.values,
            prepared=replay.find_shape(session, work.arrival.statement),
            last_write=session.last_write,
            statement=work.arrival.statement,
            age=work.age,
            left=max(work.remaining - TRANSIT_SECONDS, 0.0),
        )

    async def call_hedged(self, work: Work, peer: str) -> Answer | LinkFailure:
        """Send a read to a gateway, and to the next one if that is slow."""
        self._hedges = min(self._hedges + HEDGE_RATIO, HEDGE_BURST)
        first = asyncio.create_task(self.call(work, peer))
        tasks = {first}
        try:
            delay = work.route.target_latency * HEDGE_SHARE
            await asyncio.wait(tasks, timeout=delay)
            if first.done() or self._hedges < 1.0:
                return await first
            self._hedges -= 1.0
            self.note_retry(work, peer)
            tasks.add(asyncio.create_task(self._run_next(work)))
            pending = set(tasks)
            found: Answer | LinkFailure = LinkFailure(True, "no answer")
            while pending:
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    result = task.result()
                    if _has_succeeded(result):
                        return result
                    if not _has_outcome(found):
                        found = result
            return found
        finally:
            for task in tasks:
                task.cancel()

    async def _run_next(self, work: Work) -> Answer | LinkFailure:
        """Run a read at the next gateway, or here if there is none."""
        peer = self.choose(work)
        if peer is not None:
            return await self.call(work, peer)
        outcome = await self._local.run_single(
            work.session, work.route, work.arrival
        )
        return Answer(outcome, work.session.last_write)

    async def abandon(self, place: operations.ForwardedTo) -> None:
        """Let a gateway roll a transaction back.

        Without an answer the lost link or the idle limit ends it there.
        """
        if self._links is None:
            return
        request = statement_messages.AbandonRequest(place.number)
        await self._links.call(
            place.peer,
            statement_messages.encode_request(request),
            ABANDON_SECONDS,
        )


def _has_outcome(answer: Answer | LinkFailure) -> bool:
    return isinstance(answer, Answer) and answer.outcome is not None


def _has_succeeded(answer: Answer | LinkFailure) -> bool:
    return (
        isinstance(answer, Answer)
        and answer.outcome is not None
        and answer.outcome.kind is Kind.DONE
    )
