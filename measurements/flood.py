"""Floods: service per rank and what the other ranks keep."""

import dataclasses
import functools

from fescuestile import admission
from measurements import admission_queues
from measurements import baselines
from measurements import flood_model
from measurements import flood_plot
from measurements import flood_rows
from measurements import flood_work
from measurements import frame
from measurements import placements

# The flood outlasts the window by the longest deadline.
SECONDS = 7.0
WINDOW = flood_model.Window(1.0, 5.0)
FAULT_AT_SECONDS = 1.5
SLOW_SECONDS = 1.5
FAULT_LOADS = (0.8, 20.0)
SKEW = 0.7
LOADS = (1.0, 2.0, 5.0, 20.0)
BASELINE_LOADS = (1.0, 20.0)
WORST_LOAD = 20.0
RANK_LENGTH = 1024
# Worth of the ranks' service, the most urgent first.
WEIGHTS = (100.0, 10.0, 1.0)
URGENT_KEPT = 0.99
USUAL_KEPT = 0.95
GOODPUT_KEPT = 0.95

MILLISECONDS = 1000.0

RANK_NAMES = ("urgent", "usual", "late")


@dataclasses.dataclass(frozen=True)
class Way:
    """A placement with a queue."""

    name: str
    create_placement: flood_model.CreatePlacement
    create_queue: flood_model.CreateQueue


def create_own_queue(slots: int) -> admission_queues.Queue:
    """Return our queue."""
    floors = tuple(rank.floor for rank in flood_work.LUFTDIENST.ranks)
    options = admission.AdmissionOptions(slots, floors, RANK_LENGTH)
    return admission_queues.OwnQueue(options)


def create_fifo_queue(slots: int) -> admission_queues.Queue:
    """Return a first in first out queue."""
    return baselines.queues.FifoQueue(slots, RANK_LENGTH * len(RANK_NAMES), 1)


def create_strict_queue(slots: int) -> admission_queues.Queue:
    """Return a strict priority queue."""
    return baselines.queues.StrictQueue(slots, RANK_LENGTH, len(RANK_NAMES))


OURS = Way("owner", placements.OwnerPlacement, create_own_queue)
WAYS = (
    OURS,
    Way("fixed shares", baselines.shares.FixedShares, create_own_queue),
    Way("leased shares", baselines.shares.LeasedShares, create_own_queue),
    Way("owner, fifo", placements.OwnerPlacement, create_fifo_queue),
    Way("owner, strict", placements.OwnerPlacement, create_strict_queue),
)


@dataclasses.dataclass(frozen=True)
class Event:
    """What happens in the middle of a run, at ``FAULT_AT_SECONDS``.

    :ivar killed: number of a daemon that is killed
    :ivar cut: zone that is cut off
    :ivar slowdown: factor of all service times, for a while
    :ivar skew: share of the work that comes to the first daemon
    """

    name: str = ""
    killed: int | None = None
    cut: str = ""
    skew: float = 0.0
    slowdown: float = 1.0


NO_EVENT = Event()


def run_way(
    way: Way,
    site: flood_work.Site,
    arrivals: list[flood_work.Arrival],
    event: Event = NO_EVENT,
    window: flood_model.Window = WINDOW,
) -> flood_model.Placement:
    """Run arrivals through a way and return it with its tallies."""
    timeline = flood_model.Timeline()
    placement = way.create_placement(timeline, site, way.create_queue)
    placement.window = window
    happened = False
    for arrival in arrivals:
        if not happened and arrival.at >= FAULT_AT_SECONDS:
            happened = True
            timeline.run(FAULT_AT_SECONDS)
            timeline.call_in(
                SLOW_SECONDS, lambda: end_slowdown(placement.endpoints)
            )
            placement.cut_zone = event.cut
            for endpoint in placement.endpoints:
                endpoint.slowdown = event.slowdown
            if event.killed is not None:
                placement.kill(event.killed)
        timeline.run(arrival.at)
        placement.arrive(arrival)
    timeline.run(SECONDS)
    return placement


def end_slowdown(endpoints: list[flood_model.EndpointModel]) -> None:
    """Let endpoints serve at their usual pace again."""
    for endpoint in endpoints:
        endpoint.slowdown = 1.0


def measure_service(
    placement: flood_model.Placement, level: int
) -> tuple[float, float]:
    """Return the share of a rank's work served and of the slots' time.

    The kind that floods is left out.
    """
    tallies = _list_tallies(placement, level)
    offered = sum(tally.offered for tally in tallies)
    served = sum(tally.served for tally in tallies)
    seconds = sum(tally.seconds for tally in tallies)
    return served / max(1, offered), seconds / find_capacity(placement.site)


def find_capacity(site: flood_work.Site) -> float:
    """Return the slots' time in the window, in seconds."""
    return site.slots * WINDOW.seconds


def _list_tallies(
    placement: flood_model.Placement, level: int
) -> list[flood_model.Tally]:
    names = {k.name for k in placement.site.kinds if k.level == level}
    return [
        tally
        for (kind, flood), tally in placement.tallies.items()
        if kind in names and not flood
    ]


@functools.cache
def run_unloaded(
    way: Way, site: flood_work.Site, seed: int, flood: int
) -> flood_model.Placement:
    """Return a run of the usual load, for comparison."""
    arrivals = flood_work.create_arrivals(
        site, seed, SECONDS, flood_work.USUAL_LOAD, flood
    )
    return run_way(way, site, arrivals)


