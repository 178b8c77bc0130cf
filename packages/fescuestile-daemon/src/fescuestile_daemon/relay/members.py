"""One endpoint of a group, as this daemon knows it."""

import random
import time

from fescuestile import admission
from fescuestile import endpoint_choice
from fescuestile import positions
from fescuestile import routes
from fescuestile_daemon.relay import gate
from fescuestile_daemon.relay import messages
from fescuestile_daemon.relay import options
from fescuestile_daemon.relay import pool
from fescuestile_daemon.relay import ports

# Work is classed by three ranks; each is owed this share of the slots.
FLOORS = (0.1, 0.1, 0.1)
# Weight of a new sample in the mean service time.
SERVICE_WEIGHT = 0.1
# A statement that was given up counts as taking this many times as long, with
# this weight; one such then allows the next some two and a half times more.
GIVEN_UP_FACTOR = 1.5
GIVEN_UP_WEIGHT = 0.3
# Service time assumed of an endpoint before the first answer, in seconds.
INITIAL_SERVICE_SECONDS = 0.01
# A statement that takes this many times the mean is given up.
SILENCE_FACTOR = 5.0
# Share of its target for which work waits for its turn.
PATIENCE_SHARE = 0.5
# Work waits so many times its least service time if that is longer: an
# endpoint whose every statement is late still serves a few rounds of them.
PATIENCE_FACTOR = 8.0
# Seconds in which the count of recent failures halves.
FAILURE_HALF_LIFE_SECONDS = 1.0
# An endpoint that lacked a position is asked for it again after this time,
# in seconds; replicas lag by some ten milliseconds.
BEHIND_SECONDS = 0.05


