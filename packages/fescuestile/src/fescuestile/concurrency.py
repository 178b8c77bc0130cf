"""How many statements to run at an endpoint at a time."""

import dataclasses

MIN_SERVICE_SECONDS = 1e-6


@dataclasses.dataclass(frozen=True, slots=True)
class ConcurrencyOptions:
    """How the limit follows the service time.

    :ivar tolerance: slowdown against the usual that lowers the limit
    :ivar decrease: factor of the limit at each lowering
    :ivar increase: statements added for each full round in good time
    :ivar recent_weight: weight of a new sample in the recent slowdown
    :ivar usual_weight: weight of a new sample in the usual service time
    """

    tolerance: float = 2.0
    decrease: float = 0.7
    increase: float = 0.25
    recent_weight: float = 0.2
    usual_weight: float = 0.005


class ConcurrencyLimit:
    """Limit that shrinks while an endpoint answers slower than usual.

    Each kind is compared with its own usual service time, so a change in
    the mix of kinds is no slowdown. A lasting change becomes the usual.
    """

    def __init__(
        self, cap: int, options: ConcurrencyOptions | None = None
    ) -> None:
        """Start at the cap.

        :param cap: statements at a time that are never passed
        :param options: how the limit moves
        """
        self._cap = cap
        self._limit = float(cap)
        self._options = options or ConcurrencyOptions()
        self._usual: dict[str, float] = {}
        self._slowdown = 1.0
        self._wait_samples = 0

    @property
    def limit(self) -> int:
        """Statements to run at a time, at least 1."""
        return max(1, int(self._limit + 1e-9))

    def set_cap(self, cap: int) -> None:
        """Change the cap.

        :param cap: statements at a time
        """
        grown = cap > self._cap
        self._cap = cap
        self._limit = float(cap) if grown else min(self._limit, float(cap))

    def observe(self, kind: str, seconds: float) -> None:
        """Take the service time of a statement that ended.

        :param kind: kind of work
        :param seconds: time between start and end
        """
        options = self._options
        seconds = max(seconds, MIN_SERVICE_SECONDS)
        usual = self._usual.get(kind, seconds)
        slowdown = seconds / usual
        self._slowdown += options.recent_weight * (slowdown - self._slowdown)
        self._usual[kind] = usual + options.usual_weight * (seconds - usual)
        self._adjust()

    def _adjust(self) -> None:
        if self._slowdown <= self._options.tolerance:
            step = self._options.increase / self.limit
            self._limit = min(float(self._cap), self._limit + step)
            return
        # One lowering a round: its effect must show before the next.
        if self._wait_samples:
            self._wait_samples -= 1
            return
        self._limit = max(1.0, self._limit * self._options.decrease)
        self._wait_samples = self.limit
