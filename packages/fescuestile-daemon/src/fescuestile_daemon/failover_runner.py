"""Carries out failovers: looks at endpoints and sends what was decided."""

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
from fescuestile_daemon import failover_actor
from fescuestile_daemon import group_board
from fescuestile_daemon import group_watch
from fescuestile_daemon import groups_actor
from fescuestile_daemon import links
from fescuestile_daemon import published
from fescuestile_daemon import tasks

log = structlog.get_logger(__name__)

LOOK_SECONDS = 0.1
ASK_SILENCE_SECONDS = 0.5
HEARSAY_SECONDS = 0.6

FindWatch = collections.abc.Callable[
    [str, str], group_watch.EndpointWatch | None
]
OnPublished = collections.abc.Callable[[str, failover_steps.Publish], None]
OnAbandoned = collections.abc.Callable[[str, failover_steps.Abandon], None]


@dataclasses.dataclass(frozen=True)
class RunnerParts:
    """What the runner works with.

    :ivar find_watch: returns the watch of (database, endpoint)
    :ivar step_timeout: seconds until a command counts as unanswered
    """

    own_id: str
    time_source: clock.Clock
    random_source: random.Random
    board: group_board.GroupBoard
    link_pool: links.Links
    membership: published.Published[members.MembershipSnapshot]
    find_watch: FindWatch
    step_timeout: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Word:
    primary: str
    silence: float
    at: float


