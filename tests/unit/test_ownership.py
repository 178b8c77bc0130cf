import collections

import hypothesis
from hypothesis import strategies

from fescuestile import members
from fescuestile import ownership
from tests import builders


def make_members(count, zones=("z1", "z2")):
    return tuple(
        builders.build_member(number, zone=zones[number % len(zones)])
        for number in range(count)
    )


def make_endpoint(number, zone="z1"):
    return builders.build_endpoint(number, zone=zone)


def find_owners(all_members, endpoints):
    table = ownership.Ownership(
        members.MembershipSnapshot(all_members[0], all_members)
    )
    return {
        endpoint.name: table.find_owner(endpoint) for endpoint in endpoints
    }


def test_the_owner_is_in_the_endpoints_zone_and_loads_are_even():
    endpoints = [make_endpoint(number) for number in range(2000)]
    owners = find_owners(make_members(20), endpoints)
    assert {owner.zone for owner in owners.values()} == {"z1"}
    counts = collections.Counter(owner.id for owner in owners.values())
    assert len(counts) == 10
    assert max(counts.values()) <= 1.25 * 200


def test_a_lost_owner_moves_only_what_it_owned_and_to_the_next_candidate():
    all_members = make_members(8)
    endpoints = [make_endpoint(number) for number in range(50)]
    before = find_owners(all_members, endpoints)
    lost = before["endpoint-0"]
    rest = tuple(member for member in all_members if member is not lost)
    after = find_owners(rest, endpoints)
    snapshot = members.MembershipSnapshot(all_members[0], all_members)
    for endpoint in endpoints:
        if before[endpoint.name] is lost:
            candidates = ownership.list_candidates(endpoint, snapshot)
            assert after[endpoint.name] is candidates[1]
        else:
            assert after[endpoint.name] is before[endpoint.name]


def test_without_a_daemon_in_the_zone_any_serving_daemon_owns():
    all_members = make_members(4)
    endpoint = make_endpoint(1, zone="z9")
    reordered = members.MembershipSnapshot(all_members[1], all_members[::-1])
    owner = ownership.find_owner(endpoint, reordered)
    assert owner == find_owners(all_members, [endpoint])["endpoint-1"]
    nobody = members.MembershipSnapshot(all_members[0], ())
    assert ownership.find_owner(endpoint, nobody) is None


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    strategies.lists(
        strategies.sets(strategies.integers(0, 9)), min_size=2, max_size=6
    )
)
def test_owners_after_changes_equal_those_of_a_new_instance(steps):
    all_members = make_members(10)
    endpoints = [make_endpoint(n, f"z{n % 3}") for n in range(20)]
    table = ownership.Ownership(
        members.MembershipSnapshot(all_members[0], all_members)
    )
    for kept in steps:
        owners = {e.name: table.find_owner(e) for e in endpoints}
        rest = tuple(all_members[number] for number in sorted(kept))
        snapshot = members.MembershipSnapshot(all_members[0], rest)
        zones = table.update(snapshot)
        for endpoint in endpoints:
            owner = table.find_owner(endpoint)
            assert owner == ownership.find_owner(endpoint, snapshot)
            if owner != owners[endpoint.name]:
                assert endpoint.zone in zones
