"""Detection of times at which this process did not run."""

import asyncio
import collections.abc

from fescuestile import clock

BEAT_SECONDS = 0.1


class PauseMonitor:
    """Compares a timer with the clock; pauses include suspensions."""

    def __init__(
        self,
        boot_clock: clock.Clock,
        limit: float,
        on_pause: collections.abc.Callable[[float], None],
    ) -> None:
        """Initialize; ``start`` starts the timer.

        :param limit: seconds without a check that count as a pause, more
            than ``BEAT_SECONDS``
        :param on_pause: called after a pause, with its seconds
        """
        self._clock = boot_clock
        self._limit = limit
        self._on_pause = on_pause
        self._checked_at = boot_clock.now()
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start the timer."""
        self._checked_at = self._clock.now()
        self._beat()

    def close(self) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def check(self) -> None:
        """Find out whether the process was paused until now.

        After a pause the event loop may read before it runs timers, so
        readers call this before they use what has arrived.
        """
        now = self._clock.now()
        elapsed = now - self._checked_at
        self._checked_at = now
        if elapsed > self._limit:
            self._on_pause(elapsed)

    def _beat(self) -> None:
        self.check()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(BEAT_SECONDS, self._beat)
