"""Messages that control the relays of ``wire``.

A side is an IP network in CIDR form: ``127.0.2.0/24`` is a zone,
``127.0.2.1/32`` a host and ``0.0.0.0/0`` everything. A rule holds between
two sides, in both directions.
"""

import dataclasses

from fescuestile import codec
from fescuestile_standins import hosts

EVERYWHERE = "0.0.0.0/0"


def make_zone_side(zone_number: int) -> str:
    """Return the side of all hosts ``127.0.zone_number.x``."""
    return hosts.make_zone_network(zone_number)


@dataclasses.dataclass(frozen=True, slots=True)
class Between:
    """Two sides."""

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
    """Stall all bytes between two sides; new connections hang."""

    id: int
    between: Between


@dataclasses.dataclass(frozen=True, slots=True)
class Heal:
    """End the cut between two sides; stalled bytes arrive."""

    id: int
    between: Between


@dataclasses.dataclass(frozen=True, slots=True)
class Delay:
    """Delay bytes one way, in seconds; 0 ends the delay."""

    id: int
    between: Between
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Silence:
    """Lose all bytes of the open connections for good; new ones work."""

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

    :ivar address: where a new relay listens
    :ivar connections: connections that the rule met
    :ivar error: why the command was refused, or empty
    """

    id: int
    address: str = ""
    connections: int = 0
    error: str = ""


Command = AddRelay | Cut | Heal | Delay | Silence | Drop
CODEC = codec.Codec((AddRelay, Cut, Heal, Delay, Silence, Drop, Done))
