"""State of one endpoint of a group, as observed by this daemon."""

import random
import time

import structlog

from fescuestile import admission
from fescuestile import clock
from fescuestile import concurrency
from fescuestile import endpoint_choice
from fescuestile import positions
from fescuestile import routes
from fescuestile_daemon.relay.core import messages
from fescuestile_daemon.relay.core import options
from fescuestile_daemon.relay.core import ports
from fescuestile_daemon.relay.endpoints import admission_controller
from fescuestile_daemon.relay.endpoints import endpoint_runs
from fescuestile_daemon.relay.endpoints import pool
from fescuestile_daemon.relay.endpoints import service_records

log = structlog.get_logger()

# Guaranteed minimum share of the slots of each of the three ranks.
FLOORS = (0.1, 0.1, 0.1)
# A statement that takes this many times the mean is abandoned.
RESPONSE_TIMEOUT_FACTOR = 5.0
# Share of its target latency for which work may wait for a slot.
QUEUE_TIMEOUT_SHARE = 0.5
# Work may wait this many times its least service time if that is longer, so
# that an endpoint that is late with every statement still serves some of them.
QUEUE_TIMEOUT_FACTOR = 8.0
# An endpoint that lacked a position is tried for it again after the first of
# these times, as replicas usually lag by some ten milliseconds, and after
# twice the last one, up to the second, each time that it still lacks it.
MISSING_POSITION_SECONDS = 0.05
MISSING_POSITION_MAX_SECONDS = 0.8
# An endpoint that is not tried for so long gets no reads while it lags.
PERSISTENT_LAG_SECONDS = 0.2


