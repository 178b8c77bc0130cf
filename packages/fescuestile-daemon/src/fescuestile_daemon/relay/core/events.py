"""Records requests of the relay: log lines, counters and latencies."""

import collections
import time
import typing

import structlog

from fescuestile import endpoint_messages
from fescuestile import routes
from fescuestile_daemon.relay.core import messages
from fescuestile_daemon.relay.core import tenant_counters

log = structlog.get_logger()

Role = endpoint_messages.Role
Reports = typing.Iterable[messages.Report]

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
# Probes change a concurrency limit by one all the time; only larger changes
# are logged, at most one in this time.
LIMIT_STEP = 1
LIMIT_LOG_SECONDS = 1.0


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
    :ivar tenants: counters by tenant
    """

    def __init__(self) -> None:
        """Initialize with all counters at zero."""
        self.counters: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.latencies: dict[int, Histogram] = {}
        self.tenants = tenant_counters.TenantCounters()
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


class LimitEvents:
    """Logs changes of an endpoint's concurrency limit."""

    def __init__(self, endpoint: str) -> None:
        """Initialize with the endpoint's name."""
        self._endpoint = endpoint
        self._logged: int | None = None
        self._logged_at = float("-inf")

    def record(self, limit: int, slots: int, now: float) -> None:
        """Log a limit that differs by more than one from the last one logged.

        :param limit: limit in force
        :param slots: declared slots, the limit before the first change
        :param now: monotonic seconds
        """
        before = slots if self._logged is None else self._logged
        if abs(limit - before) <= LIMIT_STEP:
            return
        if now - self._logged_at < LIMIT_LOG_SECONDS:
            return
        self._logged = limit
        self._logged_at = now
        log.info(
            "concurrency limit changed",
            endpoint=self._endpoint,
            limit=limit,
            before=before,
            slots=slots,
        )


class GroupEvents:
    """Logs what endpoints of one group report around a takeover."""

    def __init__(self, group: str) -> None:
        """Start without requested promotions."""
        self._group = group
        self._requested_at: dict[str, float] = {}

    def record_request(self, endpoint: str) -> None:
        """Note that this daemon requests the promotion of an endpoint."""
        self._requested_at[endpoint] = time.monotonic()

    def record_join(self, endpoint: str, reports: Reports) -> None:
        """Log an endpoint that is first seen while others are fenced."""
        fenced = [r for r in reports if r.role is Role.FENCED]
        if fenced:
            log.info(
                "endpoint joined a fenced group",
                endpoint=endpoint,
                group=self._group,
                fenced=describe_reports(fenced),
            )

    def record_term(
        self, report: messages.Report, known: messages.Report | None
    ) -> None:
        """Log an endpoint whose role or term has changed.

        :param known: its earlier report
        """
        log.info(
            "endpoint follows another term",
            endpoint=report.endpoint,
            group=self._group,
            role=report.role,
            term=report.term,
            followed=report.followed,
            position=str(report.last),
            before=known and f"{known.role} in term {known.term}",
        )

    def record_report(
        self,
        report: messages.Report,
        known: messages.Report | None,
        reports: Reports,
        led_term: int,
    ) -> None:
        """Log a new primary, or a replica that received past the fences.

        :param known: earlier report of the same endpoint
        :param reports: present reports of the group
        :param led_term: highest term in which an endpoint was seen to lead
        """
        if report.role is Role.PRIMARY and report.term > led_term > 0:
            since = self._requested_at.pop(report.endpoint, None)
            log.info(
                "endpoint leads a new term",
                endpoint=report.endpoint,
                group=self._group,
                term=report.term,
                led_term=led_term,
                position=str(report.last),
                requested_seconds=since and round(time.monotonic() - since, 3),
            )
        elif report.role is Role.REPLICA:
            fenced = [
                r
                for r in reports
                if r.role is Role.FENCED and r.term > report.term
            ]
            newest = max((r.last for r in fenced), default=report.last)
            # Lifted fences are not seen at all endpoints at once.
            was_behind = not known or (
                known.role is not Role.FENCED and known.last <= newest
            )
            if report.last > newest and was_behind:
                log.warning(
                    "replica is ahead of fenced endpoints",
                    endpoint=report.endpoint,
                    group=self._group,
                    term=report.term,
                    position=str(report.last),
                    fenced=describe_reports(fenced),
                )


def describe_reports(reports: Reports) -> dict[str, str]:
    """Return the end of the log and the term of each endpoint."""
    return {r.endpoint: f"{r.last} in term {r.term}" for r in reports}
