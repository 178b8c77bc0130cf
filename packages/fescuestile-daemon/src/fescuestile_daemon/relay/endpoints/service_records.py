"""Service time and failures of an endpoint's statements."""

import time

from fescuestile import recovery_probes

# Weight of a new sample in the mean service time.
SERVICE_WEIGHT = 0.1
# An abandoned statement counts as a sample of this multiple of its timeout,
# with this weight; each one raises the next timeout some two and a half times.
ABANDONED_FACTOR = 1.5
ABANDONED_WEIGHT = 0.3
# Service time assumed of an endpoint before its first answer.
INITIAL_SERVICE_SECONDS = 0.01
# Half-life of the count of recent failures.
FAILURE_HALF_LIFE_SECONDS = 1.0


class ServiceRecord:
    """Decaying statistics by which reads are sent to an endpoint or not.

    :ivar mean: recent service time, in seconds
    :ivar probes: probes after a time without statements
    """

    def __init__(self) -> None:
        """Initialize without statements."""
        self.mean = INITIAL_SERVICE_SECONDS
        self.probes = recovery_probes.RecoveryProbes()
        self._failures = 0.0
        self._failed_at = 0.0

    def record_answer(self, seconds: float, probes: bool) -> None:
        """Record the service time of a statement.

        :param probes: whether the answer to a probe outweighs earlier ones
        """
        weight = SERVICE_WEIGHT
        if probes and self.probes.take_result():
            # One slow answer to a probe doesn't count for more than others.
            if seconds < self.mean:
                weight = recovery_probes.PROBE_WEIGHT
            self._failures *= 1 - recovery_probes.PROBE_WEIGHT
        self.mean += weight * (seconds - self.mean)

    def record_abandoned(self, seconds: float) -> None:
        """Record that a statement was abandoned after so many seconds.

        It would have taken longer, so the mean must grow; otherwise an
        endpoint that has become slow would time out every statement.
        """
        sample = seconds * ABANDONED_FACTOR
        self.mean += ABANDONED_WEIGHT * (sample - self.mean)

    def record_failure(self) -> None:
        """Record a failed or unanswered statement or connection."""
        now = time.monotonic()
        self._failures = self.count_failures(now) + 1.0
        self._failed_at = now

    def count_failures(self, now: float) -> float:
        """Return the count of recent failures, decayed over time."""
        age = now - self._failed_at
        return float(self._failures * 0.5 ** (age / FAILURE_HALF_LIFE_SECONDS))
