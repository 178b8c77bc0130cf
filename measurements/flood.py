"""Overload of one rank, and the service that the other ranks keep."""

import dataclasses
import functools

from fescuestile import admission
from measurements import admission_queues
from measurements import base
from measurements import baselines
from measurements import flood_model
from measurements import flood_plot
from measurements import flood_rows
from measurements import flood_work
from measurements import placements

# The overload outlasts the window by the longest deadline.
SECONDS = 7.0
WINDOW = flood_model.Window(1.0, 5.0)
FAULT_AT_SECONDS = 1.5
SLOW_SECONDS = 1.5
FAULT_LOADS = (0.8, 20.0)
SKEW = 0.7
LOADS = (1.0, 2.0, 5.0, 20.0)
BASELINE_LOADS = (1.0, 20.0)
MAX_LOAD = 20.0
MAX_QUEUE_LENGTH = 1024
# Weights of the ranks in the score, the most urgent first.
WEIGHTS = (100.0, 10.0, 1.0)
TARGET_URGENT_KEPT = 0.99
TARGET_USUAL_KEPT = 0.95
TARGET_GOODPUT_KEPT = 0.95

MILLISECONDS = 1000.0

RANK_NAMES = ("urgent", "usual", "late")


@dataclasses.dataclass(frozen=True)
class Variant:
    """A placement with a queue, as one case of the comparison."""

    name: str
    create_placement: flood_model.CreatePlacement
    create_queue: flood_model.CreateQueue


def create_daemon_queue(slots: int) -> admission_queues.Queue:
    """Return the queue that the daemons use."""
    floors = tuple(rank.floor for rank in flood_work.LUFTDIENST.ranks)
    options = admission.AdmissionOptions(slots, floors, MAX_QUEUE_LENGTH)
    return admission_queues.DaemonQueue(options)


def create_fifo_queue(slots: int) -> admission_queues.Queue:
    """Return a first in, first out queue."""
    return baselines.queues.FifoQueue(
        slots, MAX_QUEUE_LENGTH * len(RANK_NAMES), 1
    )


def create_strict_queue(slots: int) -> admission_queues.Queue:
    """Return a strict priority queue."""
    return baselines.queues.StrictQueue(
        slots, MAX_QUEUE_LENGTH, len(RANK_NAMES)
    )


OWNER = Variant("owner", placements.OwnerPlacement, create_daemon_queue)
VARIANTS = (
    OWNER,
    Variant("fixed shares", baselines.shares.FixedShares, create_daemon_queue),
    Variant(
        "leased shares", baselines.shares.LeasedShares, create_daemon_queue
    ),
    Variant("owner, fifo", placements.OwnerPlacement, create_fifo_queue),
    Variant("owner, strict", placements.OwnerPlacement, create_strict_queue),
)


@dataclasses.dataclass(frozen=True)
class Fault:
    """Fault that is injected at ``FAULT_AT_SECONDS``.

    :ivar killed: index of the daemon that is killed
    :ivar isolated_zone: zone that is cut off from the others
    :ivar slowdown: factor of all service times, for ``SLOW_SECONDS``
    :ivar skew: share of the statements that is redirected to the first
        daemon, during the whole run
    """

    name: str = ""
    killed: int | None = None
    isolated_zone: str = ""
    skew: float = 0.0
    slowdown: float = 1.0


NO_FAULT = Fault()


def run_variant(
    variant: Variant,
    site: flood_work.Site,
    arrivals: list[flood_work.Arrival],
    fault: Fault = NO_FAULT,
    window: flood_model.Window = WINDOW,
) -> flood_model.Placement:
    """Run arrivals through a variant; return its placement with tallies."""
    timeline = flood_model.Timeline()
    placement = variant.create_placement(timeline, site, variant.create_queue)
    placement.window = window
    injected = False
    for arrival in arrivals:
        if not injected and arrival.at >= FAULT_AT_SECONDS:
            injected = True
            timeline.run(FAULT_AT_SECONDS)
            timeline.call_in(
                SLOW_SECONDS, lambda: end_slowdown(placement.endpoints)
            )
            placement.isolated_zone = fault.isolated_zone
            for endpoint in placement.endpoints:
                endpoint.slowdown = fault.slowdown
            if fault.killed is not None:
                placement.kill(fault.killed)
        timeline.run(arrival.at)
        placement.receive(arrival)
    timeline.run(SECONDS)
    return placement


