"""Service times of each kind of work at an endpoint."""

# Weight of a sample that raises the minimum of a kind.
MINIMUM_GROWTH_WEIGHT = 0.01
# A change of the mean by this factor, up or down, sets a new reference.
SLOWDOWN_FACTOR = 1.5


class ServiceTimes:
    """Mean and minimum service times, in seconds, by kind."""

    def __init__(self, initial: float, weight: float) -> None:
        """Initialize without samples.

        :param initial: assumed mean, in seconds, of a kind without samples
        :param weight: weight of a new sample in the mean
        """
        self._initial = initial
        self._weight = weight
        self._means: dict[str, float] = {}
        self._minima: dict[str, float] = {}
        self._reported_means: dict[str, float] = {}

    def get_mean(self, kind: str) -> float:
        """Return the recent mean service time of a kind, in seconds."""
        return self._means.get(kind, self._initial)

    def get_minimum(self, kind: str) -> float:
        """Return the service time of a kind without contention, in seconds.

        Zero for a kind without samples.
        """
        return self._minima.get(kind, 0.0)

    def record(self, kind: str, seconds: float) -> bool:
        """Add a sample.

        :param kind: kind of work
        :param seconds: service time
        :returns: whether the mean has grown by SLOWDOWN_FACTOR since the
            last change that was reported
        """
        mean = self._means.get(kind, seconds)
        mean += self._weight * (seconds - mean)
        self._means[kind] = mean
        minimum = self._minima.get(kind, seconds)
        minimum += MINIMUM_GROWTH_WEIGHT * (seconds - minimum)
        self._minima[kind] = min(minimum, seconds)
        reported = self._reported_means.get(kind, self._initial)
        slowed = mean > reported * SLOWDOWN_FACTOR
        if slowed or mean < reported / SLOWDOWN_FACTOR:
            self._reported_means[kind] = mean
        return slowed
