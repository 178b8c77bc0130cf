"""Connections to one endpoint, lent to one piece of work at a time."""

import asyncio
import collections
import collections.abc
import dataclasses
import time
import typing

from fescuestile_daemon.relay import messages
from fescuestile_daemon.relay import options
from fescuestile_daemon.relay import ports


@dataclasses.dataclass(frozen=True, slots=True)
class Observer:
    """Who learns of connections being opened.

    :ivar note_dialling: called before
    :ivar note_dialled: called after, with why it failed or None
    """

    note_dialling: collections.abc.Callable[[], None]
    note_dialled: collections.abc.Callable[[messages.Outcome | None], None]


class ChannelPool:
    """Lends connections, opens them when needed, up to a cap.

    :ivar cap: connections that this daemon opens at most
    :ivar usage: share of the endpoint's connections that all daemons use
    :ivar failed_until: steady seconds before which no connection is opened
        while there is another
    """

    def __init__(
        self,
        entry: messages.EndpointEntry,
        dialer: ports.Dialer,
        relay_options: options.RelayOptions,
        cap: int,
        observer: Observer,
    ) -> None:
        """Start without a connection."""
        self._observer = observer
        self._entry = entry
        self._dialer = dialer
        self._options = relay_options
        self._idle: list[ports.Channel] = []
        self._held: set[ports.Channel] = set()
        self._waiters: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )
        self._open = 0
        self._closed = False
        self.cap = cap
        self.usage = 0.0
        self.failed_until = 0.0

    @property
    def open(self) -> int:
        """Connections that are open or being opened."""
        return self._open

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
        return not self.is_scarce or not self._count_brief()

    def _count_brief(self) -> int:
        """Return how many connections will be free after one statement."""
        return self._open - len(self._idle) - len(self._held)

    def _find_patience(self) -> float:
        """Return how long to wait for a connection rather than open one.

        Opening takes one of the endpoint's slots for about a statement's
        time, and while connections are scarce it takes another daemon's.
        """
        plenty = self.usage < self._options.plenty_below
        if plenty or not self._count_brief():
            return 0.0
        return self._options.dial_patience

    async def lease(
        self,
        values: typing.Mapping[str, str] | None = None,
        inspects: bool = False,
        holds: bool = False,
    ) -> ports.Channel | messages.Outcome:
        """Lend a connection, one with the wanted session values if any.

        :param values: session values that the work needs
        :param inspects: a question to the endpoint itself, for which one
            connection above the cap may be opened
        :param holds: it is kept for a transaction
        :returns: the connection, or why none could be opened
        """
        channel = await self._find_channel(values, inspects)
        if holds and isinstance(channel, ports.Channel):
            self._held.add(channel)
        return channel

    async def _find_channel(
        self, values: typing.Mapping[str, str] | None, inspects: bool
    ) -> ports.Channel | messages.Outcome:
        asked_at = time.monotonic()
        while not self._closed:
            channel = self._take_idle(values)
            if channel is not None:
                return channel
            left: float | None = None
            if self._may_dial() or (inspects and self._open <= self.cap):
                left = asked_at + self._find_patience() - time.monotonic()
                if left <= 0:
                    return await self._dial()
            await self._wait(left)
        return messages.Outcome(messages.Kind.BUSY, detail="endpoint left")

    async def _wait(self, seconds: float | None) -> None:
        """Wait until a connection may be free, or for so many seconds."""
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
                self._wake()
            raise

    def give_back(self, channel: ports.Channel) -> None:
        """Take back a connection that is between transactions."""
        self._held.discard(channel)
        if channel.closed or self._closed:
            self.discard(channel)
            return
        self._idle.append(channel)
        self._wake()
        crowded = self.usage >= self._options.plenty_below
        if crowded and len(self._idle) > 1:
            self.discard(self._idle.pop(0))

    def discard(self, channel: ports.Channel) -> None:
        """Close a lent connection whose state is in doubt."""
        self._held.discard(channel)
        channel.close()
        self._open -= 1
        self._wake()

    def trim(self) -> None:
        """Close connections that were not needed lately."""
        oldest = time.monotonic() - (
            self._options.scarce_idle
            if self.is_scarce
            else self._options.idle_connection
        )
        for channel in list(self._idle):
            if channel.closed or channel.used_at < oldest:
                self._idle.remove(channel)
                self.discard(channel)

    def drop_idle(self) -> None:
        """Close all connections that are not lent."""
        while self._idle:
            self.discard(self._idle.pop())

    def close(self) -> None:
        """Close what is idle now and what is lent when it comes back."""
        self._closed = True
        self.drop_idle()
        while self._waiters:
            self._wake()

    def _take_idle(
        self, values: typing.Mapping[str, str] | None
    ) -> ports.Channel | None:
        while self._idle:
            place = len(self._idle) - 1
            if values is not None:
                for index in range(place, -1, -1):
                    if self._idle[index].values == values:
                        place = index
                        break
            channel = self._idle.pop(place)
            if not channel.closed:
                return channel
            self._open -= 1
        return None

    async def _dial(self) -> ports.Channel | messages.Outcome:
        self._open += 1
        opened = False
        delay = self._options.redial_delay
        self._observer.note_dialling()
        try:
            async with asyncio.timeout(self._options.dial_timeout):
                channel = await self._dialer.dial(self._entry)
            if isinstance(channel, messages.Outcome):
                self._observer.note_dialled(channel)
                if channel.kind is messages.Kind.TOO_MANY_CONNECTIONS:
                    delay = self._options.refused_delay
                    self.usage = 1.0
                return channel
            if self._closed:
                channel.close()
                return messages.Outcome(messages.Kind.BUSY, detail="left")
            opened = True
            self._observer.note_dialled(None)
            return channel
        except TimeoutError:
            return messages.Outcome(
                messages.Kind.LOST, detail="connection not opened in time"
            )
        finally:
            if not opened:
                self._open -= 1
                self.failed_until = time.monotonic() + delay
                self._wake()

    def _wake(self) -> None:
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
