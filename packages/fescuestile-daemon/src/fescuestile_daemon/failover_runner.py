"""Carries out failovers: observes endpoints and sends them commands."""

import asyncio
import collections.abc
import dataclasses
import random

import pykka
import structlog

from fescuestile import clock
from fescuestile import endpoint_messages
from fescuestile import failover_messages
from fescuestile import failover_steps
from fescuestile import failure_detection
from fescuestile import members
from fescuestile import ports
from fescuestile_daemon import endpoint_watch
from fescuestile_daemon import failover_actor
from fescuestile_daemon import groups_actor
from fescuestile_daemon import links
from fescuestile_daemon import published
from fescuestile_daemon import snapshot_store
from fescuestile_daemon import tasks

log = structlog.get_logger(__name__)

CHECK_INTERVAL_SECONDS = 0.1
# How long a primary is unresponsive before other daemons are queried.
QUERY_AFTER_SECONDS = 0.5
MAX_REMOTE_OBSERVATION_AGE_SECONDS = 0.6

FindWatch = collections.abc.Callable[
    [str, str], endpoint_watch.EndpointWatch | None
]
OnPublished = collections.abc.Callable[[str, failover_steps.Publish], None]
OnAbandoned = collections.abc.Callable[[str, failover_steps.Abandon], None]


@dataclasses.dataclass(frozen=True)
class RunnerParts:
    """Dependencies of the failover runner.

    :ivar find_watch: returns the watch of (database, endpoint)
    :ivar step_timeout: timeout of each command to an endpoint, in seconds
    """

    own_id: str
    time_source: clock.Clock
    random_source: random.Random
    group_snapshots: snapshot_store.SnapshotStore
    link_pool: links.Links
    membership: published.Published[members.MembershipSnapshot]
    find_watch: FindWatch
    step_timeout: float


@dataclasses.dataclass(frozen=True, slots=True)
class _ReceivedObservation:
    primary: str
    unresponsive_seconds: float
    at: float


