"""How long work of each kind takes."""

import dataclasses

USUAL_WEIGHT = 0.05
RECENT_WEIGHT = 0.3
# The usual time is given up once the recent one differs by this factor.
CHANGED_FACTOR = 2.0


@dataclasses.dataclass(slots=True)
class _Estimate:
    """Moving means of one kind's service time, in seconds."""

    usual: float
    recent: float


class ServiceTimes:
    """Expected service time by kind, in seconds.

    A slow mean that is steady, replaced by a quick one when the two part:
    an endpoint that got slow, or well again, is believed within a few
    statements.
    """

    def __init__(self, initial: float) -> None:
        """Start without samples.

        :param initial: seconds that a kind not yet measured takes
        """
        self._initial = initial
        self._estimates: dict[str, _Estimate] = {}

    def get(self, kind: str) -> float:
        """Return the expected seconds of a kind."""
        estimate = self._estimates.get(kind)
        return self._initial if estimate is None else estimate.usual

    def observe(self, kind: str, seconds: float) -> None:
        """Take the service time of work that ended."""
        estimate = self._estimates.get(kind)
        if estimate is None:
            self._estimates[kind] = _Estimate(seconds, seconds)
            return
        estimate.recent += RECENT_WEIGHT * (seconds - estimate.recent)
        estimate.usual += USUAL_WEIGHT * (seconds - estimate.usual)
        recent = estimate.recent
        low = estimate.usual / CHANGED_FACTOR
        high = estimate.usual * CHANGED_FACTOR
        if not low <= recent <= high:
            estimate.usual = recent
