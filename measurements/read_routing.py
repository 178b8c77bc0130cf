"""Where reads that may be stale go: ours against two baselines."""

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
from measurements import frame
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
# Zone of the entry daemon, which is that of the second endpoint.
ZONE = read_model.ZONES[1]


def _wave(time: float) -> float:
    """Return a lag that swings between 10 ms and 3 s."""
    return 0.01 + 1.5 * (1 - math.cos(time / 5))


LAG_PLANS = (
    read_model.LagPlan("50 ms", lambda t: 0.05, lambda t: 0.05, True),
    read_model.LagPlan("300 ms", lambda t: 0.3, lambda t: 0.3, True),
    read_model.LagPlan("10 ms to 3 s", _wave, lambda t: _wave(t + 15), True),
    read_model.LagPlan("one stopped", lambda t: 0.05, lambda t: t, False),
    read_model.LagPlan("both grow", lambda t: t / 2, lambda t: t / 2, False),
)


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingRow:
    """One policy under one lag.

    :ivar by_replicas: share of the stale reads that replicas served
    :ivar broken: answers behind the session or past the staleness bound
    :ivar not_run: share of the reads refused
    :ivar read_p99_ms: milliseconds from request to answer
    :ivar write_p99_ms: milliseconds from request to the primary's answer
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
    """Chooses where a read goes."""

    name: str

    @abc.abstractmethod
    def choose(
        self,
        model: read_model.ReadModel,
        request: requests.Request,
        waited: bool,
        source: random.Random,
    ) -> routing.RoutingDecision | None:
        """Return the route, None for a refusal."""

    def accepts(
        self,
        model: read_model.ReadModel,
        request: requests.Request,
        answer: requests.Answer,
        route: routing.RoutingDecision,
    ) -> bool:
        """Tell whether an answer is given to the caller."""
        return True


class PrimaryOnly(Policy):
    """Baseline: every read at the primary."""

    name = "primary only"

    def choose(
        self,
        model: read_model.ReadModel,
        request: requests.Request,
        waited: bool,
        source: random.Random,
    ) -> routing.RoutingDecision | None:
        """Return the primary."""
        view = model.take_snapshot().endpoints[read_model.PRIMARY]
        return routing.RoutingDecision(view, read_model.TERM)


class RandomReplica(Policy):
    """Baseline: any replica, whatever its lag."""

    name = "random replica"

    def choose(
        self,
        model: read_model.ReadModel,
        request: requests.Request,
        waited: bool,
        source: random.Random,
    ) -> routing.RoutingDecision | None:
        """Return one of the replicas."""
        name = source.choice(read_model.NAMES[1:])
        view = model.take_snapshot().endpoints[name]
        return routing.RoutingDecision(view, read_model.TERM, replica=True)


class Ours(Policy):
    """The library's routing with its check of answers."""

    name = "ours"

    def choose(
        self,
        model: read_model.ReadModel,
        request: requests.Request,
        waited: bool,
        source: random.Random,
    ) -> routing.RoutingDecision | None:
        """Return what the library routes to."""
        routed = routing.route(
            request,
            model.take_snapshot(),
            ZONE,
            model.now,
            source,
            waited,
        )
        return routed.ok if routed.is_ok() else None

    def accepts(
        self,
        model: read_model.ReadModel,
        request: requests.Request,
        answer: requests.Answer,
        route: routing.RoutingDecision,
    ) -> bool:
        """Check the answer's position."""
        return routing.check_answer(
            request, answer, route, model.take_snapshot(), model.now
        ).is_ok()


@dataclasses.dataclass
class _Read:
    """One read on its way."""

    request: requests.Request
    began: float
    session: int
    waited: bool = False


