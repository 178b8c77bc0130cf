"""Failure detection for connections and for their endpoints.

The two are evaluated separately: an unresponsive connection is replaced, and
an endpoint is considered down only when new connections fail as well.
"""

import dataclasses

from fescuestile import clock

MAX_FAILED_COUNT = 32


@dataclasses.dataclass(frozen=True, slots=True)
class LivenessOptions:
    """Timing of failure detection, in seconds.

    The sum of the first two values bounds the time to detect an
    unresponsive connection.

    :ivar heartbeat_interval: idle time after which a heartbeat is sent
    :ivar heartbeat_timeout: time within which a heartbeat must be answered
    :ivar failed_probes: number of successive failed connection attempts
        after which the endpoint is down
    :ivar initial_probe_delay: delay after the first failed attempt
    :ivar max_probe_delay: longest delay between two attempts
    """

    heartbeat_interval: float = 0.5
    heartbeat_timeout: float = 1.0
    failed_probes: int = 2
    initial_probe_delay: float = 0.1
    max_probe_delay: float = 1.0


class ConnectionLiveness:
    """Tracks the liveness of one connection by what it receives."""

    def __init__(
        self, options: LivenessOptions, own_clock: clock.Clock
    ) -> None:
        """Initialize with the opening of the connection as last response.

        :param options: timing
        :param own_clock: time source
        """
        self._options = options
        self._clock = own_clock
        self._received_at = own_clock.now()
        self._heartbeat_sent_at: float | None = None

    def record_heartbeat(self) -> None:
        """Record that a heartbeat was sent."""
        if self._heartbeat_sent_at is None:
            self._heartbeat_sent_at = self._clock.now()

    def record_received(self) -> None:
        """Record that anything was received."""
        self._received_at = self._clock.now()
        self._heartbeat_sent_at = None

    @property
    def heartbeat_delay(self) -> float:
        """Seconds until a heartbeat is due, 0 when it is due now."""
        due_at = self._received_at + self._options.heartbeat_interval
        return max(0.0, due_at - self._clock.now())

    @property
    def unresponsive(self) -> bool:
        """Whether a heartbeat was not answered within its timeout."""
        if self._heartbeat_sent_at is None:
            return False
        waited = self._clock.now() - self._heartbeat_sent_at
        return waited >= self._options.heartbeat_timeout


class EndpointLiveness:
    """Tracks the liveness of an endpoint by attempts to connect to it."""

    def __init__(
        self, options: LivenessOptions, own_clock: clock.Clock
    ) -> None:
        """Initialize with the endpoint considered up.

        :param options: timing
        :param own_clock: time source
        """
        self._options = options
        self._clock = own_clock
        self._failed = 0
        self._probe_at = own_clock.now()

    @property
    def down(self) -> bool:
        """Whether the last attempts to connect all failed."""
        return self._failed >= self._options.failed_probes

    @property
    def probe_delay(self) -> float:
        """Seconds until the next attempt to connect."""
        return max(0.0, self._probe_at - self._clock.now())

    def record_connected(self) -> None:
        """Record that a new connection was opened."""
        self._failed = 0
        self._probe_at = self._clock.now()

    def record_failure(self) -> None:
        """Record that an attempt to connect failed."""
        options = self._options
        delay = options.initial_probe_delay * 2**self._failed
        self._failed = min(self._failed + 1, MAX_FAILED_COUNT)
        self._probe_at = self._clock.now() + min(
            delay, options.max_probe_delay
        )
