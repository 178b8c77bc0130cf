"""Assignment of endpoints to the daemons that own them.

The owner holds an endpoint's connections and slots. It is chosen by
rendezvous hashing: daemons with the same view of the membership choose the
same owner, and the loss of a member moves only the endpoints that it owned.
"""

import dataclasses
import operator
import typing

import xxhash

from fescuestile import members
from fescuestile import plans

Weight = tuple[int, str]


@dataclasses.dataclass(frozen=True, slots=True)
class _Owner:
    """Owner of an endpoint and its weight, the highest of all candidates."""

    member: members.Member
    weight: Weight


class _CandidateSet:
    """Daemons that can own an endpoint, with a cache of the owners."""

    def __init__(self) -> None:
        self.members: dict[str, members.Member] = {}
        self._owners: dict[str, _Owner] = {}

    def find_owner(self, endpoint: str) -> members.Member | None:
        """Return an endpoint's owner, from the cache if it is there."""
        found = self._owners.get(endpoint)
        if found is None:
            found = _find_highest_weight(endpoint, self.members.values())
            if found is None:
                return None
            self._owners[endpoint] = found
        return found.member

    def update(self, new: dict[str, members.Member]) -> bool:
        """Replace the members and update the cached owners.

        An endpoint's weights are computed for the added members only.

        :returns: whether any owner may have changed
        """
        removed = self.members.keys() - new.keys()
        added = [new[key] for key in new.keys() - self.members.keys()]
        self.members = new
        for endpoint, owner in tuple(self._owners.items()):
            if owner.member.id in removed:
                del self._owners[endpoint]
                continue
            contender = _find_highest_weight(endpoint, added)
            if contender is not None and contender.weight > owner.weight:
                self._owners[endpoint] = contender
            elif owner.member is not new[owner.member.id]:
                self._owners[endpoint] = dataclasses.replace(
                    owner, member=new[owner.member.id]
                )
        return bool(removed or added)


class Ownership:
    """Owners of endpoints, updated as the membership changes."""

    def __init__(self, membership: members.MembershipSnapshot) -> None:
        """Initialize with a membership.

        :param membership: members as this daemon sees them
        """
        self._zones: dict[str, _CandidateSet] = {}
        self._all_zones = _CandidateSet()
        self.update(membership)

    def update(self, membership: members.MembershipSnapshot) -> frozenset[str]:
        """Replace the membership.

        :returns: zones whose endpoints may have new owners
        """
        serving: dict[str, dict[str, members.Member]] = {}
        all_serving: dict[str, members.Member] = {}
        for member in membership.list_serving():
            serving.setdefault(member.zone, {})[member.id] = member
            all_serving[member.id] = member
        changed = {
            zone
            for zone in self._zones.keys() | serving.keys()
            if self._zones.setdefault(zone, _CandidateSet()).update(
                serving.get(zone, {})
            )
        }
        moved = self._all_zones.update(all_serving)
        if moved:
            changed |= {
                zone for zone, pool in self._zones.items() if not pool.members
            }
        return frozenset(changed)

    def find_owner(self, endpoint: plans.Endpoint) -> members.Member | None:
        """Return the endpoint's owner, None if no daemon serves."""
        return self._get_candidates(endpoint.zone).find_owner(endpoint.name)

    def list_candidates(
        self, endpoint: plans.Endpoint
    ) -> tuple[members.Member, ...]:
        """Return the daemons that can own the endpoint, the owner first.

        Each one becomes the owner when all those before it are gone.
        """
        eligible = self._get_candidates(endpoint.zone).members.values()
        ranked = sorted(
            eligible,
            key=lambda member: _compute_weight(endpoint.name, member),
            reverse=True,
        )
        return tuple(ranked)

    def _get_candidates(self, zone: str) -> _CandidateSet:
        """Return the zone's daemons, or all daemons if it has none."""
        candidates = self._zones.setdefault(zone, _CandidateSet())
        return candidates if candidates.members else self._all_zones


def _compute_weight(endpoint: str, member: members.Member) -> Weight:
    key = f"{endpoint}\0{member.id}".encode()
    return xxhash.xxh3_64_intdigest(key), member.id


def _find_highest_weight(
    endpoint: str, eligible: typing.Collection[members.Member]
) -> _Owner | None:
    if not eligible:
        return None
    weights = [
        (_compute_weight(endpoint, member), member) for member in eligible
    ]
    weight, highest = max(weights, key=operator.itemgetter(0))
    return _Owner(highest, weight)


def find_owner(
    endpoint: plans.Endpoint, membership: members.MembershipSnapshot
) -> members.Member | None:
    """Return the owner of one endpoint, None if no daemon serves."""
    return Ownership(membership).find_owner(endpoint)


def list_candidates(
    endpoint: plans.Endpoint, membership: members.MembershipSnapshot
) -> tuple[members.Member, ...]:
    """Return the daemons that can own one endpoint, the owner first."""
    return Ownership(membership).list_candidates(endpoint)
