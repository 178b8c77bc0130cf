"""Pauses between two starts at an endpoint that many daemons share.

Each daemon admits for itself and none knows what the others send. Two signs
show that together they send too much: the endpoint refuses work, or a report,
which takes no work, spends long on its way and so in the endpoint's queue.
Both lengthen a daemon's pauses; work then waits at the daemon, where the most
urgent starts first, and not at the endpoint, where it can't be overtaken.
"""

import dataclasses
import math
import random

from fescuestile import waits


@dataclasses.dataclass(frozen=True, slots=True)
class PaceOptions:
    """How pauses follow what an endpoint shows; times in seconds.

    Pauses grow faster than they shrink: some reports drain a full queue of
    the endpoints in use, and a calm second brings the pace back.

    :ivar least: first pause, about one statement's time
    :ivar most: longest pause, a part of the timeouts in use
    :ivar none_below: shorter pauses are none
    :ivar refused_factor: growth with a refusal
    :ivar delayed_factor: growth with a report that was delayed
    :ivar calm_factor: shrinkage with a report that was not
    :ivar success_factor: shrinkage with a success while reports are calm
    :ivar queueing: time in the endpoint's queue above which a report counts
        as delayed; some statements' time, so that slots stay in use
    :ivar report_life: a report says nothing of the queue after this time
    :ivar factors: factor of the pauses of each rank, most urgent first; a
        rank that waits has a sixteenth of the starts of the one above it
    """

    least: float = 0.02
    most: float = 0.64
    none_below: float = 0.002
    refused_factor: float = 2.0
    delayed_factor: float = 2.0
    calm_factor: float = 0.75
    success_factor: float = 0.9
    queueing: float = 0.025
    report_life: float = 1.0
    factors: tuple[float, ...] = (0.05, 1.0, 16.0)


class Pace:
    """Pauses of one daemon before one endpoint.

    :ivar seconds: mean pause between two starts, 0 for none
    """

    def __init__(
        self, source: random.Random, options: PaceOptions | None = None
    ) -> None:
        """Start without pauses.

        :param source: draws pauses, so that daemons part
        """
        self.options = options or PaceOptions()
        self.seconds = 0.0
        self._random = source
        self._next_starts = [-math.inf] * len(self.options.factors)
        self._least_trip = math.inf
        self._delayed_until = 0.0

    def note_refusal(self, now: float) -> None:
        """Note that the endpoint had no room."""
        self._lengthen(self.options.refused_factor)
        for level in range(len(self._next_starts)):
            self.note_start(level, now)

    def note_success(self, now: float) -> None:
        """Note that a statement was answered."""
        if now >= self._delayed_until:
            self._shorten(self.options.success_factor)

    def note_trip(self, seconds: float, now: float) -> None:
        """Note how long a report took from the question to the answer."""
        self._least_trip = min(self._least_trip, seconds)
        excess = (seconds - self._least_trip) / self.options.queueing
        if excess > 1:
            self._delayed_until = now + self.options.report_life
            self._lengthen(min(excess, self.options.delayed_factor))
        else:
            self._delayed_until = 0.0
            self._shorten(max(excess, self.options.calm_factor))

    def note_start(self, level: int, now: float) -> None:
        """Note that work of a rank starts; its next waits for a pause."""
        place = self._clamp(level)
        pause = self._measure_gap(place) * self._random.uniform(0.5, 1.5)
        self._next_starts[place] = now + pause

    def list_open(self, now: float) -> list[int]:
        """Return the ranks of which work may start."""
        return [
            level
            for level, start in enumerate(self._next_starts)
            if start <= now
        ]

    def find_start(self, level: int, ahead: int, now: float) -> float:
        """Return when work of a rank may start.

        :param ahead: pieces of work of the rank that go before it
        """
        if not self.seconds:
            return now
        place = self._clamp(level)
        first = max(now, self._next_starts[place])
        return first + ahead * self._measure_gap(place)

    def list_starts(self, now: float) -> list[waits.Starts]:
        """Return when work of each rank may start."""
        return [
            waits.Starts(
                self.find_start(level, 0, now), self._measure_gap(level)
            )
            for level in range(len(self._next_starts))
        ]

    def _clamp(self, level: int) -> int:
        return min(level, len(self._next_starts) - 1)

    def _measure_gap(self, place: int) -> float:
        return self.seconds * self.options.factors[place]

    def _lengthen(self, factor: float) -> None:
        longer = max(self.options.least, self.seconds * factor)
        self.seconds = min(self.options.most, longer)

    def _shorten(self, factor: float) -> None:
        self.seconds *= factor
        if self.seconds < self.options.none_below:
            self.seconds = 0.0