class FailoverRunner:
    """Loop side of the failover actor."""

    def __init__(self, parts: RunnerParts) -> None:
        """Build the actor; call on the loop that runs it."""
        self._parts = parts
        self._loop = asyncio.get_running_loop()
        self._tasks = tasks.TaskSet()
        self._groups: dict[str, groups_actor.OwnedGroup] = {}
        self._reports: dict[str, dict[str, groups_actor.Observation]] = {}
        self._pauses = failure_detection.PauseDetector(parts.time_source.now())
        self._words: dict[tuple[str, str], _Word] = {}
        self.on_published: list[OnPublished] = []
        self.on_abandoned: list[OnAbandoned] = []
        self._actor: pykka.ActorRef[failover_actor.FailoverActor] = (
            failover_actor.FailoverActor.start(
                parts.own_id,
                parts.time_source,
                parts.random_source,
                self._perform_later,
            )
        )
        pool = parts.link_pool
        pool.add_classes(failover_messages.CLASSES)
        pool.add_handler(failover_messages.PrimarySilence, self._hear)

    def is_watching(self, database: str) -> bool:
        """Tell whether this daemon watches a group."""
        return database in self._groups

    def ask_switchover(self, database: str, target: str) -> None:
        """Let a watched group's driver begin a planned switchover."""
        event = failover_steps.SwitchoverRequested(target)
        self._tell(failover_actor.Happened(database, event))

    def start(self) -> None:
        """Begin to look at the watched groups."""
        self._tasks.spawn(self._look_always())

    async def close(self) -> None:
        """End all work; a failover under way is left to others."""
        await self._tasks.close()
        self._actor.stop()

    def assign(self, assignment: groups_actor.Assignment) -> None:
        """Take the groups to watch; call on the loop."""
        self._groups = dict(assignment.groups)
        for database in self._reports.keys() - self._groups.keys():
            del self._reports[database]
        self._tell(failover_actor.Watched(self._groups))

    def observe(
        self, database: str, report: endpoint_messages.Report, at: float
    ) -> None:
        """Take an endpoint's report; call on the loop.

        :param at: monotonic seconds
        """
        if database in self._groups:
            self._reports.setdefault(database, {})[report.endpoint] = (
                groups_actor.Observation(database, report, at)
            )

    async def _look_always(self) -> None:
        while True:
            await asyncio.sleep(LOOK_SECONDS)
            self._pauses.record_running(self._parts.time_source.now())
            for database in tuple(self._groups):
                self._tell(self._look(database))

    def _look(self, database: str) -> failover_actor.Looked:
        now = self._parts.time_source.now()
        plan = self._groups[database].revision.plan
        silences = {}
        for endpoint in plan.endpoints:
            watch = self._parts.find_watch(database, endpoint.name)
            if watch is not None:
                silences[endpoint.name] = self._pauses.exclude_pauses(
                    watch.silence, now
                )
        reports = {
            name: failure_detection.ObservedReport(item.report, now - item.at)
            for name, item in self._reports.get(database, {}).items()
            if name in plan.endpoint_by_name
        }
        _, primary = failover_actor.find_primary(reports)
        silence = silences.get(primary, 0.0)
        if primary and silence >= ASK_SILENCE_SECONDS:
            self._tasks.spawn(self._ask_others(database, primary, silence))
        return failover_actor.Looked(
            database,
            reports,
            silences,
            self._find_owners(database),
            self._list_words(database, primary, now),
        )

    def _find_owners(self, database: str) -> dict[str, str]:
        snapshot = self._parts.board.get(database)
        if snapshot is None:
            return {}
        return {name: v.owner for name, v in snapshot.endpoints.items()}

    def _list_words(
        self, database: str, primary: str, now: float
    ) -> tuple[failure_detection.RemoteObservation, ...]:
        return tuple(
            failure_detection.RemoteObservation(daemon, word.silence)
            for (name, daemon), word in self._words.items()
            if name == database
            and word.primary == primary
            and now - word.at <= HEARSAY_SECONDS
        )

    async def _ask_others(
        self, database: str, primary: str, silence: float
    ) -> None:
        message = failover_messages.PrimarySilence(
            database, primary, silence, ask=True
        )
        group = self._groups.get(database)
        owners = group.owners if group else ()
        for member in self._parts.membership.get().list_serving():
            if member.id in owners and member.id != self._parts.own_id:
                self._tasks.spawn(self._send(member, message))

    async def _send(self, member: members.Member, message: object) -> None:
        await self._parts.link_pool.send(member, message)

    async def _hear(
        self, peer: str, message: failover_messages.PrimarySilence
    ) -> None:
        now = self._parts.time_source.now()
        self._words[(message.database, peer)] = _Word(
            message.primary, message.silence, now
        )
        watch = self._parts.find_watch(message.database, message.primary)
        if message.ask and watch is not None:
            answer = dataclasses.replace(
                message,
                silence=self._pauses.exclude_pauses(watch.silence, now),
                ask=False,
            )
            await self._parts.link_pool.reply(peer, answer)

    def _tell(self, message: object) -> None:
        if self._actor.is_alive():
            self._actor.tell(message)

    def _perform_later(self, decision: failover_actor.Decision) -> None:
        self._loop.call_soon_threadsafe(self._perform, decision)

    def _perform(self, decision: failover_actor.Decision) -> None:
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
            "failover attempt ended",
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
                "failover command lost",
                database=database,
                endpoint=action.endpoint,
                error=str(reply.error),
            )
            return
        now = self._parts.time_source.now()
        self.observe(database, reply.ok, now)
        event = _make_event(action, reply.ok)
        self._tell(failover_actor.Happened(database, event))

    async def _send_command(
        self,
        database: str,
        action: failover_steps.SendFence
        | failover_steps.SendPromote
        | failover_steps.SendFollow,
        connection: ports.EndpointConnection,
    ) -> ports.ReportReply:
        timeout = self._parts.step_timeout
        own_id = self._parts.own_id
        match action:
            case failover_steps.SendFence():
                return await connection.fence(action.term, own_id, timeout)
            case failover_steps.SendPromote():
                return await connection.promote(action.term, own_id, timeout)
            case failover_steps.SendFollow():
                plan = self._groups[database].revision.plan
                primary = plan.endpoint_by_name[action.primary]
                return await connection.follow(
                    action.term, primary.name, primary.address, timeout
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
    raise TypeError(f"{action!r} has no reply")
