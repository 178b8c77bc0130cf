"""When a connection is silent and when its endpoint is down.

The two are judged apart: a silent connection is replaced, and only when
new connections fail too is the endpoint down.
"""

import dataclasses

from fescuestile import clock

MAX_FAILED_COUNT = 32


@dataclasses.dataclass(frozen=True, slots=True)
class LivenessOptions:
    """How soon silence is noticed, in seconds.

    The sum of the first two bounds the time to notice.

    :ivar heartbeat_interval: quiet time before a heartbeat is sent
    :ivar answer_timeout: time within which a heartbeat is answered
    :ivar failed_probes: new connections that fail before the endpoint
        is down
    :ivar first_probe_delay: wait after the first failed connection
    :ivar longest_probe_delay: longest wait between two of them
    """

    heartbeat_interval: float = 0.5
    answer_timeout: float = 1.0
    failed_probes: int = 2
    first_probe_delay: float = 0.1
    longest_probe_delay: float = 1.0


class ConnectionLiveness:
    """Liveness of one connection, from its answers."""

    def __init__(
        self, options: LivenessOptions, own_clock: clock.Clock
    ) -> None:
        """Count the opening of the connection as an answer."""
        self._options = options
        self._clock = own_clock
        self._answered_at = own_clock.now()
        self._asked_at: float | None = None

    def note_question(self) -> None:
        """Note that a heartbeat was sent."""
        if self._asked_at is None:
            self._asked_at = self._clock.now()

    def note_answer(self) -> None:
        """Note that anything was received."""
        self._answered_at = self._clock.now()
        self._asked_at = None

    @property
    def heartbeat_delay(self) -> float:
        """Seconds until a heartbeat is due, 0 when it is."""
        due_at = self._answered_at + self._options.heartbeat_interval
        return max(0.0, due_at - self._clock.now())

    @property
    def silent(self) -> bool:
        """Whether a heartbeat stayed without an answer for too long."""
        if self._asked_at is None:
            return False
        waited = self._clock.now() - self._asked_at
        return waited >= self._options.answer_timeout


class EndpointLiveness:
    """Liveness of an endpoint, from new connections to it."""

    def __init__(
        self, options: LivenessOptions, own_clock: clock.Clock
    ) -> None:
        """Take the endpoint as up."""
        self._options = options
        self._clock = own_clock
        self._failed = 0
        self._probe_at = own_clock.now()

    @property
    def down(self) -> bool:
        """Whether new connections keep failing."""
        return self._failed >= self._options.failed_probes

    @property
    def probe_delay(self) -> float:
        """Seconds until the next new connection may be tried."""
        return max(0.0, self._probe_at - self._clock.now())

    def note_connected(self) -> None:
        """Note that a new connection was opened."""
        self._failed = 0
        self._probe_at = self._clock.now()

    def note_failed(self) -> None:
        """Note that a new connection failed."""
        options = self._options
        delay = options.first_probe_delay * 2**self._failed
        self._failed = min(self._failed + 1, MAX_FAILED_COUNT)
        self._probe_at = self._clock.now() + min(
            delay, options.longest_probe_delay
        )
