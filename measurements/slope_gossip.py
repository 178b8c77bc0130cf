"""Slope measurements of gossip: real memberships on a virtual clock."""

from fescuestile import configuration
from measurements import base
from measurements import builders
from measurements import simulated_fleet as fleets
from measurements import slopes

IDLE_SECONDS = 10.0
CONVERGENCE_SECONDS = 40.0
PROPAGATION_SECONDS = 20.0
ZONES = 4
BRIDGES_PER_ZONE = 3


def build_converged(seed: int, members: int, zones: int) -> fleets.Fleet:
    """Return a fleet whose gossip has converged."""
    counts = {
        f"zone-{number:02}": members // zones
        + (1 if number < members % zones else 0)
        for number in range(zones)
    }
    fleet = fleets.build(seed, counts)
    fleet.run(CONVERGENCE_SECONDS)
    return fleet


def count_sent_messages(fleet: fleets.Fleet) -> int:
    """Return the messages sent by all daemons."""
    return sum(traffic.messages for traffic in fleet.traffic.values())


def count_sent_bytes(fleet: fleets.Fleet) -> int:
    """Return the bytes sent by all daemons."""
    return sum(traffic.octets for traffic in fleet.traffic.values())


def measure_idle(fleet: fleets.Fleet) -> slopes.QuantityValues:
    """Return a daemon's traffic and processor time while nothing changes."""
    daemon_seconds = len(fleet.nodes) * IDLE_SECONDS
    cpu_seconds = slopes.measure_cpu(lambda: fleet.run(IDLE_SECONDS))
    fleet.count_bytes = True
    fleet.traffic.clear()
    fleet.run(IDLE_SECONDS)
    return {
        "messages/s sent per daemon": count_sent_messages(fleet)
        / daemon_seconds,
        "bytes/s sent per daemon": count_sent_bytes(fleet) / daemon_seconds,
        "CPU ms/s per daemon, without links": cpu_seconds
        / daemon_seconds
        * slopes.MILLISECONDS_PER_SECOND,
    }


class IdleGossip(slopes.SlopeMeasurement):
    """Traffic and processor time of a daemon while nothing changes."""

    name = "slope_gossip_quiet"
    description = "Gossip of an idle daemon, by members."
    size_name = "members, in 4 zones"
    sizes = (4, 100, 200, 400)

    def measure(self, size: int, seed: int) -> slopes.QuantityValues:
        """Measure a converged fleet while nothing changes."""
        return measure_idle(build_converged(seed, size, ZONES))


class IdleBridges(slopes.SlopeMeasurement):
    """Traffic and processor time of a bridge while nothing changes.

    Zones have 3 daemons, so that each daemon is a bridge of its zone.
    """

    name = "slope_gossip_bridges"
    description = "Gossip of an idle bridge, by zones."
    size_name = "zones, of 3 daemons"
    sizes = (2, 9, 18, 27)

    def measure(self, size: int, seed: int) -> slopes.QuantityValues:
        """Measure a converged fleet of bridges while nothing changes."""
        return measure_idle(
            build_converged(seed, size * BRIDGES_PER_ZONE, size)
        )


class EntryPropagation(slopes.SlopeMeasurement):
    """Copies and time to propagate one changed entry to all daemons."""

    name = "slope_gossip_entry"
    description = "Propagation of one changed plan or member, by members."
    size_name = "members, in 4 zones"
    logarithmic = True
    sizes = (8, 50, 100, 200, 400)

    def measure(self, size: int, seed: int) -> slopes.QuantityValues:
        """Announce one revision and count the copies of its entry."""
        fleet = build_converged(seed, size, ZONES)
        entry = configuration.encode_entry(
            next(iter(builders.build_revisions(1).values()))
        )
        origin = next(iter(fleet.nodes))
        fleet.run(PROPAGATION_SECONDS)
        fleet.traffic.clear()
        fleet.announce(origin, entry)
        fleet.run(PROPAGATION_SECONDS)
        copies = sum(traffic.entries for traffic in fleet.traffic.values())
        applied_at = [
            fleet.changed_at[(name, entry.key)] for name in fleet.nodes
        ]
        return {
            "copies sent per daemon": copies / size,
            "seconds until in force everywhere": max(applied_at)
            - min(applied_at),
        }


class JoinByPlans(slopes.SlopeMeasurement):
    """Traffic and processor time of a joining daemon, by plans."""

    name = "slope_join"
    description = "Plans that a joining daemon receives from a peer."
    size_name = "plans"
    sizes = (3, 500, 1000, 2000, 4000)

    def measure(self, size: int, seed: int) -> slopes.QuantityValues:
        """Let an empty daemon join a peer and receive all plans."""
        fleet = fleets.build(seed, {"a": 2}, True)
        for revision in builders.build_revisions(size).values():
            fleet.announce("a-0", configuration.encode_entry(revision))
        fleet.run(CONVERGENCE_SECONDS)
        fleet.traffic.clear()
        fleet.add("new", "a", ready=False)
        cpu_seconds = slopes.measure_cpu(lambda: join(fleet))
        return {
            "bytes to the joining daemon": float(fleet.traffic["a-0"].octets),
            "CPU ms of both, without links": cpu_seconds
            * slopes.MILLISECONDS_PER_SECOND,
        }


def join(fleet: fleets.Fleet) -> None:
    """Let the daemon ``new`` join and run until it is in sync."""
    fleet.join("new", "a-0")
    fleet.run_until(
        lambda: "a-0" in fleet.nodes["new"].gossip.synced, CONVERGENCE_SECONDS
    )


def create_measurements() -> tuple[base.Measurement, ...]:
    """Return the measurements of this module."""
    return (
        IdleGossip(),
        IdleBridges(),
        EntryPropagation(),
        JoinByPlans(),
    )
