"""Clocks that decisions take as an argument, in seconds."""

import abc
import time


class Clock(abc.ABC):
    """Source of monotonic time."""

    @abc.abstractmethod
    def now(self) -> float:
        """Return the monotonic time in seconds."""


class SystemClock(Clock):
    """Monotonic clock of this machine."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()


class BootClock(Clock):
    """Monotonic clock that also counts the time of a suspension.

    Leases and whatever else must not outlive a suspension use this one.
    """

    def now(self) -> float:
        """Return the time since boot in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock(Clock):
    """Clock that moves only when told to."""

    def __init__(self, start: float = 0.0) -> None:
        """Start the clock at ``start`` seconds."""
        self._now = start

    def now(self) -> float:
        """Return the time the clock was moved to, in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Move the clock forward.

        :param seconds: how far, not negative
        """
        if seconds < 0:
            raise ValueError("a monotonic clock does not go back")
        self._now += seconds
