"""Loopback addresses that represent hosts.

Hosts of zone z have the addresses ``127.N.z.h``. N is read from the
environment, so that several fleets on one machine, such as those of
parallel test processes, use distinct addresses.
"""

import os

NETWORK_VARIABLE = "FESCUESTILE_STANDINS_NETWORK"
DEFAULT_NETWORK = "127.0"


def _find_network() -> str:
    return os.environ.get(NETWORK_VARIABLE, DEFAULT_NETWORK)


def make_ip(zone_number: int, host_number: int) -> str:
    """Return the IP address of a host.

    :param zone_number: number of the zone
    :param host_number: number of the host in its zone, from 1
    """
    return f"{_find_network()}.{zone_number}.{host_number}"


def make_zone_network(zone_number: int) -> str:
    """Return the network of all hosts of a zone, in CIDR form."""
    return f"{_find_network()}.{zone_number}.0/24"
