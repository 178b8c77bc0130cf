"""Discrete simulation of one endpoint behind its admission queue."""

import collections
import dataclasses
import heapq
import random
import typing

from fescuestile import admission
from fescuestile import concurrency

SLOTS = 4
SECONDS = 30.0
LAST_SECONDS = 5.0
FAULT_AT_SECONDS = 8.0
SAMPLE_SECONDS = 0.05
# Service time in seconds, target latency in seconds and share of the arrivals
# of each kind; its rank is its index modulo three.
KINDS = (
    (0.005, 0.10, 0.1),
    (0.012, 0.15, 0.3),
    (0.026, 0.25, 0.2),
    (0.010, 0.10, 0.1),
    (0.020, 0.15, 0.2),
    (0.015, 0.25, 0.1),
)
JITTER = (0.7, 1.3)
# A statement in so many takes so much longer, for reasons of its own.
SLOW_EVERY = 300
SLOW_FACTOR = 10.0
# A statement without an answer is abandoned after this share of its target.
ABANDON_SHARE = 0.5
ABANDON_FACTOR = 5.0
QUICK_FAILURE_SECONDS = 0.001


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Arrivals, and what the endpoint does with them.

    :ivar rate: arrivals a second
    :ivar good_slots: statements that it runs at a time without slowing down;
        with n times as many, each takes n squared times as long
    :ivar slow_factor: slowdown by the fault, whatever runs
    :ivar slow_share: share of the callers that see this slowdown
    :ivar fail_share: share of the work that fails quickly in the fault
    :ivar hangs: whether nothing is answered in the fault
    :ivar until: seconds of the fault's end
    :ivar period: the fault is there in every second of such periods; 0 for
        all the time
    """

    name: str
    rate: float = 120.0
    good_slots: int = SLOTS
    slow_factor: float = 1.0
    slow_share: float = 1.0
    fail_share: float = 0.0
    hangs: bool = False
    since: float = FAULT_AT_SECONDS
    until: float = SECONDS
    period: float = 0.0

    def is_faulty(self, now: float) -> bool:
        """Return whether the fault is there."""
        if not self.since <= now < self.until:
            return False
        return not self.period or int((now - self.since) / self.period) % 2 < 1


LOADS = (
    Load("calm"),
    Load("calm, busy", rate=190.0),
    Load("2 of 4 slots", rate=110.0, good_slots=2),
    Load("2 of 4 slots, full", rate=150.0, good_slots=2),
    Load("8 times slow for 6 s", rate=40.0, slow_factor=8.0, until=14.0),
    Load("slow for a zone", slow_factor=5.0, slow_share=1 / 3),
    Load("fails 0.4", fail_share=0.4),
    Load("hangs for 3 s", hangs=True, until=11.0),
    Load("flaps", rate=80.0, slow_factor=6.0, period=1.0),
    Load("slow primary", rate=60.0, slow_factor=3.0, since=0.0),
    Load("cold", slow_factor=4.0, since=0.0, until=5.0, rate=60.0),
)


class Ended:
    """How work ended.

    :ivar limits: samples of the limit
    """

    def __init__(self) -> None:
        """Initialize without work."""
        self.arrived: collections.Counter[int] = collections.Counter()
        self.in_time: collections.Counter[int] = collections.Counter()
        self.limits: list[int] = []

    def compute_share(self, ranks: typing.Collection[int]) -> float:
        """Return the share of some ranks' work that ended in time."""
        arrived = sum(self.arrived[rank] for rank in ranks)
        return sum(self.in_time[rank] for rank in ranks) / arrived

    @property
    def mean_limit(self) -> float:
        """Mean limit."""
        return sum(self.limits) / len(self.limits)

    @property
    def last_limit(self) -> float:
        """Mean limit of the last seconds."""
        last = self.limits[-int(LAST_SECONDS / SAMPLE_SECONDS) :]
        return sum(last) / len(last)


class Simulation:
    """Runs one load at one endpoint."""

    def __init__(self, load: Load, way: concurrency.Way, seed: int) -> None:
        """Initialize with the declared slots.

        :param way: how the concurrency limit is found
        """
        self._load = load
        # Arrivals don't depend on how the endpoint's work went.
        self._arrivals = random.Random(seed)
        self._source = random.Random(seed + 1)
        self._queue = admission.AdmissionQueue(
            admission.AdmissionOptions(
                slots=SLOTS,
                floors=(0.1, 0.1, 0.1),
                initial_service=0.01,
                way=way,
            )
        )
        self._events: list[tuple[float, int, typing.Any]] = []
        self._sequence = 0
        self._targets: dict[admission.Ticket, float] = {}
        self.ended = Ended()

    def run(self) -> Ended:
        """Run all arrivals and return how they ended."""
        sample_at = 0.0
        self._push(self._arrivals.expovariate(self._load.rate), None)
        while self._events:
            now, _, event = heapq.heappop(self._events)
            while sample_at <= min(now, SECONDS):
                self.ended.limits.append(self._queue.limit)
                sample_at += SAMPLE_SECONDS
            if event is None:
                if now < SECONDS:
                    self._arrive(now)
            else:
                ticket, answered = event
                self._queue.release(ticket, now, ok=answered)
                if answered and now <= ticket.work.deadline:
                    self.ended.in_time[ticket.work.level] += 1
            self._start(now)
        return self.ended

    def _arrive(self, now: float) -> None:
        source = self._arrivals
        weights = [share for _, _, share in KINDS]
        kind = source.choices(range(len(KINDS)), weights)[0]
        zone = source.random()
        work = admission.Work(
            kind % 3,
            str(kind),
            f"zone-{int(zone * 3)}",
            now + KINDS[kind][1],
        )
        self.ended.arrived[work.level] += 1
        self._queue.offer(work, now)
        self._push(now + source.expovariate(self._load.rate), None)

    def _start(self, now: float) -> None:
        for ticket in self._queue.dequeue(now).started:
            seconds, answered = self._serve(ticket.work, now)
            self._push(now + seconds, (ticket, answered))

    def _serve(self, work: admission.Work, now: float) -> tuple[float, bool]:
        """Return the service time of work, and whether it is answered."""
        load = self._load
        least, target, _ = KINDS[int(work.kind)]
        seconds = least * self._source.uniform(*JITTER)
        if self._source.randrange(SLOW_EVERY) == 0:
            seconds *= SLOW_FACTOR
        seconds *= max(1.0, self._queue.running / load.good_slots) ** 2
        if load.is_faulty(now):
            if self._source.random() < load.fail_share:
                return QUICK_FAILURE_SECONDS, False
            share = 3 * load.slow_share
            if work.caller < f"zone-{round(share)}":
                seconds *= load.slow_factor
            if load.hangs:
                seconds = SECONDS
        mean = self._queue.times.get_mean(work.kind)
        longest = max(target * ABANDON_SHARE, ABANDON_FACTOR * mean)
        if seconds > longest:
            return min(longest, target), False
        return seconds, True

    def _push(self, at: float, event: typing.Any) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (at, self._sequence, event))
