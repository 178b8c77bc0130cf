"""Slopes of the gossip, from real memberships on a virtual clock."""

from fescuestile import configuration
from measurements import builders
from measurements import fleet as fleets
from measurements import frame
from measurements import slopes

QUIET_SECONDS = 10.0
SETTLE_SECONDS = 40.0
SPREAD_SECONDS = 20.0
ZONES = 4
BRIDGES_PER_ZONE = 3


def build_settled(seed: int, members: int, zones: int) -> fleets.Fleet:
    """Return a fleet that has nothing left to tell."""
    counts = {
        f"zone-{number:02}": members // zones
        + (1 if number < members % zones else 0)
        for number in range(zones)
    }
    fleet = fleets.build(seed, counts)
    fleet.run(SETTLE_SECONDS)
    return fleet


def count_messages(fleet: fleets.Fleet) -> int:
    """Return the messages sent by all daemons."""
    return sum(traffic.messages for traffic in fleet.traffic.values())


def count_octets(fleet: fleets.Fleet) -> int:
    """Return the bytes sent by all daemons."""
    return sum(traffic.octets for traffic in fleet.traffic.values())


def measure_quiet(fleet: fleets.Fleet) -> slopes.Values:
    """Return what a daemon sends and spends while nothing changes."""
    share = len(fleet.nodes) * QUIET_SECONDS
    spent = slopes.measure_once(lambda: fleet.run(QUIET_SECONDS))
    fleet.count_bytes = True
    fleet.traffic.clear()
    fleet.run(QUIET_SECONDS)
    return {
        "messages/s sent per daemon": count_messages(fleet) / share,
        "bytes/s sent per daemon": count_octets(fleet) / share,
        "CPU ms/s per daemon, without links": spent
        / share
        * slopes.MILLISECONDS,
    }


class QuietGossip(slopes.SlopeMeasurement):
    """Traffic and processor time of a daemon while nothing changes."""

    name = "slope_gossip_quiet"
    description = "Gossip of a daemon with nothing to tell, by members."
    size_name = "members, in 4 zones"
    sizes = (4, 100, 200, 400)

    def measure(self, size: int, seed: int) -> slopes.Values:
        """Run a settled fleet for a while."""
        return measure_quiet(build_settled(seed, size, ZONES))


class QuietBridges(slopes.SlopeMeasurement):
    """The same by zones, where each daemon is a bridge of its zone."""

    name = "slope_gossip_bridges"
    description = "Gossip of a bridge with nothing to tell, by zones."
    size_name = "zones, of 3 daemons"
    sizes = (2, 9, 18, 27)

    def measure(self, size: int, seed: int) -> slopes.Values:
        """Run a settled fleet of bridges for a while."""
        return measure_quiet(
            build_settled(seed, size * BRIDGES_PER_ZONE, size)
        )


class EntrySpread(slopes.SlopeMeasurement):
    """How one changed entry spreads, by members."""

    name = "slope_gossip_entry"
    description = "Spread of one changed plan or member, by members."
    size_name = "members, in 4 zones"
    logarithmic = True
    sizes = (8, 50, 100, 200, 400)

    def measure(self, size: int, seed: int) -> slopes.Values:
        """Announce one revision and count what it adds."""
        fleet = build_settled(seed, size, ZONES)
        entry = configuration.make_entry(
            next(iter(builders.build_revisions(1).values()))
        )
        first = next(iter(fleet.nodes))
        fleet.run(SPREAD_SECONDS)
        fleet.traffic.clear()
        fleet.announce(first, entry)
        fleet.run(SPREAD_SECONDS)
        copies = sum(traffic.entries for traffic in fleet.traffic.values())
        reached = [fleet.changed_at[(name, entry.key)] for name in fleet.nodes]
        return {
            "copies sent per daemon": copies / size,
            "seconds until in force everywhere": max(reached) - min(reached),
        }


class JoinByPlans(slopes.SlopeMeasurement):
    """What a daemon that starts takes from a peer, by plans."""

    name = "slope_join"
    description = "Plans that a joining daemon takes from a peer."
    size_name = "plans"
    sizes = (3, 500, 1000, 2000, 4000)

    def measure(self, size: int, seed: int) -> slopes.Values:
        """Let an empty daemon take all plans from a peer."""
        fleet = fleets.build(seed, {"a": 2}, True)
        for revision in builders.build_revisions(size).values():
            fleet.announce("a-0", configuration.make_entry(revision))
        fleet.run(SETTLE_SECONDS)
        fleet.traffic.clear()
        fleet.add("new", "a", ready=False)
        spent = slopes.measure_once(lambda: join(fleet))
        return {
            "bytes to the joining daemon": float(fleet.traffic["a-0"].octets),
            "CPU ms of both, without links": spent * slopes.MILLISECONDS,
        }


def join(fleet: fleets.Fleet) -> None:
    """Let the daemon named new join and wait until it holds all."""
    fleet.join("new", "a-0")
    fleet.run_until(
        lambda: "a-0" in fleet.nodes["new"].gossip.synced, SETTLE_SECONDS
    )


def create_measurements() -> tuple[frame.Measurement, ...]:
    """Return the measurements of this module."""
    return (
        QuietGossip(),
        QuietBridges(),
        EntrySpread(),
        JoinByPlans(),
    )
