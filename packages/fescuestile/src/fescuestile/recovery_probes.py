"""Probes of an endpoint that gets no reads because of what it did before."""

# An endpoint that got no statement for this long is probed with one.
PROBE_SECONDS = 0.25
# The most urgent work is used for a probe only where no other comes.
URGENT_PROBE_SECONDS = 1.0
# Weight of a quicker answer to a probe in the mean service time, and share of
# the recent failures that it cancels: both are out of date by then.
PROBE_WEIGHT = 0.5


class RecoveryProbes:
    """Decides when an avoided endpoint gets one read."""

    def __init__(self) -> None:
        """Initialize without statements."""
        self._sent_at = float("-inf")
        self._is_probing = False

    def record_choice(self, now: float) -> None:
        """Record that a statement is sent to it."""
        self._is_probing = now - self._sent_at >= PROBE_SECONDS
        self._sent_at = now

    def is_due(self, now: float, urgent: bool) -> bool:
        """Return whether a read may be sent to it as a probe.

        :param urgent: whether the read is of the most urgent rank
        """
        pause = URGENT_PROBE_SECONDS if urgent else PROBE_SECONDS
        return now - self._sent_at >= pause

    def take_result(self) -> bool:
        """Return whether an answer is the first after a pause, once."""
        is_probing = self._is_probing
        self._is_probing = False
        return is_probing
