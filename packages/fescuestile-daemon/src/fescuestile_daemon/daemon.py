"""Builds the components of a daemon, starts and closes them in order."""

import asyncio
import random
import secrets

import structlog

from fescuestile import addresses
from fescuestile import clock
from fescuestile import link_messages
from fescuestile import members
from fescuestile import plans
from fescuestile import sessions
from fescuestile_daemon import caller_server
from fescuestile_daemon import caller_stream
from fescuestile_daemon import configuration_actor
from fescuestile_daemon import dispatch
from fescuestile_daemon import endpoint_adapter
from fescuestile_daemon import entry
from fescuestile_daemon import failover_runner
from fescuestile_daemon import filters
from fescuestile_daemon import gauges
from fescuestile_daemon import groups_actor
from fescuestile_daemon import links
from fescuestile_daemon import metric_names
from fescuestile_daemon import metrics
from fescuestile_daemon import metrics_filter
from fescuestile_daemon import owner
from fescuestile_daemon import published
from fescuestile_daemon import report_buffer
from fescuestile_daemon import security
from fescuestile_daemon import settings
from fescuestile_daemon import snapshot_store
from fescuestile_daemon import state_push
from fescuestile_daemon import switchovers

log = structlog.get_logger(__name__)

ID_BYTES = 4


def make_member(
    options: settings.DaemonOptions,
    state: members.MemberState = members.MemberState.ALIVE,
) -> members.Member:
    """Create the daemon's own member, with a new id at each start."""
    return members.Member(
        id=f"{options.name}-{secrets.token_hex(ID_BYTES)}",
        zone=options.zone,
        link_address=options.advertised_link_address or options.link_address,
        caller_address=options.advertised_caller_address
        or options.caller_address,
        state=state,
    )


