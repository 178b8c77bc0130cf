"""Tests of the choice of the gateways."""

import collections

import hypothesis
from hypothesis import strategies
import pytest

from fescuestile import gateways
from fescuestile import position_sharing

ZONES = ("a", "b", "c")


def make_peers(count, weight=1.0):
    """Return daemons spread over the zones."""
    return [
        position_sharing.Peer(f"d{i}", ZONES[i % 3], f"10.0.0.{i}:1", weight)
        for i in range(count)
    ]


@pytest.mark.parametrize(
    ("daemons", "has_tenants", "in_use", "needed"),
    [
        # Few daemons connect directly, as before.
        (4, False, False, False),
        # Deployment U: 88 daemons, 46 connections an endpoint.
        (88, False, False, True),
        # Deployment T: a connection belongs to one tenant.
        (4, True, False, True),
        # One daemon that comes and goes does not move all connections.
        (46, False, False, False),
        (46, False, True, True),
        (41, False, True, False),
    ],
)
def test_gateways_are_used_where_connections_are_scarce(
    daemons, has_tenants, in_use, needed
):
    found = gateways.needs_gateways(daemons, 46, has_tenants, in_use)
    assert found is needed


@pytest.mark.parametrize("daemons", [30, 100, 300])
@hypothesis.given(group=strategies.text(max_size=8))
def test_gateways_do_not_grow_with_the_daemons(daemons, group):
    """Guards against connections that grow with the number of daemons."""
    peers = make_peers(daemons)
    chosen = {
        gateways.rank_candidates(group, zone, peers)[0] for zone in ZONES
    }
    assert len(chosen) == len(ZONES)


@hypothesis.given(
    group=strategies.text(max_size=8), gone=strategies.integers(0, 29)
)
def test_a_gone_daemon_moves_only_its_own_groups(group, gone):
    """Guards against all connections opened again when one daemon ends."""
    peers = make_peers(30)
    left = [peer for peer in peers if peer.name != f"d{gone}"]
    for zone in ZONES:
        before = gateways.rank_candidates(group, zone, peers)
        after = gateways.rank_candidates(group, zone, left)
        assert after == tuple(n for n in before if n != f"d{gone}")


def test_daemons_are_chosen_by_their_weight():
    """Deployment U: most daemons have half a core, a few have two."""
    peers = [
        position_sharing.Peer("large", "a", "10.0.0.1:1", 2.15),
        *(
            position_sharing.Peer(f"d{i}", "a", f"10.0.1.{i}:1", 0.5)
            for i in range(10)
        ),
    ]
    chosen = collections.Counter(
        gateways.rank_candidates(f"g{i}", "a", peers)[0] for i in range(4000)
    )
    assert chosen["large"] / 4000 == pytest.approx(2.15 / 7.15, abs=0.03)


@pytest.mark.parametrize("weight", [0.0, -1.0, float("nan"), float("inf")])
def test_an_unusable_weight_does_not_break_the_choice(weight):
    peers = [*make_peers(6), position_sharing.Peer("x", "a", "h:1", weight)]
    found = gateways.rank_candidates("g", "a", peers)
    assert sorted(found) == ["d0", "d3", "x"]


def test_reads_stay_in_the_zone_of_the_caller():
    assert gateways.choose_read_zone("g", "b", set(ZONES)) == "b"


def test_reads_of_a_zone_without_endpoints_have_one_place():
    """Deployment U has a zone without endpoints."""
    found = {gateways.choose_read_zone(f"g{i}", "d", ZONES) for i in range(40)}
    assert found == set(ZONES)
    first = gateways.choose_read_zone("g", "d", ("a", "b", "c"))
    assert first == gateways.choose_read_zone("g", "d", ("c", "a", "b"))


def test_work_for_an_unknown_primary_has_one_place():
    """Guards against work for the primary at each zone's gateway."""
    assert gateways.choose_primary_zone("g", "b", ZONES) == "b"
    first = gateways.choose_primary_zone("g", "", ("a", "b", "c"))
    assert first == gateways.choose_primary_zone("g", "", ("c", "b", "a"))
    assert gateways.choose_primary_zone("g", "", ()) == ""


def test_a_zone_without_daemons_has_gateways_elsewhere():
    assert gateways.choose_daemon_zone("g", "x", ZONES) in ZONES
    assert gateways.choose_daemon_zone("g", "a", ZONES) == "a"
