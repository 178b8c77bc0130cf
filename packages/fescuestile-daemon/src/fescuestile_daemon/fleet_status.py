"""Status of all daemons and endpoints, and drains of other daemons."""

import asyncio
import collections.abc

import expression

from fescuestile import clock
from fescuestile import errors
from fescuestile import members
from fescuestile import snapshots
from fescuestile_api import fescuestile_pb2 as pb
from fescuestile_daemon import control_messages
from fescuestile_daemon import links
from fescuestile_daemon import published
from fescuestile_daemon import snapshot_store

QUERY_TIMEOUT_SECONDS = 1.0
MAX_CONCURRENT_QUERIES = 32
MILLISECONDS_PER_SECOND = 1000
MAX_LAG_MILLISECONDS = 2**32 - 1

Drain = collections.abc.Callable[[str], None]


class FleetStatus:
    """Queries other daemons over links and answers their queries."""

    def __init__(
        self,
        membership: published.Published[members.MembershipSnapshot],
        group_snapshots: snapshot_store.SnapshotStore,
        link_pool: links.Links,
        time_source: clock.Clock,
        on_drain: Drain,
    ) -> None:
        """Subscribe to the messages of other daemons.

        :param on_drain: starts this daemon's drain for an operator
        """
        self._membership = membership
        self._group_snapshots = group_snapshots
        self._links = link_pool
        self._clock = time_source
        self._on_drain = on_drain
        link_pool.add_handler(control_messages.StatusQuery, self._reply_status)
        link_pool.add_handler(control_messages.StatusReply, self._resolve)
        link_pool.add_handler(control_messages.DrainOrder, self._receive_drain)
        link_pool.add_handler(control_messages.DrainReply, self._resolve)

    async def list_daemons(self, database: str) -> list[pb.DaemonStatus]:
        """Return the state and the plan revisions of each daemon.

        A daemon that does not answer is listed without revisions.

        :param database: database to return the revision of, empty for all
        """
        limit = asyncio.Semaphore(MAX_CONCURRENT_QUERIES)

        async def query(member: members.Member) -> pb.DaemonStatus:
            async with limit:
                return await self._query_status(member, database)

        known = sorted(
            self._membership.get().members,
            key=lambda member: (member.zone, member.id),
        )
        return list(await asyncio.gather(*(query(one) for one in known)))

    def list_endpoints(self, database: str) -> list[pb.EndpointStatus]:
        """Return the state of the endpoints as this daemon observes it.

        :param database: database of the endpoints, empty for all
        """
        now = self._clock.now()
        return [
            _describe(group.plan.database, view, now)
            for group in self._list_groups(database)
            for view in group.endpoints.values()
        ]

    async def drain(
        self, daemon: str, operator: str
    ) -> expression.Result[str, errors.FescuestileError]:
        """Start the drain of a daemon.

        :param daemon: id or name; empty for this one
        :returns: the daemon's state; InvalidInput for an unknown daemon
        """
        own = self._membership.get().own
        if not daemon or _is_named(own, daemon):
            self._on_drain(operator)
            return expression.Ok(members.MemberState.LEAVING.value)
        for member in self._membership.get().members:
            if _is_named(member, daemon):
                reply = await self._links.request(
                    member,
                    lambda number: control_messages.DrainOrder(
                        number, operator
                    ),
                    QUERY_TIMEOUT_SECONDS,
                )
                return reply.map(lambda message: message.state)
        return expression.Error(
            errors.InvalidInput(
                f"unknown daemon {daemon!r}", "drain", field="daemon"
            )
        )

    async def _query_status(
        self, member: members.Member, database: str
    ) -> pb.DaemonStatus:
        status = pb.DaemonStatus(
            daemon=member.id, zone=member.zone, state=member.state.value
        )
        if member.id == self._membership.get().own.id:
            in_force = self._list_in_force(database)
        else:
            reply = await self._links.request(
                member,
                lambda number: control_messages.StatusQuery(number, database),
                QUERY_TIMEOUT_SECONDS,
            )
            in_force = reply.ok.revisions if reply.is_ok() else ()
        for item in in_force:
            status.revisions[item.database] = item.revision
        return status

    def _list_in_force(
        self, database: str
    ) -> tuple[control_messages.RevisionInForce, ...]:
        """Return the revisions by which this daemon serves callers."""
        return tuple(
            control_messages.RevisionInForce(
                group.plan.database, group.revision.revision
            )
            for group in self._list_groups(database)
        )

    def _list_groups(self, database: str) -> list[snapshots.GroupSnapshot]:
        """Return the snapshot of a database, of all if its name is empty."""
        names = (
            [database] if database else self._group_snapshots.list_databases()
        )
        found = (self._group_snapshots.get(name) for name in sorted(names))
        return [group for group in found if group is not None]

    async def _reply_status(
        self, peer: str, message: control_messages.StatusQuery
    ) -> None:
        own = self._membership.get().own
        await self._links.reply(
            peer,
            control_messages.StatusReply(
                message.id,
                own.state.value,
                self._list_in_force(message.database),
            ),
        )

    async def _receive_drain(
        self, peer: str, message: control_messages.DrainOrder
    ) -> None:
        self._on_drain(message.operator)
        await self._links.reply(
            peer,
            control_messages.DrainReply(
                message.id, members.MemberState.LEAVING.value
            ),
        )

    async def _resolve(
        self,
        peer: str,
        message: control_messages.StatusReply | control_messages.DrainReply,
    ) -> None:
        self._links.resolve(message.id, message)


def _is_named(member: members.Member, name: str) -> bool:
    """Return whether a name is a daemon's id, or its host's name."""
    return name in (member.id, member.id.rpartition("-")[0])


def _describe(
    database: str, view: snapshots.EndpointView, now: float
) -> pb.EndpointStatus:
    lag = max(0.0, now - view.current_at) * MILLISECONDS_PER_SECOND
    return pb.EndpointStatus(
        endpoint=view.endpoint.name,
        database=database,
        role=view.role.value,
        position=pb.Position(
            term=view.history.last.term, index=view.history.last.index
        ),
        owner=view.owner,
        lag_ms=round(min(lag, MAX_LAG_MILLISECONDS)),
        connections=view.endpoint.connections,
    )
