"""Connections of a pool that are in use, and by what."""

import collections.abc
import contextlib
import math
import typing

from fescuestile import connection_eviction
from fescuestile import transaction_bounds
from fescuestile_daemon.relay.core import options
from fescuestile_daemon.relay.core import ports
from fescuestile_daemon.relay.endpoints import connection_requests


class ConnectionsInUse:
    """Connections that requests use, those held by transactions bounded.

    :ivar uses: recent use by tenants
    :ivar resting: transactions that wait for their callers
    """

    def __init__(self, relay_options: options.RelayOptions) -> None:
        """Initialize without connections."""
        self.uses = connection_eviction.ConnectionUses(
            relay_options.use_window
        )
        self.resting = RestingTransactions(relay_options.resting_transaction)
        self._bounds = transaction_bounds.TransactionBounds(
            relay_options.transaction_share,
            relay_options.tenant_transaction_share,
        )
        self._requests: dict[
            ports.EndpointConnection, connection_requests.Request
        ] = {}
        # Connections being opened for transactions.
        self._opening = 0

    def count_held(self, tenant: str | None = None) -> int:
        """Return how many connections transactions hold.

        :param tenant: count only its transactions, and also what is being
            opened for them
        """
        if tenant is None:
            return self._bounds.total - self._opening
        return self._bounds.count(tenant)

    def may_begin(
        self, request: connection_requests.Request, cap: int, others_wait: bool
    ) -> bool:
        """Return whether a request's transaction may take a connection.

        :param cap: connections that the daemon may open
        :param others_wait: whether work of another tenant waits for one
        """
        return self._bounds.may_begin(request.tenant, cap, others_wait)

    @contextlib.contextmanager
    def count_opening(
        self, request: connection_requests.Request
    ) -> typing.Iterator[None]:
        """Count a connection while it is being opened for a transaction."""
        if not request.holds:
            yield
            return
        self._bounds.add(request.tenant)
        self._opening += 1
        try:
            yield
        finally:
            self._bounds.remove(request.tenant)
            self._opening -= 1

    def begin(
        self,
        connection: ports.EndpointConnection,
        request: connection_requests.Request,
        now: float,
    ) -> None:
        """Record that a request has got a connection."""
        request.started_at = now
        self._requests[connection] = request
        if request.holds:
            self._bounds.add(request.tenant)

    def end(self, connection: ports.EndpointConnection, now: float) -> None:
        """Record that a connection is not in use any more."""
        request = self._requests.pop(connection, None)
        if request is None:
            return
        self.resting.end(connection)
        if request.holds:
            self._bounds.remove(request.tenant)
        if not request.inspects:
            connection.used_level = request.level
            seconds = now - request.started_at
            self.uses.record(request.tenant, seconds, now)


class RestingTransactions:
    """Transactions that hold a connection between two statements."""

    def __init__(self, limit: float) -> None:
        """Initialize without transactions.

        :param limit: seconds after which one may be rolled back for others
        """
        self._limit = limit
        self._resting: dict[
            ports.EndpointConnection,
            tuple[float, collections.abc.Callable[[], None]],
        ] = {}
        self._ending: set[ports.EndpointConnection] = set()

    def add(
        self,
        connection: ports.EndpointConnection,
        now: float,
        expire: collections.abc.Callable[[], None],
    ) -> None:
        """Record that a transaction rests.

        :param expire: rolls it back and releases its connection
        """
        self._resting.pop(connection, None)
        self._resting[connection] = now, expire

    def remove(self, connection: ports.EndpointConnection) -> None:
        """Record that a transaction goes on."""
        self._resting.pop(connection, None)

    def end(self, connection: ports.EndpointConnection) -> None:
        """Record that a transaction has released its connection."""
        self._resting.pop(connection, None)
        self._ending.discard(connection)

    def find_next(self) -> float:
        """Return when the next one may be rolled back, infinite for none."""
        for since, _ in self._resting.values():
            return since + self._limit
        return math.inf

    def expire(self, wanted: int, now: float) -> bool:
        """Roll back those that have rested for too long, oldest first.

        :param wanted: requests that wait for a connection
        :returns: whether there were any
        """
        expired = False
        for _ in range(wanted - len(self._ending)):
            if self.find_next() > now:
                break
            connection = next(iter(self._resting))
            _, expire = self._resting.pop(connection)
            self._ending.add(connection)
            expired = True
            expire()
        return expired