class Run:
    """One policy under one lag, event by event."""

    def __init__(
        self, policy: Policy, lags: read_model.LagPlan, seed: int
    ) -> None:
        """Prepare a run."""
        self._policy = policy
        self._lags = lags
        self._random = random.Random(seed)
        self._model = read_model.ReadModel(lags, self._random)
        self._minimums = [positions.START] * SESSIONS
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, typing.Callable[[], None]]] = []
        self._diverted = diversion.DivertedReadLimiter()
        self._reads = latencies.Latencies()
        self._writes = latencies.Latencies()
        self._by_replicas = 0
        self._refused = 0
        self._broken = 0

    def run(self) -> RoutingRow:
        """Run to the end and return the figures."""
        self._at(0.0, self._arrive)
        while self._events:
            time, _, event = heapq.heappop(self._events)
            self._model.advance(time)
            event()
        asked = self._reads.count + self._refused
        return RoutingRow(
            policy=self._policy.name,
            lag=self._lags.name,
            reads=asked,
            by_replicas=self._by_replicas / asked,
            broken=self._broken,
            not_run=self._refused / asked,
            read_p50_ms=self._reads.get_percentile(50) * 1000,
            read_p99_ms=self._reads.get_percentile(99) * 1000,
            write_p99_ms=self._writes.get_percentile(99) * 1000,
        )

    def _at(self, time: float, event: typing.Callable[[], None]) -> None:
        heapq.heappush(self._events, (time, next(self._numbers), event))

    def _arrive(self) -> None:
        now = self._model.now
        if now < SECONDS:
            pause = self._random.expovariate(OPERATIONS_PER_SECOND)
            self._at(now + pause, self._arrive)
        session = self._random.randrange(SESSIONS)
        if self._random.random() < WRITE_SHARE:
            self._write(session)
        else:
            self._read(_Read(self._build_request(session), now, session))

    def _write(self, session: int) -> None:
        position, ended = self._model.write()
        self._writes.record(ended - self._model.now)
        self._at(ended, lambda: self._observe(session, position))

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
        route = self._policy.choose(
            self._model, read.request, read.waited, self._random
        )
        if route is None:
            self._refused += 1
        elif route.catch_up:
            self._wait(read, route)
        elif route.diverted:
            self._divert(read, route)
        else:
            self._serve(read, route)

    def _wait(self, read: _Read, route: routing.RoutingDecision) -> None:
        read.waited = True
        step = min(route.catch_up, read_model.REPORT_SECONDS)
        self._at(self._model.now + step, lambda: self._read(read))

    def _divert(self, read: _Read, route: routing.RoutingDecision) -> None:
        name = route.view.endpoint.name
        slots = route.view.endpoint.slots
        if self._diverted.enter(name, slots, read.request.level).is_error():
            self._refused += 1
            return
        ended = self._serve(read, route)
        self._at(ended, lambda: self._diverted.leave(name))

    def _serve(self, read: _Read, route: routing.RoutingDecision) -> float:
        name = route.view.endpoint.name
        ended = self._model.serve(name)
        if route.view.endpoint.zone != ZONE:
            ended += routing.DEFAULTS.zone_cost
        self._at(ended, lambda: self._answer(read, route, name))
        return ended

    def _answer(
        self, read: _Read, route: routing.RoutingDecision, name: str
    ) -> None:
        now = self._model.now
        index = self._model.find_index(name, now)
        answer = requests.Answer(
            b"", name, positions.Position(read_model.TERM, index)
        )
        if not self._policy.accepts(self._model, read.request, answer, route):
            read.waited = True
            self._read(read)
            return
        self._judge(read, index)
        self._by_replicas += route.replica
        self._reads.record(now - read.began)
        self._observe(read.session, answer.position)

    def _judge(self, read: _Read, index: int) -> None:
        behind = index < read.request.minimum.index
        lacks_since = self._model.find_oldest(index)
        old = self._model.now - lacks_since > STALENESS_SECONDS
        self._broken += behind or old


class ReadRouting(frame.Measurement):
    """Share of stale reads by replicas, and what it costs."""

    name = "read_routing"
    description = "Stale reads served by replicas, against two baselines."

    def run(self, seed: int) -> frame.Report:
        """Run each policy under each lag."""
        rows = tuple(
            Run(policy, lags, seed).run()
            for lags in LAG_PLANS
            for policy in (PrimaryOnly(), RandomReplica(), Ours())
        )
        bounded = [lags.name for lags in LAG_PLANS if lags.bounded]
        ours = [row for row in rows if row.policy == Ours.name]
        targets = [
            frame.require_at_least(
                f"share by replicas, lag {row.lag}",
                row.by_replicas,
                TARGET_SHARE,
            )
            for row in ours
            if row.lag in bounded
        ]
        broken = sum(row.broken for row in ours)
        targets.append(frame.require_at_most("broken promises", broken, 0))
        return frame.Report(self.name, seed, rows, tuple(targets))

    def plot(self, report: frame.Report, path: str) -> None:
        """Draw the share by replicas for each policy and lag."""
        from matplotlib import pyplot

        rows = [row for row in report.rows if isinstance(row, RoutingRow)]
        names = [f"{row.policy}\n{row.lag}" for row in rows]
        figure, axes = pyplot.subplots(figsize=(12, 4))
        axes.bar(names, [row.by_replicas for row in rows])
        axes.set_ylabel("stale reads by replicas")
        axes.tick_params(axis="x", labelsize=6)
        figure.savefig(path)
        pyplot.close(figure)


def create_measurements() -> tuple[frame.Measurement, ...]:
    """Return the measurements of this module."""
    return (ReadRouting(),)
