"""Seeded arrivals of statements at the users' sites."""

import dataclasses
import math
import random

from fescuestile import plans

# Standard deviation of the logarithm of the log-normal service times.
SERVICE_SIGMA = 0.5
OVERLOAD_CALLERS = 50
NORMAL_CALLERS = 20
# Offered work of a site on a normal day, relative to its capacity.
NORMAL_LOAD = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class KindLoad:
    """Normal load of one kind.

    :ivar level: index of its rank, 0 is the most urgent
    :ivar share: share of the normal load
    :ivar service: mean service time in seconds
    :ivar timeout: seconds from arrival to deadline
    """

    name: str
    level: int
    share: float
    service: float
    timeout: float


@dataclasses.dataclass(frozen=True, eq=False)
class Site:
    """Endpoints, ranks and load of one user.

    :ivar zones: zones of the four entry daemons, in order
    :ivar hop: one-way delay between two zones, in seconds
    :ivar overload_kinds: kind that is overloaded, by the level of its rank
    """

    name: str
    zones: tuple[str, ...]
    endpoints: tuple[plans.Endpoint, ...]
    ranks: tuple[plans.Rank, ...]
    kinds: tuple[KindLoad, ...]
    hop: float
    overload_kinds: dict[int, str]

    @property
    def slots(self) -> int:
        """Number of slots of all endpoints."""
        return sum(endpoint.slots for endpoint in self.endpoints)


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One statement.

    :ivar at: arrival time in seconds from the start
    :ivar daemon: index of the entry daemon that receives it
    :ivar endpoint: index of the endpoint that it is routed to
    :ivar service: service time in seconds
    :ivar overload: whether it belongs to the kind that is overloaded
    """

    at: float
    daemon: int
    endpoint: int
    level: int
    kind: str
    caller: str
    service: float
    deadline: float
    overload: bool


def _create_site(
    name: str,
    zones: tuple[str, str, str],
    hop: float,
    connections: int,
    kinds: tuple[str, str, str, str, str],
) -> Site:
    urgent, overload, reading, report, bulk = kinds
    endpoints = tuple(
        plans.Endpoint(f"{name}-{zone}", zone, "127.0.0.1:1", 2, connections)
        for zone in zones
    )
    loads = (
        KindLoad(urgent, 0, 0.15, 0.004, 0.5),
        KindLoad(overload, 0, 0.05, 0.004, 0.5),
        KindLoad(reading, 1, 0.40, 0.005, 1.0),
        KindLoad(report, 2, 0.20, 0.012, 2.0),
        KindLoad(bulk, 2, 0.20, 0.012, 2.0),
    )
    ranks = (
        plans.Rank("urgent", 0.0),
        plans.Rank("usual", 0.1),
        plans.Rank("late", 0.1),
    )
    return Site(
        name=name,
        zones=(*zones, zones[0]),
        endpoints=endpoints,
        ranks=ranks,
        kinds=loads,
        hop=hop,
        overload_kinds={0: overload, 2: bulk},
    )


LUFTDIENST = _create_site(
    "werkstatt-db",
    ("muenchen", "ingolstadt", "landshut"),
    0.0015,
    16,
    ("fault-report", "pump-alarm", "dispatch", "billing", "ledger"),
)
SCADUTO = _create_site(
    "archivio-ordini",
    ("etna-uno", "etna-due", "aretusa-tre"),
    0.0005,
    30,
    ("confirmation", "festival-order", "tuning", "ledger", "statistics"),
)


def create_arrivals(
    site: Site,
    seed: int,
    seconds: float,
    load: float,
    overload_level: int,
    skew: float = 0.0,
) -> list[Arrival]:
    """Return the arrivals of one run, ordered by time.

    :param site: site that the statements arrive at
    :param seed: seed of all random draws
    :param seconds: duration of the arrivals
    :param load: offered work relative to the capacity of the slots; above
        the normal load all additional work is of the overloaded kind
    :param overload_level: level of the rank whose kind is overloaded
    :param skew: share of the statements that is redirected to the first
        daemon; the rest is distributed evenly over all daemons
    """
    arrivals: list[Arrival] = []
    for kind in site.kinds:
        # One generator per kind: the overload of one kind does not change
        # the arrivals of the others.
        rng = random.Random(f"{seed}/{site.name}/{kind.name}")
        overload = site.overload_kinds[overload_level] == kind.name
        offered = kind.share * NORMAL_LOAD
        if overload:
            offered += max(0.0, load - NORMAL_LOAD)
        rate = offered * site.slots / kind.service
        now = rng.expovariate(rate)
        while now < seconds:
            arrival = _create_arrival(site, kind, rng, now, overload)
            if rng.random() < skew:
                arrival = dataclasses.replace(arrival, daemon=0)
            arrivals.append(arrival)
            now += rng.expovariate(rate)
    arrivals.sort(key=lambda arrival: arrival.at)
    return arrivals


def _create_arrival(
    site: Site, kind: KindLoad, rng: random.Random, at: float, overload: bool
) -> Arrival:
    callers = OVERLOAD_CALLERS if overload else NORMAL_CALLERS
    median = kind.service * math.exp(-(SERVICE_SIGMA**2) / 2)
    return Arrival(
        at=at,
        daemon=rng.randrange(len(site.zones)),
        endpoint=rng.randrange(len(site.endpoints)),
        level=kind.level,
        kind=kind.name,
        caller=f"{kind.name}-{rng.randrange(callers)}",
        service=median * math.exp(SERVICE_SIGMA * rng.gauss(0, 1)),
        deadline=at + kind.timeout,
        overload=overload,
    )
