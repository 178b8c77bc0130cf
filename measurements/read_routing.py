"""Routing of reads that may be stale, compared with two baselines."""

import abc
import dataclasses
import heapq
import itertools
import math
import random
import typing

from fescuestile import diversion
from fescuestile import positions
from fescuestile import requests
from fescuestile import routing
from measurements import base
from measurements import latencies
from measurements import read_model

SECONDS = 60.0
OPERATIONS_PER_SECOND = 900.0
WRITE_SHARE = 0.1
SESSIONS = 600
STALENESS_SECONDS = 5.0
DEADLINE_SECONDS = 5.0
READ_LEVEL = 1
TARGET_SHARE = 0.9
# Zone of the entry daemon and of the second endpoint.
ZONE = read_model.ZONES[1]


def _oscillate(time: float) -> float:
    """Return a lag that oscillates between 10 ms and 3 s."""
    return 0.01 + 1.5 * (1 - math.cos(time / 5))


LAG_PROFILES = (
    read_model.LagProfile("50 ms", lambda t: 0.05, lambda t: 0.05, True),
    read_model.LagProfile("300 ms", lambda t: 0.3, lambda t: 0.3, True),
    read_model.LagProfile(
        "10 ms to 3 s", _oscillate, lambda t: _oscillate(t + 15), True
    ),
    read_model.LagProfile("one stopped", lambda t: 0.05, lambda t: t, False),
    read_model.LagProfile(
        "both grow", lambda t: t / 2, lambda t: t / 2, False
    ),
)


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingRow:
    """One policy with one lag profile.

    :ivar by_replicas: share of the reads that replicas served
    :ivar broken: answers that miss a write the session has observed, or
        that exceed the staleness limit
    :ivar not_run: share of the reads that were refused
    :ivar read_p99_ms: 99th percentile from request to answer
    :ivar write_p99_ms: 99th percentile from request to the primary's answer
    """

    policy: str
    lag: str
    reads: int
    by_replicas: float
    broken: int
    not_run: float
    read_p50_ms: float
    read_p99_ms: float
    write_p99_ms: float


class Policy(abc.ABC):
    """Policy that routes reads to endpoints."""

    name: str

    @abc.abstractmethod
    def choose(
        self,
        model: read_model.ReadModel,
        request: requests.Request,
        waited: bool,
        rng: random.Random,
    ) -> routing.RoutingDecision | None:
        """Return the decision, or None to refuse the read."""

    def accepts(
        self,
        model: read_model.ReadModel,
        request: requests.Request,
        answer: requests.Answer,
        decision: routing.RoutingDecision,
    ) -> bool:
        """Return whether an answer may be returned to the caller."""
        return True


class PrimaryOnly(Policy):
    """Baseline: route every read to the primary."""

    name = "primary only"

    def choose(
        self,
        model: read_model.ReadModel,
        request: requests.Request,
        waited: bool,
        rng: random.Random,
    ) -> routing.RoutingDecision | None:
        """Route to the primary."""
        view = model.take_snapshot().endpoints[read_model.PRIMARY]
        return routing.RoutingDecision(view, read_model.TERM)


class RandomReplica(Policy):
    """Baseline: route to a random replica regardless of its lag."""

    name = "random replica"

    def choose(
        self,
        model: read_model.ReadModel,
        request: requests.Request,
        waited: bool,
        rng: random.Random,
    ) -> routing.RoutingDecision | None:
        """Route to a random replica."""
        name = rng.choice(read_model.NAMES[1:])
        view = model.take_snapshot().endpoints[name]
        return routing.RoutingDecision(view, read_model.TERM, replica=True)


class LibraryPolicy(Policy):
    """The library's routing and its check of answers."""

    name = "ours"

    def choose(
        self,
        model: read_model.ReadModel,
        request: requests.Request,
        waited: bool,
        rng: random.Random,
    ) -> routing.RoutingDecision | None:
        """Return the library's decision."""
        routed = routing.route(
            request,
            model.take_snapshot(),
            ZONE,
            model.now,
            rng,
            waited,
        )
        return routed.ok if routed.is_ok() else None

    def accepts(
        self,
        model: read_model.ReadModel,
        request: requests.Request,
        answer: requests.Answer,
        decision: routing.RoutingDecision,
    ) -> bool:
        """Check the answer's position with the library."""
        return routing.check_answer(
            request, answer, decision, model.take_snapshot(), model.now
        ).is_ok()


@dataclasses.dataclass
class _Read:
    """A read that has not been answered yet."""

    request: requests.Request
    started_at: float
    session: int
    waited: bool = False


