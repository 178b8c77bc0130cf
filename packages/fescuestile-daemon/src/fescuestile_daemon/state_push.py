"""Pushes of group state from owners to interested daemons."""

import asyncio
import dataclasses

from fescuestile import clock
from fescuestile import endpoint_messages
from fescuestile import link_messages
from fescuestile import members
from fescuestile_daemon import group_board
from fescuestile_daemon import groups_actor
from fescuestile_daemon import links
from fescuestile_daemon import published

INTEREST_SECONDS = 6.0
RENEW_SECONDS = 2.0
PUSH_INTERVAL_SECONDS = 0.05
PUSH_IDLE_SECONDS = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class _Interested:
    """A daemon that asked for pushes.

    :ivar echo: its own clock when it asked
    :ivar asked_at: monotonic seconds here at which that arrived
    """

    echo: float
    asked_at: float


@dataclasses.dataclass
class _Pushed:
    """What an owner pushes of one group, and to whom until when."""

    reports: dict[str, groups_actor.Observation] = dataclasses.field(
        default_factory=dict
    )
    interested: dict[str, _Interested] = dataclasses.field(
        default_factory=dict
    )
    dirty: bool = False
    pushed_at: float = float("-inf")


class StatePush:
    """Owner's side: sends what it sees of its groups to daemons that asked.

    Changes are sent together, at most once in a push interval.
    """

    def __init__(
        self,
        own_id: str,
        link_pool: links.Links,
        membership: published.Published[members.MembershipSnapshot],
        board: group_board.GroupBoard,
        time_source: clock.Clock,
    ) -> None:
        """Prepare to push over links."""
        self._own_id = own_id
        self._links = link_pool
        self._membership = membership
        self._board = board
        self._clock = time_source
        self._groups: dict[str, _Pushed] = {}
        self._task: asyncio.Task[None] | None = None
        link_pool.add_handler(link_messages.Interest, self._note_interest)

    def start(self) -> None:
        """Start to push."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop to push."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def list_databases(self) -> tuple[str, ...]:
        """Return the groups that there is something to push of."""
        return tuple(self._groups)

    def observe(
        self, database: str, report: endpoint_messages.Report, at: float
    ) -> None:
        """Take a report to push."""
        group = self._groups.setdefault(database, _Pushed())
        group.reports[report.endpoint] = groups_actor.Observation(
            database, report, at
        )
        group.dirty = True

    def forget(self, database: str) -> None:
        """Stop to push a group that is no longer watched."""
        self._groups.pop(database, None)

    async def _note_interest(
        self, peer: str, message: link_messages.Interest
    ) -> None:
        group = self._groups.get(message.database)
        if group is not None:
            group.interested[peer] = _Interested(
                message.sent_at, self._clock.now()
            )
            group.dirty = True

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(PUSH_INTERVAL_SECONDS)
            now = self._clock.now()
            for database, group in tuple(self._groups.items()):
                idle = now - group.pushed_at >= PUSH_IDLE_SECONDS
                if group.interested and (group.dirty or idle):
                    await self._push(database, group, now)

    async def _push(self, database: str, group: _Pushed, now: float) -> None:
        group.dirty = False
        group.pushed_at = now
        message = self._describe(database, group, now)
        known = self._membership.get().by_id
        for peer, interested in tuple(group.interested.items()):
            member = known.get(peer)
            held = now - interested.asked_at
            if held > INTEREST_SECONDS or member is None:
                del group.interested[peer]
            elif self._links.is_connected(peer):
                dated = dataclasses.replace(
                    message, echo=interested.echo, held=held
                )
                await self._links.send(member, dated)

    def _describe(
        self, database: str, group: _Pushed, now: float
    ) -> link_messages.GroupState:
        reports = tuple(
            link_messages.AgedReport(item.report, now - item.at)
            for item in group.reports.values()
        )
        snapshot = self._board.get(database)
        views = snapshot.endpoints.values() if snapshot else ()
        owned = tuple(
            link_messages.OwnedEndpoint(view.endpoint.name, view.expected_wait)
            for view in views
            if view.owner == self._own_id
        )
        return link_messages.GroupState(database, self._own_id, reports, owned)


class InterestKeeper:
    """Entry's side: keeps the owners of used groups pushing to it."""

    def __init__(
        self,
        own_id: str,
        link_pool: links.Links,
        membership: published.Published[members.MembershipSnapshot],
        board: group_board.GroupBoard,
        time_source: clock.Clock,
    ) -> None:
        """Prepare to renew interests over links."""
        self._own_id = own_id
        self._links = link_pool
        self._membership = membership
        self._board = board
        self._clock = time_source
        self._used: dict[str, float] = {}
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to renew."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop to renew; pushes end by themselves."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def use(self, database: str) -> None:
        """Note that a group is used; asks its owners at the first use."""
        first = database not in self._used
        self._used[database] = self._clock.now()
        if first:
            await self._renew(database)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(RENEW_SECONDS)
            now = self._clock.now()
            for database, at in tuple(self._used.items()):
                if now - at > INTEREST_SECONDS:
                    del self._used[database]
                else:
                    await self._renew(database)

    async def _renew(self, database: str) -> None:
        snapshot = self._board.get(database)
        if snapshot is None:
            return
        owners = {view.owner for view in snapshot.endpoints.values()}
        message = link_messages.Interest(database, self._clock.now())
        known = self._membership.get().by_id
        await asyncio.gather(
            *(
                self._links.send(known[owner], message)
                for owner in owners
                if owner in known and owner != self._own_id
            )
        )
