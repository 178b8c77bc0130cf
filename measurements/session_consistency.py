"""Session guarantees checked by random walks over the session model."""

import collections
import dataclasses
import random
import time

from measurements import base
from measurements import session_model
from measurements import session_parts

STEPS = 100_000
EPISODE_STEPS = 250
STEP_SECONDS = 0.05
GROUP_SIZES = (3, 5)
STALENESS_SECONDS = (0.0, 1.0, 2.0, 5.0)
QUEUE_SECONDS = (0.0, 0.0, 0.002, 0.5)
REPORT_DELAYS_SECONDS = (0.002, 0.05, session_model.MAX_REPORT_DELAY_SECONDS)


@dataclasses.dataclass(frozen=True, slots=True)
class ConsistencyRow:
    """Counts of all episodes with one group size.

    :ivar endpoints: number of endpoints in the group
    :ivar by_replicas: reads that a replica served
    :ivar refused: answers rejected by the check after execution
    """

    endpoints: int
    steps: int
    reads: int
    by_replicas: int
    refused: int
    acknowledged: int
    roams: int
    failovers: int
    violations: int


class RandomWalk:
    """Seeded random walk over a session model."""

    def __init__(
        self,
        seed: int,
        size: int,
        build: type[session_model.SessionModel] = session_model.SessionModel,
    ) -> None:
        """Create the model.

        :param seed: seed of the model and the walk
        :param size: number of endpoints in the group
        :param build: class of the model
        """
        self.model = build(seed, size)
        self._rng = random.Random(seed)
        self._names = tuple(self.model.endpoints)
        # Step number until which an endpoint does not replicate.
        self._stalled_until: dict[str, int] = collections.defaultdict(int)
        self._steps = 0

    def step(self) -> None:
        """Advance the environment, then run one action of a session."""
        self._steps += 1
        self.model.advance(self._rng.expovariate(1 / STEP_SECONDS))
        self._replicate()
        self._send_reports()
        self._inject_faults()
        actions = (self._read, self._write, self._roam)
        self._rng.choices(actions, (60, 25, 15))[0]()

    def _happens(self, probability: float) -> bool:
        return self._rng.random() < probability

    def _replicate(self) -> None:
        for name in self._names:
            if self._stalled_until[name] <= self._steps and self._happens(0.4):
                self.model.replicate(name, self._rng.randint(1, 5))

    def _send_reports(self) -> None:
        for name in self._names:
            for daemon in range(session_model.DAEMON_COUNT):
                if self._happens(0.4):
                    delay = self._rng.choice(REPORT_DELAYS_SECONDS)
                    self.model.send_report(name, daemon, delay)

    def _inject_faults(self) -> None:
        name = self._rng.choice(self._names)
        if self._happens(0.1):
            self.model.follow_primary(name)
        if self._happens(0.03):
            self._stalled_until[name] = self._steps + self._rng.randint(5, 200)
        if self._happens(0.01):
            self._partition()
        if self._happens(0.02):
            self._fail_over()
        if self._happens(0.005):
            self.model.rotate_keys()

    def _partition(self) -> None:
        """Isolate a minority, often with the primary, or end the partition."""
        if self.model.isolated:
            self.model.isolated = frozenset()
            return
        count = self._rng.randint(1, len(self._names) - self.model.majority)
        isolated: list[str | int] = list(self._rng.sample(self._names, count))
        if self._happens(0.5):
            isolated = [self.model.primary, *isolated[: count - 1]]
        daemons = range(session_model.DAEMON_COUNT)
        isolated += [number for number in daemons if self._happens(0.4)]
        self.model.isolated = frozenset(isolated)

    def _fail_over(self) -> None:
        reachable = [n for n in self._names if n not in self.model.isolated]
        count = self._rng.randint(self.model.majority, len(reachable))
        self.model.fail_over(self._rng.sample(reachable, count))

    def _choose_caller(self) -> session_parts.Caller:
        return self._rng.choice(self.model.callers)

    def _read(self) -> None:
        staleness = self._rng.choice(STALENESS_SECONDS)
        queued = self._rng.choice(QUEUE_SECONDS)
        self.model.read(self._choose_caller(), staleness, queued)

    def _write(self) -> None:
        self.model.write(self._choose_caller())

    def _roam(self) -> None:
        daemon = self._rng.randrange(session_model.DAEMON_COUNT)
        self.model.roam(self._choose_caller(), daemon)


class SessionConsistency(base.Measurement):
    """Read-your-writes, monotonic reads and staleness of sessions."""

    name = "session_consistency"
    description = "Violated session guarantees in 100,000 seeded steps."

    def run(self, seed: int) -> base.Report:
        """Run episodes with groups of three and five endpoints."""
        began = time.perf_counter()
        steps_per_size = STEPS // len(GROUP_SIZES)
        rows = tuple(
            _run_episodes(seed, size, steps_per_size) for size in GROUP_SIZES
        )
        violations = sum(row.violations for row in rows)
        steps = sum(row.steps for row in rows)
        seconds = time.perf_counter() - began
        return base.Report(
            self.name,
            seed,
            rows,
            (
                base.require_at_most("broken promises", violations, 0),
                base.require_at_least("steps", steps, STEPS),
                base.require_at_most("seconds it took", seconds, 300),
            ),
        )


def create_measurements() -> tuple[base.Measurement, ...]:
    """Return the measurements of this module."""
    return (SessionConsistency(),)


def _run_episodes(seed: int, size: int, steps: int) -> ConsistencyRow:
    counts: collections.Counter[str] = collections.Counter()
    for episode in range(steps // EPISODE_STEPS):
        walk = RandomWalk(seed * 1_000_003 + episode, size)
        try:
            for _ in range(EPISODE_STEPS):
                walk.step()
                counts["steps"] += 1
        except session_model.Violation:
            counts["violations"] += 1
        counts += walk.model.counts
    return ConsistencyRow(
        endpoints=size,
        steps=counts["steps"],
        reads=counts["reads"],
        by_replicas=counts["replica"],
        refused=counts["refused answers"],
        acknowledged=counts["acknowledged"],
        roams=counts["roams"],
        failovers=counts["failovers"],
        violations=counts["violations"],
    )
