import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from fescuestile import configuration
from fescuestile import gossip
from fescuestile import gossip_messages
from fescuestile import members
from fescuestile import membership
from fescuestile import rendezvous
from fescuestile import roster
from measurements import simulated_fleet as fleets
from tests import builders

CURRENT_FLEET = {"muenchen": 2, "ingolstadt": 1, "landshut": 1}
CONVERGENCE_SECONDS = 3.0
IN_FORCE_SECONDS = 2.0


def plan_entry(revision=1):
    return configuration.encode_entry(builders.build_revision(revision))


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("victim", ["muenchen-0", "landshut-0"])
def test_a_killed_daemon_stops_serving_everywhere_in_time(seed, victim):
    fleet = fleets.build(seed, CURRENT_FLEET)
    fleet.dead.add(victim)
    live = set(fleet.nodes) - {victim}
    assert fleet.run_until(
        lambda: all(fleet.list_serving(name) == live for name in live),
        CONVERGENCE_SECONDS,
    )


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("victim", ["muenchen-0", "landshut-0"])
def test_a_daemon_frozen_for_under_a_second_stays_a_member(seed, victim):
    fleet = fleets.build(seed, CURRENT_FLEET)
    fleet.frozen.add(victim)
    fleet.run(0.99)
    fleet.resume(victim)
    everyone = set(fleet.nodes)
    changed = fleet.run_until(
        lambda: any(fleet.list_serving(name) != everyone for name in everyone),
        5.0,
    )
    assert not changed


def test_a_daemon_that_wakes_after_its_death_serves_again():
    fleet = fleets.build(1, CURRENT_FLEET)
    fleet.frozen.add("muenchen-0")
    fleet.run(10.0)
    others = set(fleet.nodes) - {"muenchen-0"}
    assert fleet.list_serving("muenchen-1") == others
    fleet.resume("muenchen-0")
    everyone = set(fleet.nodes)
    assert fleet.run_until(
        lambda: all(fleet.list_serving(name) == everyone for name in everyone),
        CONVERGENCE_SECONDS,
    )


def test_a_zone_that_is_cut_off_is_unreachable_until_it_reconnects():
    fleet = fleets.build(1, {"a": 5, "b": 5, "c": 2})
    everyone = set(fleet.nodes)
    fleet.cut_zones |= {frozenset("ab"), frozenset("bc")}
    fleet.run(10.0)
    inside = {name for name in everyone if name.startswith("b")}
    for name in everyone:
        expected = inside if name in inside else everyone - inside
        assert fleet.list_serving(name) == expected
    states = {member.state for member in fleet.snapshots["a-0"].members}
    assert members.MemberState.DEAD not in states
    fleet.announce("a-0", plan_entry(2))
    fleet.run(2.0)
    fleet.cut_zones.clear()
    assert fleet.run_until(
        lambda: all(
            fleet.list_serving(name) == everyone
            and fleet.has_version(name, "plan/werkstatt-db", 2)
            for name in everyone
        ),
        5.0,
    )


def test_a_leaving_daemon_takes_no_new_work_and_is_not_suspected():
    fleet = fleets.build(1, CURRENT_FLEET)
    fleet.leave("muenchen-0")
    live = set(fleet.nodes) - {"muenchen-0"}
    assert fleet.run_until(
        lambda: all(fleet.list_serving(name) == live for name in fleet.nodes),
        0.5,
    )
    fleet.run(3.0)
    states = {m.id: m.state for m in fleet.snapshots["muenchen-1"].members}
    assert states["muenchen-0"] is members.MemberState.LEAVING


def test_revisions_reach_all_zones_by_gossip_alone():
    fleet = fleets.build(3, dict.fromkeys("abcde", 6))
    fleet.announce("c-1", plan_entry())
    assert fleet.run_until(
        lambda: all(
            fleet.has_version(name, "plan/werkstatt-db", 1)
            for name in fleet.nodes
        ),
        IN_FORCE_SECONDS,
    )


def test_a_joining_daemon_is_synced_only_by_a_ready_peer():
    fleet = fleets.build(1, {"a": 3})
    fleet.announce("a-0", plan_entry(4))
    fleet.run(1.0)
    fleet.add("new", "a", ready=False)
    fleet.add("other", "a", ready=False)
    fleet.join("other", "new")
    fleet.run(1.0)
    assert not fleet.nodes["new"].gossip.synced
    fleet.join("new", "a-2")
    assert fleet.run_until(
        lambda: "a-2" in fleet.nodes["new"].gossip.synced, 1.0
    )
    assert fleet.has_version("new", "plan/werkstatt-db", 4)
    fleet.run(1.0)
    assert "new" not in fleet.list_serving("a-1")
    fleet.become_ready("new")
    assert fleet.run_until(lambda: "new" in fleet.list_serving("a-1"), 1.0)


