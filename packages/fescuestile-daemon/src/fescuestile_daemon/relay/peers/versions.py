"""Configuration versions of two daemons between which work passes."""

import asyncio
import collections.abc
import time

from fescuestile import routes
from fescuestile import tenants
from fescuestile_daemon.relay.groups import directory

POLL_SECONDS = 0.01


class ConfigurationVersions:
    """Compares and awaits versions of the configuration.

    :ivar refresh_configuration: called with a newer version and the peer that
        has it
    """

    def __init__(self, routes_in_force: directory.Directory) -> None:
        """Initialize with the configuration in force."""
        self._directory = routes_in_force
        self.refresh_configuration: collections.abc.Callable[
            [int, str], None
        ] = lambda version, peer: None

    @property
    def current(self) -> int:
        """Version in force."""
        return self._directory.table.version

    async def wait(self, version: int, peer: str, seconds: float) -> bool:
        """Wait until a version or a newer one is in force.

        :param peer: daemon that has it
        :param seconds: longest wait
        :returns: whether it is
        """
        if self.current >= version:
            return True
        self.refresh_configuration(version, peer)
        until = time.monotonic() + seconds
        while self.current < version and time.monotonic() < until:
            await asyncio.sleep(POLL_SECONDS)
        return self.current >= version

    def is_unchanged(
        self, version: int, route: routes.Route, tenant: str
    ) -> bool:
        """Return whether a route and a tenant are the same in two versions.

        The keys of the tenant count, too: the daemon with the older version
        has let a caller in with one of them.

        :param version: version that may be older than the one in force
        :param route: route as it is in that version
        """
        table = self._directory.table
        if version == table.version:
            return True
        former = self._directory.find_table(version)
        if former is None or table.routes.get(route.database) != route:
            return False
        if tenant == tenants.ANONYMOUS:
            return route.public or not table.tenant_table
        return former.tenant_table.has_same(tenant, table.tenant_table)
