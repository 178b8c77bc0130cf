"""How soon a killed daemon's share is taken up, and what a freeze does."""

import asyncio
import dataclasses
import functools
import statistics

from measurements import control_bench
from measurements import fleet as fleets
from measurements import frame

TODAY = {"muenchen": 2, "ingolstadt": 1, "landshut": 1}
ONE_ZONE = {"zone": 93}
LARGE = {f"zone-{number:02}": 15 for number in range(27)}
KILLS_TODAY = 30
KILLS_LARGE = 5
FREEZES = 30
REAL_KILLS = 8
TAKEN_UP_SECONDS = 3.0
FREEZE_SECONDS = 0.99
LIMIT_SECONDS = 30.0
LOOK_SECONDS = 0.01
REAL_ZONES = ("muenchen", "muenchen", "ingolstadt", "landshut")


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipRow:
    """Seconds from a kill until all that live have taken it up.

    :ivar missed: kills not taken up at all, or freezes taken for deaths
    """

    case: str
    daemons: int
    runs: int
    median: float
    worst: float
    missed: int


class MembershipTimes(frame.Measurement):
    """Kills and freezes of one daemon."""

    name = "membership"
    description = "Seconds until a killed daemon's share is taken up."

    def run(self, seed: int) -> frame.Report:
        """Kill daemons of fleets of several sizes, real and virtual."""
        kills = (
            asyncio.run(_kill_real()),
            _kill("virtual, today", TODAY, seed, KILLS_TODAY),
            _kill("virtual, zone of 93", ONE_ZONE, seed, KILLS_LARGE),
            _kill("virtual, 27 zones", LARGE, seed, KILLS_LARGE),
        )
        frozen = _freeze(seed)
        targets = [
            frame.require_at_most(
                f"worst seconds, {row.case}", row.worst, TAKEN_UP_SECONDS
            )
            for row in kills
        ]
        missed = sum(row.missed for row in kills)
        targets.append(frame.require_at_most("kills missed", missed, 0))
        targets.append(
            frame.require_at_most("deaths by 0.99 s freeze", frozen.missed, 0)
        )
        return frame.Report(self.name, seed, (*kills, frozen), tuple(targets))


def create_measurements() -> tuple[frame.Measurement, ...]:
    """Return the measurements of this module."""
    return (MembershipTimes(),)


def _kill(
    case: str, zones: dict[str, int], seed: int, runs: int
) -> MembershipRow:
    taken = []
    missed = 0
    for number in range(runs):
        fleet = fleets.build(seed * 1000 + number, zones)
        names = sorted(fleet.nodes)
        victim = names[number % len(names)]
        fleet.run(number * 0.037)
        fleet.dead.add(victim)
        began = fleet.now
        live = [name for name in names if name != victim]
        found = fleet.run_until(
            functools.partial(_is_missed, fleet, live, victim),
            LIMIT_SECONDS,
            LOOK_SECONDS,
        )
        missed += not found
        taken.append(fleet.now - began)
    return _summarize(case, sum(zones.values()), taken, missed)


def _is_missed(fleet: fleets.Fleet, live: list[str], victim: str) -> bool:
    return all(victim not in fleet.list_serving(name) for name in live)


def _is_any_missed(fleet: fleets.Fleet, everyone: set[str]) -> bool:
    return any(fleet.list_serving(name) != everyone for name in everyone)


def _freeze(seed: int) -> MembershipRow:
    missed = 0
    for number in range(FREEZES):
        fleet = fleets.build(seed * 1000 + number, TODAY)
        names = sorted(fleet.nodes)
        victim = names[number % len(names)]
        fleet.run(number * 0.037)
        fleet.frozen.add(victim)
        fleet.run(FREEZE_SECONDS)
        fleet.thaw(victim)
        everyone = set(names)
        missed += fleet.run_until(
            functools.partial(_is_any_missed, fleet, everyone), LIMIT_SECONDS
        )
    return MembershipRow(
        "virtual, frozen 0.99 s", len(names), FREEZES, 0.0, 0.0, missed
    )


async def _kill_real() -> MembershipRow:
    """Kill real daemons that own an endpoint, and start them again."""
    taken = []
    async with control_bench.open_bench(REAL_ZONES) as bench:
        await bench.start(REAL_ZONES)
        for number in range(REAL_KILLS):
            name = f"d{1 + number % 3}"
            victim = bench.fleet.daemons[name]
            survivors = [one for one in bench.running if one is not victim]
            before = {
                one.name: len(control_bench.read_events(one))
                for one in survivors
            }
            began = control_bench.read_wall_clock()
            victim.process.kill()
            taken.append(await _wait_seen(survivors, before, victim) - began)
            victim.process.start()
            await victim.process.wait_ready()
            await asyncio.sleep(1.0)
    return _summarize("real, today", len(REAL_ZONES), taken, 0)


async def _wait_seen(
    survivors: list[control_bench.DaemonProcess],
    before: dict[str, int],
    victim: control_bench.DaemonProcess,
) -> float:
    """Wait until all survivors have logged the loss; return when."""
    async with asyncio.timeout(LIMIT_SECONDS):
        while True:
            times = [
                _find_loss(one, before[one.name], victim.name)
                for one in survivors
            ]
            if None not in times:
                return max(at for at in times if at is not None)
            await asyncio.sleep(control_bench.POLL_INTERVAL_SECONDS)


def _find_loss(
    daemon: control_bench.DaemonProcess, after: int, name: str
) -> float | None:
    for line in control_bench.read_events(daemon)[after:]:
        lost = line["event"] == "daemon no longer serves"
        if lost and line["member"].startswith(f"{name}-"):
            return control_bench.parse_time(line)
    return None


def _summarize(
    case: str, daemons: int, taken: list[float], missed: int
) -> MembershipRow:
    return MembershipRow(
        case,
        daemons,
        len(taken),
        statistics.median(taken),
        max(taken),
        missed,
    )
