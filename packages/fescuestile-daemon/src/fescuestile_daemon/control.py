"""The control plane of a daemon: membership, configuration, operators."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import random
import time

import structlog

from fescuestile import clock
from fescuestile import configuration
from fescuestile import gossip_messages
from fescuestile import members
from fescuestile import plan_records
from fescuestile import plans
from fescuestile import ports
from fescuestile import probes
from fescuestile import sessions
from fescuestile_daemon import audit
from fescuestile_daemon import bootstrap
from fescuestile_daemon import configuration_actor
from fescuestile_daemon import control_messages
from fescuestile_daemon import fleet_status
from fescuestile_daemon import key_manager
from fescuestile_daemon import links
from fescuestile_daemon import membership_actor
from fescuestile_daemon import operator_server
from fescuestile_daemon import plan_changes
from fescuestile_daemon import platform_watch
from fescuestile_daemon import published
from fescuestile_daemon import security
from fescuestile_daemon import settings
from fescuestile_daemon import snapshot_store
from fescuestile_daemon import tasks

log = structlog.get_logger(__name__)

TICK_INTERVAL_SECONDS = 0.1
# Limit of the wait for the leave notice to be sent when the daemon stops.
LEAVE_NOTICE_TIMEOUT_SECONDS = 0.3

Entries = tuple[gossip_messages.Entry, ...]


@dataclasses.dataclass(frozen=True)
class ControlParts:
    """Dependencies of the control plane.

    :ivar membership: published here, like plans, keys and the leaving
        set
    :ivar record_use: subscribes to the state of a group, by database
    :ivar on_drain: starts the daemon's drain, for an operator or because
        its host is leaving; called on the event loop
    """

    own: members.Member
    options: settings.Settings
    platform: ports.Platform
    link_pool: links.Links
    group_snapshots: snapshot_store.SnapshotStore
    membership: published.Published[members.MembershipSnapshot]
    plans: published.Published[dict[str, plans.PlanRevision]]
    keys: published.Published[sessions.KeyRing | None]
    leaving_set: published.Published[configuration_actor.LeavingSet]
    time_source: clock.Clock
    on_drain: collections.abc.Callable[[str], None]
    transport_security: security.TransportSecurity
    record_use: collections.abc.Callable[
        [str], collections.abc.Awaitable[None]
    ]
    switchover: operator_server.Switchover = operator_server.refuse_switchover
    random_source: random.Random = dataclasses.field(
        default_factory=random.Random
    )


class Control:
    """Runs the actors, the platform watch and the operators' RPC server."""

    def __init__(self, parts: ControlParts) -> None:
        """Build the components on the running loop; ``start`` starts them."""
        self._parts = parts
        self._loop = asyncio.get_running_loop()
        self._tasks = tasks.TaskSet()
        self._sends = tasks.TaskSet()
        self.status = published.Published(membership_actor.GossipStatus())
        self._configuration = configuration_actor.ConfigurationActor.start(
            configuration_actor.ConfigurationParts(
                time_source=parts.time_source,
                plans=parts.plans,
                keys=parts.keys,
                leaving_set=parts.leaving_set,
                announce=self.announce,
            )
        )
        self._membership = membership_actor.MembershipActor.start(
            self._make_membership_parts()
        )
        self._watch = platform_watch.PlatformWatch(
            parts.platform,
            self.status,
            self.announce,
            self._on_hosts_listed,
            parts.random_source,
        )
        self._key_manager = key_manager.KeyManager(
            parts.platform, self.status, self.announce, parts.random_source
        )
        self.changes = plan_changes.PlanChanges(
            parts.platform,
            parts.time_source,
            parts.random_source,
            self._is_recorded,
        )
        self.trail = audit.AuditTrail(parts.platform, parts.random_source)
        self._operators = operator_server.OperatorServer(
            operator_server.OperatorService(
                self.changes,
                self.trail,
                self._make_fleet_status(),
                self._on_plan_changed,
                parts.switchover,
            ),
            parts.transport_security,
        )
        self._connect_links()
        parts.leaving_set.subscribe(self._on_leaving_set_changed)

    async def start(self) -> None:
        """Join the other daemons and wait for the configuration."""
        self._tasks.spawn(self._tick())
        self._watch.start()
        self._tasks.spawn(self._key_manager.run())
        self._tasks.spawn(self.trail.run())
        await self._operators.start(
            self._parts.options.daemon.operator_address
        )
        source = await self._make_bootstrap().run()
        log.info("configuration received", source=source)

    def become_ready(self) -> None:
        """Announce to the other daemons that this one serves."""
        self._membership.tell(membership_actor.Ready())

    def leave(self) -> None:
        """Announce to the other daemons that this one accepts no new work."""
        self._membership.tell(membership_actor.Leaving())

    async def close(self) -> None:
        """Send the leave notice and stop all components."""
        await self._operators.close()
        await self._tasks.close()
        await self._watch.close()
        with contextlib.suppress(Exception):
            self._membership.ask(membership_actor.Ending(), timeout=1.0)
        await self._sends.wait(LEAVE_NOTICE_TIMEOUT_SECONDS)
        self._membership.stop()
        self._configuration.stop()
        await self._sends.close()
        await self._parts.platform.close()

    def announce(self, entries: Entries) -> None:
        """Gossip entries that were created here; call from any thread."""
        self._membership.tell(membership_actor.Announced(entries))

    def _make_membership_parts(self) -> membership_actor.MembershipParts:
        timing = self._parts.options.timing
        return membership_actor.MembershipParts(
            own=self._parts.own,
            time_source=self._parts.time_source,
            random_source=self._parts.random_source,
            timing=probes.Timing(
                probe_interval=timing.gossip_interval,
                suspicion_timeout=timing.member_suspicion,
            ),
            snapshots=self._parts.membership,
            status=self.status,
            send=self._send_later,
            on_changed=self._on_entries_changed,
            accept=configuration_actor.is_well_formed,
        )

    async def _is_recorded(self, plan: plans.Plan) -> bool:
        """Return whether a group has recorded the endpoints of a plan."""
        await self._parts.record_use(plan.database)
        snapshot = self._parts.group_snapshots.get(plan.database)
        views = snapshot.endpoints if snapshot else {}
        return plan_records.is_recorded(plan, views)

    def _make_fleet_status(self) -> fleet_status.FleetStatus:
        self._parts.link_pool.add_classes(control_messages.CLASSES)
        return fleet_status.FleetStatus(
            self._parts.membership,
            self._parts.group_snapshots,
            self._parts.link_pool,
            self._parts.time_source,
            self._parts.on_drain,
        )

    def _make_bootstrap(self) -> bootstrap.Bootstrap:
        parts = self._parts
        return bootstrap.Bootstrap(
            seeds=parts.options.peers.seeds,
            own_address=parts.own.link_address,
            platform=parts.platform,
            watch=self._watch,
            manager=self._key_manager,
            link_pool=parts.link_pool,
            status=self.status,
            time_source=parts.time_source,
            random_source=parts.random_source,
            now_seconds=time.time,
        )

    def _connect_links(self) -> None:
        pool = self._parts.link_pool
        pool.add_classes(gossip_messages.CLASSES)
        for cls in gossip_messages.CLASSES:
            pool.add_handler(cls, self._receive)
        pool.on_connected.append(
            lambda peer: self._membership.tell(
                membership_actor.LinkOpened(peer)
            )
        )

    async def _tick(self) -> None:
        while True:
            self._membership.tell(membership_actor.Tick())
            await asyncio.sleep(TICK_INTERVAL_SECONDS)

    async def _receive(self, peer: str, message: object) -> None:
        self._membership.tell(membership_actor.Received(peer, message))

    def _send_later(
        self, outgoing: tuple[membership_actor.Outgoing, ...]
    ) -> None:
        with contextlib.suppress(RuntimeError):
            self._loop.call_soon_threadsafe(self._send_all, outgoing)

    def _send_all(
        self, outgoing: tuple[membership_actor.Outgoing, ...]
    ) -> None:
        for item in outgoing:
            self._sends.spawn(self._send(item))

    async def _send(self, item: membership_actor.Outgoing) -> None:
        if item.member is None:
            await self._parts.link_pool.reply(item.to, item.message)
        else:
            await self._parts.link_pool.send(item.member, item.message)

    def _on_entries_changed(self, entries: Entries) -> None:
        self._configuration.tell(configuration_actor.EntriesChanged(entries))

    def _on_hosts_listed(self, hosts: tuple[ports.HostEntry, ...]) -> None:
        self._configuration.tell(configuration_actor.HostsListed(hosts))

    def _on_plan_changed(self, revision: plans.PlanRevision) -> None:
        self.announce((configuration.encode_entry(revision),))

    def _on_leaving_set_changed(
        self, leaving_set: configuration_actor.LeavingSet
    ) -> None:
        self._membership.tell(
            membership_actor.HostsLeaving(leaving_set.daemons)
        )
        if self._parts.own.link_address in leaving_set.daemons:
            self._loop.call_soon_threadsafe(
                self._parts.on_drain, "the platform's host list"
            )