def end_slowdown(endpoints: list[flood_model.EndpointModel]) -> None:
    """Reset the service times of the endpoints to normal."""
    for endpoint in endpoints:
        endpoint.slowdown = 1.0


def measure_service(
    placement: flood_model.Placement, level: int
) -> tuple[float, float]:
    """Return the share of a rank's work served and of the slots' time.

    The overloaded kind is excluded.
    """
    tallies = _list_tallies(placement, level)
    offered = sum(tally.offered for tally in tallies)
    served = sum(tally.served for tally in tallies)
    seconds = sum(tally.seconds for tally in tallies)
    return served / max(1, offered), seconds / find_capacity(placement.site)


def find_capacity(site: flood_work.Site) -> float:
    """Return the service time that the slots offer in the window.

    :returns: seconds
    """
    return site.slots * WINDOW.seconds


def _list_tallies(
    placement: flood_model.Placement, level: int
) -> list[flood_model.Tally]:
    names = {k.name for k in placement.site.kinds if k.level == level}
    return [
        tally
        for (kind, overload), tally in placement.tallies.items()
        if kind in names and not overload
    ]


@functools.cache
def run_unloaded(
    variant: Variant, site: flood_work.Site, seed: int, overload_level: int
) -> flood_model.Placement:
    """Return a run at normal load, for comparison."""
    arrivals = flood_work.create_arrivals(
        site, seed, SECONDS, flood_work.NORMAL_LOAD, overload_level
    )
    return run_variant(variant, site, arrivals)


def create_row(
    variant: Variant,
    site: flood_work.Site,
    seed: int,
    overload_level: int,
    load: float,
    fault: Fault = NO_FAULT,
) -> flood_rows.FloodRow:
    """Run a variant at one load and return its row."""
    arrivals = flood_work.create_arrivals(
        site, seed, SECONDS, load, overload_level, fault.skew
    )
    placement = run_variant(variant, site, arrivals, fault)
    normal = run_unloaded(variant, site, seed, overload_level)
    services = [measure_service(placement, n) for n in range(len(WEIGHTS))]
    kept = [
        share / measure_service(normal, level)[0]
        for level, (share, _) in enumerate(services)
    ]
    overloaded = placement.tallies[(site.overload_kinds[overload_level], True)]
    total = sum(tally.seconds for tally in placement.tallies.values())
    weighted = sum(w * k for w, k in zip(WEIGHTS, kept, strict=True))
    urgent = _list_tallies(placement, 0)[0].durations
    return flood_rows.FloodRow(
        site=site.name,
        way=variant.name,
        flood=RANK_NAMES[overload_level],
        fault=fault.name,
        load=load,
        urgent=kept[0],
        usual=kept[1],
        late=kept[2],
        urgent_slots=services[0][1],
        usual_slots=services[1][1],
        late_slots=services[2][1],
        urgent_p99=urgent.get_percentile(99) * MILLISECONDS,
        flooding=overloaded.served / max(1, overloaded.offered),
        goodput=total / find_capacity(site),
        score=weighted / sum(WEIGHTS),
        in_flight=max(
            endpoint.max_connections for endpoint in placement.endpoints
        ),
    )