class Member:
    """An endpoint's connections, queue and record.

    :ivar entry: registry entry
    :ivar gate: admission to its slots
    :ivar pool: connections
    :ivar report: latest report, None before the first
    :ivar reported_at: steady seconds at which the report was asked for
    :ivar answered_at: steady seconds of the latest answer of any kind
    :ivar waiting_since: steady seconds of the oldest question without an
        answer, None when it answered after the latest
    :ivar refused_since: steady seconds since which it refuses connections,
        None when it does not
    :ivar has_answered: it answered at least once
    :ivar dropped_at: steady seconds at which the registry dropped it
    """

    def __init__(
        self,
        entry: messages.EndpointEntry,
        dialer: ports.Dialer,
        relay_options: options.RelayOptions,
        cap: int,
    ) -> None:
        """Start without connections."""
        self.entry = entry
        self.pool = pool.ChannelPool(
            entry,
            dialer,
            relay_options,
            cap,
            pool.Observer(self.note_asked, self.note_dialled),
        )
        queue = admission.AdmissionQueue(
            admission.AdmissionOptions(
                slots=max(1, entry.slots),
                floors=FLOORS,
                initial_service=INITIAL_SERVICE_SECONDS,
            ),
            entry.id,
        )
        self.gate = gate.Gate(queue, random.Random())
        self.report: messages.Report | None = None
        self.reported_at = 0.0
        self.answered_at = time.monotonic()
        self.has_answered = False
        self.waiting_since: float | None = None
        self.refused_since: float | None = None
        self.dropped_at: float | None = None
        self._service = INITIAL_SERVICE_SECONDS
        self._failures = 0.0
        self._failed_at = 0.0
        self._behind_until = 0.0
        self._behind = positions.START

    @property
    def name(self) -> str:
        """The endpoint's id."""
        return self.entry.id

    def note_asked(self) -> None:
        """Note that something is sent to it."""
        if self.waiting_since is None:
            self.waiting_since = time.monotonic()

    def note_dialled(self, outcome: messages.Outcome | None) -> None:
        """Note how opening a connection ended, None for well."""
        if outcome is None or outcome.kind is not messages.Kind.LOST:
            self.note_answer()
        elif outcome.refused and self.refused_since is None:
            self.refused_since = time.monotonic()

    def measure_silence(self, now: float) -> float:
        """Return for how many seconds it has left questions unanswered."""
        return 0.0 if self.waiting_since is None else now - self.waiting_since

    def measure_refusal(self, now: float) -> float:
        """Return for how many seconds it has refused connections."""
        return 0.0 if self.refused_since is None else now - self.refused_since

    def restart_silence(self) -> None:
        """Judge silence anew, after a pause of this daemon itself."""
        self.waiting_since = self.refused_since = None

    def note_answer(self, seconds: float | None = None) -> None:
        """Note that it answered, after so many seconds of service."""
        self.answered_at = time.monotonic()
        self.has_answered = True
        self.waiting_since = self.refused_since = None
        if seconds is not None:
            self._service += SERVICE_WEIGHT * (seconds - self._service)

    def note_connections(self, usage: float) -> None:
        """Note which share of the endpoint's connections is in use.

        While few are left there will be one here, so work waits for its turn
        in the gate, by rank, and not for a connection.
        """
        self.pool.usage = usage
        slots = 1 if self.pool.is_scarce else max(1, self.entry.slots)
        self.gate.queue.set_slots(slots)

    def note_trip(self, seconds: float, reported: bool) -> None:
        """Note how long a report took, or that there was no room for it.

        A report takes no work, so its time is that of the endpoint's queue.
        """
        if reported:
            self.gate.note_trip(seconds)
        else:
            self.gate.note_full()

    def note_given_up(self, seconds: float) -> None:
        """Note that a statement was given up after so many seconds.

        It would have taken longer, so the mean must grow, or an endpoint
        that has become slow would never be given the time to answer.
        """
        sample = seconds * GIVEN_UP_FACTOR
        self._service += GIVEN_UP_WEIGHT * (sample - self._service)
        self.note_failure()

    def note_failure(self) -> None:
        """Note a failed or unanswered statement or connection."""
        now = time.monotonic()
        self._failures = self._decay(now) + 1.0
        self._failed_at = now

    def note_behind(self, wanted: positions.Position) -> None:
        """Note that its log lacked a position."""
        self._behind = wanted
        self._behind_until = time.monotonic() + BEHIND_SECONDS

    def lacks(self, wanted: positions.Position | None) -> bool:
        """Tell whether its log is known to lack a position."""
        if wanted is None or time.monotonic() >= self._behind_until:
            return False
        return wanted >= self._behind

    def bound_silence(self, target_latency: float) -> float:
        """Return how long a read may stay without an answer, in seconds.

        Half of the target leaves time for another attempt; an endpoint
        that is slow at the moment gets several times its mean.

        :param target_latency: seconds within which the work should end
        """
        return max(target_latency / 2, SILENCE_FACTOR * self._service)

    def bound_patience(self, route: routes.Route) -> float:
        """Return how long work may wait for its turn here, in seconds.

        The most urgent work has the whole of its target. Other work that is
        refused after a part of it may still be on time by another way.
        """
        share = 1.0 if route.level == gate.MOST_URGENT else PATIENCE_SHARE
        service = self.gate.queue.times.get_least(route.database)
        return max(route.target_latency * share, PATIENCE_FACTOR * service)

    def describe(
        self,
        work: gate.Work,
        wanted: positions.Position | None,
        zone: str,
        is_primary: bool,
    ) -> endpoint_choice.Candidate:
        """Return what the choice of an endpoint needs."""
        now = time.monotonic()
        turn = self.gate.expect_turn(work, now)
        return endpoint_choice.Candidate(
            name=self.name,
            service=self._service,
            wait=turn.wait,
            in_time=turn.in_time,
            silence=self.measure_silence(now),
            failures=self._decay(now) + (now < self.pool.failed_until),
            is_primary=is_primary,
            is_near=self.entry.zone == zone,
            lags=self.lacks(wanted),
        )

    def estimate_failures(self) -> float:
        """Return the recent failures, decaying."""
        return self._decay(time.monotonic())

    def close(self) -> None:
        """Give up its connections."""
        self.pool.close()
        self.gate.close()

    def _decay(self, now: float) -> float:
        age = now - self._failed_at
        return float(self._failures * 0.5 ** (age / FAILURE_HALF_LIFE_SECONDS))