class EndpointState:
    """An endpoint's connections, admission queue and observed health.

    :ivar entry: registry entry
    :ivar admission: admission controller of its slots
    :ivar pool: connections
    :ivar report: latest report, None before the first
    :ivar reported_at: monotonic seconds at which the report was requested
    :ivar answered_at: monotonic seconds of the latest answer of any kind
    :ivar unanswered_since: monotonic seconds of the oldest request without an
        answer, None when it has answered since the latest request
    :ivar refused_since: monotonic seconds since which it refuses connections,
        None when it does not
    :ivar is_displaced: another endpoint answers at its address
    :ivar has_answered: it has answered at least once
    :ivar held: latest position that its log was seen to hold
    :ivar run: connections on which it may confirm writes
    :ivar dropped_at: monotonic seconds at which its registry entry was missed,
        None while there is an entry
    :ivar leaving_since: boot-time seconds at which its entry was first seen to
        be leaving, None while it accepts new work
    """

    def __init__(
        self,
        entry: messages.EndpointEntry,
        dialer: ports.Dialer,
        relay_options: options.RelayOptions,
        cap: int,
        boot_clock: clock.Clock,
    ) -> None:
        """Start without connections.

        :param cap: connections that this daemon opens to it at most
        :param boot_clock: clock that counts suspensions, by which it leaves
        """
        self._options = relay_options
        self._clock = boot_clock
        self.leaving_since: float | None = None
        self.put_entry(entry)
        self.pool = pool.ConnectionPool(
            entry,
            dialer,
            relay_options,
            cap,
            pool.Observer(self.record_request, self.record_connection_result),
        )
        queue = admission.AdmissionQueue(
            admission.AdmissionOptions(
                slots=max(1, entry.slots),
                floors=FLOORS,
                initial_service=service_records.INITIAL_SERVICE_SECONDS,
            ),
            entry.id,
        )
        self.admission = admission_controller.AdmissionController(
            queue, random.Random(), entry.id
        )
        self.report: messages.Report | None = None
        self.reported_at = 0.0
        self.answered_at = time.monotonic()
        self.has_answered = False
        self.held = positions.START
        self.run = endpoint_runs.EndpointRun()
        self.unanswered_since: float | None = None
        self.refused_since: float | None = None
        self.is_displaced = False
        self.dropped_at: float | None = None
        self._services = service_records.ServiceRecord()
        self._missing_until = 0.0
        self._missing_seconds = 0.0
        self._missing_position = positions.START

    @property
    def name(self) -> str:
        """The endpoint's id."""
        return self.entry.id

    def put_entry(self, entry: messages.EndpointEntry) -> None:
        """Apply its registry entry."""
        self.entry = entry
        if not entry.leaving:
            self.leaving_since = None
        elif self.leaving_since is None:
            self.leaving_since = self._clock.now()

    @property
    def accepts_work(self) -> bool:
        """Whether work may still begin at it."""
        return (
            self.leaving_since is None
            or self.measure_leaving() < self._options.leaving_limit
        )

    @property
    def has_left(self) -> bool:
        """Whether it ended after its notice, as its registry entry did."""
        return (
            self.leaving_since is not None
            and self.dropped_at is not None
            and (self.refused_since is not None or self.is_displaced)
        )

    def has_ended(self, started_at: int) -> bool:
        """Return whether a run of it has ended.

        :param started_at: Unix milliseconds of the start of that run
        """
        return (
            self.entry.started_at != started_at
            or self.refused_since is not None
            or self.is_displaced
        )

    def refuse_late_work(self) -> None:
        """Refuse the work that waits for it once it accepts none."""
        accepted_work = self.pool.accepts_work
        self.pool.accepts_work = self.accepts_work
        if self.accepts_work:
            return
        self.pool.wake_all()
        self.admission.refuse_new("the endpoint is leaving")
        if accepted_work:
            log.info(
                "leaving endpoint gets no more work",
                endpoint=self.name,
                group=self.entry.group,
                leaving_seconds=round(self.measure_leaving(), 3),
            )

    def measure_leaving(self) -> float:
        """Return for how many seconds it has been leaving."""
        return (
            0.0
            if self.leaving_since is None
            else self._clock.now() - self.leaving_since
        )

    def record_request(self) -> None:
        """Record that a request is sent to it."""
        if self.unanswered_since is None:
            self.unanswered_since = time.monotonic()

    def record_connection_result(
        self, outcome: messages.Outcome | None
    ) -> None:
        """Record the result of opening a connection.

        :param outcome: why it failed, None if it was opened
        """
        self.is_displaced = (
            outcome is not None
            and outcome.kind is messages.Kind.WRONG_ENDPOINT
        )
        if self.is_displaced:
            return
        if outcome is None or outcome.kind is not messages.Kind.LOST:
            self.record_answer()
        elif outcome.connection_refused and self.refused_since is None:
            self.refused_since = time.monotonic()

    def measure_unanswered(self, now: float) -> float:
        """Return for how many seconds it has left requests unanswered."""
        return (
            0.0
            if self.unanswered_since is None
            else now - self.unanswered_since
        )

    def measure_refusal(self, now: float) -> float:
        """Return for how many seconds it has refused connections."""
        return 0.0 if self.refused_since is None else now - self.refused_since

    def reset_failure_detection(self) -> None:
        """Restart failure detection after a pause of this daemon."""
        self.unanswered_since = self.refused_since = None

    def record_answer(self, seconds: float | None = None) -> None:
        """Record an answer.

        :param seconds: service time, None if the answer does not show it
        """
        self.answered_at = time.monotonic()
        self.has_answered = True
        self.unanswered_since = self.refused_since = None
        if seconds is not None:
            self._services.record_answer(seconds, self.pool.is_retaining)

    def record_choice(self) -> None:
        """Record that it was chosen for a read."""
        self._services.probes.record_choice(time.monotonic())

    def record_connection_usage(self, usage: float) -> None:
        """Record which share of the endpoint's connections is in use.

        While connections are scarce, one slot is used here, so that work
        waits for admission, by rank, and not for a connection. A pool that
        retains its connections has some for each slot.
        """
        self.pool.usage = usage
        is_short = self.pool.is_scarce and not self.pool.is_retaining
        slots = 1 if is_short else max(1, self.entry.slots)
        self.admission.queue.set_slots(slots)
        # Elsewhere a daemon sees too small a part of the endpoint's work.
        self.admission.queue.set_way(
            concurrency.Way.QUEUEING
            if self.pool.is_retaining
            else concurrency.Way.TRIALS
        )

    def record_round_trip(self, seconds: float, reported: bool) -> None:
        """Record the round-trip time of a report, or its refusal.

        A report costs the endpoint no work, so its time measures the queue.

        :param reported: False when the endpoint had no room for it
        """
        if reported:
            self.admission.record_round_trip(seconds)
        else:
            self.admission.record_refusal()

    def record_abandoned(self, seconds: float) -> None:
        """Record that a statement was abandoned after so many seconds."""
        self._services.record_abandoned(seconds)
        self.record_failure()

    def record_failure(self) -> None:
        """Record a failed or unanswered statement or connection."""
        self._services.record_failure()

    def record_missing_position(self, wanted: positions.Position) -> None:
        """Record that its log lacked a position."""
        now = time.monotonic()
        if now >= self._missing_until:
            self._missing_seconds = min(
                max(MISSING_POSITION_SECONDS, 2 * self._missing_seconds),
                MISSING_POSITION_MAX_SECONDS,
            )
        self._missing_position = wanted
        self._missing_until = now + self._missing_seconds

    def record_held_position(self, wanted: positions.Position) -> None:
        """Record that its log held a position."""
        if wanted >= self._missing_position:
            self._missing_seconds = 0.0

    def lags_persistently(self, wanted: positions.Position | None) -> bool:
        """Return whether it has lacked positions for longer than usual."""
        return (
            self._missing_seconds >= PERSISTENT_LAG_SECONDS
            and self.lacks_position(wanted)
        )

    def lacks_position(self, wanted: positions.Position | None) -> bool:
        """Return whether its log is known to lack a position."""
        if wanted is None or time.monotonic() >= self._missing_until:
            return False
        return wanted >= self._missing_position

    def get_response_timeout(self, target_latency: float) -> float:
        """Return the timeout of a read at this endpoint, in seconds.

        Half of the target leaves time for another attempt; an endpoint
        that is slow at the moment gets several times its mean.

        :param target_latency: seconds within which the work should end
        """
        return max(
            target_latency / 2, RESPONSE_TIMEOUT_FACTOR * self._services.mean
        )

    def get_queue_timeout(self, route: routes.Route) -> float:
        """Return how long work may wait for a slot here, in seconds.

        The most urgent work may wait for the whole of its target latency.
        Other work is refused after a part of it, so that another attempt
        may still be in time.
        """
        share = (
            1.0
            if route.level == admission_controller.MOST_URGENT
            else QUEUE_TIMEOUT_SHARE
        )
        service = self.admission.queue.times.get_minimum(route.database)
        return max(
            route.target_latency * share, QUEUE_TIMEOUT_FACTOR * service
        )

    def make_candidate(
        self,
        work: admission_controller.Work,
        wanted: positions.Position | None,
        zone: str,
        is_primary: bool,
    ) -> endpoint_choice.Candidate:
        """Return this endpoint as a candidate for some work.

        :param wanted: position that its log must hold
        :param zone: availability zone of this daemon
        """
        now = time.monotonic()
        expected = self.admission.estimate_start(work, now)
        return endpoint_choice.Candidate(
            name=self.name,
            service=self._services.mean,
            wait=expected.wait,
            in_time=expected.in_time,
            unanswered_seconds=self.measure_unanswered(now),
            failures=self._services.count_failures(now)
            + (now < self.pool.failed_until),
            is_primary=is_primary,
            is_same_zone=self.entry.zone == zone,
            lags=self.lacks_position(wanted),
            is_connected=self.pool.has_idle_for(work.tenant),
            # Reads are kept away from the primary, so it isn't probed.
            is_probe_due=self.pool.is_retaining
            and not is_primary
            and now >= self.pool.failed_until
            and self._services.probes.is_due(
                now, work.level == admission_controller.MOST_URGENT
            ),
        )

    def estimate_failures(self) -> float:
        """Return the count of recent failures, decayed over time."""
        return self._services.count_failures(time.monotonic())

    def close(self) -> None:
        """Close its connections and refuse waiting work."""
        self.pool.close()
        self.admission.close()
