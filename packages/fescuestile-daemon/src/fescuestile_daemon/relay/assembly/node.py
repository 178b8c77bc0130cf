"""One daemon's relay: sessions, readiness and a graceful stop."""

import asyncio
import collections.abc
import random
import time

import structlog

from fescuestile import clock
from fescuestile import position_sharing
from fescuestile import tenants
from fescuestile_daemon.relay.core import events
from fescuestile_daemon.relay.core import messages
from fescuestile_daemon.relay.core import options
from fescuestile_daemon.relay.core import ports
from fescuestile_daemon.relay.endpoints import open_connections
from fescuestile_daemon.relay.groups import directory
from fescuestile_daemon.relay.groups import reachability
from fescuestile_daemon.relay.groups import suspensions
from fescuestile_daemon.relay.peers import allowance_exchange
from fescuestile_daemon.relay.peers import forwarding
from fescuestile_daemon.relay.peers import gateway_table
from fescuestile_daemon.relay.peers import links
from fescuestile_daemon.relay.peers import request_dispatch
from fescuestile_daemon.relay.peers import sampling
from fescuestile_daemon.relay.peers import serving
from fescuestile_daemon.relay.peers import versions
from fescuestile_daemon.relay.records import member_records
from fescuestile_daemon.relay.records import member_store
from fescuestile_daemon.relay.records import restorations
from fescuestile_daemon.relay.statements import execution
from fescuestile_daemon.relay.statements import sessions
from fescuestile_daemon.relay.takeovers import monitor

log = structlog.get_logger()

# Callers are accepted for this part of the grace period: the load balancer
# sends them until two probes in a row, one a second, have failed.
ACCEPT_SHARE = 0.45
# Open transactions may continue for this part of the grace period.
TRANSACTION_SHARE = 0.5
# By this part of the grace period all sessions are closed.
SESSION_SHARE = 0.8
# A takeover under way may continue for this part of the grace period.
TAKEOVER_SHARE = 0.92
# Idle sessions are closed over this time, so that their callers do not all
# reconnect at once.
SPREAD_SECONDS = 1.0
POLL_SECONDS = 0.05
ISOLATION_POLL_SECONDS = 0.2
# The load balancer sends no callers after this many failed probes in a row.
BALANCER_FAILED_PROBES = 2


