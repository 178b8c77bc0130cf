"""Confirmation of current reads by a majority of their group.

A primary that was replaced and does not know it yet must not answer a
read that may not be stale.
"""

import asyncio
import collections.abc
import dataclasses

import expression

from fescuestile import endpoint_messages
from fescuestile import errors
from fescuestile import plans
from fescuestile import read_confirmation
from fescuestile_daemon import endpoint_watch
from fescuestile_daemon import tasks

STEP = "confirm read"
INSPECT_TIMEOUT_SECONDS = 0.5
NOT_CONFIRMED = "the primary was not confirmed by a majority in time"
PRIMARY_REPLACED = "the primary was replaced before the read was confirmed"

FindWatch = collections.abc.Callable[
    [str, str], endpoint_watch.EndpointWatch | None
]


@dataclasses.dataclass
class _GroupRounds:
    rounds: read_confirmation.LeadershipRounds
    responded: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    latest_round: int = 0
    querying: set[str] = dataclasses.field(default_factory=set)


class ReadConfirmations:
    """Leadership rounds of the watched groups.

    Each endpoint has at most one query in flight; the next one serves all
    reads that began before it is sent.
    """

    def __init__(self, find_watch: FindWatch) -> None:
        """Initialize with the watches, whose control connections are used."""
        self._find_watch = find_watch
        self._groups: dict[str, _GroupRounds] = {}
        self._tasks = tasks.TaskSet()

    async def close(self) -> None:
        """Cancel all queries."""
        await self._tasks.close()

    def begin_read(self, plan: plans.Plan) -> read_confirmation.ReadTicket:
        """Start a leadership round; call before the read is sent."""
        group = self._groups.get(plan.database)
        if group is None:
            group = _GroupRounds(read_confirmation.LeadershipRounds(plan))
            self._groups[plan.database] = group
        group.rounds.set_plan(plan)
        ticket = group.rounds.begin_read()
        group.latest_round = group.rounds.begin_round() or group.latest_round
        for endpoint in plan.endpoints:
            if endpoint.name not in group.querying:
                group.querying.add(endpoint.name)
                self._tasks.spawn(self._query(plan, group, endpoint.name))
        return ticket

    async def confirm(
        self,
        plan: plans.Plan,
        ticket: read_confirmation.ReadTicket,
        term: int,
        primary: str,
        timeout: float,
    ) -> expression.Result[None, errors.UnknownOutcome]:
        """Wait until a majority confirms that the read's term is current.

        :param ticket: ticket from ``begin_read``
        :param term: term that the read was served under
        :param primary: endpoint that served it
        :param timeout: seconds
        :returns: nothing, or UnknownOutcome if it was not confirmed
        """
        group = self._groups[plan.database]
        try:
            async with asyncio.timeout(timeout):
                while not group.rounds.is_confirmed(ticket, term, primary):
                    if group.rounds.is_superseded(ticket, term):
                        return _make_error(primary, PRIMARY_REPLACED)
                    await group.responded.wait()
        except TimeoutError:
            return _make_error(primary, NOT_CONFIRMED)
        return expression.Ok(None)

    async def _query(
        self, plan: plans.Plan, group: _GroupRounds, endpoint: str
    ) -> None:
        """Query an endpoint until all reads that began are covered."""
        queried_round = 0
        try:
            while queried_round < group.latest_round:
                queried_round = group.latest_round
                report = await self._inspect(plan.database, endpoint)
                if report is not None:
                    group.rounds.observe(queried_round, report)
                group.responded.set()
                group.responded = asyncio.Event()
        finally:
            group.querying.discard(endpoint)

    async def _inspect(
        self, database: str, endpoint: str
    ) -> endpoint_messages.Report | None:
        watch = self._find_watch(database, endpoint)
        connection = watch.connection if watch else None
        if connection is None:
            return None
        reply = await connection.inspect(INSPECT_TIMEOUT_SECONDS)
        return reply.ok if reply.is_ok() else None


def _make_error(
    peer: str, message: str
) -> expression.Result[None, errors.UnknownOutcome]:
    return expression.Error(
        errors.UnknownOutcome(message=message, step=STEP, peer=peer)
    )
