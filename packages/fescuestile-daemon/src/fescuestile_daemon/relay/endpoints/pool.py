"""Pool of connections to one endpoint, each used by one task at a time."""

import asyncio
import collections
import collections.abc
import dataclasses
import math
import time
import typing

from fescuestile import tenants
from fescuestile_daemon.relay.core import messages
from fescuestile_daemon.relay.core import options
from fescuestile_daemon.relay.core import ports


@dataclasses.dataclass(frozen=True, slots=True)
class Observer:
    """Callbacks around the opening of a connection.

    :ivar on_dial_started: called before the attempt
    :ivar on_dial_ended: called after it, with the reason of a failure or
        None; not called when the attempt timed out
    """

    on_dial_started: collections.abc.Callable[[], None]
    on_dial_ended: collections.abc.Callable[[messages.Outcome | None], None]


class ConnectionPool:
    """Connections to one endpoint, opened when needed, up to a cap.

    :ivar cap: most connections that this daemon opens
    :ivar accepts_work: whether connections are given to work, and not only to
        status reports
    :ivar usage: share of the endpoint's connections that all daemons use
    :ivar failed_until: monotonic seconds until which, after a failed
        attempt, none is opened as long as another one is open
    :ivar is_retaining: whether idle connections are kept, because this
        daemon uses the endpoint for others, too
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
        self._observer = observer
        self._entry = entry
        self._dialer = dialer
        self._options = relay_options
        self._idle: list[ports.EndpointConnection] = []
        self._held: set[ports.EndpointConnection] = set()
        self._waiters: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )
        self._open = 0
        # When the last connection had been opened, if it was closed here
        # because it was idle: the next one takes its place.
        self._replaced_opened_at = math.inf
        self._closed = False
        self.cap = cap
        self.accepts_work = True
        self.is_retaining = False
        self.usage = 0.0
        self.failed_until = 0.0

    @property
    def open(self) -> int:
        """Connections that are open or being opened."""
        return self._open

    @property
    def has_idle(self) -> bool:
        """Whether a connection is open and not in use."""
        return bool(self._idle)

    @property
    def is_scarce(self) -> bool:
        """Whether the endpoint has few connections left for all daemons."""
        return self.usage >= self._options.scarce_above

    def _may_dial(self) -> bool:
        if self._open >= self.cap:
            return False
        if not self._open:
            return True
        if time.monotonic() < self.failed_until:
            return False
        return not self.is_scarce or not self._count_short_use()

    def _count_short_use(self) -> int:
        """Return how many connections in use run a single statement."""
        return self._open - len(self._idle) - len(self._held)

    def _find_dial_delay(self) -> float:
        """Return the seconds to wait for a connection before opening one.

        Opening occupies one of the endpoint's slots for about the time of a
        statement, and while connections are scarce it leaves fewer to the
        other daemons.
        """
        plenty = self.usage < self._options.plenty_below
        if plenty or not self._count_short_use():
            return 0.0
        return self._options.dial_delay

    async def acquire(
        self,
        values: typing.Mapping[str, str] | None = None,
        inspects: bool = False,
        holds: bool = False,
        tenant: str = tenants.ANONYMOUS,
    ) -> ports.EndpointConnection | messages.Outcome:
        """Acquire a connection, preferably one with given session values.

        :param values: session values that the statement needs
        :param inspects: whether it is for a status report, for which one
            connection above the cap may be opened, and the oldest is used:
            its answer shows that the endpoint has not started again since
        :param holds: whether it is kept for a transaction
        :param tenant: tenant whose statements run on it; a status report
            uses a connection of any tenant
        :returns: the connection, or why none could be opened
        """
        connection = await self._find_connection(values, inspects, tenant)
        if holds and isinstance(connection, ports.EndpointConnection):
            self._held.add(connection)
        return connection

    async def _find_connection(
        self,
        values: typing.Mapping[str, str] | None,
        inspects: bool,
        tenant: str,
    ) -> ports.EndpointConnection | messages.Outcome:
        requested_at = time.monotonic()
        while not self._closed and (self.accepts_work or inspects):
            connection = self._pop_idle(values, inspects, tenant)
            if connection is not None:
                return connection
            left: float | None = None
            if self._open >= self.cap and not inspects:
                self._evict_idle()
            if self._may_dial() or (inspects and self._open <= self.cap):
                left = (
                    requested_at + self._find_dial_delay() - time.monotonic()
                )
                if left <= 0:
                    return await self._dial(tenant)
            await self._wait(left)
        detail = "endpoint left" if self._closed else "the endpoint is leaving"
        return messages.Outcome(messages.Kind.BUSY, detail=detail)

    async def _wait(self, seconds: float | None) -> None:
        """Wait until a connection may be free.

        :param seconds: longest wait, None for no limit
        """
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        try:
            async with asyncio.timeout(seconds):
                await waiter
        except TimeoutError:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self._wake_next()
            raise

    def release(self, connection: ports.EndpointConnection) -> None:
        """Return a connection on which no transaction is open."""
        self._held.discard(connection)
        if connection.closed or self._closed:
            self.discard(connection)
            return
        self._idle.append(connection)
        self._wake_next()
        scarce = self.usage >= self._options.plenty_below
        if scarce and len(self._idle) > 1:
            newest = max(self._idle, key=lambda each: each.opened_at)
            self._idle.remove(newest)
            self.discard(newest)

    def discard(self, connection: ports.EndpointConnection) -> None:
        """Close an acquired connection whose state is unknown."""
        self._held.discard(connection)
        connection.close()
        self._open -= 1
        self._wake_next()

    def trim(self) -> None:
        """Close connections that have been idle for too long."""
        oldest = time.monotonic() - self._find_idle_limit()
        ended = [
            connection
            for connection in self._idle
            if connection.closed or connection.used_at < oldest
        ]
        was_lost = any(connection.closed for connection in ended)
        for connection in ended:
            self._idle.remove(connection)
            self.discard(connection)
        if ended and not self._open:
            self._replaced_opened_at = (
                math.inf
                if was_lost
                else min(connection.opened_at for connection in ended)
            )

    def _find_idle_limit(self) -> float:
        """Return for how many seconds a connection may be idle.

        The limit falls steadily with the connections that are left, so that
        daemons do not all give theirs up and open them again in turn.
        """
        limits = self._options
        span = limits.scarce_above - limits.plenty_below
        scarcity = (self.usage - limits.plenty_below) / span
        ratio = limits.scarce_idle / limits.idle_connection
        return float(
            limits.idle_connection * ratio ** min(max(scarcity, 0.0), 1.0)
        )

    def drop_idle(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self.discard(self._idle.pop())

    def wake_all(self) -> None:
        """Let all that wait for a connection try again."""
        waiters, self._waiters = self._waiters, collections.deque()
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    def close(self) -> None:
        """Close idle connections now, and those in use on their return."""
        self._closed = True
        self.drop_idle()
        self.wake_all()

    def _pop_idle(
        self,
        values: typing.Mapping[str, str] | None,
        oldest: bool,
        tenant: str,
    ) -> ports.EndpointConnection | None:
        while True:
            usable = [
                index
                for index, connection in enumerate(self._idle)
                if oldest or connection.tenant == tenant
            ]
            if not usable:
                return None
            chosen = usable[-1]
            if oldest:
                chosen = min(
                    usable, key=lambda index: self._idle[index].opened_at
                )
            elif values is not None:
                for index in reversed(usable):
                    if self._idle[index].values == values:
                        chosen = index
                        break
            connection = self._idle.pop(chosen)
            if not connection.closed:
                return connection
            self._open -= 1

    def _evict_idle(self) -> None:
        """Close the connection that has been idle for longest."""
        if self._idle:
            oldest = min(self._idle, key=lambda each: each.used_at)
            self._idle.remove(oldest)
            self.discard(oldest)

    async def _dial(
        self, tenant: str
    ) -> ports.EndpointConnection | messages.Outcome:
        self._open += 1
        opened = False
        delay = self._options.redial_delay
        replaced_opened_at = self._replaced_opened_at
        self._replaced_opened_at = math.inf
        self._observer.on_dial_started()
        try:
            async with asyncio.timeout(self._options.dial_timeout):
                connection = await self._dialer.dial(self._entry, tenant)
            if isinstance(connection, messages.Outcome):
                self._observer.on_dial_ended(connection)
                if connection.kind is messages.Kind.TOO_MANY_CONNECTIONS:
                    delay = self._options.refused_delay
                    self.usage = 1.0
                    self._replaced_opened_at = replaced_opened_at
                return connection
            if self._closed:
                connection.close()
                return messages.Outcome(messages.Kind.BUSY, detail="left")
            opened = True
            connection.opened_at = min(time.monotonic(), replaced_opened_at)
            self._observer.on_dial_ended(None)
            return connection
        except TimeoutError:
            return messages.Outcome(
                messages.Kind.LOST, detail="connection not opened in time"
            )
        finally:
            if not opened:
                self._open -= 1
                self.failed_until = time.monotonic() + delay
                self._wake_next()

    def _wake_next(self) -> None:
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
