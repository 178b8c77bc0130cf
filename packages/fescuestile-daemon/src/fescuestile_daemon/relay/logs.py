"""Bounded structured logs on standard output that never block.

Lines wait in memory and are written by the event loop. Each event name has
an allowance of lines a second; what exceeds it, or what standard output does
not take, is dropped and counted in a later line.
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

# Lines of one event name a second, and at a burst. Ten event names at most
# repeat under load, so a daemon writes some 500 lines a second at worst.
LINES_PER_SECOND = 50.0
LINES_BURST = 100.0
# Pause between two writes, in seconds.
FLUSH_SECONDS = 0.1
# Bytes that wait for standard output at most.
MAX_PENDING_BYTES = 256 * 1024


class Allowance:
    """Lines that one event name may still write.

    :ivar dropped: lines left out since the last one that was written
    """

    def __init__(self, now: float) -> None:
        """Start with a burst."""
        self._lines = LINES_BURST
        self._at = now
        self.dropped = 0

    def take(self, now: float) -> bool:
        """Tell whether a line may be written; count it if not."""
        gained = (now - self._at) * LINES_PER_SECOND
        self._lines = min(LINES_BURST, self._lines + gained)
        self._at = now
        if self._lines < 1:
            self.dropped += 1
            return False
        self._lines -= 1
        return True


class Writer:
    """Keeps lines until standard output takes them."""

    def __init__(self, descriptor: int) -> None:
        """Write to a file descriptor, made non-blocking by ``start``."""
        self._descriptor = descriptor
        self._pending = bytearray()
        self._dropped = 0
        self._timer: asyncio.TimerHandle | None = None
        self._loop: asyncio.AbstractEventLoop | None = None

    def start(self) -> None:
        """Write from the running event loop on."""
        os.set_blocking(self._descriptor, False)
        self._loop = asyncio.get_running_loop()
        self._schedule()

    def close(self) -> None:
        """Write what standard output takes now."""
        if self._timer is not None:
            self._timer.cancel()
        self._loop = None
        self.flush()

    def write(self, line: bytes) -> None:
        """Keep a line."""
        if len(self._pending) + len(line) > MAX_PENDING_BYTES:
            self._dropped += 1
            return
        self._pending += line
        self._schedule()

    def flush(self) -> None:
        """Write what standard output takes."""
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
            # Standard output is gone; there is nowhere left to report it.
            self._pending.clear()
        if self._pending:
            self._schedule()

    def _schedule(self) -> None:
        if self._timer is None and self._loop is not None:
            self._timer = self._loop.call_later(FLUSH_SECONDS, self.flush)


class _Limiter:
    """Structlog processor that applies the allowances."""

    def __init__(self) -> None:
        self._allowances: dict[str, Allowance] = collections.defaultdict(
            lambda: Allowance(time.monotonic())
        )

    def __call__(
        self,
        logger: object,
        method: str,
        event: structlog.typing.EventDict,
    ) -> structlog.typing.EventDict:
        allowance = self._allowances[str(event.get("event"))]
        if not allowance.take(time.monotonic()):
            raise structlog.DropEvent
        if allowance.dropped:
            event["dropped_before"] = allowance.dropped
            allowance.dropped = 0
        return event


class _LineLogger:
    """Structlog's last stage: one line a call."""

    def __init__(self, writer: Writer) -> None:
        self._writer = writer

    def msg(self, line: str) -> None:
        self._writer.write(line.encode() + b"\n")

    debug = info = warning = error = critical = exception = msg


def configure_logs(daemon: str, level: str = "info") -> Writer:
    """Set up logging for the process.

    :param daemon: name that each line carries
    :param level: least severity that is written
    :returns: the writer, to be started with the event loop
    """
    writer = Writer(sys.stdout.fileno())
    limiter: typing.Any = _Limiter()

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
