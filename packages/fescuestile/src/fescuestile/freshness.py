"""Positions that a replica's log must hold for a read to be fresh enough.

The position that a confirmed primary reports covers every write that was
acknowledged before the primary was queried. A replica that holds the
position is therefore at most as stale as the position is old.
"""

import bisect
import dataclasses

from fescuestile import positions

# Retention of positions; longer than the staleness bounds in use.
HISTORY_SECONDS = 10.0
# Shortest interval between two samples, which limits the size of the history.
SAMPLE_SECONDS = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Position of a confirmed primary.

    :ivar requested_at: seconds at which the primary was queried
    :ivar position: last entry of its log according to the response
    """

    requested_at: float
    position: positions.Position


class FreshnessLog:
    """Recent positions of a group's confirmed primary."""

    def __init__(self) -> None:
        """Initialize without samples."""
        self._samples: list[Sample] = []

    @property
    def latest(self) -> Sample | None:
        """Newest sample, None without any."""
        return self._samples[-1] if self._samples else None

    def add(self, sample: Sample) -> None:
        """Add a sample, unless it is older than or close to the newest one.

        A sample of a later term replaces those of earlier terms.
        """
        last = self.latest
        if last and sample.position.term > last.position.term:
            # The log's tail of an earlier term may have been discarded.
            self._samples.clear()
        elif last and sample.requested_at < last.requested_at + SAMPLE_SECONDS:
            return
        self._samples.append(sample)
        oldest = sample.requested_at - HISTORY_SECONDS
        if self._samples[0].requested_at < oldest:
            del self._samples[: self._find(oldest)]

    def find_minimum(
        self, now: float, staleness: float
    ) -> positions.Position | None:
        """Return the oldest position that satisfies a staleness bound.

        :param now: seconds at which the read arrived
        :param staleness: seconds that the read may be behind
        :returns: position that the read must see, None when none is recent
            enough
        """
        index = self._find(now - staleness)
        if index == len(self._samples):
            return None
        return self._samples[index].position

    def _find(self, since: float) -> int:
        return bisect.bisect_left(
            self._samples, since, key=lambda sample: sample.requested_at
        )