def test_a_joining_daemon_fetches_each_entry_from_one_peer_only():
    fleet = fleets.build(1, {"a": 4})
    for number in range(200):
        plan = builders.build_plan(f"db-{number}")
        revision = builders.build_revision(1, plan=plan)
        fleet.announce("a-0", configuration.encode_entry(revision))
    fleet.run(30.0)
    fleet.traffic.clear()
    fleet.add("new", "a", ready=False)
    for name in ("a-0", "a-1", "a-2", "a-3"):
        fleet.join("new", name)
    node = fleet.nodes["new"]
    assert fleet.run_until(lambda: len(node.gossip.synced) == 4, 1.0)
    copies = sum(traffic.entries for traffic in fleet.traffic.values())
    assert 200 <= copies < 2 * 200


def test_daemons_that_all_restart_have_watchers():
    fleet = fleets.Fleet(1)
    for name in "abc":
        fleet.add(name, "zone", ready=False)
    fleet.join("b", "a")
    fleet.join("c", "a")
    fleet.run(5.0)
    watching = [node.is_watcher() for node in fleet.nodes.values()]
    assert sum(watching) == roster.WATCHERS_PER_ZONE


def test_a_paused_daemon_suspects_nobody_when_it_resumes():
    own = builders.build_member(1)
    node = membership.Membership(own, random.Random(1))
    peer = builders.build_member(2, zone=own.zone)
    node.on_link_opened(peer, 0.0)
    node.tick(0.0)
    node.tick(0.1)
    outcome = node.tick(60.0)
    assert outcome.snapshot is None
    seen = node.get_member(peer.id)
    assert seen is not None
    assert seen.state is members.MemberState.ALIVE


def test_malformed_entries_are_ignored():
    own = builders.build_member(1)
    node = membership.Membership(
        own, random.Random(1), is_well_formed=lambda entry: False
    )
    entries = (
        gossip_messages.Entry("member/x", 1, 0, b"garbled"),
        gossip_messages.Entry("plan/x", 1, 0, b"garbled"),
    )
    outcome = node.receive("peer", gossip_messages.Push(entries), 0.0)
    assert outcome.changed == ()
    assert len(node.table) == 1


def test_a_member_record_survives_a_round_trip():
    record = gossip_messages.MemberRecord(builders.build_member(1))
    entry = roster.encode_entry(record)
    assert roster.decode_entry(entry).ok == record


@given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from("abcd"),
            strategies.integers(1, 4),
            strategies.sampled_from((0, 1, gossip_messages.TOMBSTONE_RANK)),
        ),
        max_size=20,
    ),
    strategies.randoms(use_true_random=False),
)
@settings(derandomize=True)
def test_tables_agree_whatever_the_order_of_entries(versions, shuffler):
    entries = [
        gossip_messages.Entry(key, version, rank, b"")
        for key, version, rank in versions
    ]
    shuffled = list(entries)
    shuffler.shuffle(shuffled)
    tables = gossip.EntryTable(), gossip.EntryTable()
    for table, order in zip(tables, (entries, shuffled), strict=True):
        for entry in order:
            before = table.get(entry.key)
            table.merge(entry)
            if before is not None:
                held = table.get(entry.key)
                assert held is not None
                assert held.precedence >= before.precedence
    assert tables[0].hashes == tables[1].hashes
    assert tables[0].digest == tables[1].digest


@given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(("cut", "heal", "freeze", "thaw", "set")),
            strategies.integers(0, 5),
        ),
        max_size=12,
    ),
    strategies.integers(0, 1000),
)
@settings(derandomize=True, max_examples=25, deadline=None)
def test_revisions_never_decrease_and_converge_after_any_faults(steps, seed):
    fleet = fleets.build(seed, {"a": 3, "b": 2, "c": 1})
    names = sorted(fleet.nodes)
    revision = 0
    for step, number in steps:
        name = names[number]
        zone = fleet.nodes[name].own.zone
        if step == "cut":
            fleet.cut_zones.add(frozenset({zone, "abc"[number % 3]}))
        elif step == "heal":
            fleet.cut_zones.clear()
        elif step == "freeze":
            fleet.frozen.add(name)
        elif step == "thaw":
            fleet.resume(name)
        elif name not in fleet.frozen:
            revision += 1
            fleet.announce(name, plan_entry(revision))
        fleet.run(0.7)
    fleet.cut_zones.clear()
    for name in list(fleet.frozen):
        fleet.resume(name)
    assert fleet.run_until(
        lambda: all(
            fleet.list_serving(name) == set(names)
            and (
                not revision
                or fleet.has_version(name, "plan/werkstatt-db", revision)
            )
            for name in names
        ),
        10.0,
    )
    for entries in fleet.changes.values():
        versions = [entry.version for entry in entries]
        assert versions == sorted(set(versions))


def test_rendezvous_moves_only_the_keys_of_a_removed_name():
    names = [f"d{number}" for number in range(10)]
    keys = [f"k{number}" for number in range(200)]
    before = {key: rendezvous.choose(key, names, 1) for key in keys}
    after = {key: rendezvous.choose(key, names[1:], 1) for key in keys}
    for key in keys:
        if before[key] != ("d0",):
            assert before[key] == after[key]
    assert {chosen for (chosen,) in before.values()} == set(names)
