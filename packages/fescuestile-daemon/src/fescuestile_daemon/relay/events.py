"""Records requests of the relay: log lines, counters and latencies."""

import collections

import structlog

from fescuestile import routes
from fescuestile_daemon.relay import messages

log = structlog.get_logger()

# Upper bounds of the latency histogram, in seconds; the latency targets of
# the routes in use (0.1 to 0.8) are among them.
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
# One in so many statements that succeeded at once and in time is logged.
SAMPLE_EVERY = 200


class Histogram:
    """Histogram of durations.

    :ivar counts: count of each bucket; the last is unbounded
    :ivar total: sum of the durations in seconds
    """

    def __init__(self) -> None:
        """Initialize without samples."""
        self.counts = [0] * (len(LATENCY_BOUNDS) + 1)
        self.total = 0.0

    def add(self, seconds: float) -> None:
        """Add a duration."""
        index = 0
        for bound in LATENCY_BOUNDS:
            if seconds <= bound:
                break
            index += 1
        self.counts[index] += 1
        self.total += seconds


class Recorder:
    """Counts and logs the results of statements and attempts.

    :ivar counters: counts by (name, label)
    :ivar latencies: durations by level
    """

    def __init__(self) -> None:
        """Initialize with all counters at zero."""
        self.counters: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.latencies: dict[int, Histogram] = {}
        self._successes = 0

    def count(self, name: str, label: str = "") -> None:
        """Add one to a counter."""
        self.counters[name, label] += 1

    def record_statement(
        self,
        request: str,
        route: routes.Route,
        kind: messages.Kind,
        seconds: float,
        attempts: int,
        endpoint: str = "",
        detail: str = "",
    ) -> None:
        """Record how a statement ended.

        Statements that failed, were late or needed several attempts are
        all logged, the others are sampled.

        :param request: id of the statement
        :param seconds: time since it arrived
        :param attempts: attempts made
        :param endpoint: endpoint of the last attempt, empty if it was sent
            to none
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
            endpoint=endpoint,
        )

    def record_leaving_attempt(
        self, request: str, endpoint: str, seconds: float
    ) -> None:
        """Record new work that is sent to a leaving endpoint.

        :param request: id of the statement
        :param seconds: time since the endpoint was first seen to be leaving
        """
        self.count("attempts_leaving", endpoint)
        log.info(
            "new work sent to leaving endpoint",
            request=request,
            endpoint=endpoint,
            leaving_seconds=round(seconds, 3),
        )

    def record_lost_attempt(
        self, request: str, endpoint: str, detail: str
    ) -> None:
        """Record an attempt that got no answer."""
        self.count("attempts_lost", endpoint)
        log.warning(
            "endpoint did not answer an attempt",
            request=request,
            endpoint=endpoint,
            detail=detail,
        )
