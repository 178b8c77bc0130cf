"""Suspensions of this daemon, after which its configuration may be old."""

import asyncio
import collections.abc

import structlog

from fescuestile import clock

log = structlog.get_logger()

# A pause of the event loop that counts as a suspension. A version must be in
# force some seconds after its acknowledgement, so shorter pauses are part of
# the time that the watch of the store has.
SUSPENSION_SECONDS = 1.0
TICK_SECONDS = 0.2
# Longest wait for the store, below the usual time limit of a statement: while
# the store is unavailable, the daemon goes on with the version it has.
READ_SECONDS = 0.5

Read = collections.abc.Callable[[], collections.abc.Awaitable[bool]]


class SuspensionGuard:
    """Holds work back after a suspension until the store has been read.

    Work checks for the suspension itself: in the first turn of the event
    loop after it, requests of callers come before all timers.
    """

    def __init__(
        self,
        boot_clock: clock.Clock,
        read: Read | None,
        applies: collections.abc.Callable[[], bool] = lambda: True,
    ) -> None:
        """Initialize; ``start`` begins to look for suspensions.

        :param boot_clock: advances while the host is suspended
        :param read: reads the configuration again and returns whether the
            store answered, None where there is no store
        :param applies: tells whether work depends on the configuration being
            current, as it does where keys may be revoked
        """
        self._clock = boot_clock
        self._read = read
        self._applies = applies
        self._seen_at: float | None = None
        self._reading: asyncio.Task[None] | None = None
        self._ticking: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Look for suspensions from now on."""
        self._seen_at = self._clock.now()
        self._ticking = asyncio.create_task(self._tick())

    def close(self) -> None:
        """Stop to look for suspensions."""
        self._seen_at = None
        for task in (self._ticking, self._reading):
            if task is not None:
                task.cancel()

    def is_current(self) -> bool:
        """Return whether the store was read since the last suspension."""
        if self._seen_at is None or self._read is None:
            return True
        now = self._clock.now()
        paused, self._seen_at = now - self._seen_at, now
        if paused > SUSPENSION_SECONDS and self._applies():
            if self._reading is not None:
                # Its answer may be from before this suspension.
                self._reading.cancel()
            self._reading = asyncio.create_task(
                self._read_again(self._read, paused)
            )
        return self._reading is None or self._reading.done()

    async def wait_current(self) -> None:
        """Wait until the store was read, or for ``READ_SECONDS``."""
        while not self.is_current() and self._reading is not None:
            await asyncio.wait((self._reading,))

    async def _tick(self) -> None:
        while True:
            self.is_current()
            await asyncio.sleep(TICK_SECONDS)

    async def _read_again(self, read: Read, paused: float) -> None:
        is_read = False
        try:
            async with asyncio.timeout(READ_SECONDS):
                is_read = await read()
        except TimeoutError:
            pass
        log.info(
            "configuration read again after a suspension",
            paused_seconds=round(paused, 2),
            is_read=is_read,
        )
