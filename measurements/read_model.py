"""Simulation of a group of one primary and two replicas.

Time advances from event to event. The log of a replica is that of the
primary one replication lag ago. Only what routing depends on is modelled:
logs, reports and slots.
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
REPORT_INTERVAL_SECONDS = 0.02
REPORT_TRANSIT_SECONDS = 0.003
WAIT_REPORT_INTERVAL_SECONDS = 0.1
PRIMARY = "endpoint-1"
NAMES = (PRIMARY, "endpoint-2", "endpoint-3")
TERM = 1

LagFunction = typing.Callable[[float], float]


@dataclasses.dataclass(frozen=True, slots=True)
class LagProfile:
    """Replication lag of both replicas over time, in seconds.

    :ivar name: name of the case
    :ivar second: lag of the second endpoint as a function of time
    :ivar third: lag of the third endpoint as a function of time
    :ivar bounded: both lags stay below the staleness limit of the reads
    """

    name: str
    second: LagFunction
    third: LagFunction
    bounded: bool


class ReadModel:
    """Simulated group; ``advance`` sets the time and delivers reports."""

    def __init__(self, lags: LagProfile, rng: random.Random) -> None:
        """Initialize the group with an empty log."""
        self.now = 0.0
        self._rng = rng
        self._writes: list[float] = []
        self._lags = {"endpoint-2": lags.second, "endpoint-3": lags.third}
        self._free_at = {name: [0.0] * SLOTS for name in NAMES}
        self._tracker = _build_tracker()
        self._next_report = 0.0
        self._next_wait_report = 0.0
        self._snapshot: snapshots.GroupSnapshot | None = None

    def advance(self, until: float) -> None:
        """Advance the time and deliver the reports that are due."""
        self.now = until
        if self._next_report <= until:
            self._deliver_reports()
            self._next_report = until + REPORT_INTERVAL_SECONDS
        if self._next_wait_report <= until:
            for name in NAMES:
                self._tracker.set_expected_wait(name, self.find_wait(name))
            self._next_wait_report = until + WAIT_REPORT_INTERVAL_SECONDS
            self._snapshot = None

    def take_snapshot(self) -> snapshots.GroupSnapshot:
        """Return the entry daemon's snapshot of the group."""
        if self._snapshot is None:
            self._snapshot = self._tracker.take_snapshot()
        return self._snapshot

    def _deliver_reports(self) -> None:
        reported_at = self.now - REPORT_TRANSIT_SECONDS
        for name in NAMES:
            is_primary = name == PRIMARY
            index = self.find_index(name, reported_at)
            role = endpoint_messages.Role
            self._tracker.observe(
                endpoint_messages.Report(
                    id=0,
                    endpoint=name,
                    verdict=endpoint_messages.Verdict.DONE,
                    role=role.PRIMARY if is_primary else role.REPLICA,
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
        """Return the last index of an endpoint's log at a time."""
        lag = self._lags[name](at) if name in self._lags else 0.0
        return bisect.bisect_right(self._writes, at - lag)

    def find_wait(self, name: str) -> float:
        """Return the queueing time of a new statement, in seconds."""
        return max(0.0, self._free_at[name][0] - self.now)

    def serve(self, name: str) -> float:
        """Run a statement and return the time at which it ends."""
        free_at = self._free_at[name]
        started_at = max(self.now, free_at[0])
        ended_at = started_at + self._rng.expovariate(1 / SERVICE_SECONDS)
        heapq.heapreplace(free_at, ended_at)
        return ended_at

    def write(self) -> tuple[positions.Position, float]:
        """Run a write; return its position and the time at which it ends."""
        ended_at = self.serve(PRIMARY)
        self._writes.append(self.now)
        return positions.Position(TERM, len(self._writes)), ended_at

    def find_missing_since(self, index: int) -> float:
        """Return the time of the first write after an index.

        A log that ends at the index has been stale since that time.

        :returns: seconds, infinite when no write is missing
        """
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
