"""Which daemon owns an endpoint's connections and slots.

Rendezvous hashing: every daemon that sees the same members finds the same
owner, and a member that goes moves only the endpoints that it owned.
"""

import xxhash

from fescuestile import members
from fescuestile import plans


class Ownership:
    """Owners of endpoints under one membership; answers are remembered."""

    def __init__(self, membership: members.MembershipSnapshot) -> None:
        """Take the membership to decide by.

        :param membership: members as this daemon sees them
        """
        self._own_id = membership.own.id
        self._serving = membership.list_serving()
        self._by_zone: dict[str, list[members.Member]] = {}
        for member in self._serving:
            self._by_zone.setdefault(member.zone, []).append(member)
        self._owners: dict[tuple[str, str], members.Member | None] = {}

    def find_owner(self, endpoint: plans.Endpoint) -> members.Member | None:
        """Return the endpoint's owner, None when no daemon serves."""
        key = (endpoint.name, endpoint.zone)
        if key not in self._owners:
            self._owners[key] = max(
                self._list_eligible(endpoint),
                key=lambda member: _weigh(endpoint, member),
                default=None,
            )
        return self._owners[key]

    def is_own(self, endpoint: plans.Endpoint) -> bool:
        """Tell whether this daemon owns the endpoint."""
        owner = self.find_owner(endpoint)
        return owner is not None and owner.id == self._own_id

    def list_candidates(
        self, endpoint: plans.Endpoint
    ) -> tuple[members.Member, ...]:
        """Return the daemons that may own the endpoint, the owner first.

        Each next one owns it when those before it are gone.
        """
        ranked = sorted(
            self._list_eligible(endpoint),
            key=lambda member: _weigh(endpoint, member),
            reverse=True,
        )
        return tuple(ranked)

    def _list_eligible(
        self, endpoint: plans.Endpoint
    ) -> tuple[members.Member, ...] | list[members.Member]:
        return self._by_zone.get(endpoint.zone) or self._serving


def _weigh(
    endpoint: plans.Endpoint, member: members.Member
) -> tuple[int, str]:
    key = f"{endpoint.name}\0{member.id}".encode()
    return xxhash.xxh3_64_intdigest(key), member.id


def find_owner(
    endpoint: plans.Endpoint, membership: members.MembershipSnapshot
) -> members.Member | None:
    """Return the owner of one endpoint, None when no daemon serves."""
    return Ownership(membership).find_owner(endpoint)


def list_candidates(
    endpoint: plans.Endpoint, membership: members.MembershipSnapshot
) -> tuple[members.Member, ...]:
    """Return the daemons that may own one endpoint, the owner first."""
    return Ownership(membership).list_candidates(endpoint)
