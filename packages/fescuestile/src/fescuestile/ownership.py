"""Which daemon owns an endpoint's connections and slots.

Rendezvous hashing: every daemon that sees the same members finds the same
owner, and a member that goes moves only the endpoints that it owned.
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
    """An endpoint's owner and the weight that made it so."""

    member: members.Member
    weight: Weight


class _Pool:
    """Daemons that endpoints are shared among, and the owners found."""

    def __init__(self) -> None:
        self.members: dict[str, members.Member] = {}
        self._owners: dict[str, _Owner] = {}

    def find_owner(self, endpoint: str) -> members.Member | None:
        """Return an endpoint's owner, remembered until it changes."""
        found = self._owners.get(endpoint)
        if found is None:
            found = _find_heaviest(endpoint, self.members.values())
            if found is None:
                return None
            self._owners[endpoint] = found
        return found.member

    def change(self, new: dict[str, members.Member]) -> bool:
        """Take other members; compare only what they can change.

        :returns: whether an owner can have changed
        """
        gone = self.members.keys() - new.keys()
        come = [new[key] for key in new.keys() - self.members.keys()]
        self.members = new
        for endpoint, owner in tuple(self._owners.items()):
            if owner.member.id in gone:
                del self._owners[endpoint]
                continue
            rival = _find_heaviest(endpoint, come)
            if rival is not None and rival.weight > owner.weight:
                self._owners[endpoint] = rival
            elif owner.member is not new[owner.member.id]:
                self._owners[endpoint] = dataclasses.replace(
                    owner, member=new[owner.member.id]
                )
        return bool(gone or come)


class Ownership:
    """Owners of endpoints under the membership as it changes."""

    def __init__(self, membership: members.MembershipSnapshot) -> None:
        """Take the membership to decide by.

        :param membership: members as this daemon sees them
        """
        self._zones: dict[str, _Pool] = {}
        self._everywhere = _Pool()
        self.change(membership)

    def change(self, membership: members.MembershipSnapshot) -> frozenset[str]:
        """Decide by another membership from now on.

        :returns: zones whose endpoints may have other owners
        """
        serving: dict[str, dict[str, members.Member]] = {}
        everyone: dict[str, members.Member] = {}
        for member in membership.list_serving():
            serving.setdefault(member.zone, {})[member.id] = member
            everyone[member.id] = member
        changed = {
            zone
            for zone in self._zones.keys() | serving.keys()
            if self._zones.setdefault(zone, _Pool()).change(
                serving.get(zone, {})
            )
        }
        moved = self._everywhere.change(everyone)
        if moved:
            changed |= {
                zone for zone, pool in self._zones.items() if not pool.members
            }
        return frozenset(changed)

    def find_owner(self, endpoint: plans.Endpoint) -> members.Member | None:
        """Return the endpoint's owner, None when no daemon serves."""
        return self._get_pool(endpoint.zone).find_owner(endpoint.name)

    def list_candidates(
        self, endpoint: plans.Endpoint
    ) -> tuple[members.Member, ...]:
        """Return the daemons that may own the endpoint, the owner first.

        Each next one owns it when those before it are gone.
        """
        eligible = self._get_pool(endpoint.zone).members.values()
        ranked = sorted(
            eligible,
            key=lambda member: _weigh(endpoint.name, member),
            reverse=True,
        )
        return tuple(ranked)

    def _get_pool(self, zone: str) -> _Pool:
        """Return the zone's daemons, all daemons for a zone without."""
        pool = self._zones.setdefault(zone, _Pool())
        return pool if pool.members else self._everywhere


def _weigh(endpoint: str, member: members.Member) -> Weight:
    key = f"{endpoint}\0{member.id}".encode()
    return xxhash.xxh3_64_intdigest(key), member.id


def _find_heaviest(
    endpoint: str, eligible: typing.Collection[members.Member]
) -> _Owner | None:
    if not eligible:
        return None
    weights = [(_weigh(endpoint, member), member) for member in eligible]
    weight, heaviest = max(weights, key=operator.itemgetter(0))
    return _Owner(heaviest, weight)


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
