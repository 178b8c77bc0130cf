"""Connections to endpoints that are open, by tenant."""

import collections
import weakref

from fescuestile import tenants
from fescuestile_daemon.relay.core import messages
from fescuestile_daemon.relay.core import ports


class OpenConnections(ports.Dialer):
    """Opens connections and counts them, for the metrics, until they end."""

    def __init__(self, dialer: ports.Dialer) -> None:
        """Initialize with the dialer that opens the connections."""
        self._dialer = dialer
        self._connections: weakref.WeakSet[ports.EndpointConnection] = (
            weakref.WeakSet()
        )

    async def dial(
        self, entry: messages.EndpointEntry, tenant: str = tenants.ANONYMOUS
    ) -> ports.EndpointConnection | messages.Outcome:
        """Open a connection, or return why it could not be opened."""
        opened = await self._dialer.dial(entry, tenant)
        if not isinstance(opened, messages.Outcome):
            self._connections.add(opened)
        return opened

    def count_by_tenant(self) -> collections.Counter[str]:
        """Return the number of open connections of each tenant."""
        return collections.Counter(
            connection.tenant
            for connection in self._connections
            if not connection.closed
        )
