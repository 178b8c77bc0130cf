"""Positions that a replica's log must hold for a read to be fresh enough.

A confirmed primary's position covers every write that was acknowledged
before the primary was asked. A replica that holds the position is then at
most as stale as the position is old.
"""

import bisect
import dataclasses

from fescuestile import positions

# Positions are kept this long, in seconds; above the staleness bounds in use.
HISTORY_SECONDS = 10.0
# Sampled no more often than this, in seconds, so that the history stays small.
SAMPLE_SECONDS = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Position of a confirmed primary.

    :ivar asked_at: seconds at which the primary was asked
    :ivar position: last entry of its log in the answer
    """

    asked_at: float
    position: positions.Position


class FreshnessLog:
    """Recent positions of a group's confirmed primary."""

    def __init__(self) -> None:
        """Start without a position."""
        self._samples: list[Sample] = []

    @property
    def latest(self) -> Sample | None:
        """Newest sample."""
        return self._samples[-1] if self._samples else None

    def add(self, sample: Sample) -> None:
        """Keep a position; one that is older than the newest is dropped."""
        last = self.latest
        if last and sample.position.term > last.position.term:
            # The tail of an ended term may be gone.
            self._samples.clear()
        elif last and sample.asked_at < last.asked_at + SAMPLE_SECONDS:
            return
        self._samples.append(sample)
        oldest = sample.asked_at - HISTORY_SECONDS
        if self._samples[0].asked_at < oldest:
            del self._samples[: self._find(oldest)]

    def find_minimum(
        self, now: float, staleness: float
    ) -> positions.Position | None:
        """Return the position that a read must see, the oldest that will do.

        :param now: seconds at which the read arrived
        :param staleness: seconds that the read may be stale
        :returns: None when no position is recent enough
        """
        place = self._find(now - staleness)
        if place == len(self._samples):
            return None
        return self._samples[place].position

    def _find(self, since: float) -> int:
        return bisect.bisect_left(
            self._samples, since, key=lambda sample: sample.asked_at
        )
