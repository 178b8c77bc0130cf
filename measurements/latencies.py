"""Histogram of latencies."""

from hdrh import histogram

MIN_MICROSECONDS = 1
MAX_MICROSECONDS = 600_000_000
SIGNIFICANT_DIGITS = 3
MICROSECONDS_PER_SECOND = 1_000_000


class Latencies:
    """Histogram of durations from 1 µs to 10 min; others are clamped."""

    def __init__(self) -> None:
        """Initialize an empty histogram."""
        self._histogram = histogram.HdrHistogram(
            MIN_MICROSECONDS, MAX_MICROSECONDS, SIGNIFICANT_DIGITS
        )

    def record(self, seconds: float) -> None:
        """Record a duration."""
        value = max(MIN_MICROSECONDS, round(seconds * MICROSECONDS_PER_SECOND))
        self._histogram.record_value(min(value, MAX_MICROSECONDS))

    @property
    def count(self) -> int:
        """Number of durations."""
        return int(self._histogram.get_total_count())

    def get_percentile(self, percentile: float) -> float:
        """Return the duration in seconds at a percentile, 0 to 100."""
        value = self._histogram.get_value_at_percentile(percentile)
        return float(value) / MICROSECONDS_PER_SECOND

    @property
    def max_seconds(self) -> float:
        """Longest duration in seconds."""
        return float(self._histogram.get_max_value()) / MICROSECONDS_PER_SECOND
