"""Pacing of starts at an endpoint that many daemons share.

Each daemon admits work independently and does not know the load that the
others send. Two signals show that the total is too high: the endpoint
refuses work, or the round trip of a report, which involves no work, is long
because the report waited in the endpoint's queue. Both lengthen a daemon's
pauses. Work then waits at the daemon, where the most urgent starts first,
and not in the endpoint's queue, where urgent work cannot overtake.
"""

import dataclasses
import math
import random

from fescuestile import waits


@dataclasses.dataclass(frozen=True, slots=True)
class PacerOptions:
    """Parameters by which pauses follow congestion; times in seconds.

    Pauses grow faster than they shrink: growth over a few reports lets a
    full queue of the endpoints in use drain, and one uncongested second
    restores the rate.

    :ivar min_pause: first pause, about the service time of one statement
    :ivar max_pause: longest pause, a fraction of the timeouts in use
    :ivar zero_below: pauses shorter than this become zero
    :ivar refused_factor: growth for each refusal
    :ivar delayed_factor: largest growth for a delayed report
    :ivar uncongested_factor: strongest reduction for a report without delay
    :ivar success_factor: reduction for each success while reports are not
        delayed
    :ivar delay_threshold: time in the endpoint's queue above which a report
        counts as delayed; the service time of several statements, so that
        the slots stay in use
    :ivar report_lifetime: time for which the last report is taken to show
        the state of the queue
    :ivar rank_factors: factor of the pauses of each rank, most urgent first;
        a waiting rank gets at most a sixteenth of the starts of the rank
        above it
    """

    min_pause: float = 0.02
    max_pause: float = 0.64
    zero_below: float = 0.002
    refused_factor: float = 2.0
    delayed_factor: float = 2.0
    uncongested_factor: float = 0.75
    success_factor: float = 0.9
    delay_threshold: float = 0.025
    report_lifetime: float = 1.0
    rank_factors: tuple[float, ...] = (0.05, 1.0, 16.0)


class Pacer:
    """Limits the rate of starts of one daemon at one endpoint.

    :ivar options: parameters
    :ivar mean_pause: mean pause in seconds between two starts, before the
        factor of the rank; 0 for none
    """

    def __init__(
        self, source: random.Random, options: PacerOptions | None = None
    ) -> None:
        """Initialize without pauses.

        :param source: random source of pauses, which keeps daemons from
            starting in step
        :param options: parameters
        """
        self.options = options or PacerOptions()
        self.mean_pause = 0.0
        self._random = source
        self._next_starts = [-math.inf] * len(self.options.rank_factors)
        self._min_round_trip = math.inf
        self._delayed_until = 0.0

    def record_refusal(self, now: float) -> None:
        """Lengthen the pauses after the endpoint refused work at capacity."""
        self._lengthen(self.options.refused_factor)
        for level in range(len(self._next_starts)):
            self.record_start(level, now)

    def record_success(self, now: float) -> None:
        """Shorten the pauses after a statement was answered.

        Has no effect while the last report was delayed.
        """
        if now >= self._delayed_until:
            self._shorten(self.options.success_factor)

    def record_round_trip(self, seconds: float, now: float) -> None:
        """Adapt the pauses to the round trip of a report.

        :param seconds: time between the request for the report and its
            arrival; the shortest one seen counts as free of queueing
        :param now: monotonic seconds
        """
        self._min_round_trip = min(self._min_round_trip, seconds)
        excess = self._measure_excess(seconds)
        if excess > 1:
            self._delayed_until = now + self.options.report_lifetime
            self._lengthen(min(excess, self.options.delayed_factor))
        else:
            self._delayed_until = 0.0
            self._shorten(max(excess, self.options.uncongested_factor))

    def is_delayed(self, seconds: float) -> bool:
        """Return whether a report with this round trip counts as delayed."""
        return self._measure_excess(seconds) > 1

    def record_start(self, level: int, now: float) -> None:
        """Schedule the next start of a rank after work of it started."""
        clamped = self._clamp_level(level)
        pause = self._get_mean_pause(clamped) * self._random.uniform(0.5, 1.5)
        self._next_starts[clamped] = now + pause

    def list_ready(self, now: float) -> list[int]:
        """Return the levels whose work may start now."""
        return [
            level
            for level, start in enumerate(self._next_starts)
            if start <= now
        ]

    def find_start(self, level: int, ahead: int, now: float) -> float:
        """Return the monotonic seconds at which work of a rank may start.

        :param level: rank of the work
        :param ahead: work items of the rank that start before it
        :param now: monotonic seconds
        """
        if not self.mean_pause:
            return now
        clamped = self._clamp_level(level)
        first = max(now, self._next_starts[clamped])
        return first + ahead * self._get_mean_pause(clamped)

    def list_starts(self, now: float) -> list[waits.Schedule]:
        """Return when work of each rank may start, most urgent rank first."""
        return [
            waits.Schedule(
                self.find_start(level, 0, now), self._get_mean_pause(level)
            )
            for level in range(len(self._next_starts))
        ]

    def _measure_excess(self, seconds: float) -> float:
        least = min(self._min_round_trip, seconds)
        return (seconds - least) / self.options.delay_threshold

    def _clamp_level(self, level: int) -> int:
        return min(level, len(self._next_starts) - 1)

    def _get_mean_pause(self, level: int) -> float:
        return self.mean_pause * self.options.rank_factors[level]

    def _lengthen(self, factor: float) -> None:
        longer = max(self.options.min_pause, self.mean_pause * factor)
        self.mean_pause = min(self.options.max_pause, longer)

    def _shorten(self, factor: float) -> None:
        self.mean_pause *= factor
        if self.mean_pause < self.options.zero_below:
            self.mean_pause = 0.0