class Flood(base.Measurement):
    """The daemons' admission and the baselines under overload.

    Either the last or the first rank is overloaded.
    """

    name = "flood"
    description = (
        "Service per rank under overload, compared with the baselines."
    )

    def run(self, seed: int) -> base.Report:
        """Run all variants on the same arrivals at both sites."""
        rows = []
        targets: list[base.Target] = []
        for site in (flood_work.LUFTDIENST, flood_work.SCADUTO):
            site_rows = [
                create_row(variant, site, seed, overload_level, load)
                for overload_level in (2, 0)
                for variant in VARIANTS
                for load in (LOADS if variant is OWNER else BASELINE_LOADS)
            ]
            rows += site_rows
            targets += list_targets(site, site_rows)
        return base.Report(self.name, seed, tuple(rows), tuple(targets))

    def plot(self, report: base.Report, path: str) -> None:
        """Plot the service that the ranks keep at the highest load."""
        rows = [
            row for row in report.rows if isinstance(row, flood_rows.FloodRow)
        ]
        flood_plot.draw(rows, MAX_LOAD, path)


def list_targets(
    site: flood_work.Site, rows: list[flood_rows.FloodRow]
) -> list[base.Target]:
    """Return the targets of the daemons' admission at a site."""
    owner_rows = {(r.flood, r.load): r for r in rows if r.way == OWNER.name}
    late = owner_rows[("late", MAX_LOAD)]
    urgent = owner_rows[("urgent", MAX_LOAD)]
    floor = site.ranks[1].floor
    at_least = base.require_at_least
    name = site.name
    return [
        at_least(
            f"{name}: late flood, urgent kept", late.urgent, TARGET_URGENT_KEPT
        ),
        at_least(
            f"{name}: late flood, usual kept", late.usual, TARGET_USUAL_KEPT
        ),
        at_least(
            f"{name}: urgent flood, usual rank's slots",
            urgent.usual_slots,
            floor,
        ),
        at_least(
            f"{name}: urgent flood, late rank's slots",
            urgent.late_slots,
            floor,
        ),
        at_least(
            f"{name}: urgent flood, other urgent kinds kept",
            urgent.urgent,
            TARGET_URGENT_KEPT,
        ),
        *(
            at_least(
                f"{name}: {flood} flood, goodput over that at 1x",
                owner_rows[(flood, MAX_LOAD)].goodput
                / owner_rows[(flood, 1.0)].goodput,
                TARGET_GOODPUT_KEPT,
            )
            for flood in ("late", "urgent")
        ),
        base.require_at_most(
            f"{name}: connections in use at an endpoint",
            max(row.in_flight for row in rows),
            site.endpoints[0].connections,
        ),
    ]


FAULTS = (
    Fault("daemon killed", killed=0),
    Fault("zone cut off", isolated_zone=flood_work.LUFTDIENST.zones[0]),
    Fault("skewed entry", skew=SKEW),
)


class FloodFaults(base.Measurement):
    """The placements under faults and with skewed arrivals."""

    name = "flood_faults"
    description = (
        "Placements with a daemon killed, a zone cut off, skewed arrivals."
    )

    def run(self, seed: int) -> base.Report:
        """Run the placements on the same arrivals and faults."""
        site = flood_work.LUFTDIENST
        rows = tuple(
            create_row(variant, site, seed, 2, load, fault)
            for fault in FAULTS
            for variant in VARIANTS[:3]
            for load in FAULT_LOADS
        )
        owner_rows = {
            (row.fault, row.load): row for row in rows if row.way == OWNER.name
        }
        limit = site.endpoints[0].connections
        targets = [
            base.require_at_least(
                f"{fault}, load {load:g}: urgent kept",
                owner_rows[(fault, load)].urgent,
                TARGET_URGENT_KEPT,
            )
            for fault in ("zone cut off", "skewed entry")
            for load in FAULT_LOADS
        ]
        max_connections = max(row.in_flight for row in owner_rows.values())
        targets.append(
            base.require_at_most("connections in use", max_connections, limit)
        )
        return base.Report(self.name, seed, rows, tuple(targets))


def create_measurements() -> tuple[base.Measurement, ...]:
    """Return the measurements of this module."""
    return Flood(), FloodFaults()
