"""Slope measurements of finding the owners of endpoints."""

from fescuestile import ownership
from measurements import base
from measurements import builders
from measurements import slopes

ENDPOINTS = 300
MEMBERS_PER_ZONE = 93


def measure_assignment(members: int, databases: int) -> float:
    """Return the least processor µs to find the owners of all endpoints."""
    membership = builders.build_membership(members)
    endpoints = [
        endpoint
        for revision in builders.build_revisions(databases).values()
        for endpoint in revision.plan.endpoints
    ]

    def find_owners() -> None:
        owners = ownership.Ownership(membership)
        for endpoint in endpoints:
            owners.find_owner(endpoint)

    return (
        slopes.measure_least_cpu(find_owners) * slopes.MICROSECONDS_PER_SECOND
    )


class OwnershipMembers(slopes.SlopeMeasurement):
    """Cost of finding one endpoint's owner, by members of its zone."""

    name = "slope_ownership_members"
    description = "Finding an endpoint's owner, by members of its zone."
    size_name = "members of the zone"
    sizes = (4, 50, 100, 200, 400)

    def measure(self, size: int, seed: int) -> slopes.QuantityValues:
        """Find the owners of some endpoints."""
        databases = ENDPOINTS // builders.ENDPOINTS_PER_DATABASE
        cpu_us = measure_assignment(size, databases)
        return {"CPU µs per endpoint": cpu_us / ENDPOINTS}


class OwnershipEndpoints(slopes.SlopeMeasurement):
    """Cost of finding all owners, by endpoints.

    The zone has the members of the design size.
    """

    name = "slope_ownership_endpoints"
    description = "Finding all owners, by endpoints, 93 members in the zone."
    size_name = "endpoints"
    sizes = (9, 1200, 3000, 6000, 12000)

    def measure(self, size: int, seed: int) -> slopes.QuantityValues:
        """Find the owners of all endpoints."""
        databases = size // builders.ENDPOINTS_PER_DATABASE
        cpu_us = measure_assignment(MEMBERS_PER_ZONE, databases)
        return {"CPU ms per full assignment": cpu_us / 1000}


def create_measurements() -> tuple[base.Measurement, ...]:
    """Return the measurements of this module."""
    return (OwnershipMembers(), OwnershipEndpoints())
