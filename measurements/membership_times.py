"""Time to detect a killed daemon, and false detections in freezes."""

import asyncio
import dataclasses
import functools
import statistics

from measurements import base
from measurements import control_bench
from measurements import simulated_fleet as fleets

CURRENT_FLEET = {"muenchen": 2, "ingolstadt": 1, "landshut": 1}
ONE_ZONE = {"zone": 93}
LARGE_FLEET = {f"zone-{number:02}": 15 for number in range(27)}
KILLS_CURRENT_FLEET = 30
KILLS_LARGE_FLEET = 5
FREEZES = 30
REAL_KILLS = 8
TARGET_DETECTION_SECONDS = 3.0
FREEZE_SECONDS = 0.99
TIMEOUT_SECONDS = 30.0
CHECK_INTERVAL_SECONDS = 0.01
REAL_ZONES = ("muenchen", "muenchen", "ingolstadt", "landshut")


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipRow:
    """Detection times of killed daemons, in seconds.

    A time runs from the kill until all live daemons have removed the killed
    one from the serving members.

    :ivar missed: kills not detected within ``TIMEOUT_SECONDS``, or freezes
        detected as failures
    """

    case: str
    daemons: int
    runs: int
    median: float
    worst: float
    missed: int


class MembershipTimes(base.Measurement):
    """Failure detection when one daemon is killed or frozen."""

    name = "membership"
    description = "Seconds until all daemons have detected a killed daemon."

    def run(self, seed: int) -> base.Report:
        """Kill daemons of real and simulated fleets; freeze simulated ones."""
        kills = (
            asyncio.run(_kill_real()),
            _kill("virtual, today", CURRENT_FLEET, seed, KILLS_CURRENT_FLEET),
            _kill("virtual, zone of 93", ONE_ZONE, seed, KILLS_LARGE_FLEET),
            _kill("virtual, 27 zones", LARGE_FLEET, seed, KILLS_LARGE_FLEET),
        )
        frozen = _freeze(seed)
        targets = [
            base.require_at_most(
                f"worst seconds, {row.case}",
                row.worst,
                TARGET_DETECTION_SECONDS,
            )
            for row in kills
        ]
        missed = sum(row.missed for row in kills)
        targets.append(base.require_at_most("kills missed", missed, 0))
        targets.append(
            base.require_at_most("deaths by 0.99 s freeze", frozen.missed, 0)
        )
        return base.Report(self.name, seed, (*kills, frozen), tuple(targets))


def create_measurements() -> tuple[base.Measurement, ...]:
    """Return the measurements of this module."""
    return (MembershipTimes(),)


def _kill(
    case: str, zones: dict[str, int], seed: int, runs: int
) -> MembershipRow:
    durations = []
    missed = 0
    for number in range(runs):
        fleet = fleets.build(seed * 1000 + number, zones)
        names = sorted(fleet.nodes)
        victim = names[number % len(names)]
        fleet.run(number * 0.037)
        fleet.dead.add(victim)
        started_at = fleet.now
        live = [name for name in names if name != victim]
        detected = fleet.run_until(
            functools.partial(_is_removed_everywhere, fleet, live, victim),
            TIMEOUT_SECONDS,
            CHECK_INTERVAL_SECONDS,
        )
        missed += not detected
        durations.append(fleet.now - started_at)
    return _summarize(case, sum(zones.values()), durations, missed)


def _is_removed_everywhere(
    fleet: fleets.Fleet, live: list[str], victim: str
) -> bool:
    return all(victim not in fleet.list_serving(name) for name in live)


def _is_any_removed(fleet: fleets.Fleet, everyone: set[str]) -> bool:
    return any(fleet.list_serving(name) != everyone for name in everyone)


def _freeze(seed: int) -> MembershipRow:
    missed = 0
    for number in range(FREEZES):
        fleet = fleets.build(seed * 1000 + number, CURRENT_FLEET)
        names = sorted(fleet.nodes)
        victim = names[number % len(names)]
        fleet.run(number * 0.037)
        fleet.frozen.add(victim)
        fleet.run(FREEZE_SECONDS)
        fleet.resume(victim)
        everyone = set(names)
        missed += fleet.run_until(
            functools.partial(_is_any_removed, fleet, everyone),
            TIMEOUT_SECONDS,
        )
    return MembershipRow(
        "virtual, frozen 0.99 s", len(names), FREEZES, 0.0, 0.0, missed
    )


async def _kill_real() -> MembershipRow:
    """Kill and restart real daemons that own an endpoint, one by one."""
    durations = []
    async with control_bench.open_bench(REAL_ZONES) as bench:
        await bench.start(REAL_ZONES)
        for number in range(REAL_KILLS):
            name = f"d{1 + number % 3}"
            victim = bench.fleet.daemons[name]
            survivors = [
                daemon for daemon in bench.running if daemon is not victim
            ]
            before = {
                daemon.name: len(control_bench.read_events(daemon))
                for daemon in survivors
            }
            started_at = control_bench.read_wall_clock()
            victim.process.kill()
            durations.append(
                await _wait_until_logged(survivors, before, victim)
                - started_at
            )
            victim.process.start()
            await victim.process.wait_ready()
            await asyncio.sleep(1.0)
    return _summarize("real, today", len(REAL_ZONES), durations, 0)


async def _wait_until_logged(
    survivors: list[control_bench.DaemonProcess],
    before: dict[str, int],
    victim: control_bench.DaemonProcess,
) -> float:
    """Wait until all survivors have logged the loss of a daemon.

    :param before: number of each survivor's earlier log lines
    :returns: seconds since the epoch of the last of these log lines
    """
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while True:
            logged_at = [
                _find_loss(daemon, before[daemon.name], victim.name)
                for daemon in survivors
            ]
            if None not in logged_at:
                return max(at for at in logged_at if at is not None)
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
    case: str, daemons: int, durations: list[float], missed: int
) -> MembershipRow:
    return MembershipRow(
        case,
        daemons,
        len(durations),
        statistics.median(durations),
        max(durations),
        missed,
    )
