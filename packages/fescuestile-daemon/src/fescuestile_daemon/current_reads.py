"""Confirms reads that may not be stale by a majority's word."""

import asyncio
import collections.abc
import dataclasses

import expression

from fescuestile import endpoint_messages
from fescuestile import errors
from fescuestile import plans
from fescuestile import read_confirmation
from fescuestile_daemon import group_watch
from fescuestile_daemon import tasks

STEP = "confirm read"
WORD_TIMEOUT_SECONDS = 0.5
LATE = "no majority confirmed the primary in time"
REPLACED = "the primary was replaced before the read"

FindWatch = collections.abc.Callable[
    [str, str], group_watch.EndpointWatch | None
]


@dataclasses.dataclass
class _Group:
    rounds: read_confirmation.LeadershipRounds
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    sent: int = 0
    asking: set[str] = dataclasses.field(default_factory=set)


class CurrentReads:
    """Rounds of questions to the endpoints of the watched groups.

    An endpoint is asked by one question at a time; its next one serves all
    reads that began before it is sent.
    """

    def __init__(self, find_watch: FindWatch) -> None:
        """Ask over the watches' control connections."""
        self._find_watch = find_watch
        self._groups: dict[str, _Group] = {}
        self._tasks = tasks.TaskSet()

    async def close(self) -> None:
        """End all questions."""
        await self._tasks.close()

    def begin(self, plan: plans.Plan) -> read_confirmation.ReadTicket:
        """Return a ticket; call before the read is sent."""
        group = self._groups.get(plan.database)
        if group is None:
            group = _Group(read_confirmation.LeadershipRounds(plan))
            self._groups[plan.database] = group
        group.rounds.set_plan(plan)
        ticket = group.rounds.begin_read()
        group.sent = group.rounds.begin_round() or group.sent
        for endpoint in plan.endpoints:
            if endpoint.name not in group.asking:
                group.asking.add(endpoint.name)
                self._tasks.spawn(self._ask(plan, group, endpoint.name))
        return ticket

    async def confirm(
        self,
        plan: plans.Plan,
        ticket: read_confirmation.ReadTicket,
        term: int,
        primary: str,
        timeout: float,
    ) -> expression.Result[None, errors.UnknownOutcome]:
        """Wait until a majority still works under the read's term.

        :param ticket: ticket from before the read
        :param term: term that the read was served under
        :param primary: endpoint that served it
        :param timeout: seconds
        """
        group = self._groups[plan.database]
        try:
            async with asyncio.timeout(timeout):
                while not group.rounds.is_confirmed(ticket, term, primary):
                    if group.rounds.is_superseded(ticket, term):
                        return _fail(primary, REPLACED)
                    await group.changed.wait()
        except TimeoutError:
            return _fail(primary, LATE)
        return expression.Ok(None)

    async def _ask(
        self, plan: plans.Plan, group: _Group, endpoint: str
    ) -> None:
        """Ask an endpoint until it knows of all reads that began."""
        asked = 0
        try:
            while asked < group.sent:
                asked = group.sent
                report = await self._inspect(plan.database, endpoint)
                if report is not None:
                    group.rounds.observe(asked, report)
                group.changed.set()
                group.changed = asyncio.Event()
        finally:
            group.asking.discard(endpoint)

    async def _inspect(
        self, database: str, endpoint: str
    ) -> endpoint_messages.Report | None:
        watch = self._find_watch(database, endpoint)
        connection = watch.connection if watch else None
        if connection is None:
            return None
        reply = await connection.inspect(WORD_TIMEOUT_SECONDS)
        return reply.ok if reply.is_ok() else None


def _fail(
    peer: str, message: str
) -> expression.Result[None, errors.UnknownOutcome]:
    return expression.Error(
        errors.UnknownOutcome(message=message, step=STEP, peer=peer)
    )