def create_row(
    way: Way,
    site: flood_work.Site,
    seed: int,
    flood: int,
    load: float,
    event: Event = NO_EVENT,
) -> flood_rows.FloodRow:
    """Run one case of a way."""
    arrivals = flood_work.create_arrivals(
        site, seed, SECONDS, load, flood, event.skew
    )
    placement = run_way(way, site, arrivals, event)
    usual = run_unloaded(way, site, seed, flood)
    services = [measure_service(placement, n) for n in range(len(WEIGHTS))]
    kept = [
        share / measure_service(usual, level)[0]
        for level, (share, _) in enumerate(services)
    ]
    flooding = placement.tallies[(site.floods[flood], True)]
    total = sum(tally.seconds for tally in placement.tallies.values())
    weighted = sum(w * k for w, k in zip(WEIGHTS, kept, strict=True))
    urgent = _list_tallies(placement, 0)[0].durations
    return flood_rows.FloodRow(
        site=site.name,
        way=way.name,
        flood=RANK_NAMES[flood],
        fault=event.name,
        load=load,
        urgent=kept[0],
        usual=kept[1],
        late=kept[2],
        urgent_slots=services[0][1],
        usual_slots=services[1][1],
        late_slots=services[2][1],
        urgent_p99=urgent.get_percentile(99) * MILLISECONDS,
        flooding=flooding.served / max(1, flooding.offered),
        goodput=total / find_capacity(site),
        score=weighted / sum(WEIGHTS),
        in_flight=max(endpoint.most for endpoint in placement.endpoints),
    )


class Flood(frame.Measurement):
    """Ours and the baselines in floods of the last and first ranks."""

    name = "flood"
    description = "Service per rank in floods, ours against the baselines."

    def run(self, seed: int) -> frame.Report:
        """Run all ways on the same arrivals at both sites."""
        rows = []
        targets: list[frame.Target] = []
        for site in (flood_work.LUFTDIENST, flood_work.SCADUTO):
            site_rows = [
                create_row(way, site, seed, flood, load)
                for flood in (2, 0)
                for way in WAYS
                for load in (LOADS if way is OURS else BASELINE_LOADS)
            ]
            rows += site_rows
            targets += list_targets(site, site_rows)
        return frame.Report(self.name, seed, tuple(rows), tuple(targets))

    def plot(self, report: frame.Report, path: str) -> None:
        """Draw what the ranks keep at the highest load."""
        rows = [
            row for row in report.rows if isinstance(row, flood_rows.FloodRow)
        ]
        flood_plot.draw(rows, WORST_LOAD, path)


def list_targets(
    site: flood_work.Site, rows: list[flood_rows.FloodRow]
) -> list[frame.Target]:
    """Return the targets that our rows of a site are held against."""
    ours = {(r.flood, r.load): r for r in rows if r.way == OURS.name}
    late = ours[("late", WORST_LOAD)]
    urgent = ours[("urgent", WORST_LOAD)]
    floor = site.ranks[1].floor
    at_least = frame.require_at_least
    name = site.name
    return [
        at_least(f"{name}: late flood, urgent kept", late.urgent, URGENT_KEPT),
        at_least(f"{name}: late flood, usual kept", late.usual, USUAL_KEPT),
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
            URGENT_KEPT,
        ),
        *(
            at_least(
                f"{name}: {flood} flood, goodput over that at 1x",
                ours[(flood, WORST_LOAD)].goodput / ours[(flood, 1.0)].goodput,
                GOODPUT_KEPT,
            )
            for flood in ("late", "urgent")
        ),
        frame.require_at_most(
            f"{name}: connections in use at an endpoint",
            max(row.in_flight for row in rows),
            site.endpoints[0].connections,
        ),
    ]


FAULTS = (
    Event("daemon killed", killed=0),
    Event("zone cut off", cut=flood_work.LUFTDIENST.zones[0]),
    Event("skewed entry", skew=SKEW),
)


class FloodFaults(frame.Measurement):
    """The placements when a daemon dies, a zone is cut, entry is skewed."""

    name = "flood_faults"
    description = "Placements with a daemon killed, a zone cut, a skew."

    def run(self, seed: int) -> frame.Report:
        """Run the placements on the same arrivals and faults."""
        site = flood_work.LUFTDIENST
        rows = tuple(
            create_row(way, site, seed, 2, load, fault)
            for fault in FAULTS
            for way in WAYS[:3]
            for load in FAULT_LOADS
        )
        ours = {
            (row.fault, row.load): row for row in rows if row.way == OURS.name
        }
        cap = site.endpoints[0].connections
        targets = [
            frame.require_at_least(
                f"{fault}, load {load:g}: urgent kept",
                ours[(fault, load)].urgent,
                URGENT_KEPT,
            )
            for fault in ("zone cut off", "skewed entry")
            for load in FAULT_LOADS
        ]
        most = max(row.in_flight for row in ours.values())
        targets.append(frame.require_at_most("connections in use", most, cap))
        return frame.Report(self.name, seed, rows, tuple(targets))


def create_measurements() -> tuple[frame.Measurement, ...]:
    """Return the measurements of this module."""
    return Flood(), FloodFaults()
