"""What the relay records of requests: log lines, counters, latencies."""

import collections

import structlog

from fescuestile import routes
from fescuestile_daemon.relay import messages

log = structlog.get_logger()

# Upper bounds of the latency histogram, in seconds; the targets of the
# routes in use (0.1 to 0.8) are among them.
LATENCY_BOUNDS = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.15,
    0.2,
    0.25,
    0.4,
    0.8,
    1.5,
    4.0,
)
# One successful statement in so many gets a line.
SAMPLE_EVERY = 200


class Histogram:
    """Counts of durations.

    :ivar counts: one more than there are bounds
    :ivar total: sum in seconds
    """

    def __init__(self) -> None:
        """Start empty."""
        self.counts = [0] * (len(LATENCY_BOUNDS) + 1)
        self.total = 0.0

    def add(self, seconds: float) -> None:
        """Count a duration."""
        place = 0
        for bound in LATENCY_BOUNDS:
            if seconds <= bound:
                break
            place += 1
        self.counts[place] += 1
        self.total += seconds


class Recorder:
    """Counts what happens and logs what explains a failure.

    :ivar counters: counts by (name, label)
    :ivar latencies: durations by rank
    """

    def __init__(self) -> None:
        """Start at zero."""
        self.counters: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.latencies: dict[int, Histogram] = {}
        self._successes = 0

    def count(self, name: str, label: str = "") -> None:
        """Add one to a counter."""
        self.counters[name, label] += 1

    def note_statement(
        self,
        request: str,
        route: routes.Route,
        kind: messages.Kind,
        seconds: float,
        attempts: int,
        detail: str = "",
    ) -> None:
        """Record how a statement ended.

        :param request: id of the statement
        :param seconds: since it arrived
        :param attempts: endpoints tried
        """
        self.counters["statements", kind.value] += 1
        histogram = self.latencies.get(route.level)
        if histogram is None:
            histogram = self.latencies[route.level] = Histogram()
        histogram.add(seconds)
        late = seconds > route.target_latency
        if kind is messages.Kind.DONE and attempts == 1 and not late:
            self._successes += 1
            if self._successes % SAMPLE_EVERY:
                return
        log.info(
            "statement answered",
            request=request,
            outcome=kind.value,
            detail=detail,
            database=route.database,
            group=route.group,
            rank=route.level,
            seconds=round(seconds, 4),
            late=late,
            attempts=attempts,
        )

    def note_lost(self, request: str, endpoint: str, detail: str) -> None:
        """Record an attempt without an answer."""
        self.count("attempts_lost", endpoint)
        log.warning(
            "attempt without an answer",
            request=request,
            endpoint=endpoint,
            detail=detail,
        )
