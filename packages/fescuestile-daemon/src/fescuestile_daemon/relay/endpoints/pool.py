"""Pool of connections to one endpoint, each used by one task at a time."""

import asyncio
import collections
import collections.abc
import math
import time
import typing

from fescuestile import tenants
from fescuestile_daemon.relay.core import messages
from fescuestile_daemon.relay.core import options
from fescuestile_daemon.relay.core import ports
from fescuestile_daemon.relay.endpoints import connection_opener
from fescuestile_daemon.relay.endpoints import connection_requests
from fescuestile_daemon.relay.endpoints import connections_in_use
from fescuestile_daemon.relay.endpoints import idle_connections

Observer = connection_opener.Observer


class ConnectionPool:
    """Connections to one endpoint, opened when needed, up to a cap.

    Where there are tenants, or the pool retains its connections, it is
    shared: connections are closed for other tenants by their worth, and
    transactions hold a bounded part of them.

    :ivar cap: most connections that this daemon opens, and one for reports
    :ivar accepts_work: whether connections are given to work, and not only to
        status reports
    :ivar is_retaining: whether this daemon is to hold most of the endpoint's
        connections, so that idle ones are kept for long
    :ivar usage: share of the endpoint's connections that all daemons use
    """

    def __init__(
        self,
        entry: messages.EndpointEntry,
        dialer: ports.Dialer,
        relay_options: options.RelayOptions,
        cap: int,
        observer: Observer,
    ) -> None:
        """Initialize without opening a connection."""
        self._opener = connection_opener.ConnectionOpener(
            entry, dialer, relay_options, observer
        )
        self._options = relay_options
        self._idle = idle_connections.IdleConnections()
        self._in_use = connections_in_use.ConnectionsInUse(relay_options)
        self._requests = connection_requests.RequestQueue(self._wake_next)
        # Connections that are open or being opened.
        self._open = 0
        self._counts: collections.Counter[str] = collections.Counter()
        self._closed = False
        self._has_tenants = False
        self.cap = cap
        self.accepts_work = True
        self.is_retaining = False
        self.usage = 0.0

    @property
    def open(self) -> int:
        """Connections that are open or being opened."""
        return self._open

    @property
    def failed_until(self) -> float:
        """Monotonic seconds until which none is opened beside others."""
        return self._opener.failed_until

    @property
    def has_idle(self) -> bool:
        """Whether a connection is open and not in use."""
        return bool(self._idle)

    def has_idle_for(self, tenant: str) -> bool:
        """Return whether a connection of a tenant is open and not in use."""
        return bool(self._idle.count(tenant))

    @property
    def is_scarce(self) -> bool:
        """Whether the endpoint has few connections left for all daemons."""
        return self.usage >= self._options.scarce_above

    @property
    def _is_shared(self) -> bool:
        return self._has_tenants or self.is_retaining

    async def acquire(
        self,
        values: typing.Mapping[str, str] | None = None,
        inspects: bool = False,
        holds: bool = False,
        tenant: str = tenants.ANONYMOUS,
        level: int = 0,
    ) -> ports.EndpointConnection | messages.Outcome:
        """Acquire a connection, preferably one with given session values.

        :param values: session values that the statement needs
        :param inspects: whether it is for a status report, for which one
            connection above the cap may be opened, and the oldest is used:
            its answer shows that the endpoint has not started again since
        :param holds: whether it is kept for a transaction
        :param tenant: tenant whose statements run on it; a status report
            uses a connection of any tenant
        :param level: rank of the statements, 0 for the most urgent
        :returns: the connection, or why none could be opened
        """
        self._has_tenants |= tenant != tenants.ANONYMOUS
        request = connection_requests.Request(
            tenant, level, inspects, holds, time.monotonic()
        )
        connection = await self._find_connection(request, values)
        if isinstance(connection, ports.EndpointConnection):
            self._in_use.begin(connection, request, time.monotonic())
        return connection

    async def _find_connection(
        self,
        request: connection_requests.Request,
        values: typing.Mapping[str, str] | None,
    ) -> ports.EndpointConnection | messages.Outcome:
        has_waited = False
        while not self._closed and (self.accepts_work or request.inspects):
            connection = None
            if self._may_hold(request):
                connection = self._pop_idle(values, request)
            left = 0.0 if connection else self._find_open_delay(request)
            if left is not None and left <= 0:
                if has_waited and self._is_shared:
                    # Those that had to wait for it may go on.
                    asyncio.get_running_loop().call_soon(self._wake_next)
                return connection or await self._open_for(request)
            if left is None and self._is_shared:
                left = self._find_retry_delay(request)
            await self._requests.wait(request, left)
            request.is_blocked = False
            has_waited = True
        detail = "endpoint left" if self._closed else "the endpoint is leaving"
        return messages.Outcome(messages.Kind.BUSY, detail=detail)

    # Opening

    def _may_hold(self, request: connection_requests.Request) -> bool:
        """Return whether the bounds of transactions allow a request."""
        if not request.holds or not self._is_shared:
            return True
        others_wait = self._requests.has_others(request.tenant)
        return self._in_use.may_begin(request, self.cap, others_wait)

    def _may_open(self, request: connection_requests.Request) -> bool:
        if request.inspects and self._open <= self.cap:
            return True
        has_room = self._open < self.cap
        if self._is_shared and not request.inspects:
            # The connection replaces an idle one, if there must be no more.
            has_room = (has_room or bool(self._idle)) and (
                self._may_hold(request)
            )
        if not has_room:
            return False
        if not self._open:
            return True
        if time.monotonic() < self.failed_until:
            return False
        if not self.is_scarce:
            return True
        if not self._is_shared:
            return not self._count_short_use()
        if self._idle:
            return True
        if self.is_retaining:
            return not self._count_short_use(request.tenant)
        return not self._count_short_use()

    def _count_short_use(self, tenant: str | None = None) -> int:
        """Return how many connections in use run a single statement.

        :param tenant: count only those of a tenant
        """
        if tenant is None:
            held = self._in_use.count_held()
            return self._open - len(self._idle) - held
        held = self._in_use.count_held(tenant)
        return self._counts[tenant] - self._idle.count(tenant) - held

    def _find_open_delay(
        self, request: connection_requests.Request
    ) -> float | None:
        """Return the seconds to wait for a connection before opening one.

        Opening occupies one of the endpoint's slots for about the time of a
        statement, and while connections are scarce it leaves fewer to the
        other daemons, or takes one from another tenant.

        :returns: None if none may be opened
        """
        if not self._may_open(request):
            return None
        is_of_one = self._is_shared and not request.inspects
        plenty = self.usage < self._options.plenty_below and (
            request.inspects or self._open < self.cap
        )
        if plenty or not self._count_short_use(
            request.tenant if is_of_one else None
        ):
            return 0.0
        return request.since + self._options.dial_delay - time.monotonic()

    def _find_retry_delay(
        self, request: connection_requests.Request
    ) -> float | None:
        """Return after how long a request that must wait may go on.

        Transactions that have rested for too long are rolled back for it.

        :returns: seconds, None if only a released connection is of use
        """
        request.is_blocked = True
        now = time.monotonic()
        wanted = self._requests.count_blocked() + 1
        if self._in_use.resting.expire(wanted, now):
            return 0.0
        times = [self._in_use.resting.find_next(), self.failed_until]
        times = [at for at in times if now < at < math.inf]
        return min(times) - now if times else None

    async def _open_for(
        self, request: connection_requests.Request
    ) -> ports.EndpointConnection | messages.Outcome:
        if not request.inspects and self._idle:
            is_full = self._open >= self.cap
            if is_full or (self._is_shared and self.is_scarce):
                self._evict_idle()
        with self._in_use.count_opening(request):
            return await self._dial(request.tenant)

    # Releasing

    def release(self, connection: ports.EndpointConnection) -> None:
        """Return a connection on which no transaction is open."""
        if connection.closed or self._closed:
            self.discard(connection)
            return
        self._in_use.end(connection, time.monotonic())
        self._idle.add(connection)
        is_wanted = self._wake_next()
        scarce = self.usage >= self._options.plenty_below
        if self.is_retaining or not scarce or len(self._idle) <= 1:
            return
        if not self._has_tenants:
            self.discard(self._idle.pop_newest())
        elif not is_wanted:
            self._evict_idle()

    def discard(self, connection: ports.EndpointConnection) -> None:
        """Close an acquired connection whose state is unknown."""
        self._in_use.end(connection, time.monotonic())
        self._close(connection)
        self._wake_next()

    def rest(
        self,
        connection: ports.EndpointConnection,
        expire: collections.abc.Callable[[], None],
    ) -> None:
        """Record that the transaction on a connection waits for its caller.

        :param expire: rolls it back; called after the time of the option
            ``resting_transaction`` while others wait for a connection
        """
        self._in_use.resting.add(connection, time.monotonic(), expire)

    def resume(self, connection: ports.EndpointConnection) -> None:
        """Record that the transaction on a connection goes on."""
        self._in_use.resting.remove(connection)

    def trim(self) -> None:
        """Close connections and end transactions idle for too long."""
        now = time.monotonic()
        # A request that found no transaction at rest waits without a timer.
        self._in_use.resting.expire(self._requests.count_blocked(), now)
        limit = self._options.retained_idle
        if not self.is_retaining:
            limit = idle_connections.find_idle_limit(self._options, self.usage)
        ended = self._idle.pop_ended(now - limit)
        was_lost = any(connection.closed for connection in ended)
        for connection in ended:
            self.discard(connection)
        if ended and not self._open:
            self._opener.replaced_opened_at = (
                math.inf
                if was_lost
                else min(connection.opened_at for connection in ended)
            )
        if self.is_retaining and self.is_scarce and len(self._idle) > 1:
            self._evict_idle()
        while self._idle and self._open > self.cap + 1:
            self._evict_idle()

    def drop_idle(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self.discard(self._idle.pop_newest())

    def wake_all(self) -> None:
        """Let all that wait for a connection try again."""
        self._requests.wake_all()

    def close(self) -> None:
        """Close idle connections now, and those in use on their return."""
        self._closed = True
        self._opener.close()
        self.drop_idle()
        self.wake_all()

    def _close(self, connection: ports.EndpointConnection) -> None:
        connection.close()
        self._record_end(connection.tenant)

    def _record_end(self, tenant: str) -> None:
        self._open -= 1
        self._counts[tenant] -= 1
        if not self._counts[tenant]:
            del self._counts[tenant]

    def _pop_idle(
        self,
        values: typing.Mapping[str, str] | None,
        request: connection_requests.Request,
    ) -> ports.EndpointConnection | None:
        while True:
            connection = (
                self._idle.pop_oldest()
                if request.inspects
                else self._idle.pop(values, request.tenant)
            )
            if connection is None or not connection.closed:
                return connection
            self._record_end(connection.tenant)

    def _evict_idle(self) -> None:
        """Close the least valuable idle connection."""
        connection = self._idle.pop_least_valuable(
            self._counts, self._in_use.uses, time.monotonic()
        )
        if connection is None:
            return
        was_lost = connection.closed
        self._close(connection)
        if not self._open and not was_lost:
            self._opener.replaced_opened_at = connection.opened_at

    async def _dial(
        self, tenant: str
    ) -> ports.EndpointConnection | messages.Outcome:
        self._open += 1
        self._counts[tenant] += 1
        connection = None
        try:
            connection = await self._opener.open(tenant)
            if (
                isinstance(connection, messages.Outcome)
                and connection.kind is messages.Kind.TOO_MANY_CONNECTIONS
            ):
                self.usage = 1.0
            return connection
        finally:
            if not isinstance(connection, ports.EndpointConnection):
                self._record_end(tenant)
                self._wake_next()

    def _wake_next(self) -> bool:
        """Wake a request that may proceed; return whether there is one."""
        if not self._is_shared:
            return self._requests.wake_first()
        return self._requests.wake(self._rate_request)

    def _rate_request(
        self, request: connection_requests.Request
    ) -> tuple[float, ...] | None:
        """Return the order in which a request proceeds, None if it may not.

        One that needs no new connection goes first, then the most urgent.
        """
        if not self._may_hold(request):
            return None
        has_usable = (
            self.has_idle
            if request.inspects
            else self.has_idle_for(request.tenant)
        )
        if not has_usable:
            left = self._find_open_delay(request)
            if left is None or left > 0:
                return None
        return not has_usable, request.level, request.since
