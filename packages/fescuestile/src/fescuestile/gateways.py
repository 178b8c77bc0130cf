"""Gateways: which daemon serves a group's work for the others.

Where they are in use, one daemon for each group and zone keeps the
connections to that zone's endpoint, and the others forward to it. All
daemons that know the same peers choose the same one without messages. Two
that choose differently only open more connections.
"""

import collections.abc
import math

from fescuestile import position_sharing
from fescuestile import rendezvous

# Gateways stay in use until the daemons fall below this share of the number
# from which they are used, so that one daemon that comes and goes does not
# move all connections each time.
STOP_SHARE = 0.9
# Candidates of a group in a zone; with all of them unreachable a daemon
# serves by itself.
MAX_CANDIDATES = 16
# Weight of a peer that registers none that can be used.
MIN_WEIGHT = 0.01
_HASH_RANGE = 2.0**64


def needs_gateways(
    daemons: int, connections: int, has_tenants: bool, in_use: bool
) -> bool:
    """Return whether a group is served through gateways.

    :param daemons: number of registered daemons
    :param connections: connections that each endpoint of the group accepts
    :param has_tenants: whether the configuration has tenants
    :param in_use: whether it has been served through gateways until now
    """
    if has_tenants:
        return True
    return daemons > connections * (STOP_SHARE if in_use else 1.0)


def rank_candidates(
    group: str,
    zone: str,
    peers: collections.abc.Iterable[position_sharing.Peer],
    count: int = MAX_CANDIDATES,
) -> tuple[str, ...]:
    """Return the names of a zone's daemons, the gateway of a group first.

    By weighted rendezvous hashing: each daemon is first for a share of the
    groups in proportion to its weight, and one that is gone moves only its
    own groups.
    """
    key = f"{group}\0{zone}"
    scored = sorted(
        (
            (_score(key, peer.name, peer.weight), peer.name)
            for peer in peers
            if peer.zone == zone
        ),
        reverse=True,
    )
    return tuple(name for _, name in scored[:count])


def _score(key: str, name: str, weight: float) -> float:
    share = (rendezvous.score(key, name) + 0.5) / _HASH_RANGE
    usable = weight if math.isfinite(weight) else MIN_WEIGHT
    # The largest float below 1 is the rounded share of the highest hashes.
    return max(usable, MIN_WEIGHT) / -math.log(
        min(share, math.nextafter(1.0, 0.0))
    )


def choose_daemon_zone(
    group: str, zone: str, zones: collections.abc.Collection[str]
) -> str:
    """Return the zone whose daemons are gateways for the endpoints of a zone.

    :param zones: zones with registered daemons
    :returns: the zone itself, unless it has no daemon; empty without zones
    """
    if zone in zones:
        return zone
    return next(iter(rendezvous.choose(f"{group}\0{zone}", zones, 1)), "")


def choose_read_zone(
    group: str, zone: str, zones: collections.abc.Collection[str]
) -> str:
    """Return the zone to whose gateway reads go.

    :param zone: zone of the daemon that has the callers
    :param zones: zones with endpoints of the group
    :returns: empty without endpoints
    """
    if zone in zones:
        return zone
    return next(iter(rendezvous.choose(f"{zone}\0{group}", zones, 1)), "")


def choose_primary_zone(
    group: str, primary: str, zones: collections.abc.Collection[str]
) -> str:
    """Return the zone to whose gateway work for the primary goes.

    :param primary: zone of the endpoint that claims to be the primary in the
        registry, empty for none
    :param zones: zones with endpoints of the group
    :returns: empty without endpoints
    """
    if primary:
        return primary
    # Without a claim all daemons still choose the same zone.
    return next(iter(rendezvous.choose(group, zones, 1)), "")
