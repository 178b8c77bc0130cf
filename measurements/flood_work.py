"""Arrivals at the users' sites, from a seed."""

import dataclasses
import math
import random

from fescuestile import plans

# Standard deviation of the logarithm of service times.
SERVICE_SIGMA = 0.5
FLOOD_CALLERS = 50
USUAL_CALLERS = 20
# Offered work of the site on a usual day, over what its slots serve.
USUAL_LOAD = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class KindLoad:
    """Usual load of one kind.

    :ivar level: urgency
    :ivar share: of the usual work
    :ivar service: mean seconds of service
    :ivar patience: seconds until its deadline
    """

    name: str
    level: int
    share: float
    service: float
    patience: float


@dataclasses.dataclass(frozen=True, eq=False)
class Site:
    """One user's site.

    :ivar zones: zones of the four entry daemons, in order
    :ivar hop: seconds between two zones, one way
    :ivar floods: kind that floods, by the level of its rank
    """

    name: str
    zones: tuple[str, ...]
    endpoints: tuple[plans.Endpoint, ...]
    ranks: tuple[plans.Rank, ...]
    kinds: tuple[KindLoad, ...]
    hop: float
    floods: dict[int, str]

    @property
    def slots(self) -> int:
        """Slots of all endpoints."""
        return sum(endpoint.slots for endpoint in self.endpoints)


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One statement.

    :ivar at: seconds from the start
    :ivar daemon: number of the entry daemon that it comes to
    :ivar endpoint: number of the endpoint that it is routed to
    :ivar service: seconds that it takes in a slot
    :ivar flood: it belongs to the kind that floods
    """

    at: float
    daemon: int
    endpoint: int
    level: int
    kind: str
    caller: str
    service: float
    deadline: float
    flood: bool


def _create_site(
    name: str,
    zones: tuple[str, str, str],
    hop: float,
    connections: int,
    kinds: tuple[str, str, str, str, str],
) -> Site:
    urgent, flooding, reading, report, bulk = kinds
    endpoints = tuple(
        plans.Endpoint(f"{name}-{zone}", zone, "127.0.0.1:1", 2, connections)
        for zone in zones
    )
    loads = (
        KindLoad(urgent, 0, 0.15, 0.004, 0.5),
        KindLoad(flooding, 0, 0.05, 0.004, 0.5),
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
        floods={0: flooding, 2: bulk},
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
    flood: int,
    skew: float = 0.0,
) -> list[Arrival]:
    """Return the arrivals of one run in order.

    :param site: the site
    :param seed: seed
    :param seconds: how long work arrives
    :param load: offered work over what the slots serve; above the usual
        load the flooding kind makes the difference
    :param flood: level of the rank whose kind floods
    :param skew: share of the work that comes to the first daemon, beside
        its part of the rest
    """
    arrivals: list[Arrival] = []
    for kind in site.kinds:
        # A source for each kind, so that a flood leaves the others alone.
        source = random.Random(f"{seed}/{site.name}/{kind.name}")
        floods = site.floods[flood] == kind.name
        offered = kind.share * USUAL_LOAD
        if floods:
            offered += max(0.0, load - USUAL_LOAD)
        rate = offered * site.slots / kind.service
        now = source.expovariate(rate)
        while now < seconds:
            arrival = _create_arrival(site, kind, source, now, floods)
            if source.random() < skew:
                arrival = dataclasses.replace(arrival, daemon=0)
            arrivals.append(arrival)
            now += source.expovariate(rate)
    arrivals.sort(key=lambda arrival: arrival.at)
    return arrivals


def _create_arrival(
    site: Site, kind: KindLoad, source: random.Random, at: float, flood: bool
) -> Arrival:
    callers = FLOOD_CALLERS if flood else USUAL_CALLERS
    median = kind.service * math.exp(-(SERVICE_SIGMA**2) / 2)
    return Arrival(
        at=at,
        daemon=source.randrange(len(site.zones)),
        endpoint=source.randrange(len(site.endpoints)),
        level=kind.level,
        kind=kind.name,
        caller=f"{kind.name}-{source.randrange(callers)}",
        service=median * math.exp(SERVICE_SIGMA * source.gauss(0, 1)),
        deadline=at + kind.patience,
        flood=flood,
    )
