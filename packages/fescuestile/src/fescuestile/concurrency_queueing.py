"""Concurrency limits by Little's law."""

import dataclasses
import math

from fescuestile import concurrency_limits
from fescuestile import slowdowns

# Statements that wait in the endpoint above which its limit is lowered.
MAX_QUEUEING = 1.0
# Slowdown below which none is taken to wait: statements of one kind vary.
TOLERANCE = 1.7
# Rounds between two probes of a limit that was too high, at most.
MAX_PROBE_ROUNDS = 32


class LittleLimit(concurrency_limits.ConcurrencyLimit):
    """Throughput times least service time, raised by one for each probe.

    After a probe that led to queueing, the next is made after twice as many
    rounds.
    """

    def __init__(self, cap: int) -> None:
        """Initialize with the limit at the cap."""
        super().__init__(cap)
        self._meter = slowdowns.SlowdownMeter()
        self._probes = _Probes()

    def observe(
        self, kind: str, seconds: float, in_flight: int, ok: bool
    ) -> int:
        """Record a statement that ended."""
        ended = self._meter.add(kind, seconds, in_flight, ok, self.limit)
        if ended is not None:
            self._apply(ended)
        return self.limit

    def record_congestion(self) -> bool:
        """Lower the limit by one."""
        if self.limit == 1:
            return False
        self._lower(self.limit - 1)
        return True

    def reset(self) -> None:
        """Start a round, and probe without delay."""
        self._meter.restart()
        self._probes = _Probes()

    def _apply(self, ended: slowdowns.Round) -> None:
        if _is_queueing(ended):
            # Where throughput falls with queueing, it gives too low a limit.
            least = self.limit // 2
            if self._probes.is_probing:
                least = self.limit - 1
            lower = max(1, least, round(ended.served))
            if lower < self.limit:
                self._lower(lower)
        elif ended.peak >= self.limit < self._cap and self._probes.is_due():
            self._probes.is_probing = True
            self._limit = float(self.limit + 1)
            self._meter.restart(self._cap)
        else:
            self._probes.is_probing = False

    def _lower(self, limit: int) -> None:
        self._probes.record_queueing(self.limit)
        self._limit = float(limit)
        # Those already in flight started under the former limit.
        self._meter.restart(self._cap)


class QueueingLimit(LittleLimit):
    """As by Little's law, checked after it was lowered.

    Statements that only waited for each other take less time under a lower
    limit. If they don't, the endpoint is slow for another reason: the former
    limit is restored and the least service times are raised to the present.
    """

    def __init__(self, cap: int) -> None:
        """Initialize with the limit at the cap."""
        super().__init__(cap)
        self._former: _Former | None = None

    def record_congestion(self) -> bool:
        """Lower the limit by one, without a check."""
        self._former = None
        return super().record_congestion()

    def reset(self) -> None:
        """Forget the check in progress."""
        super().reset()
        self._former = None

    def _apply(self, ended: slowdowns.Round) -> None:
        former = self._former
        self._former = None
        if former is not None and (
            ended.slowdown
            > former.slowdown * math.sqrt(self.limit / former.limit)
        ):
            self._meter.scale(ended.slowdown)
            self._limit = float(min(former.limit, self._cap))
            self._probes = _Probes()
            return
        before = self.limit
        super()._apply(ended)
        if self.limit < before:
            self._former = _Former(before, ended.slowdown)


@dataclasses.dataclass(frozen=True, slots=True)
class _Former:
    """Limit before it was lowered, and the slowdown under it."""

    limit: int
    slowdown: float


class _Probes:
    """Counts the rounds to the next probe of a higher limit.

    :ivar is_probing: whether the limit in force is a probe
    """

    def __init__(self) -> None:
        self.is_probing = False
        self._pause = 1
        self._left = 0
        self._failed = 0

    def is_due(self) -> bool:
        """Return whether to probe in this round."""
        if self._left:
            self._left -= 1
            return False
        return True

    def record_queueing(self, limit: int) -> None:
        """Record that a limit led to queueing."""
        if limit == self._failed:
            self._pause = min(2 * self._pause, MAX_PROBE_ROUNDS)
        else:
            self._pause = 1
        self._failed = limit
        self.is_probing = False
        self._left = self._pause


def _is_queueing(ended: slowdowns.Round) -> bool:
    return ended.slowdown > TOLERANCE and ended.queueing > MAX_QUEUEING
