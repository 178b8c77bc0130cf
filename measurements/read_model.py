"""A group of one primary and two replicas under reads and writes.

Time runs from arrival to arrival; replicas hold what the primary wrote a
lag ago. Only what routing needs is modelled: logs, reports, slots.
"""

import bisect
import dataclasses
import heapq
import random
import types
import typing

from fescuestile import endpoint_messages
from fescuestile import groups
from fescuestile import plans
from fescuestile import positions
from fescuestile import snapshots

DATABASE = "archivio-ordini"
ZONES = ("etna-uno", "etna-due", "aretusa-tre")
SLOTS = 2
SERVICE_SECONDS = 0.002
REPORT_SECONDS = 0.02
REPORT_TRANSIT_SECONDS = 0.003
WAIT_REPORT_SECONDS = 0.1
PRIMARY = "endpoint-1"
NAMES = (PRIMARY, "endpoint-2", "endpoint-3")
TERM = 1

Lag = typing.Callable[[float], float]


@dataclasses.dataclass(frozen=True, slots=True)
class LagPlan:
    """Replication lag of both replicas over time, in seconds.

    :ivar name: name of the case
    :ivar second: lag of the second endpoint at a time
    :ivar third: lag of the third endpoint at a time
    :ivar bounded: both stay under the bound of the reads
    """

    name: str
    second: Lag
    third: Lag
    bounded: bool


class ReadModel:
    """The group; ``advance`` moves time and lets reports arrive."""

    def __init__(self, lags: LagPlan, source: random.Random) -> None:
        """Start with an empty log."""
        self.now = 0.0
        self._random = source
        self._writes: list[float] = []
        self._lags = {"endpoint-2": lags.second, "endpoint-3": lags.third}
        self._free = {name: [0.0] * SLOTS for name in NAMES}
        self._tracker = _build_tracker()
        self._next_report = 0.0
        self._next_waits = 0.0
        self._snapshot: snapshots.GroupSnapshot | None = None

    def advance(self, until: float) -> None:
        """Move to a time."""
        self.now = until
        if self._next_report <= until:
            self._report()
            self._next_report = until + REPORT_SECONDS
        if self._next_waits <= until:
            for name in NAMES:
                self._tracker.set_expected_wait(name, self.find_wait(name))
            self._next_waits = until + WAIT_REPORT_SECONDS
            self._snapshot = None

    def take_snapshot(self) -> snapshots.GroupSnapshot:
        """Return the group as an entry daemon knows it."""
        if self._snapshot is None:
            self._snapshot = self._tracker.take_snapshot()
        return self._snapshot

    def _report(self) -> None:
        made = self.now - REPORT_TRANSIT_SECONDS
        for name in NAMES:
            primary = name == PRIMARY
            index = self.find_index(name, made)
            role = endpoint_messages.Role
            self._tracker.observe(
                endpoint_messages.Report(
                    id=0,
                    endpoint=name,
                    verdict=endpoint_messages.Verdict.DONE,
                    role=role.PRIMARY if primary else role.REPLICA,
                    term=TERM,
                    driver="",
                    primary=PRIMARY,
                    last=positions.Position(TERM, index),
                    starts=(positions.TermStart(TERM, 1),),
                ),
                self.now,
            )
        self._snapshot = None

    def find_index(self, name: str, at: float) -> int:
        """Return where an endpoint's log ends at a time."""
        lag = self._lags[name](at) if name in self._lags else 0.0
        return bisect.bisect_right(self._writes, at - lag)

    def find_wait(self, name: str) -> float:
        """Return the seconds that new work waits at an endpoint."""
        return max(0.0, self._free[name][0] - self.now)

    def serve(self, name: str) -> float:
        """Run a statement and return when it ends."""
        free = self._free[name]
        began = max(self.now, free[0])
        ended = began + self._random.expovariate(1 / SERVICE_SECONDS)
        heapq.heapreplace(free, ended)
        return ended

    def write(self) -> tuple[positions.Position, float]:
        """Run a write; return its position and when it ends."""
        ended = self.serve(PRIMARY)
        self._writes.append(self.now)
        return positions.Position(TERM, len(self._writes)), ended

    def find_oldest(self, index: int) -> float:
        """Return since when a log that ends at an index lacks a write."""
        if index >= len(self._writes):
            return float("inf")
        return self._writes[index]


def _build_tracker() -> groups.GroupTracker:
    endpoints = tuple(
        plans.Endpoint(name, zone, "127.0.0.1:1", SLOTS, 30)
        for name, zone in zip(NAMES, ZONES, strict=True)
    )
    plan = plans.Plan(
        DATABASE,
        endpoints,
        (plans.Rank("urgent", 0.0), plans.Rank("tuning", 0.1)),
        (plans.Kind("tuning-sheet", "tuning", 5.0),),
    )
    tracker = groups.GroupTracker(plans.PlanRevision(1, plan, "c", "o", ""))
    tracker.set_owners(types.MappingProxyType(dict.fromkeys(NAMES, "owner")))
    return tracker