class Daemon:
    """Components of a daemon, on one event loop."""

    def __init__(
        self,
        options: settings.Settings,
        state: members.MemberState = members.MemberState.ALIVE,
    ) -> None:
        """Build the components; call it on the event loop that runs them.

        :param state: initial membership state of the daemon
        """
        self.options = options
        self.own = make_member(options.daemon, state)
        self.time_source = clock.SystemClock()
        self.loop = asyncio.get_running_loop()
        self.metrics = metrics.create_sink(options.statsd)
        self.gauges = gauges.GaugeSampler(self.metrics, self._list_gauges())
        self.membership = published.Published(
            members.MembershipSnapshot(self.own, (self.own,))
        )
        self.plans: published.Published[dict[str, plans.PlanRevision]] = (
            published.Published({})
        )
        self.keys: published.Published[sessions.KeyRing | None] = (
            published.Published(None)
        )
        self.leaving_set = published.Published(
            configuration_actor.LeavingSet()
        )
        self.security = security.create_security(options.tls)
        self.links = links.Links(self.own, options.daemon.ip, self.security)
        self.group_snapshots = snapshot_store.SnapshotStore(self.loop)
        self.groups = groups_actor.GroupsActor.start(
            self.group_snapshots,
            self.membership.get(),
            self._schedule_assignment,
        )
        self.observation_buffer = report_buffer.ReportBuffer(self.groups)
        self.group_state_push = state_push.StatePush(
            self.own.id,
            self.links,
            self.membership,
            self.group_snapshots,
            self.time_source,
        )
        self.interest_manager = state_push.InterestManager(
            self.own.id,
            self.links,
            self.membership,
            self.group_snapshots,
            self.time_source,
        )
        self.owner = owner.Owner(self._make_owner_parts())
        self.failovers = failover_runner.FailoverRunner(
            self._make_failover_parts()
        )
        self.owner.on_report.append(self.failovers.record_report)
        self.switchovers = switchovers.Switchovers(
            self.failovers, self.group_snapshots, self.links, self.membership
        )
        self.dispatcher = dispatch.Dispatcher(
            self.own.id,
            self.owner,
            self.links,
            self.membership,
            self.time_source,
        )
        self.callers = caller_server.CallerServer(self._make_caller_parts())
        self._member_ids: frozenset[str] = frozenset()
        self.links.add_handler(
            link_messages.GroupState, self._receive_group_state
        )
        self.membership.subscribe(self._forward_membership)
        self.plans.subscribe(self._forward_plans)
        self.leaving_set.subscribe(self._forward_leaving)

    async def start(self) -> None:
        """Start the links, the endpoint work and the caller server."""
        await self.start_links()
        await self.start_callers()

    async def start_links(self) -> None:
        """Listen for other daemons and start the endpoint work."""
        ip, port = addresses.split_address(self.options.daemon.link_address)
        await self.links.start(ip, port)
        await self.metrics.start()
        self.security.start()
        self.gauges.start()
        self.group_state_push.start()
        self.interest_manager.start()
        self.owner.start()
        self.failovers.start()

    async def start_callers(self) -> None:
        """Listen for callers."""
        await self.callers.start(self.options.daemon.caller_address)
        log.info("daemon started", id=self.own.id, zone=self.own.zone)

    async def drain(self) -> bool:
        """Accept no new sessions and finish the work in flight.

        :returns: whether all work in flight was finished in time
        """
        timeout = self.options.daemon.drain_seconds
        finished = await asyncio.gather(
            self.callers.drain(timeout), self.owner.drain(timeout)
        )
        return all(finished)

    async def close(self) -> None:
        """Close all components, the caller server first."""
        await self.callers.close()
        await self.interest_manager.close()
        await self.group_state_push.close()
        await self.switchovers.close()
        await self.failovers.close()
        await self.owner.close()
        await self.links.close()
        self.groups.stop()
        await self.gauges.close()
        await self.metrics.close()
        await self.security.close()
        log.info("daemon stopped", id=self.own.id)

    def _make_owner_parts(self) -> owner.OwnerParts:
        return owner.OwnerParts(
            own_id=self.own.id,
            dialer=endpoint_adapter.make_dialer(
                self.own.id,
                self.options.daemon.ip,
                self.security.endpoint_client,
            ),
            time_source=self.time_source,
            group_snapshots=self.group_snapshots,
            link_pool=self.links,
            membership=self.membership,
            observation_buffer=self.observation_buffer,
            group_state_push=self.group_state_push,
            timing=self.options.timing,
            drain_timeout=self.options.daemon.drain_seconds,
        )

    def _make_failover_parts(self) -> failover_runner.RunnerParts:
        return failover_runner.RunnerParts(
            own_id=self.own.id,
            time_source=self.time_source,
            random_source=random.Random(self.own.id),
            group_snapshots=self.group_snapshots,
            link_pool=self.links,
            membership=self.membership,
            find_watch=self.owner.find_watch,
            step_timeout=self.options.timing.failover_step_timeout,
        )

    def _make_caller_parts(self) -> caller_stream.CallerParts:
        chain = filters.create_chain(
            (
                metrics_filter.MetricsFilter(self.metrics, self.time_source),
                entry.SessionFilter(),
                entry.RouteFilter(
                    self.group_snapshots,
                    self.dispatcher,
                    self.interest_manager,
                    self.membership,
                    self.time_source,
                ),
            )
        )
        return caller_stream.CallerParts(
            run=chain,
            group_snapshots=self.group_snapshots,
            keys=self.keys,
            membership=self.membership,
            limits=self.options.limits,
            time_source=self.time_source,
            transport_security=self.security,
        )

    def _list_gauges(self) -> gauges.Gauges:
        return {
            metric_names.SESSIONS_OPEN: lambda: self.callers.session_count,
            metric_names.LINKS_OPEN: lambda: self.links.count,
            metric_names.MEMBERS_SERVING: lambda: len(
                self.membership.get().list_serving()
            ),
            metric_names.DATABASES: lambda: len(self.plans.get()),
            metric_names.DATABASES_WATCHED: lambda: len(self.owner.groups),
            metric_names.ENDPOINTS_OWNED: lambda: sum(
                len(group.owned) for group in self.owner.groups.values()
            ),
            metric_names.SLOTS_RUNNING: lambda: sum(
                pool.running for pool in self.owner.list_pools()
            ),
            metric_names.SLOTS_WAITING: lambda: sum(
                pool.waiting for pool in self.owner.list_pools()
            ),
            metric_names.ENDPOINT_CONNECTIONS: lambda: sum(
                pool.connections for pool in self.owner.list_pools()
            ),
        }

    def _schedule_assignment(
        self, assignment: groups_actor.Assignment
    ) -> None:
        self.loop.call_soon_threadsafe(self._assign, assignment)

    def _assign(self, assignment: groups_actor.Assignment) -> None:
        self.owner.assign(assignment)
        self.failovers.assign(assignment)

    def _forward_membership(
        self, snapshot: members.MembershipSnapshot
    ) -> None:
        self.groups.tell(groups_actor.MembershipChanged(snapshot))
        member_ids = frozenset(member.id for member in snapshot.members)
        for removed_id in self._member_ids - member_ids:
            self.loop.call_soon_threadsafe(self.links.disconnect, removed_id)
        self._member_ids = member_ids

    def _forward_plans(self, revisions: dict[str, plans.PlanRevision]) -> None:
        self.groups.tell(groups_actor.PlansChanged(dict(revisions)))

    def _forward_leaving(
        self, leaving_set: configuration_actor.LeavingSet
    ) -> None:
        self.groups.tell(groups_actor.LeavingChanged(leaving_set.endpoints))

    async def _receive_group_state(
        self, peer: str, message: link_messages.GroupState
    ) -> None:
        sent_at = message.compute_earliest_send(self.time_source.now())
        for item in message.reports:
            self.observation_buffer.add_report(
                groups_actor.Observation(
                    message.database, item.report, sent_at - item.age
                )
            )
        for owned in message.owned:
            self.observation_buffer.add_wait(
                groups_actor.WaitObservation(
                    message.database, owned.endpoint, owned.expected_wait
                )
            )
