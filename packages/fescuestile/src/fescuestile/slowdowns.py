"""Slowdown of an endpoint's statements relative to their least times."""

import dataclasses

from fescuestile import concurrency_limits

# Weight of a sample in the least service time of its kind. It falls quickly
# and rises by some percent a second, so that it follows lasting changes.
FALL_WEIGHT = 0.1
RISE_WEIGHT = 0.003
# A sample above this multiple of the least time raises it no further.
MAX_RISE_FACTOR = 4.0
# Of fewer samples, two or three slow ones could decide.
MIN_ROUND_SAMPLES = 8
# Statements that wait in the endpoint make all of them slow; a slow network
# path or a slow kind, only a part.
QUANTILE = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Round:
    """Statements that ended under one limit.

    :ivar slowdown: low quantile of service time to least service time
    :ivar in_flight: mean number of statements in flight
    :ivar peak: most statements in flight
    """

    slowdown: float
    in_flight: float
    peak: int

    @property
    def queueing(self) -> float:
        """Statements that waited in the endpoint, by Little's law."""
        return self.in_flight - self.served

    @property
    def served(self) -> float:
        """Throughput times least service time."""
        return self.in_flight / max(1.0, self.slowdown)


class SlowdownMeter:
    """Compares statements with the least service time of their kind.

    Quick failures count neither as samples nor for the least service time;
    slow ones, such as statements without an answer, count as slow samples.

    :ivar is_comparing: whether least service times stay as they are, so that
        two rounds are compared with the same ones
    """

    def __init__(self) -> None:
        """Initialize without samples."""
        self.is_comparing = False
        self._least: dict[str, float] = {}
        self._slowdowns: list[float] = []
        self._in_flight = 0
        self._peak = 0
        self._skip = 0

    def restart(self, skip: int = 0) -> None:
        """Start a round.

        :param skip: statements to ignore first, which started before it
        """
        self._slowdowns.clear()
        self._in_flight = self._peak = 0
        self._skip = skip

    def scale(self, factor: float) -> None:
        """Multiply all least service times."""
        for kind in self._least:
            self._least[kind] *= factor

    def add(
        self, kind: str, seconds: float, in_flight: int, ok: bool, limit: int
    ) -> Round | None:
        """Add a statement that ended.

        :param limit: limit in force
        :returns: the round that it completes, if any
        """
        seconds = max(seconds, concurrency_limits.MIN_SERVICE_SECONDS)
        least = self._least.get(kind)
        if not ok and (least is None or seconds <= least):
            return None
        if least is None:
            least = self._least[kind] = seconds
        slowdown = seconds / least
        if ok and not self.is_comparing:
            weight = FALL_WEIGHT if slowdown < 1 else RISE_WEIGHT
            bounded = min(slowdown, MAX_RISE_FACTOR)
            self._least[kind] = least * (1 + weight * (bounded - 1))
        if self._skip:
            self._skip -= 1
            return None
        self._slowdowns.append(slowdown)
        self._in_flight += in_flight
        self._peak = max(self._peak, in_flight)
        count = len(self._slowdowns)
        if count < max(MIN_ROUND_SAMPLES, 2 * limit):
            return None
        ended = Round(
            sorted(self._slowdowns)[int(QUANTILE * count)],
            self._in_flight / count,
            self._peak,
        )
        self.restart()
        return ended
