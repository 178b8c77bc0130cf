"""Execution of requests at the endpoints that this daemon owns."""

import asyncio
import collections
import dataclasses

import expression
import structlog

from fescuestile import admission
from fescuestile import clock
from fescuestile import diversion
from fescuestile import endpoint_messages
from fescuestile import errors
from fescuestile import failures
from fescuestile import link_messages
from fescuestile import members
from fescuestile import plans
from fescuestile import ports
from fescuestile import positions
from fescuestile import requests
from fescuestile_daemon import endpoint_pool
from fescuestile_daemon import endpoint_watch
from fescuestile_daemon import execution
from fescuestile_daemon import filters
from fescuestile_daemon import groups_actor
from fescuestile_daemon import links
from fescuestile_daemon import owner_filters
from fescuestile_daemon import published
from fescuestile_daemon import read_confirmations
from fescuestile_daemon import report_buffer
from fescuestile_daemon import settings
from fescuestile_daemon import snapshot_store
from fescuestile_daemon import state_push
from fescuestile_daemon import tasks
from fescuestile_daemon import transactions
from fescuestile_daemon import write_confirmations

log = structlog.get_logger(__name__)

STEP = "own"
WAIT_REPORT_INTERVAL_SECONDS = 0.1
MIN_WAIT_CHANGE_SECONDS = 0.001
REFUSAL_RETRY_SECONDS = 0.05
DRAIN_POLL_INTERVAL_SECONDS = 0.02


@dataclasses.dataclass(frozen=True)
class OwnerParts:
    """What an owner depends on.

    :ivar drain_timeout: seconds that requests in flight may still take at
        an endpoint that goes to another owner
    """

    own_id: str
    dialer: ports.EndpointDialer
    time_source: clock.Clock
    group_snapshots: snapshot_store.SnapshotStore
    link_pool: links.Links
    membership: published.Published[members.MembershipSnapshot]
    observation_buffer: report_buffer.ReportBuffer
    group_state_push: state_push.StatePush
    timing: settings.TimingOptions
    drain_timeout: float = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class _DrainingPool:
    """Pool of an endpoint that is no longer owned, until its work ends.

    :ivar revision: plan revision under which the endpoint was acquired
    """

    pool: endpoint_pool.EndpointPool
    revision: plans.PlanRevision


