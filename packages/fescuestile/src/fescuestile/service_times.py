"""How long each kind of work takes at an endpoint."""

# Weight with which the least service time of a kind grows.
LEAST_WEIGHT = 0.01
# A kind has slowed once it takes so many times as long as before.
SLOWED_FACTOR = 1.5


class ServiceTimes:
    """Mean and least service times, in seconds, by kind."""

    def __init__(self, initial: float, weight: float) -> None:
        """Start without a sample.

        :param initial: seconds that a kind not yet measured takes
        :param weight: weight of a new sample in the mean
        """
        self._initial = initial
        self._weight = weight
        self._means: dict[str, float] = {}
        self._least: dict[str, float] = {}
        self._told: dict[str, float] = {}

    def get_mean(self, kind: str) -> float:
        """Return the seconds that a kind takes lately."""
        return self._means.get(kind, self._initial)

    def get_least(self, kind: str) -> float:
        """Return the seconds that a kind takes with nothing in its way."""
        return self._least.get(kind, 0.0)

    def note(self, kind: str, seconds: float) -> bool:
        """Take a sample; tell whether the kind has slowed since last told."""
        mean = self._means.get(kind, seconds)
        mean += self._weight * (seconds - mean)
        self._means[kind] = mean
        least = self._least.get(kind, seconds)
        least += LEAST_WEIGHT * (seconds - least)
        self._least[kind] = min(least, seconds)
        told = self._told.get(kind, self._initial)
        slowed = mean > told * SLOWED_FACTOR
        if slowed or mean < told / SLOWED_FACTOR:
            self._told[kind] = mean
        return slowed
