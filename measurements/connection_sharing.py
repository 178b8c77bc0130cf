"""Connections that a daemon opens for tenants that share an endpoint."""

import collections
import collections.abc
import dataclasses
import heapq
import itertools
import random
import typing

from fescuestile import connection_eviction
from measurements import base

TENANTS = 84
SKEW = 1.2
# Connections to one endpoint that one daemon may open.
CAP = 42
SLOTS = 4
OPEN_SECONDS = 0.012
SERVICE_SECONDS = (0.0045, 0.022)
# Longest wait for a connection of the own tenant before one is opened.
WAIT_SECONDS = 0.03
USE_WINDOW_SECONDS = 120.0
WARM_UP_SECONDS = 120.0
SECONDS = 600.0
# Statements a second at one endpoint: deployment T's, and four times that.
RATES = (40.0, 160.0)
# Shares of the ranks, most urgent first; a tenant's statements are of one.
RANK_SHARES = (0.2, 0.6, 0.2)
TARGET_OPENED = 0.1

Idle: typing.TypeAlias = list[connection_eviction.IdleConnection]
Choose: typing.TypeAlias = collections.abc.Callable[
    [
        Idle,
        collections.abc.Mapping[str, int],
        connection_eviction.ConnectionUses,
        float,
    ],
    int | None,
]


def choose_oldest(
    idle: Idle,
    counts: collections.abc.Mapping[str, int],
    uses: connection_eviction.ConnectionUses,
    now: float,
) -> int | None:
    """Return the connection that is idle for longest."""
    return min(range(len(idle)), key=lambda index: idle[index].used_at)


def choose_least_urgent(
    idle: Idle,
    counts: collections.abc.Mapping[str, int],
    uses: connection_eviction.ConnectionUses,
    now: float,
) -> int | None:
    """Return the connection of the least urgent rank, then the oldest."""
    return min(
        range(len(idle)),
        key=lambda index: (-idle[index].level, idle[index].used_at),
    )


def choose_over_share(
    idle: Idle,
    counts: collections.abc.Mapping[str, int],
    uses: connection_eviction.ConnectionUses,
    now: float,
) -> int | None:
    """Return one of the tenant with the most connections for its use."""
    return min(
        range(len(idle)),
        key=lambda index: (
            uses.estimate_worth(idle[index].tenant, 1, now)
            / counts[idle[index].tenant],
            idle[index].used_at,
        ),
    )


POLICIES: dict[str, Choose] = {
    "least recently used": choose_oldest,
    "over its share first": choose_over_share,
    "least urgent first": choose_least_urgent,
    "expected use (ours)": connection_eviction.choose,
}


@dataclasses.dataclass(frozen=True, slots=True)
class SharingRow:
    """Opened connections by one policy at one load.

    :ivar opened: connections opened per statement after the warm-up
    :ivar urgent: the same of the most urgent rank
    :ivar wait_ms: mean time from the arrival to the start, in milliseconds
    """

    policy: str
    rate: float
    opened: float
    urgent: float
    wait_ms: float


@dataclasses.dataclass(slots=True)
class _Statement:
    arrived_at: float
    tenant: str
    level: int
    seconds: float