class Owner:
    """Pools, watches and transactions of the owned endpoints."""

    def __init__(self, parts: OwnerParts) -> None:
        """Initialize without owned endpoints."""
        self._parts = parts
        self._reported_waits: dict[tuple[str, str], float] = {}
        self._pools: dict[tuple[str, str], endpoint_pool.EndpointPool] = {}
        self._watches: dict[tuple[str, str], endpoint_watch.EndpointWatch] = {}
        self._groups: dict[str, groups_actor.OwnedGroup] = {}
        self._revisions: dict[tuple[str, str], plans.PlanRevision] = {}
        self._tasks = tasks.TaskSet()
        self._work_tasks = tasks.TaskSet()
        self._draining: dict[tuple[str, str], _DrainingPool] = {}
        self._running_by_database: collections.Counter[str] = (
            collections.Counter()
        )
        self.write_confirmations = write_confirmations.WriteConfirmations(
            self._request_reports
        )
        self.read_confirmations = read_confirmations.ReadConfirmations(
            self.find_watch
        )
        self.on_report: list[endpoint_watch.Observer] = []
        self._chain = filters.create_chain(
            (
                owner_filters.DivertedReadFilter(
                    diversion.DivertedReadLimiter()
                ),
                owner_filters.WriteConfirmationFilter(
                    self.write_confirmations,
                    parts.time_source,
                    parts.timing.confirm_timeout,
                ),
                owner_filters.ReadConfirmationFilter(
                    self.read_confirmations,
                    parts.time_source,
                    parts.timing.confirm_timeout,
                ),
                execution.ReserveFilter(),
                execution.ExecuteFilter(parts.time_source),
            )
        )
        self.transactions = transactions.Transactions(
            parts.own_id, parts.time_source, self._chain
        )
        parts.link_pool.add_handler(
            link_messages.Forward, self._receive_forward
        )
        parts.link_pool.on_lost.append(self._on_link_lost)

    def start(self) -> None:
        """Start the periodic tasks."""
        self.transactions.start()
        self._tasks.spawn(self._report_waits())

    async def close(self) -> None:
        """Cancel all work and close all connections."""
        await self._tasks.close()
        await self._work_tasks.close()
        await self.transactions.close()
        await self.read_confirmations.close()
        await asyncio.gather(
            *(watch.close() for watch in self._watches.values()),
            *(pool.close() for pool in self._pools.values()),
        )

    async def drain(self, timeout: float) -> bool:
        """Wait until no endpoint is owned and no request is running.

        The endpoints themselves go to other daemons by assignment.

        :param timeout: seconds
        :returns: whether that was so in time
        """
        end = self._parts.time_source.now() + timeout
        while (
            self._pools or self._draining or self._running_by_database.total()
        ):
            if self._parts.time_source.now() >= end:
                return False
            await asyncio.sleep(DRAIN_POLL_INTERVAL_SECONDS)
        return True

    @property
    def groups(self) -> dict[str, groups_actor.OwnedGroup]:
        """Groups with at least one owned endpoint, by database."""
        return self._groups

    def list_pools(self) -> tuple[endpoint_pool.EndpointPool, ...]:
        """Return the pools of the owned endpoints."""
        return tuple(self._pools.values())

    def find_watch(
        self, database: str, endpoint: str
    ) -> endpoint_watch.EndpointWatch | None:
        """Return the watch of an endpoint, None if it is not watched."""
        return self._watches.get((database, endpoint))

    def assign(self, assignment: groups_actor.Assignment) -> None:
        """Apply an assignment of endpoints; call on the event loop."""
        self._groups = dict(assignment.groups)
        self._update_pools()
        self._update_watches()

    async def run(
        self, endpoint: str, term: int, request: requests.Request, peer: str
    ) -> filters.Outcome:
        """Run a request at an owned endpoint.

        :param endpoint: name of the endpoint
        :param term: latest term known to the entry daemon
        :param request: the request
        :param peer: id of the entry daemon
        """
        self._running_by_database[request.database] += 1
        try:
            return await self._run(endpoint, term, request, peer)
        finally:
            self._running_by_database[request.database] -= 1

    async def _run(
        self, endpoint: str, term: int, request: requests.Request, peer: str
    ) -> filters.Outcome:
        snapshot = self._parts.group_snapshots.get(request.database)
        pool = self._find_pool(endpoint, request)
        view = snapshot.endpoints.get(endpoint) if snapshot else None
        if pool is None or view is None or snapshot is None:
            return expression.Error(self._refuse_not_owned(endpoint))
        if view.leaving and not request.transaction:
            return expression.Error(self._refuse_leaving(endpoint))
        exchange = execution.OwnerExchange(
            request=request,
            plan=snapshot.plan,
            endpoint=endpoint,
            replica=view.role is not endpoint_messages.Role.PRIMARY,
            term=max(term, view.term),
            pool=pool,
            peer=peer,
        )
        if request.action is requests.Action.BEGIN:
            return await self.transactions.begin(exchange)
        if request.transaction:
            return await self.transactions.run(exchange)
        return await self._chain(exchange)

    def _on_link_lost(self, member: members.Member) -> None:
        self.transactions.end_all_from(member.id)

    def _update_pools(self) -> None:
        wanted = {
            (database, name)
            for database, group in self._groups.items()
            for name in group.owned
        }
        for key in self._pools.keys() - wanted:
            log.info("endpoint released", database=key[0], endpoint=key[1])
            self._reported_waits.pop(key, None)
            self._begin_draining(key)
        for key in wanted:
            plan = self._groups[key[0]].revision.plan
            endpoint = plan.endpoint_by_name[key[1]]
            pool = self._pools.get(key)
            if pool is not None:
                options = admission.create_options(plan, endpoint)
                pool.configure(endpoint, options)
                continue
            log.info("endpoint acquired", database=key[0], endpoint=key[1])
            pool = endpoint_pool.create_pool(
                plan, endpoint, self._parts.dialer, self._parts.time_source
            )
            pool.start()
            self._pools[key] = pool
            self._revisions[key] = self._groups[key[0]].revision

    def _find_pool(
        self, endpoint: str, request: requests.Request
    ) -> endpoint_pool.EndpointPool | None:
        """Return the pool; open transactions also use a draining one."""
        key = (request.database, endpoint)
        pool = self._pools.get(key)
        if pool is None and request.transaction and key in self._draining:
            return self._draining[key].pool
        return pool

    def _begin_draining(self, key: tuple[str, str]) -> None:
        draining = _DrainingPool(
            self._pools.pop(key), self._revisions.pop(key)
        )
        self._draining[key] = draining
        self._work_tasks.spawn(self._drain_pool(key, draining))

    async def _drain_pool(
        self, key: tuple[str, str], draining: "_DrainingPool"
    ) -> None:
        """Close a pool; watch its group until the requests in flight end."""
        timeout = self._parts.drain_timeout
        end = self._parts.time_source.now() + timeout
        await draining.pool.close(timeout)
        while (
            self._running_by_database[key[0]]
            and self._parts.time_source.now() < end
        ):
            await asyncio.sleep(DRAIN_POLL_INTERVAL_SECONDS)
        if self._draining.get(key) is draining:
            del self._draining[key]
            self._update_watches()

    def _update_watches(self) -> None:
        revisions = {
            key[0]: draining.revision
            for key, draining in self._draining.items()
        }
        for database, group in self._groups.items():
            revisions[database] = group.revision
        wanted = {
            (database, endpoint.name): endpoint
            for database, revision in revisions.items()
            for endpoint in revision.plan.endpoints
        }
        watched = {database for database, _ in self._watches}
        for database in watched - revisions.keys():
            self._parts.group_state_push.remove_group(database)
            self.write_confirmations.remove_group(database)
        for key, watch in tuple(self._watches.items()):
            if wanted.get(key) != watch.endpoint:
                self._tasks.spawn(self._watches.pop(key).close())
        for key, endpoint in wanted.items():
            if key not in self._watches:
                watch = endpoint_watch.EndpointWatch(
                    key[0],
                    endpoint,
                    self._parts.dialer,
                    self._parts.time_source,
                    self._observe,
                    self._parts.timing,
                )
                watch.start()
                self._watches[key] = watch

    def _observe(
        self, database: str, report: endpoint_messages.Report, at: float
    ) -> None:
        if (database, report.endpoint) not in self._watches:
            return
        self.write_confirmations.observe(database, report)
        for observer in self.on_report:
            observer(database, report, at)
        self._parts.group_state_push.record_report(database, report, at)
        self._parts.observation_buffer.add_report(
            groups_actor.Observation(database, report, at)
        )

    def _request_reports(
        self, database: str, primary: str, position: positions.Position
    ) -> None:
        group = self._groups.get(database)
        names = group.revision.plan.endpoint_by_name if group else ()
        for name in names:
            watch = self._watches.get((database, name))
            # In a group of one the answer does not count without a report.
            if watch is not None and (name != primary or len(names) == 1):
                watch.request_report(position)

    async def _report_waits(self) -> None:
        while True:
            await asyncio.sleep(WAIT_REPORT_INTERVAL_SECONDS)
            for key, pool in self._pools.items():
                group = self._groups.get(key[0])
                if group is not None:
                    level = len(group.revision.plan.ranks) // 2
                    self._report_wait(key, pool.estimate_wait(level))

    def _report_wait(self, key: tuple[str, str], wait: float) -> None:
        reported = self._reported_waits.get(key, 0.0)
        if abs(wait - reported) < MIN_WAIT_CHANGE_SECONDS:
            return
        self._reported_waits[key] = wait
        self._parts.observation_buffer.add_wait(
            groups_actor.WaitObservation(key[0], key[1], wait)
        )

    async def _receive_forward(
        self, peer: str, message: link_messages.Forward
    ) -> None:
        self._work_tasks.spawn(self._run_forwarded(peer, message))

    async def _run_forwarded(
        self, peer: str, message: link_messages.Forward
    ) -> None:
        deadline = self._parts.time_source.now() + message.remaining
        request = dataclasses.replace(message.request, deadline=deadline)
        outcome = await self.run(message.endpoint, message.term, request, peer)
        if outcome.is_ok():
            reply = link_messages.ForwardReply(message.id, answer=outcome.ok)
        else:
            failure = failures.describe_error(outcome.error)
            reply = link_messages.ForwardReply(message.id, failure=failure)
        await self._parts.link_pool.reply(peer, reply)

    def _refuse_leaving(self, endpoint: str) -> errors.NotRun:
        return errors.NotRun(
            message="the endpoint is leaving and accepts no new requests",
            step=STEP,
            peer=endpoint,
            retry_after=REFUSAL_RETRY_SECONDS,
        )

    def _refuse_not_owned(self, endpoint: str) -> errors.NotRun:
        return errors.NotRun(
            message=f"this daemon does not own endpoint {endpoint}",
            step=STEP,
            peer=self._parts.own_id,
            retry_after=REFUSAL_RETRY_SECONDS,
        )
