"""Sessions against the plain model of the log, step by step."""

import collections
import dataclasses
import random
import time

from measurements import frame
from measurements import session_model
from measurements import session_parts

STEPS = 100_000
EPISODE_STEPS = 250
STEP_SECONDS = 0.05
SIZES = (3, 5)
STALENESS_SECONDS = (0.0, 1.0, 2.0, 5.0)
QUEUE_SECONDS = (0.0, 0.0, 0.002, 0.5)
REPORT_DELAYS = (0.002, 0.05, session_model.LONGEST_REPORT_DELAY)


@dataclasses.dataclass(frozen=True, slots=True)
class ConsistencyRow:
    """What one group size went through.

    :ivar endpoints: endpoints of the group
    :ivar by_replicas: reads that a replica served
    :ivar refused: answers that the check after the fact held back
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


class Walk:
    """Seeded random steps of a model."""

    def __init__(
        self,
        seed: int,
        size: int,
        build: type[session_model.SessionModel] = session_model.SessionModel,
    ) -> None:
        """Start a model of a group of some size."""
        self.model = build(seed, size)
        self._random = random.Random(seed)
        self._names = tuple(self.model.endpoints)
        # A stalled endpoint copies nothing until the step of that number.
        self._stalled: dict[str, int] = collections.defaultdict(int)
        self._number = 0

    def step(self) -> None:
        """Let the world move, then let a session act."""
        self._number += 1
        self.model.advance(self._random.expovariate(1 / STEP_SECONDS))
        self._move_data()
        self._move_reports()
        self._fail()
        actions = (self._read, self._write, self._roam)
        self._random.choices(actions, (60, 25, 15))[0]()

    def _happens(self, chance: float) -> bool:
        return self._random.random() < chance

    def _move_data(self) -> None:
        for name in self._names:
            if self._stalled[name] <= self._number and self._happens(0.4):
                self.model.replicate(name, self._random.randint(1, 5))

    def _move_reports(self) -> None:
        for name in self._names:
            for daemon in range(session_model.DAEMON_COUNT):
                if self._happens(0.4):
                    delay = self._random.choice(REPORT_DELAYS)
                    self.model.send_report(name, daemon, delay)

    def _fail(self) -> None:
        name = self._random.choice(self._names)
        if self._happens(0.1):
            self.model.join(name)
        if self._happens(0.03):
            self._stalled[name] = self._number + self._random.randint(5, 200)
        if self._happens(0.01):
            self._partition()
        if self._happens(0.02):
            self._fail_over()
        if self._happens(0.005):
            self.model.rotate_keys()

    def _partition(self) -> None:
        """Cut a minority off, often the primary's, or heal the cut."""
        if self.model.isolated:
            self.model.isolated = frozenset()
            return
        count = self._random.randint(1, len(self._names) - self.model.majority)
        cut: list[str | int] = list(self._random.sample(self._names, count))
        if self._happens(0.5):
            cut = [self.model.primary, *cut[: count - 1]]
        daemons = range(session_model.DAEMON_COUNT)
        cut += [number for number in daemons if self._happens(0.4)]
        self.model.isolated = frozenset(cut)

    def _fail_over(self) -> None:
        reached = [n for n in self._names if n not in self.model.isolated]
        count = self._random.randint(self.model.majority, len(reached))
        self.model.fail_over(self._random.sample(reached, count))

    def _choose_caller(self) -> session_parts.Caller:
        return self._random.choice(self.model.callers)

    def _read(self) -> None:
        staleness = self._random.choice(STALENESS_SECONDS)
        queued = self._random.choice(QUEUE_SECONDS)
        self.model.read(self._choose_caller(), staleness, queued)

    def _write(self) -> None:
        self.model.write(self._choose_caller())

    def _roam(self) -> None:
        daemon = self._random.randrange(session_model.DAEMON_COUNT)
        self.model.roam(self._choose_caller(), daemon)


class SessionConsistency(frame.Measurement):
    """Read-your-writes, monotonic reads and staleness over many steps."""

    name = "session_consistency"
    description = "Broken session promises in 100,000 seeded steps."

    def run(self, seed: int) -> frame.Report:
        """Walk episodes of groups of three and five endpoints."""
        began = time.perf_counter()
        share = STEPS // len(SIZES)
        rows = tuple(_walk(seed, size, share) for size in SIZES)
        broken = sum(row.violations for row in rows)
        steps = sum(row.steps for row in rows)
        seconds = time.perf_counter() - began
        return frame.Report(
            self.name,
            seed,
            rows,
            (
                frame.require_at_most("broken promises", broken, 0),
                frame.require_at_least("steps", steps, STEPS),
                frame.require_at_most("seconds it took", seconds, 300),
            ),
        )


def create_measurements() -> tuple[frame.Measurement, ...]:
    """Return the measurements of this module."""
    return (SessionConsistency(),)


def _walk(seed: int, size: int, steps: int) -> ConsistencyRow:
    counts: collections.Counter[str] = collections.Counter()
    for episode in range(steps // EPISODE_STEPS):
        walk = Walk(seed * 1_000_003 + episode, size)
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