class SharingModel:
    """One endpoint's slots and a daemon's connections to it.

    A statement takes a slot, then a connection of its tenant: an idle one, or
    one that becomes free within WAIT_SECONDS if the tenant has any, or a new
    one, which holds the slot for OPEN_SECONDS longer.

    :ivar opened: after the warm-up, connections opened by rank
    :ivar served: after the warm-up, statements by rank
    """

    def __init__(self, policy: Choose) -> None:
        """Start without connections."""
        self._policy = policy
        self._uses = connection_eviction.ConnectionUses(USE_WINDOW_SECONDS)
        self._idle: Idle = []
        self._counts: collections.Counter[str] = collections.Counter()
        self._events: list[
            tuple[float, int, collections.abc.Callable[[float], None]]
        ] = []
        self._order = itertools.count()
        self._free_slots = SLOTS
        self._queue: collections.deque[_Statement] = collections.deque()
        self._waiting: dict[str, list[_Statement]] = {}
        self.opened: collections.Counter[int] = collections.Counter()
        self.served: collections.Counter[int] = collections.Counter()
        self.waited = 0.0

    def run(self, statements: typing.Iterable[_Statement]) -> None:
        """Run statements that are ordered by their arrival."""
        for statement in statements:
            self._advance(statement.arrived_at)
            self._queue.append(statement)
            self._start(statement.arrived_at)

    def _advance(self, until: float) -> None:
        while self._events and self._events[0][0] <= until:
            at, _, act = heapq.heappop(self._events)
            act(at)

    def _call_at(
        self, at: float, act: collections.abc.Callable[[float], None]
    ) -> None:
        heapq.heappush(self._events, (at, next(self._order), act))

    def _start(self, now: float) -> None:
        while self._free_slots and self._queue:
            self._free_slots -= 1
            self._connect(self._queue.popleft(), now)

    def _connect(self, statement: _Statement, now: float) -> None:
        tenant = statement.tenant
        usable = [i for i, c in enumerate(self._idle) if c.tenant == tenant]
        if usable:
            self._idle.pop(usable[-1])
            self._execute(statement, now)
        elif self._counts[tenant]:
            self._waiting.setdefault(tenant, []).append(statement)
            self._call_at(
                now + WAIT_SECONDS, lambda at: self._end_wait(statement, at)
            )
        else:
            self._open(statement, now)

    def _end_wait(self, statement: _Statement, now: float) -> None:
        waiting = self._waiting.get(statement.tenant, [])
        if statement in waiting:
            waiting.remove(statement)
            self._open(statement, now)

    def _open(self, statement: _Statement, now: float) -> None:
        if self._counts.total() >= CAP:
            index = self._policy(self._idle, self._counts, self._uses, now)
            assert index is not None
            self._counts[self._idle.pop(index).tenant] -= 1
        self._counts[statement.tenant] += 1
        if now >= WARM_UP_SECONDS:
            self.opened[statement.level] += 1
        self._execute(statement, now + OPEN_SECONDS)

    def _execute(self, statement: _Statement, at: float) -> None:
        if at >= WARM_UP_SECONDS:
            self.served[statement.level] += 1
            self.waited += at - statement.arrived_at
        self._call_at(
            at + statement.seconds, lambda now: self._end(statement, now)
        )

    def _end(self, statement: _Statement, now: float) -> None:
        tenant = statement.tenant
        self._uses.record(tenant, statement.seconds, now)
        waiting = self._waiting.get(tenant)
        if waiting:
            self._execute(waiting.pop(0), now)
        else:
            self._idle.append(
                connection_eviction.IdleConnection(
                    tenant, statement.level, now
                )
            )
        self._free_slots += 1
        self._start(now)


def create_statements(
    seed: int, rate: float, seconds: float
) -> typing.Iterator[_Statement]:
    """Yield Poisson arrivals of tenants with skewed load."""
    source = random.Random(seed)
    names = [str(number) for number in range(TENANTS)]
    weights = [number**-SKEW for number in range(1, TENANTS + 1)]
    levels = dict(
        zip(
            names,
            source.choices(range(3), RANK_SHARES, k=TENANTS),
            strict=True,
        )
    )
    now = 0.0
    while (now := now + source.expovariate(rate)) < seconds:
        tenant = source.choices(names, weights)[0]
        yield _Statement(
            now, tenant, levels[tenant], source.uniform(*SERVICE_SECONDS)
        )


def measure(policy: str, rate: float, seed: int, seconds: float) -> SharingRow:
    """Run one policy at one load."""
    model = SharingModel(POLICIES[policy])
    model.run(create_statements(seed, rate, seconds))
    return SharingRow(
        policy,
        rate,
        model.opened.total() / model.served.total(),
        model.opened[0] / max(1, model.served[0]),
        model.waited / model.served.total() * 1000,
    )


class ConnectionSharing(base.Measurement):
    """Connections opened per statement by policy of eviction."""

    name = "connection_sharing"
    description = "Connections opened for tenants that share an endpoint."

    def run(self, seed: int) -> base.Report:
        """Run each policy at each load."""
        rows = tuple(
            measure(policy, rate, seed, SECONDS)
            for rate in RATES
            for policy in POLICIES
        )
        targets = tuple(
            base.require_at_most(
                f"{row.policy}, {row.rate:g} a second: opened",
                row.opened,
                TARGET_OPENED,
            )
            for row in rows
            if POLICIES[row.policy] is connection_eviction.choose
        )
        return base.Report(self.name, seed, rows, targets)


def create_measurements() -> tuple[base.Measurement, ...]:
    """Return the measurements of this module."""
    return (ConnectionSharing(),)
