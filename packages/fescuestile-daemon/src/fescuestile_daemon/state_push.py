"""Pushes of group state from owners to the daemons that subscribed."""

import asyncio
import dataclasses

from fescuestile import clock
from fescuestile import endpoint_messages
from fescuestile import link_messages
from fescuestile import members
from fescuestile_daemon import groups_actor
from fescuestile_daemon import links
from fescuestile_daemon import published
from fescuestile_daemon import snapshot_store

INTEREST_LIFETIME_SECONDS = 6.0
RENEWAL_INTERVAL_SECONDS = 2.0
PUSH_INTERVAL_SECONDS = 0.05
# An unchanged group is pushed after this time.
IDLE_PUSH_INTERVAL_SECONDS = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class _Subscriber:
    """A daemon that subscribed to a group's state.

    :ivar echo: time on its own clock when it sent the latest request
    :ivar received_at: when that request arrived, in monotonic seconds here
    """

    echo: float
    received_at: float


@dataclasses.dataclass
class _PushedGroup:
    """State of one group that an owner pushes, and its subscribers by id."""

    reports: dict[str, groups_actor.Observation] = dataclasses.field(
        default_factory=dict
    )
    subscribers: dict[str, _Subscriber] = dataclasses.field(
        default_factory=dict
    )
    dirty: bool = False
    pushed_at: float = float("-inf")


class StatePush:
    """Owner's side: sends the state of its groups to their subscribers.

    Changes are sent in one message, at most once in a push interval.
    """

    def __init__(
        self,
        own_id: str,
        link_pool: links.Links,
        membership: published.Published[members.MembershipSnapshot],
        group_snapshots: snapshot_store.SnapshotStore,
        time_source: clock.Clock,
    ) -> None:
        """Subscribe to requests over links; ``start`` begins to push."""
        self._own_id = own_id
        self._links = link_pool
        self._membership = membership
        self._group_snapshots = group_snapshots
        self._clock = time_source
        self._groups: dict[str, _PushedGroup] = {}
        self._task: asyncio.Task[None] | None = None
        link_pool.add_handler(link_messages.Interest, self._receive_interest)

    def start(self) -> None:
        """Start pushing."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop pushing."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def list_databases(self) -> tuple[str, ...]:
        """Return the databases of the groups with reports to push."""
        return tuple(self._groups)

    def record_report(
        self, database: str, report: endpoint_messages.Report, at: float
    ) -> None:
        """Record a report for the next push.

        :param at: when the report was made, in monotonic seconds
        """
        group = self._groups.setdefault(database, _PushedGroup())
        group.reports[report.endpoint] = groups_actor.Observation(
            database, report, at
        )
        group.dirty = True

    def remove_group(self, database: str) -> None:
        """Stop pushing a group that is no longer watched."""
        self._groups.pop(database, None)

    async def _receive_interest(
        self, peer: str, message: link_messages.Interest
    ) -> None:
        group = self._groups.get(message.database)
        if group is not None:
            group.subscribers[peer] = _Subscriber(
                message.sent_at, self._clock.now()
            )
            group.dirty = True

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(PUSH_INTERVAL_SECONDS)
            now = self._clock.now()
            for database, group in tuple(self._groups.items()):
                idle = now - group.pushed_at >= IDLE_PUSH_INTERVAL_SECONDS
                if group.subscribers and (group.dirty or idle):
                    await self._push(database, group, now)

    async def _push(
        self, database: str, group: _PushedGroup, now: float
    ) -> None:
        group.dirty = False
        group.pushed_at = now
        message = self._describe(database, group, now)
        known = self._membership.get().by_id
        for peer, subscriber in tuple(group.subscribers.items()):
            member = known.get(peer)
            held = now - subscriber.received_at
            if held > INTEREST_LIFETIME_SECONDS or member is None:
                del group.subscribers[peer]
            elif self._links.is_connected(peer):
                stamped = dataclasses.replace(
                    message, echo=subscriber.echo, held=held
                )
                await self._links.send(member, stamped)

    def _describe(
        self, database: str, group: _PushedGroup, now: float
    ) -> link_messages.GroupState:
        reports = tuple(
            link_messages.AgedReport(item.report, now - item.at)
            for item in group.reports.values()
        )
        snapshot = self._group_snapshots.get(database)
        views = snapshot.endpoints.values() if snapshot else ()
        owned = tuple(
            link_messages.OwnedEndpoint(view.endpoint.name, view.expected_wait)
            for view in views
            if view.owner == self._own_id
        )
        return link_messages.GroupState(database, self._own_id, reports, owned)


class InterestManager:
    """Entry's side: renews the subscriptions to the groups in use."""

    def __init__(
        self,
        own_id: str,
        link_pool: links.Links,
        membership: published.Published[members.MembershipSnapshot],
        group_snapshots: snapshot_store.SnapshotStore,
        time_source: clock.Clock,
    ) -> None:
        """Initialize without subscriptions; ``start`` begins to renew them."""
        self._own_id = own_id
        self._links = link_pool
        self._membership = membership
        self._group_snapshots = group_snapshots
        self._clock = time_source
        self._used_at: dict[str, float] = {}
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start renewing the subscriptions."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop renewing; the owners then let the subscriptions expire."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def record_use(self, database: str) -> None:
        """Record the use of a group; subscribe at its owners on the first."""
        first = database not in self._used_at
        self._used_at[database] = self._clock.now()
        if first:
            await self._renew(database)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(RENEWAL_INTERVAL_SECONDS)
            now = self._clock.now()
            for database, at in tuple(self._used_at.items()):
                if now - at > INTEREST_LIFETIME_SECONDS:
                    del self._used_at[database]
                else:
                    await self._renew(database)

    async def _renew(self, database: str) -> None:
        snapshot = self._group_snapshots.get(database)
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
