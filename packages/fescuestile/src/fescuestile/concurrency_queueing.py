"""Concurrency limits by Little's law."""

import dataclasses
import enum

from fescuestile import concurrency_limits
from fescuestile import slowdowns

# Statements that wait in the endpoint above which its limit is lowered.
MAX_QUEUEING = 1.0
# Slowdown below which none is taken to wait: statements of one kind vary.
TOLERANCE = 1.7
# Rounds between two probes of a limit that was too high, at most.
MAX_PROBE_ROUNDS = 16
# Service times that change by less than this power of the change of the
# limit show no queueing, and throughput that changes with the limit.
QUEUEING_POWER = 0.75
# Share of the limit in flight above which a round counts as full.
FULL_SHARE = 0.85
# Full rounds after which one less is tried; doubled after each trial that
# made nothing faster.
MIN_TRIAL_ROUNDS = 8
MAX_TRIAL_ROUNDS = 128


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
        self._probes.record_failure()
        self._set(self.limit - 1)
        return True

    def reset(self) -> None:
        """Start a round, and probe without delay."""
        self._meter.restart()
        self._probes = _Probes()

    def _apply(self, ended: slowdowns.Round) -> None:
        if _is_queueing(ended):
            self._probes.record_failure()
            self._set(max(1, round(ended.served)))
        elif self._may_probe(ended):
            self._set(self.limit + 1)

    def _may_probe(self, ended: slowdowns.Round) -> bool:
        return ended.peak >= self.limit < self._cap and self._probes.is_due()

    def _set(self, limit: int) -> None:
        self._limit = float(limit)
        # Those already in flight started under the former limit.
        self._meter.restart(self._cap)


class _Change(enum.Enum):
    """Why the limit was changed."""

    LOWERED = enum.auto()
    PROBE = enum.auto()
    TRIAL = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class _Former:
    """Limit before a change, and the slowdown under it."""

    change: _Change
    limit: int
    slowdown: float


class QueueingLimit(LittleLimit):
    """By Little's law, with each change compared with the limit before it.

    Statements that only wait for each other take less time under a lower
    limit, and throughput stays. If they don't, the endpoint is slow for
    another reason: the former limit is restored, and the least service times
    are raised to the present. A probe is kept if throughput grows with it.

    An endpoint that was full since the first statement has never shown its
    least service time, so one less is tried from time to time while it is.
    """

    def __init__(self, cap: int) -> None:
        """Initialize with the limit at the cap."""
        super().__init__(cap)
        self._former: _Former | None = None
        self._full_rounds = 0
        self._trial_rounds = MIN_TRIAL_ROUNDS

    def record_congestion(self) -> bool:
        """Lower the limit by one, without a comparison."""
        self._compare(None)
        return super().record_congestion()

    def reset(self) -> None:
        """Forget the comparison in progress."""
        super().reset()
        self._compare(None)

    def _apply(self, ended: slowdowns.Round) -> None:
        former = self._former
        self._compare(None)
        if former is not None:
            if ended.slowdown < 1:
                self._meter.scale(ended.slowdown)
            if not self._is_kept(former, ended):
                self._restore(former, ended)
            elif former.change is _Change.PROBE:
                self._probes = _Probes()
            elif former.change is _Change.TRIAL:
                self._trial_rounds = MIN_TRIAL_ROUNDS
        elif _is_queueing(ended):
            self._probes.record_failure()
            # Where throughput falls with queueing, Little's law gives too
            # low a limit.
            lower = max(1, self.limit // 2, round(ended.served))
            if lower < self.limit:
                self._change(_Change.LOWERED, lower, ended)
        elif self._may_probe(ended):
            self._change(_Change.PROBE, self.limit + 1, ended)
        elif self._may_try_less(ended):
            self._change(_Change.TRIAL, self.limit - 1, ended)

    def _may_try_less(self, ended: slowdowns.Round) -> bool:
        if self.limit == 1 or ended.in_flight < FULL_SHARE * self.limit:
            self._full_rounds = 0
            return False
        self._full_rounds += 1
        return self._full_rounds >= self._trial_rounds

    def _is_kept(self, former: _Former, ended: slowdowns.Round) -> bool:
        ratio = (self.limit / former.limit) ** QUEUEING_POWER
        if ended.slowdown <= former.slowdown * ratio:
            return True
        return former.change is _Change.LOWERED and ended.slowdown <= TOLERANCE

    def _restore(self, former: _Former, ended: slowdowns.Round) -> None:
        self._set(min(former.limit, self._cap))
        if former.change is _Change.PROBE:
            self._probes.record_failure()
            return
        self._probes = _Probes()
        if former.change is _Change.LOWERED:
            self._meter.scale(ended.slowdown)
        else:
            self._trial_rounds = min(2 * self._trial_rounds, MAX_TRIAL_ROUNDS)

    def _change(
        self, change: _Change, limit: int, ended: slowdowns.Round
    ) -> None:
        self._full_rounds = 0
        self._compare(_Former(change, self.limit, ended.slowdown))
        self._set(limit)

    def _compare(self, former: _Former | None) -> None:
        self._former = former
        self._meter.is_comparing = former is not None


class _Probes:
    """Counts the rounds to the next probe of a higher limit."""

    def __init__(self) -> None:
        self._pause = 1
        self._left = 0

    def is_due(self) -> bool:
        """Return whether to probe in this round."""
        if self._left:
            self._left -= 1
            return False
        return True

    def record_failure(self) -> None:
        """Record that a limit led to queueing."""
        self._left = self._pause
        self._pause = min(2 * self._pause, MAX_PROBE_ROUNDS)


def _is_queueing(ended: slowdowns.Round) -> bool:
    return ended.slowdown > TOLERANCE and ended.queueing > MAX_QUEUEING
