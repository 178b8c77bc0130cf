"""Histogram of durations."""

from hdrh import histogram

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 600_000_000
DIGITS = 3
MICROSECONDS = 1_000_000


class Latencies:
    """Durations between a microsecond and ten minutes."""

    def __init__(self) -> None:
        """Start empty."""
        self._histogram = histogram.HdrHistogram(
            LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, DIGITS
        )

    def record(self, seconds: float) -> None:
        """Add a duration."""
        value = max(LOWEST_MICROSECONDS, round(seconds * MICROSECONDS))
        self._histogram.record_value(min(value, HIGHEST_MICROSECONDS))

    @property
    def count(self) -> int:
        """Number of durations."""
        return int(self._histogram.get_total_count())

    def get_percentile(self, percentile: float) -> float:
        """Return the duration in seconds at a percentile, 0 to 100."""
        value = self._histogram.get_value_at_percentile(percentile)
        return float(value) / MICROSECONDS

    @property
    def worst(self) -> float:
        """Longest duration in seconds."""
        return float(self._histogram.get_max_value()) / MICROSECONDS