class Simulation:
    """Discrete-event simulation of one policy with one lag profile."""

    def __init__(
        self, policy: Policy, lags: read_model.LagProfile, seed: int
    ) -> None:
        """Initialize the model, the sessions and the counters."""
        self._policy = policy
        self._lags = lags
        self._rng = random.Random(seed)
        self._model = read_model.ReadModel(lags, self._rng)
        self._minimums = [positions.START] * SESSIONS
        self._sequence = itertools.count()
        self._events: list[tuple[float, int, typing.Callable[[], None]]] = []
        self._diverted_reads = diversion.DivertedReadLimiter()
        self._reads = latencies.Latencies()
        self._writes = latencies.Latencies()
        self._by_replicas = 0
        self._refused = 0
        self._violations = 0

    def run(self) -> RoutingRow:
        """Process all events and return the results."""
        self._schedule(0.0, self._arrive)
        while self._events:
            time, _, event = heapq.heappop(self._events)
            self._model.advance(time)
            event()
        total = self._reads.count + self._refused
        return RoutingRow(
            policy=self._policy.name,
            lag=self._lags.name,
            reads=total,
            by_replicas=self._by_replicas / total,
            broken=self._violations,
            not_run=self._refused / total,
            read_p50_ms=self._reads.get_percentile(50) * 1000,
            read_p99_ms=self._reads.get_percentile(99) * 1000,
            write_p99_ms=self._writes.get_percentile(99) * 1000,
        )

    def _schedule(self, time: float, event: typing.Callable[[], None]) -> None:
        heapq.heappush(self._events, (time, next(self._sequence), event))

    def _arrive(self) -> None:
        now = self._model.now
        if now < SECONDS:
            interval = self._rng.expovariate(OPERATIONS_PER_SECOND)
            self._schedule(now + interval, self._arrive)
        session = self._rng.randrange(SESSIONS)
        if self._rng.random() < WRITE_SHARE:
            self._write(session)
        else:
            self._read(_Read(self._build_request(session), now, session))

    def _write(self, session: int) -> None:
        position, ended_at = self._model.write()
        self._writes.record(ended_at - self._model.now)
        self._schedule(ended_at, lambda: self._observe(session, position))

    def _observe(self, session: int, position: positions.Position) -> None:
        self._minimums[session] = max(self._minimums[session], position)

    def _build_request(self, session: int) -> requests.Request:
        return requests.Request(
            request_id="r",
            caller="c",
            database=read_model.DATABASE,
            kind="tuning-sheet",
            level=READ_LEVEL,
            staleness=STALENESS_SECONDS,
            deadline=self._model.now + DEADLINE_SECONDS,
            repeatable=True,
            action=requests.Action.STATEMENT,
            read_only=True,
            minimum=self._minimums[session],
        )

    def _read(self, read: _Read) -> None:
        decision = self._policy.choose(
            self._model, read.request, read.waited, self._rng
        )
        if decision is None:
            self._refused += 1
        elif decision.catch_up:
            self._wait(read, decision)
        elif decision.diverted:
            self._divert(read, decision)
        else:
            self._serve(read, decision)

    def _wait(self, read: _Read, decision: routing.RoutingDecision) -> None:
        read.waited = True
        delay = min(decision.catch_up, read_model.REPORT_INTERVAL_SECONDS)
        self._schedule(self._model.now + delay, lambda: self._read(read))

    def _divert(self, read: _Read, decision: routing.RoutingDecision) -> None:
        name = decision.view.endpoint.name
        slots = decision.view.endpoint.slots
        if self._diverted_reads.acquire(
            name, slots, read.request.level
        ).is_error():
            self._refused += 1
            return
        ended_at = self._serve(read, decision)
        self._schedule(ended_at, lambda: self._diverted_reads.release(name))

    def _serve(self, read: _Read, decision: routing.RoutingDecision) -> float:
        name = decision.view.endpoint.name
        ended_at = self._model.serve(name)
        if decision.view.endpoint.zone != ZONE:
            ended_at += routing.DEFAULTS.zone_cost
        self._schedule(ended_at, lambda: self._answer(read, decision, name))
        return ended_at

    def _answer(
        self, read: _Read, decision: routing.RoutingDecision, name: str
    ) -> None:
        now = self._model.now
        index = self._model.find_index(name, now)
        answer = requests.Answer(
            b"", name, positions.Position(read_model.TERM, index)
        )
        if not self._policy.accepts(
            self._model, read.request, answer, decision
        ):
            read.waited = True
            self._read(read)
            return
        self._check_guarantees(read, index)
        self._by_replicas += decision.replica
        self._reads.record(now - read.started_at)
        self._observe(read.session, answer.position)

    def _check_guarantees(self, read: _Read, index: int) -> None:
        misses_write = index < read.request.minimum.index
        missing_since = self._model.find_missing_since(index)
        stale = self._model.now - missing_since > STALENESS_SECONDS
        self._violations += misses_write or stale


class ReadRouting(base.Measurement):
    """Share of reads served by replicas, and their latency."""

    name = "read_routing"
    description = (
        "Stale reads served by replicas, compared with two baselines."
    )

    def run(self, seed: int) -> base.Report:
        """Simulate each policy with each lag profile."""
        rows = tuple(
            Simulation(policy, lags, seed).run()
            for lags in LAG_PROFILES
            for policy in (PrimaryOnly(), RandomReplica(), LibraryPolicy())
        )
        bounded = [lags.name for lags in LAG_PROFILES if lags.bounded]
        library_rows = [
            row for row in rows if row.policy == LibraryPolicy.name
        ]
        targets = [
            base.require_at_least(
                f"share by replicas, lag {row.lag}",
                row.by_replicas,
                TARGET_SHARE,
            )
            for row in library_rows
            if row.lag in bounded
        ]
        broken = sum(row.broken for row in library_rows)
        targets.append(base.require_at_most("broken promises", broken, 0))
        return base.Report(self.name, seed, rows, tuple(targets))

    def plot(self, report: base.Report, path: str) -> None:
        """Plot the share served by replicas by policy and lag profile."""
        from matplotlib import pyplot

        rows = [row for row in report.rows if isinstance(row, RoutingRow)]
        names = [f"{row.policy}\n{row.lag}" for row in rows]
        figure, axes = pyplot.subplots(figsize=(12, 4))
        axes.bar(names, [row.by_replicas for row in rows])
        axes.set_ylabel("stale reads by replicas")
        axes.tick_params(axis="x", labelsize=6)
        figure.savefig(path)
        pyplot.close(figure)


def create_measurements() -> tuple[base.Measurement, ...]:
    """Return the measurements of this module."""
    return (ReadRouting(),)
