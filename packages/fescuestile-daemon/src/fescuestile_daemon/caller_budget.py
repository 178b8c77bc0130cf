"""Bytes that are held for the streams of callers."""

import asyncio
import collections
import collections.abc
import time

import structlog

log = structlog.get_logger(__name__)

LOG_SECONDS = 1.0
# Streams that hold less are not closed for the sake of others.
SMALL_BYTES = 64 * 1024
# From this share of the total on, no further requests of streams that hold
# more than ``SMALL_BYTES`` are read.
PAUSE_SHARE = 0.6
PAUSE_SECONDS = 0.02


class Causes:
    """Counts refused and closed streams; logs each cause once a second."""

    def __init__(self) -> None:
        """Start without causes."""
        self.counts: collections.Counter[str] = collections.Counter()
        self._logged: dict[str, tuple[float, int]] = {}

    def add(self, cause: str) -> None:
        """Count a cause."""
        self.counts[cause] += 1
        now = time.monotonic()
        logged_at, known = self._logged.get(cause, (-LOG_SECONDS, 0))
        if now - logged_at >= LOG_SECONDS:
            total = self.counts[cause]
            self._logged[cause] = now, total
            log.warning("callers limited", cause=cause, count=total - known)


class CallerBudget:
    """Bounds the bytes held for all streams together.

    :ivar total: bytes held
    """

    def __init__(self, max_bytes: int) -> None:
        """Start without streams."""
        self._max_bytes = max_bytes
        self.shares: set[Share] = set()
        self.total = 0
        self.causes = Causes()

    @property
    def is_scarce(self) -> bool:
        """Whether streams that hold much should not be read."""
        return self.total > self._max_bytes * PAUSE_SHARE

    def relieve(self) -> None:
        """End the streams that hold most until the total is in bounds."""
        while self.total > self._max_bytes:
            largest = max(self.shares, key=_get_held, default=None)
            if largest is None or largest.held < SMALL_BYTES:
                return
            self.causes.add("too many bytes held")
            largest.end_stream()


class Share:
    """Bytes held for one stream: its requests in flight, unsent answers.

    :ivar held: number of bytes
    """

    def __init__(
        self,
        budget: CallerBudget,
        max_bytes: int,
        end: collections.abc.Callable[[], None],
    ) -> None:
        """Start without bytes.

        :param max_bytes: no further request is read from here on
        :param end: ends the stream
        """
        self._budget = budget
        self._max_bytes = max_bytes
        self._end = end
        self._readable = asyncio.Event()
        self._readable.set()
        self._is_closed = False
        self.held = 0
        budget.shares.add(self)

    def add(self, size: int) -> None:
        """Add to the bytes held; a negative size releases bytes."""
        if self._is_closed:
            return
        self.held += size
        self._budget.total += size
        if self.held >= self._max_bytes:
            self._readable.clear()
        else:
            self._readable.set()
        if size > 0:
            self._budget.relieve()

    async def wait_readable(self) -> None:
        """Wait until a further request may be read."""
        await self._readable.wait()
        while self.held > SMALL_BYTES and self._budget.is_scarce:
            await asyncio.sleep(PAUSE_SECONDS)

    def end_stream(self) -> None:
        """End the stream and release its bytes."""
        self.close()
        self._end()

    def close(self) -> None:
        """Release the bytes."""
        self._is_closed = True
        self._budget.shares.discard(self)
        self._budget.total -= self.held
        self.held = 0


def _get_held(share: Share) -> int:
    return share.held
