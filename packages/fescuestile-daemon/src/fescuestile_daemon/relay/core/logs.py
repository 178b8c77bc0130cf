"""Structured logs on standard output, rate limited and non-blocking.

Lines are buffered in memory and written by the event loop. Each event name
has a token bucket; lines beyond it, or beyond the buffer, are dropped and
counted in a later line.
"""

import asyncio
import collections
import json
import logging
import os
import sys
import time
import typing

import structlog

# Limits of each event name. At most ten event names repeat under load, so a
# daemon writes some 500 lines a second at worst.
LINES_PER_SECOND = 50.0
BURST_LINES = 100.0
FLUSH_SECONDS = 0.1
# Size of the buffer; lines beyond it are dropped.
MAX_PENDING_BYTES = 256 * 1024


class TokenBucket:
    """Token bucket of one event name; a line costs one token.

    :ivar dropped: lines dropped since the last one that was written
    """

    def __init__(self, now: float) -> None:
        """Start with a full bucket.

        :param now: monotonic seconds
        """
        self._tokens = BURST_LINES
        self._refilled_at = now
        self.dropped = 0

    def try_acquire(self, now: float) -> bool:
        """Return whether a line may be written; count it as dropped if not."""
        refill = (now - self._refilled_at) * LINES_PER_SECOND
        self._tokens = min(BURST_LINES, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            self.dropped += 1
            return False
        self._tokens -= 1
        return True


class Writer:
    """Buffers lines until standard output accepts them."""

    def __init__(self, descriptor: int) -> None:
        """Write to a file descriptor, made non-blocking by ``start``."""
        self._descriptor = descriptor
        self._pending = bytearray()
        self._dropped = 0
        self._timer: asyncio.TimerHandle | None = None
        self._loop: asyncio.AbstractEventLoop | None = None

    def start(self) -> None:
        """Write from now on in the running event loop."""
        os.set_blocking(self._descriptor, False)
        self._loop = asyncio.get_running_loop()
        self._schedule()

    def close(self) -> None:
        """Write what standard output accepts now, and stop the timer."""
        if self._timer is not None:
            self._timer.cancel()
        self._loop = None
        self.flush()

    def write(self, line: bytes) -> None:
        """Buffer a line; drop it when the buffer is full."""
        if len(self._pending) + len(line) > MAX_PENDING_BYTES:
            self._dropped += 1
            return
        self._pending += line
        self._schedule()

    def flush(self) -> None:
        """Write what standard output accepts; the rest stays buffered."""
        self._timer = None
        if self._dropped and len(self._pending) < MAX_PENDING_BYTES // 2:
            note = {"event": "log lines dropped", "count": self._dropped}
            self._pending += json.dumps(note).encode() + b"\n"
            self._dropped = 0
        try:
            written = os.write(self._descriptor, self._pending)
            del self._pending[:written]
        except BlockingIOError:
            pass
        except OSError:
            # Standard output is closed, so the error cannot be reported.
            self._pending.clear()
        if self._pending:
            self._schedule()

    def _schedule(self) -> None:
        if self._timer is None and self._loop is not None:
            self._timer = self._loop.call_later(FLUSH_SECONDS, self.flush)


class _RateLimiter:
    """Structlog processor that limits the rate of each event name."""

    def __init__(self) -> None:
        self._buckets: dict[str, TokenBucket] = collections.defaultdict(
            lambda: TokenBucket(time.monotonic())
        )

    def __call__(
        self,
        logger: object,
        method: str,
        event: structlog.typing.EventDict,
    ) -> structlog.typing.EventDict:
        bucket = self._buckets[str(event.get("event"))]
        if not bucket.try_acquire(time.monotonic()):
            raise structlog.DropEvent
        if bucket.dropped:
            event["dropped_before"] = bucket.dropped
            bucket.dropped = 0
        return event


class _LineLogger:
    """Structlog logger that writes one line a call."""

    def __init__(self, writer: Writer) -> None:
        self._writer = writer

    def msg(self, line: str) -> None:
        self._writer.write(line.encode() + b"\n")

    debug = info = warning = error = critical = exception = msg


def configure_logs(daemon: str, level: str = "info") -> Writer:
    """Set up logging for the process.

    :param daemon: name that each line carries
    :param level: lowest severity that is written
    :returns: the writer, to be started in the event loop
    """
    writer = Writer(sys.stdout.fileno())
    limiter: typing.Any = _RateLimiter()

    def add_daemon(
        logger: object, method: str, event: structlog.typing.EventDict
    ) -> structlog.typing.EventDict:
        event["daemon"] = daemon
        return event

    structlog.configure(
        processors=[
            limiter,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            add_daemon,
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(default=str),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=lambda *args: _LineLogger(writer),
        cache_logger_on_first_use=True,
    )
    return writer
