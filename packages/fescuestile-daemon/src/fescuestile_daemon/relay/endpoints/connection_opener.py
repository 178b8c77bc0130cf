"""Opens connections to one endpoint."""

import asyncio
import collections.abc
import dataclasses
import math
import time

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


class ConnectionOpener:
    """Opens connections, and pauses after each failure.

    :ivar failed_until: monotonic seconds until which, after a failed
        attempt, none is to be opened as long as another one is open
    :ivar replaced_opened_at: when the last connection had been opened, if it
        was closed here because it was idle: the next one takes its place
    """

    def __init__(
        self,
        entry: messages.EndpointEntry,
        dialer: ports.Dialer,
        relay_options: options.RelayOptions,
        observer: Observer,
    ) -> None:
        """Initialize without opening a connection."""
        self._entry = entry
        self._dialer = dialer
        self._options = relay_options
        self._observer = observer
        self._closed = False
        self.failed_until = 0.0
        self.replaced_opened_at = math.inf

    def close(self) -> None:
        """Close what is opened from now on."""
        self._closed = True

    async def open(
        self, tenant: str
    ) -> ports.EndpointConnection | messages.Outcome:
        """Open a connection; return it, or why it could not be opened.

        :param tenant: tenant whose statements run on it
        """
        opened = False
        delay = self._options.redial_delay
        replaced_opened_at = self.replaced_opened_at
        self.replaced_opened_at = math.inf
        self._observer.on_dial_started()
        try:
            async with asyncio.timeout(self._options.dial_timeout):
                connection = await self._dialer.dial(self._entry, tenant)
            if isinstance(connection, messages.Outcome):
                self._observer.on_dial_ended(connection)
                if connection.kind is messages.Kind.TOO_MANY_CONNECTIONS:
                    delay = self._options.refused_delay
                    self.replaced_opened_at = replaced_opened_at
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
                self.failed_until = time.monotonic() + delay
