"""Concurrency limit that follows the gradient of the latency."""

from fescuestile import concurrency_limits
from fescuestile import slowdowns

# Slowdown up to which the limit is not lowered: statements of one kind vary.
TOLERANCE = 1.7
MIN_GRADIENT = 0.5
INCREASE = 0.5


class GradientLimit(concurrency_limits.ConcurrencyLimit):
    """Multiplied by the ratio of least to recent service time."""

    def __init__(self, cap: int) -> None:
        """Initialize with the limit at the cap."""
        super().__init__(cap)
        self._meter = slowdowns.SlowdownMeter()

    def observe(
        self, kind: str, seconds: float, in_flight: int, ok: bool
    ) -> int:
        """Record a statement that ended."""
        ended = self._meter.add(kind, seconds, in_flight, ok, self.limit)
        if ended is None:
            return self.limit
        gradient = max(MIN_GRADIENT, min(1.0, TOLERANCE / ended.slowdown))
        if gradient < 1:
            self._limit = max(1.0, self._limit * gradient)
        elif ended.peak >= self.limit:
            self._limit = min(float(self._cap), self._limit + INCREASE)
        return self.limit

    def record_congestion(self) -> bool:
        """Lower the limit by one."""
        if self.limit == 1:
            return False
        self._limit = float(self.limit - 1)
        self._meter.restart(self.limit)
        return True

    def reset(self) -> None:
        """Start a round."""
        self._meter.restart()
