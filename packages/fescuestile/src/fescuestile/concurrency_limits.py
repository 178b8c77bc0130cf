"""Limits of the statements that run at an endpoint at a time."""

import abc

MIN_SERVICE_SECONDS = 1e-6


class ConcurrencyLimit(abc.ABC):
    """Limit between 1 and a cap that follows the statements that end."""

    def __init__(self, cap: int) -> None:
        """Initialize with the limit at the cap.

        :param cap: highest limit, in statements at a time
        """
        self._cap = cap
        self._limit = float(cap)

    @property
    def limit(self) -> int:
        """Number of statements that may run at a time, at least 1."""
        return max(1, int(self._limit + 1e-9))

    def set_cap(self, cap: int) -> None:
        """Change the cap and reset the limit to it.

        :param cap: highest limit, in statements at a time
        """
        if cap != self._cap:
            self._cap = cap
            self._limit = float(cap)
            self.reset()

    @abc.abstractmethod
    def observe(
        self, kind: str, seconds: float, in_flight: int, ok: bool
    ) -> int:
        """Record a statement that ended.

        :param kind: kind of work
        :param seconds: time between start and end
        :param in_flight: statements that ran when it ended, with itself
        :param ok: False if it failed or got no answer
        :returns: the limit in force
        """

    def record_congestion(self) -> bool:
        """Record that the endpoint refused work or answered a report late.

        :returns: False if the limit can't follow it, so that the load has to
            be reduced in another way
        """
        return False

    @abc.abstractmethod
    def reset(self) -> None:
        """Forget what depends on the former limit."""


class DeclaredLimit(ConcurrencyLimit):
    """The declared slots, whatever the statements take."""

    def observe(
        self, kind: str, seconds: float, in_flight: int, ok: bool
    ) -> int:
        """Return the declared slots."""
        return self.limit

    def reset(self) -> None:
        """Do nothing; it depends on the cap alone."""
