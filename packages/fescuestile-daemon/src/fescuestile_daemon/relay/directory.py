"""Routes and endpoints in force in this daemon."""

import time
import typing

import structlog

from fescuestile import clock
from fescuestile import routes
from fescuestile_daemon.relay import groups
from fescuestile_daemon.relay import messages
from fescuestile_daemon.relay import options
from fescuestile_daemon.relay import ports

log = structlog.get_logger()

EMPTY_TABLE = routes.RouteTable(0, {}, {}, 3.0)


class Directory:
    """Holds the routes and the groups; versions only go up.

    :ivar groups: groups by name
    :ivar table: routes in force
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
        self.knows_endpoints = False
        self._dialer = dialer
        self._options = relay_options
        self._clock = boot_clock

    @property
    def is_complete(self) -> bool:
        """Whether routes and endpoints have been learnt."""
        return self.table.version > 0 and self.knows_endpoints

    @property
    def idle_transaction(self) -> float:
        """Seconds after which an idle transaction is rolled back."""
        return self.table.idle_transaction

    def find_route(self, database: str) -> routes.Route | None:
        """Return the route in force for a database."""
        return self.table.routes.get(database)

    def find_group(self, route: routes.Route) -> groups.Group:
        """Return the group of a route."""
        return self._get_group(route.group)

    def put_routes(self, table: routes.RouteTable) -> bool:
        """Put a version in force; tell whether it is a newer one."""
        if table.version <= self.table.version:
            return False
        log.info(
            "configuration in force",
            version=table.version,
            before=self.table.version,
            routes=len(table.routes),
        )
        self.table = table
        for group in self.groups.values():
            self._limit(group)
        return True

    def put_endpoints(
        self,
        entries: typing.Mapping[str, messages.EndpointEntry],
        hold_missing: bool,
    ) -> None:
        """Take all entries of the registry.

        :param entries: valid entries by id
        :param hold_missing: endpoints without an entry count for a while
            longer, since the registry was away
        """
        self.knows_endpoints = True
        for entry in entries.values():
            group = self._get_group(entry.group)
            self._drop_elsewhere(entry)
            known = group.members.get(entry.id)
            if known is None or known.entry != entry:
                log.info(
                    "endpoint changed",
                    endpoint=entry.id,
                    group=entry.group,
                    leaving=entry.leaving,
                    claims_primary=entry.claims_primary,
                    known=known is not None,
                )
            group.put_member(entry, self._find_cap(entry.group))
            self._limit(group)
        now = time.monotonic()
        for group in self.groups.values():
            for name, member in list(group.members.items()):
                if name in entries:
                    continue
                if member.dropped_at is None:
                    member.dropped_at = now
                if not hold_missing:
                    self._remove(group, name)

    def expire(self) -> None:
        """Forget endpoints whose entries have been missing for too long."""
        oldest = time.monotonic() - self._options.lingering
        for group in self.groups.values():
            for name, member in list(group.members.items()):
                if member.dropped_at is not None and (
                    member.dropped_at < oldest
                ):
                    self._remove(group, name)

    def close(self) -> None:
        """Give up all endpoints."""
        for group in self.groups.values():
            group.close()

    def _remove(self, group: groups.Group, name: str) -> None:
        log.info("endpoint gone", endpoint=name, group=group.name)
        group.remove_member(name)

    def _drop_elsewhere(self, entry: messages.EndpointEntry) -> None:
        for group in self.groups.values():
            if group.name != entry.group and entry.id in group.members:
                group.remove_member(entry.id)

    def _get_group(self, name: str) -> groups.Group:
        group = self.groups.get(name)
        if group is None:
            group = self.groups[name] = groups.Group(
                name, self._dialer, self._options, self._clock
            )
        return group

    def _limit(self, group: groups.Group) -> None:
        limits = self.table.groups.get(group.name)
        if limits is not None:
            group.connections = limits.connections
        for member in group.members.values():
            member.pool.cap = self._find_cap(group.name)

    def _find_cap(self, name: str) -> int:
        limits = self.table.groups.get(name)
        if limits is None:
            return self._options.min_connections
        share = int(limits.connections * self._options.connection_share)
        return max(self._options.min_connections, share)
