"""Routes and endpoints in force in this daemon."""

import collections
import collections.abc
import time
import typing

import structlog

from fescuestile import clock
from fescuestile import routes
from fescuestile import tenants
from fescuestile_daemon.relay.core import messages
from fescuestile_daemon.relay.core import options
from fescuestile_daemon.relay.core import ports
from fescuestile_daemon.relay.groups import former_runs
from fescuestile_daemon.relay.groups import group_duties
from fescuestile_daemon.relay.groups import groups
from fescuestile_daemon.relay.groups import record_readers

log = structlog.get_logger()

# Tables before the one in force that are kept to compare versions with.
FORMER_TABLES = 2
EMPTY_TABLE = routes.RouteTable(0, {}, {}, 3.0)


class Directory:
    """Holds the routes and the groups; the version of the routes only grows.

    :ivar groups: groups by name
    :ivar table: routes in force
    :ivar endpoints_loaded: the registry has been read at least once
    :ivar record_reader: reads the groups' records, None without a store
    :ivar promoter: knows whether a takeover is under way, None without one
    :ivar duties: limits the connections to the endpoints
    """

    def __init__(
        self,
        dialer: ports.Dialer,
        relay_options: options.RelayOptions,
        boot_clock: clock.Clock,
    ) -> None:
        """Start without routes."""
        self.groups: dict[str, groups.Group] = {}
        self.table = EMPTY_TABLE
        self.endpoints_loaded = False
        self.record_reader: record_readers.RecordReader | None = None
        self.promoter: ports.Promoter | None = None
        self.duties = group_duties.GroupDuties()
        self._former_tables: collections.deque[routes.RouteTable] = (
            collections.deque(maxlen=FORMER_TABLES)
        )
        self._listeners: list[collections.abc.Callable[[], None]] = []
        self._dialer = dialer
        self._options = relay_options
        self._clock = boot_clock
        self._former_runs = former_runs.FormerRuns()

    @property
    def is_complete(self) -> bool:
        """Whether routes and endpoints have been loaded."""
        return self.table.version > 0 and self.endpoints_loaded

    @property
    def idle_transaction(self) -> float:
        """Seconds after which an idle transaction is rolled back."""
        return self.table.idle_transaction

    @property
    def tenant_table(self) -> tenants.TenantTable:
        """Tenants of the configuration in force."""
        return self.table.tenant_table

    def find_route(self, database: str) -> routes.Route | None:
        """Return the route in force for a database."""
        return self.table.routes.get(database)

    def find_tenant(
        self, route: routes.Route, key_hash: bytes
    ) -> tenants.Tenant | None:
        """Return who calls on a route, None for an unknown key."""
        return self.table.find_tenant(route, key_hash)

    def find_weight(self, tenant: str) -> int:
        """Return a tenant's share of the service time, by its name."""
        found = self.table.tenant_table.by_name.get(tenant)
        return 1 if found is None else found.weight

    def find_group(self, route: routes.Route) -> groups.Group:
        """Return the group of a route; create it if it is new."""
        return self._get_group(route.group)

    def find_table(self, version: int) -> routes.RouteTable | None:
        """Return the table of a version, None for one that is not kept."""
        for table in (self.table, *self._former_tables):
            if table.version == version:
                return table
        return None

    def put_routes(self, table: routes.RouteTable) -> bool:
        """Put a table in force if its version is newer.

        :returns: whether it is newer
        """
        if table.version <= self.table.version:
            return False
        log.info(
            "routes in force",
            version=table.version,
            before=self.table.version,
            routes=len(table.routes),
        )
        self._former_tables.append(self.table)
        before, self.table = self.table.tenant_table, table
        self._log_tenants(before)
        for group in self.groups.values():
            self.apply_limits(group)
        for listener in self._listeners:
            listener()
        return True

    def add_listener(
        self, listener: collections.abc.Callable[[], None]
    ) -> None:
        """Add a function that is called after each change of the routes."""
        self._listeners.append(listener)

    def _log_tenants(self, before: tenants.TenantTable) -> None:
        table = self.table.tenant_table
        changes = table.count_changes(before)
        if not changes:
            return
        log.info(
            "tenants in force",
            version=self.table.version,
            tenants=len(table.by_name),
            keys=table.key_count,
            keys_added=changes.added,
            keys_removed=changes.removed,
            keys_moved=changes.moved,
        )

    def put_endpoints(
        self,
        entries: typing.Mapping[str, messages.EndpointEntry],
        keep_missing: bool,
        copied: typing.Collection[str] = (),
    ) -> None:
        """Replace the endpoints by the entries of the registry.

        :param entries: valid entries by id
        :param keep_missing: endpoints without an entry are kept for the time
            of the option ``removal_delay``, because the registry was
            unavailable
        :param copied: ids of entries that may be older than those put
            before, because the registry has come back from a copy
        """
        self.endpoints_loaded = True
        current = set()
        for found in entries.values():
            group = self._get_group(found.group)
            known = group.endpoints.get(found.id)
            is_copied = found.id in copied
            entry = (
                self._former_runs.correct(found, known) if is_copied else found
            )
            if entry is None:
                continue
            current.add(entry.id)
            self._remove_from_other_groups(entry)
            if known is None or known.entry != entry:
                log.info(
                    "endpoint entry changed",
                    endpoint=entry.id,
                    group=entry.group,
                    leaving=entry.leaving,
                    claims_primary=entry.claims_primary,
                    known=known is not None,
                )
            self._put_endpoint(group, entry, is_copied)
            self.apply_limits(group)
        now = time.monotonic()
        for group in self.groups.values():
            for name, endpoint in list(group.endpoints.items()):
                if name in current:
                    continue
                if endpoint.dropped_at is None:
                    endpoint.dropped_at = now
                if not keep_missing:
                    self._remove(group, name)

    def expire(self) -> None:
        """Remove endpoints whose entries have been missing for too long."""
        oldest = time.monotonic() - self._options.removal_delay
        for group in self.groups.values():
            for name, endpoint in list(group.endpoints.items()):
                if endpoint.dropped_at is not None and (
                    endpoint.dropped_at < oldest
                ):
                    self._remove(group, name)

    def close(self) -> None:
        """Remove all endpoints of all groups."""
        for group in self.groups.values():
            group.close()

    def _put_endpoint(
        self,
        group: groups.Group,
        entry: messages.EndpointEntry,
        is_copied: bool,
    ) -> None:
        known = group.endpoints.get(entry.id)
        report = None if known is None else known.report
        if known is not None and known.entry.started_at != entry.started_at:
            self._former_runs.record(known, has_restarted=True)
        endpoint = group.put_endpoint(
            entry, self._compute_connection_limit(group, entry)
        )
        if is_copied and endpoint is known:
            # A claim of the copy does not outweigh what it reported since.
            endpoint.report = report

    def _remove(self, group: groups.Group, name: str) -> None:
        log.info("endpoint removed", endpoint=name, group=group.name)
        self._former_runs.record(group.endpoints[name], has_restarted=False)
        group.remove_endpoint(name)

    def _remove_from_other_groups(self, entry: messages.EndpointEntry) -> None:
        for group in self.groups.values():
            if group.name != entry.group and entry.id in group.endpoints:
                group.remove_endpoint(entry.id)

    def _get_group(self, name: str) -> groups.Group:
        group = self.groups.get(name)
        if group is None:
            group = self.groups[name] = groups.Group(
                name, self._dialer, self._options, self._clock
            )
            group.replication.record_reader = self.record_reader
            group.replication.runs.promoter = self.promoter
        return group

    def apply_limits(self, group: groups.Group) -> None:
        """Apply the limits in force to a group and its endpoints."""
        limits = self.table.groups.get(group.name)
        if limits is not None:
            group.connections = limits.connections
            group.replicated = limits.replicated
        for endpoint in group.endpoints.values():
            limit = self.duties.find_connection_limit(group, endpoint.entry)
            endpoint.pool.is_retaining = limit is not None and limit.is_kept
            endpoint.pool.cap = self._compute_connection_limit(
                group, endpoint.entry
            )

    def _compute_connection_limit(
        self, group: groups.Group, entry: messages.EndpointEntry
    ) -> int:
        found = self.duties.find_connection_limit(group, entry)
        if found is not None:
            return found.cap
        limits = self.table.groups.get(group.name)
        if limits is None:
            return self._options.min_connections
        share = int(limits.connections * self._options.connection_share)
        return max(self._options.min_connections, share)
