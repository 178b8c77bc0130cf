"""Time sources, passed to the code that needs the time; in seconds."""

import abc
import time


class Clock(abc.ABC):
    """Source of monotonic time."""

    @abc.abstractmethod
    def now(self) -> float:
        """Return the monotonic time in seconds."""


class SystemClock(Clock):
    """Monotonic clock of the operating system."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()


class BootClock(Clock):
    """Monotonic clock that also advances while the system is suspended.

    It is used for leases and for everything else that must expire during a
    suspension.
    """

    def now(self) -> float:
        """Return the time since boot in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock(Clock):
    """Clock that moves only by calls to ``advance``."""

    def __init__(self, start: float = 0.0) -> None:
        """Initialize the clock.

        :param start: initial time in seconds
        """
        self._now = start

    def now(self) -> float:
        """Return the current time in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Move the clock forward.

        :param seconds: duration, not negative
        :raises ValueError: the duration is negative
        """
        if seconds < 0:
            raise ValueError("a monotonic clock cannot go backwards")
        self._now += seconds