class FailoverRunner:
    """Does the failover actor's input and output on the event loop."""

    def __init__(self, parts: RunnerParts) -> None:
        """Start the actor; call on the loop that does its input and output."""
        self._parts = parts
        self._loop = asyncio.get_running_loop()
        self._tasks = tasks.TaskSet()
        self._groups: dict[str, groups_actor.OwnedGroup] = {}
        self._reports: dict[str, dict[str, groups_actor.Observation]] = {}
        self._pauses = failure_detection.PauseDetector(parts.time_source.now())
        self._observations: dict[tuple[str, str], _ReceivedObservation] = {}
        self.on_published: list[OnPublished] = []
        self.on_abandoned: list[OnAbandoned] = []
        self._actor: pykka.ActorRef[failover_actor.FailoverActor] = (
            failover_actor.FailoverActor.start(
                parts.own_id,
                parts.time_source,
                parts.random_source,
                self._carry_out_later,
            )
        )
        pool = parts.link_pool
        pool.add_classes(failover_messages.CLASSES)
        pool.add_handler(
            failover_messages.PrimarySilence, self._receive_observation
        )

    def is_watching(self, database: str) -> bool:
        """Return whether this daemon watches a group."""
        return database in self._groups

    def request_switchover(self, database: str, target: str) -> None:
        """Request a planned switchover from a watched group's driver."""
        event = failover_steps.SwitchoverRequested(target)
        self._send_to_actor(failover_actor.DriverEvent(database, event))

    def start(self) -> None:
        """Start the regular checks of the watched groups."""
        self._tasks.spawn(self._check_groups())

    async def close(self) -> None:
        """Stop all work; other daemons finish a failover in progress."""
        await self._tasks.close()
        self._actor.stop()

    def assign(self, assignment: groups_actor.Assignment) -> None:
        """Replace the groups to watch; call on the loop."""
        self._groups = dict(assignment.groups)
        for database in self._reports.keys() - self._groups.keys():
            del self._reports[database]
        self._send_to_actor(failover_actor.WatchedGroupsChanged(self._groups))

    def record_report(
        self, database: str, report: endpoint_messages.Report, at: float
    ) -> None:
        """Record an endpoint's report; call on the loop.

        Reports of groups that are not watched are ignored.

        :param at: when the report was made, in monotonic seconds
        """
        if database in self._groups:
            self._reports.setdefault(database, {})[report.endpoint] = (
                groups_actor.Observation(database, report, at)
            )

    async def _check_groups(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            self._pauses.record_running(self._parts.time_source.now())
            for database in tuple(self._groups):
                self._send_to_actor(self._collect_observations(database))

    def _collect_observations(
        self, database: str
    ) -> failover_actor.GroupObserved:
        now = self._parts.time_source.now()
        plan = self._groups[database].revision.plan
        snapshot = self._parts.group_snapshots.get(database)
        views = snapshot.endpoints if snapshot else {}
        unresponsive = {}
        for endpoint in plan.endpoints:
            watch = self._parts.find_watch(database, endpoint.name)
            if watch is not None:
                unresponsive[endpoint.name] = self._pauses.exclude_pauses(
                    watch.unresponsive_seconds, now
                )
        reports = {
            name: failure_detection.ObservedReport(item.report, now - item.at)
            for name, item in self._reports.get(database, {}).items()
            if name in plan.endpoint_by_name
        }
        _, primary = failover_actor.find_primary(reports)
        seconds = unresponsive.get(primary, 0.0)
        if primary and seconds >= QUERY_AFTER_SECONDS:
            self._tasks.spawn(self._query_owners(database, primary, seconds))
        return failover_actor.GroupObserved(
            database,
            reports,
            unresponsive,
            {name: view.owner for name, view in views.items()},
            self._list_remote_observations(database, primary, now),
            frozenset(name for name, view in views.items() if view.leaving),
        )

    def _list_remote_observations(
        self, database: str, primary: str, now: float
    ) -> tuple[failure_detection.RemoteObservation, ...]:
        return tuple(
            failure_detection.RemoteObservation(
                daemon, observation.unresponsive_seconds
            )
            for (name, daemon), observation in self._observations.items()
            if name == database
            and observation.primary == primary
            and now - observation.at <= MAX_REMOTE_OBSERVATION_AGE_SECONDS
        )

    async def _query_owners(
        self, database: str, primary: str, seconds: float
    ) -> None:
        message = failover_messages.PrimarySilence(
            database, primary, seconds, ask=True
        )
        group = self._groups.get(database)
        owners = group.owners if group else ()
        for member in self._parts.membership.get().list_serving():
            if member.id in owners and member.id != self._parts.own_id:
                self._tasks.spawn(self._send(member, message))

    async def _send(self, member: members.Member, message: object) -> None:
        await self._parts.link_pool.send(member, message)

    async def _receive_observation(
        self, peer: str, message: failover_messages.PrimarySilence
    ) -> None:
        now = self._parts.time_source.now()
        self._observations[(message.database, peer)] = _ReceivedObservation(
            message.primary, message.silence, now
        )
        watch = self._parts.find_watch(message.database, message.primary)
        if message.ask and watch is not None:
            answer = dataclasses.replace(
                message,
                silence=self._pauses.exclude_pauses(
                    watch.unresponsive_seconds, now
                ),
                ask=False,
            )
            await self._parts.link_pool.reply(peer, answer)

    def _send_to_actor(self, message: object) -> None:
        if self._actor.is_alive():
            self._actor.tell(message)

    def _carry_out_later(self, decision: failover_actor.Decision) -> None:
        self._loop.call_soon_threadsafe(self._carry_out, decision)

    def _carry_out(self, decision: failover_actor.Decision) -> None:
        database = decision.database
        for action in decision.actions:
            match action:
                case failover_steps.Publish():
                    self._publish(database, action)
                case failover_steps.Abandon():
                    self._abandon(database, action)
                case _:
                    self._tasks.spawn(self._command(database, action))

    def _publish(self, database: str, action: failover_steps.Publish) -> None:
        log.warning(
            "primary changed",
            database=database,
            term=action.term,
            primary=action.primary,
        )
        for listener in self.on_published:
            listener(database, action)

    def _abandon(self, database: str, action: failover_steps.Abandon) -> None:
        log.warning(
            "failover attempt abandoned",
            database=database,
            term=action.term,
            reason=action.reason,
        )
        for listener in self.on_abandoned:
            listener(database, action)

    async def _command(
        self, database: str, action: failover_steps.Action
    ) -> None:
        assert not isinstance(
            action, failover_steps.Publish | failover_steps.Abandon
        )
        watch = self._parts.find_watch(database, action.endpoint)
        connection = watch.connection if watch else None
        if connection is None:
            return
        reply = await self._send_command(database, action, connection)
        if reply.is_error():
            log.info(
                "failover command failed",
                database=database,
                endpoint=action.endpoint,
                error=str(reply.error),
            )
            return
        now = self._parts.time_source.now()
        self.record_report(database, reply.ok, now)
        event = _make_event(action, reply.ok)
        self._send_to_actor(failover_actor.DriverEvent(database, event))

    async def _send_command(
        self,
        database: str,
        action: failover_steps.SendFence
        | failover_steps.SendPromote
        | failover_steps.SendFollow
        | failover_steps.SendRecord,
        connection: ports.EndpointConnection,
    ) -> ports.ReportReply:
        timeout = self._parts.step_timeout
        own_id = self._parts.own_id
        match action:
            case failover_steps.SendFence():
                return await connection.fence(
                    action.term, own_id, action.revision, timeout
                )
            case failover_steps.SendPromote():
                return await connection.promote(action.term, own_id, timeout)
            case failover_steps.SendFollow():
                plan = self._groups[database].revision.plan
                primary = plan.endpoint_by_name[action.primary]
                return await connection.follow(
                    action.term, primary.name, primary.address, timeout
                )
            case failover_steps.SendRecord():
                return await connection.record_revision(
                    action.term, action.revision, timeout
                )


def _make_event(
    action: failover_steps.Action, report: endpoint_messages.Report
) -> failover_steps.Event:
    match action:
        case failover_steps.SendFence():
            return failover_steps.FenceReplied(action.term, report)
        case failover_steps.SendPromote():
            return failover_steps.PromoteReplied(action.term, report)
        case failover_steps.SendFollow():
            return failover_steps.FollowReplied(action.term, report)
        case failover_steps.SendRecord():
            return failover_steps.ReportReceived(report)
    raise TypeError(f"expected a command to an endpoint, got {action!r}")