class Node:
    """Accepts callers and serves their sessions."""

    def __init__(
        self,
        dialer: ports.Dialer,
        promoter: ports.Promoter,
        registry: ports.Registry,
        record_store: member_store.MemberStore,
        relay_options: options.RelayOptions,
        zone: str,
        name: str = "",
        restored: restorations.RestorationStore | None = None,
        read_configuration: suspensions.Read | None = None,
        client_options: options.ClientOptions = options.DEFAULT_CLIENT_OPTIONS,
    ) -> None:
        """Create the components; ``start`` runs them.

        :param zone: availability zone of this daemon
        :param name: name of this daemon among its peers
        :param restored: lists the daemons that request promotions, None where
            they are not known
        :param read_configuration: reads the configuration again, None
            without a store of it
        :param client_options: limits on clients
        """
        self.client_options = client_options
        boot_clock = clock.BootClock()
        self.recorder = events.Recorder()
        self.connections = open_connections.OpenConnections(dialer)
        self.directory = directory.Directory(
            self.connections, relay_options, boot_clock
        )
        self.directory.add_listener(self._close_revoked)
        self._guard = suspensions.SuspensionGuard(
            boot_clock,
            read_configuration,
            lambda: bool(self.directory.table.tenant_table),
        )
        self.sessions: set[sessions.Session] = set()
        self._options = relay_options
        self._clock = boot_clock
        # It limits nothing until it is started, beside the list of peers.
        self.limiter = allowance_exchange.AllowanceExchange(
            name,
            relay_options.quota,
            self.directory,
            boot_clock,
            self.recorder,
            # The processor time that a process has used is a lower bound of
            # the time since its start, without a clock that may have jumped.
            running=time.process_time(),
        )
        local = execution.StatementExecutor(
            self.directory,
            relay_options,
            self.recorder,
            zone,
            self.limiter,
            self._guard,
        )
        self._gateways = gateway_table.GatewayTable(
            name, zone, self.directory, relay_options
        )
        self.directory.duties = self._gateways
        self.versions = versions.ConfigurationVersions(self.directory)
        self._execution = forwarding.ForwardingExecutor(
            local, self._gateways, self.versions, self.recorder, name
        )
        self._server = serving.StatementServer(
            local, self.directory, self.versions, boot_clock, self.recorder
        )
        self._links: links.PeerLinks | None = None
        self.sampler = sampling.PositionSampler(
            name, zone, self.directory.groups.get, boot_clock
        )
        self._records = member_records.MemberRecords(
            record_store, self.directory, registry, random.Random(), restored
        )
        self.directory.record_reader = self._records
        self.directory.promoter = promoter
        self._monitor = monitor.Monitor(
            self.directory,
            promoter,
            registry,
            self._records,
            relay_options,
            boot_clock,
            random.Random(),
            self.sampler,
        )
        self._isolation: asyncio.Task[None] | None = None
        self._stopping = False
        self._failed_probes = 0
        self._accepting = True

    def set_links(
        self,
        peer_links: links.PeerLinks,
        own: position_sharing.Peer,
        handlers: collections.abc.Mapping[str, request_dispatch.TypedHandler],
    ) -> None:
        """Forward to other daemons, and serve what they forward.

        :param own: this daemon as it is registered
        :param handlers: serve requests that are no statements, by type
        """
        self._links = peer_links
        peer_links.set_handler(
            request_dispatch.RequestDispatcher(self._server, handlers)
        )
        self._gateways.set_links(peer_links, own)
        self._execution.set_links(peer_links)

    async def start(self) -> None:
        """Start to monitor the endpoints."""
        await self._guard.start()
        await self._monitor.start()
        await self._records.start()
        self._isolation = asyncio.create_task(self._watch_isolation())

    async def _watch_isolation(self) -> None:
        """Close idle sessions while this daemon is isolated.

        Their callers reconnect to daemons that reach the primaries.
        """
        since: float | None = None
        while True:
            await asyncio.sleep(ISOLATION_POLL_SECONDS)
            if not self.is_isolated() or not self.directory.is_complete:
                if since is not None:
                    log.info("primaries reachable again")
                since = None
                continue
            now = time.monotonic()
            if since is None:
                since = now
                log.warning(
                    "most primaries unreachable", sessions=len(self.sessions)
                )
            elif (
                self._failed_probes >= BALANCER_FAILED_PROBES
                or now - since > self._options.isolated_close
            ):
                self._close_idle()

    def _close_idle(self) -> None:
        for session in list(self.sessions):
            if not session.busy and not session.in_transaction:
                session.close()
                self.sessions.discard(session)

    def _close_revoked(self) -> None:
        """Close idle sessions whose keys a new configuration took away.

        The others close themselves when their operation has ended.
        """
        closed = 0
        for session in list(self.sessions):
            if session.close_if_revoked():
                self.sessions.discard(session)
                closed += 1
        if closed:
            log.info("sessions of revoked keys closed", sessions=closed)

    def answer_probe(self) -> bool:
        """Answer a probe of the load balancer.

        :returns: whether new callers are accepted
        """
        ready = self.is_ready()
        self._failed_probes = 0 if ready else self._failed_probes + 1
        return ready

    def is_ready(self) -> bool:
        """Return whether the load balancer should send new callers."""
        if self._stopping or not self.directory.is_complete:
            return False
        if not self._guard.is_current():
            return False
        return not self.is_isolated()

    def is_isolated(self) -> bool:
        """Return whether most groups' primaries are unreachable.

        Groups that the configuration does not name are left out: their
        entries may be another writer's. One that another daemon serves for
        this one is reachable.
        """
        groups = [
            group
            for name, group in self.directory.groups.items()
            if group.endpoints and name in self.directory.table.groups
        ]
        unreachable = sum(
            reachability.is_unreachable(group)
            and not self._gateways.is_served_elsewhere(group)
            for group in groups
        )
        return bool(groups) and unreachable * 2 > len(groups)

    def open_session(
        self, database: str, caller: ports.Caller, key: str = ""
    ) -> sessions.Session | messages.Outcome:
        """Accept a caller.

        :param key: key that names the caller's tenant
        :returns: the session, or why the caller was refused
        """
        if not self._accepting:
            return messages.Outcome(messages.Kind.BUSY, detail="stopping")
        if not self.directory.is_complete:
            return messages.Outcome(messages.Kind.BUSY, detail="starting")
        if not self._guard.is_current():
            return messages.Outcome(messages.Kind.BUSY, detail="waking")
        route = self.directory.find_route(database)
        if route is None:
            return messages.Outcome(
                messages.Kind.UNKNOWN_DATABASE, detail=database
            )
        key_hash = tenants.hash_key(key)
        if self.directory.find_tenant(route, key_hash) is None:
            self.recorder.tenants.record_unknown_key()
            return messages.Outcome(
                messages.Kind.UNKNOWN_KEY, detail="unknown key"
            )
        session = sessions.Session(
            database,
            caller,
            self._execution,
            self._clock,
            key_hash,
            self.client_options,
        )
        self.sessions.add(session)
        return session

    def remove_session(self, session: sessions.Session) -> None:
        """Remove a session whose caller has disconnected."""
        self.sessions.discard(session)
        session.disconnect()

    async def stop(self, grace: float) -> None:
        """Stop gracefully.

        :param grace: seconds until the process is killed
        """
        started = time.monotonic()
        self._stopping = True
        if self._links is not None:
            self._links.announce_leaving()
        self._monitor.stop_takeovers()
        log.info("daemon stopping", sessions=len(self.sessions), grace=grace)
        loop = asyncio.get_running_loop()
        while time.monotonic() - started < grace * SESSION_SHARE:
            elapsed = time.monotonic() - started
            if elapsed > grace * ACCEPT_SHARE:
                self._accepting = False
                self._server.refuse_new()
                if not (self.sessions or self._server.is_busy):
                    break
            if elapsed > grace * TRANSACTION_SHARE:
                self._server.close_transactions()
            share = min(1.0, elapsed / SPREAD_SECONDS) * POLL_SECONDS
            for session in list(self.sessions):
                if session.busy:
                    continue
                if session.in_transaction and (
                    elapsed < grace * TRANSACTION_SHARE
                ):
                    continue
                if not self._accepting or random.random() < share * 2:
                    session.close()
                    self.sessions.discard(session)
            await asyncio.sleep(POLL_SECONDS)
        for session in list(self.sessions):
            session.close()
        self._server.close_transactions()
        if self._isolation is not None:
            self._isolation.cancel()
        self._guard.close()
        left = grace * TAKEOVER_SHARE - (time.monotonic() - started)
        await self._monitor.close(left)
        await self._records.close()
        self.sampler.close()
        self.directory.close()
        log.info("daemon stopped", seconds=round(loop.time() - started, 3))
