"""Messages that control the relays of ``wire``.

A side is an IP network in CIDR form: ``127.0.2.0/24`` is a zone,
``127.0.2.1/32`` a host and ``0.0.0.0/0`` all hosts. A rule applies to the
connections between two sides, in both directions.
"""

import dataclasses

from fescuestile import codec
from fescuestile_standins import hosts

EVERYWHERE = "0.0.0.0/0"


def make_zone_side(zone_number: int) -> str:
    """Return the side of all hosts of a zone."""
    return hosts.make_zone_network(zone_number)


@dataclasses.dataclass(frozen=True, slots=True)
class Between:
    """Two sides that a rule applies between."""

    a: str
    b: str = EVERYWHERE


@dataclasses.dataclass(frozen=True, slots=True)
class AddRelay:
    """Relay connections from one ``IP:port`` to another."""

    id: int
    listen: str
    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class Cut:
    """Stall all bytes between two sides, also those of new connections."""

    id: int
    between: Between


@dataclasses.dataclass(frozen=True, slots=True)
class Heal:
    """End the cut between two sides and deliver the stalled bytes."""

    id: int
    between: Between


@dataclasses.dataclass(frozen=True, slots=True)
class Delay:
    """Delay bytes in each direction.

    :ivar seconds: one-way delay; 0 ends the delay
    """

    id: int
    between: Between
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Silence:
    """Discard all bytes of the connections open now; new ones work."""

    id: int
    between: Between


@dataclasses.dataclass(frozen=True, slots=True)
class Drop:
    """Reset the open connections."""

    id: int
    between: Between


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """Reply to a command.

    :ivar address: ``IP:port`` that a new relay listens on
    :ivar connections: number of open connections between the two sides
    :ivar error: why the command was refused, empty if it was not
    """

    id: int
    address: str = ""
    connections: int = 0
    error: str = ""


Command = AddRelay | Cut | Heal | Delay | Silence | Drop
CODEC = codec.Codec((AddRelay, Cut, Heal, Delay, Silence, Drop, Done))
