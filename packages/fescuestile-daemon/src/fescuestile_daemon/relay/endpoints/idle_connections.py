"""Connections of a pool that nobody uses."""

import collections.abc
import typing

from fescuestile import connection_eviction
from fescuestile_daemon.relay.core import options
from fescuestile_daemon.relay.core import ports


class IdleConnections:
    """Open connections that nobody uses, the one used last at the end."""

    def __init__(self) -> None:
        """Initialize without connections."""
        self._idle: list[ports.EndpointConnection] = []

    def __len__(self) -> int:
        """Return the number of connections."""
        return len(self._idle)

    def count(self, tenant: str) -> int:
        """Return how many belong to a tenant."""
        return sum(connection.tenant == tenant for connection in self._idle)

    def add(self, connection: ports.EndpointConnection) -> None:
        """Add a connection that was used just now."""
        self._idle.append(connection)

    def pop(
        self, values: typing.Mapping[str, str] | None, tenant: str
    ) -> ports.EndpointConnection | None:
        """Remove and return a connection of a tenant, None without any.

        :param values: session values that it has preferably
        """
        usable = [each for each in self._idle if each.tenant == tenant]
        if not usable:
            return None
        chosen = usable[-1]
        if values is not None:
            for connection in reversed(usable):
                if connection.values == values:
                    chosen = connection
                    break
        self._idle.remove(chosen)
        return chosen

    def pop_oldest(self) -> ports.EndpointConnection | None:
        """Remove and return the one opened first, None without any."""
        if not self._idle:
            return None
        oldest = min(self._idle, key=lambda each: each.opened_at)
        self._idle.remove(oldest)
        return oldest

    def pop_newest(self) -> ports.EndpointConnection:
        """Remove and return the one opened last; there must be one."""
        newest = max(self._idle, key=lambda each: each.opened_at)
        self._idle.remove(newest)
        return newest

    def pop_least_valuable(
        self,
        counts: collections.abc.Mapping[str, int],
        uses: connection_eviction.ConnectionUses,
        now: float,
    ) -> ports.EndpointConnection | None:
        """Remove and return the one that is least needed, None without any.

        :param counts: connections of each tenant, in use or idle
        :param uses: recent use by tenants
        :param now: monotonic seconds
        """
        index = connection_eviction.choose(
            [
                connection_eviction.IdleConnection(
                    each.tenant, each.used_level, each.used_at
                )
                for each in self._idle
            ],
            counts,
            uses,
            now,
        )
        return None if index is None else self._idle.pop(index)

    def pop_ended(self, oldest: float) -> list[ports.EndpointConnection]:
        """Remove and return those closed, or unused since some time.

        :param oldest: monotonic seconds
        """
        ended = [
            connection
            for connection in self._idle
            if connection.closed or connection.used_at < oldest
        ]
        for connection in ended:
            self._idle.remove(connection)
        return ended


def find_idle_limit(limits: options.RelayOptions, usage: float) -> float:
    """Return for how many seconds a connection may be idle.

    The limit falls steadily with the connections that are left, so that
    daemons do not all give theirs up and open them again in turn.

    :param usage: share of the endpoint's connections in use
    """
    span = limits.scarce_above - limits.plenty_below
    scarcity = (usage - limits.plenty_below) / span
    ratio = limits.scarce_idle / limits.idle_connection
    return float(
        limits.idle_connection * ratio ** min(max(scarcity, 0.0), 1.0)
    )
