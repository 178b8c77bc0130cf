"""Work reaches endpoints through gateways, which fail in many ways."""

import asyncio
import collections.abc
import time

import pytest

from fescuestile import positions
from fescuestile_daemon.relay.core import messages
from fescuestile_daemon.relay.peers import links
from tests import gateway_daemons

Kind = messages.Kind
State = messages.State
Verb = messages.Verb


@pytest.fixture
def fleet():
    return gateway_daemons.Fleet()


@pytest.fixture
def gateways(fleet):
    """Candidates for work of the primary."""
    return fleet.list_candidates()


@pytest.fixture
def sender(fleet):
    return fleet.find_sender()


@pytest.fixture
def run(sender):
    return sender.open_session()


async def test_work_of_the_primary_runs_at_the_gateway_of_its_zone(
    fleet, gateways, run
):
    """Deployment T: connections do not grow with the daemons."""
    outcome = await run(Verb.WRITE)
    assert (outcome.kind, outcome.rows) == (Kind.DONE, ["x"])
    assert gateways[0].local.ran == [Verb.WRITE]
    assert gateways[0].local.tenants == {gateway_daemons.TENANT}
    assert fleet.sum_ran() == 1
    assert run.session.last_write == positions.Position(1, 7)


async def test_reads_run_at_the_gateway_of_the_callers_zone(fleet, run):
    await run(Verb.READ)
    reader = fleet.list_candidates("b", needs_primary=False)[0]
    assert reader.local.ran == [Verb.READ]


async def test_without_gateways_everything_runs_here():
    """Guards against a change for deployments that need no gateways."""
    single = gateway_daemons.Fleet(daemons=1).daemons["d0"]
    await single.open_session()(Verb.WRITE)
    assert single.local.ran == [Verb.WRITE]
    assert single.table.is_watched(single.group)
    assert (
        single.table.find_connection_limit(
            single.group, single.group.endpoints["p"].entry
        )
        is None
    )


@pytest.mark.parametrize("verb", [Verb.READ, Verb.WRITE])
async def test_work_that_was_not_sent_runs_at_the_next_gateway(
    fleet, sender, run, verb
):
    writes = verb is Verb.WRITE
    zone = "a" if writes else "b"
    first, second, *_ = fleet.list_candidates(zone, writes)
    fleet.network.faults[first.peer.name] = "dead"
    assert (await run(verb)).kind is Kind.DONE
    assert second.local.ran == [verb]
    assert fleet.sum_ran() == 1


async def test_with_all_gateways_dead_the_daemon_serves_by_itself(
    fleet, gateways, sender, run
):
    for gateway in gateways:
        fleet.network.faults[gateway.peer.name] = "dead"
    sender.group.used_at = time.monotonic()
    assert (await run(Verb.WRITE)).kind is Kind.DONE
    assert sender.local.ran == [Verb.WRITE]


@pytest.mark.parametrize("fault", ["frozen", "lost"])
async def test_a_write_that_may_have_run_is_in_doubt(
    fleet, gateways, run, fault
):
    """Guards against a write that runs twice."""
    fleet.network.faults[gateways[0].peer.name] = fault
    began = time.monotonic()
    assert (await run(Verb.WRITE)).kind is Kind.IN_DOUBT
    assert time.monotonic() - began < 0.5
    assert fleet.sum_ran() <= 1


@pytest.mark.parametrize("fault", ["frozen", "lost"])
async def test_a_current_read_runs_again_elsewhere(
    fleet, gateways, sender, run, fault
):
    for daemon in fleet.daemons.values():
        daemon.directory.put_routes(
            gateway_daemons.make_table(
                2, consistency=gateway_daemons.Consistency.CURRENT
            )
        )
    fleet.network.faults[gateways[0].peer.name] = fault
    began = time.monotonic()
    assert (await run(Verb.READ)).kind is Kind.DONE
    assert time.monotonic() - began < 0.5
    assert gateways[1].local.ran == [Verb.READ]


async def test_a_slow_read_is_hedged_and_the_hedges_are_bounded(
    fleet, gateways, sender, run
):
    """Guards against twice the work for a group that is overloaded."""
    for daemon in fleet.daemons.values():
        daemon.directory.put_routes(
            gateway_daemons.make_table(
                2, consistency=gateway_daemons.Consistency.CURRENT
            )
        )
    gateways[0].local.seconds = 0.3
    assert (await run(Verb.READ)).kind is Kind.DONE
    assert gateways[1].local.ran == [Verb.READ]
    sender.forwarding._calls._hedges = 0.0
    assert (await run(Verb.READ)).kind is Kind.DONE
    assert gateways[1].local.ran == [Verb.READ]


# Transactions


async def test_a_transaction_stays_at_its_gateway(fleet, gateways, run):
    await run(Verb.BEGIN)
    await run(Verb.READ)
    fleet.network.known_down.add(gateways[0].peer.name)
    outcome = await run(Verb.WRITE)
    assert outcome.state is State.IN_TRANSACTION
    assert (await run(Verb.COMMIT)).kind is Kind.DONE
    assert gateways[0].local.ran == [Verb.READ, Verb.WRITE, Verb.COMMIT]
    assert not gateways[0].server.is_busy


async def test_a_rollback_reaches_the_gateway(gateways, run):
    await run(Verb.BEGIN)
    await run(Verb.WRITE)
    assert (await run(Verb.ROLLBACK)).kind is Kind.DONE
    await asyncio.sleep(0.01)
    assert gateways[0].local.open == []


async def test_a_lost_link_rolls_the_transaction_back(gateways, sender, run):
    """Guards against locks that an unreachable daemon's caller holds."""
    await run(Verb.BEGIN)
    await run(Verb.WRITE)
    gateways[0].server.disconnect(sender.peer.name)
    assert gateways[0].local.open == []
    assert (await run(Verb.COMMIT)).kind is Kind.ABORTED


async def test_a_link_lost_before_the_first_statement_begins_nothing(
    gateways, sender, run
):
    """Guards against a transaction that begins after its link is gone."""
    sender.directory.put_routes(gateway_daemons.make_table(2))

    def lose_link(version, peer):
        gateways[0].server.disconnect(sender.peer.name)
        gateways[0].directory.put_routes(gateway_daemons.make_table(version))

    gateways[0].versions.refresh_configuration = lose_link
    await run(Verb.BEGIN)
    await run(Verb.READ)
    assert gateways[0].local.ran == []
    assert not gateways[0].server.is_busy


def test_lost_links_of_many_peers_leave_nothing(gateways):
    """Guards against a table that grows with each daemon that was there."""
    server = gateways[0].server
    for number in range(100):
        server.disconnect(f"former-{number}")
    assert not any(
        len(table)
        for table in vars(server).values()
        if isinstance(table, collections.abc.Sized)
    )


async def test_a_restarted_gateway_has_lost_the_transaction(
    fleet, gateways, run
):
    await run(Verb.BEGIN)
    await run(Verb.WRITE)
    name = gateways[0].peer.name
    fleet.network.handlers[name] = gateways[0].make_server()
    outcome = await run(Verb.WRITE)
    assert outcome.kind is Kind.ABORTED
    assert outcome.state is State.FAILED_TRANSACTION


@pytest.mark.parametrize(
    ("verb", "fault", "kind"),
    [
        (Verb.WRITE, "lost", Kind.IN_DOUBT),
        (Verb.WRITE, "dead", Kind.ABORTED),
        (Verb.READ, "lost", Kind.ABORTED),
    ],
)
async def test_a_lost_commit_is_in_doubt_if_it_has_writes(
    fleet, gateways, run, verb, fault, kind
):
    await run(Verb.BEGIN)
    await run(verb)
    fleet.network.faults[gateways[0].peer.name] = fault
    assert (await run(Verb.COMMIT)).kind is kind


async def test_a_first_read_begins_again_elsewhere(fleet, gateways, run):
    fleet.network.faults[gateways[0].peer.name] = "lost"
    await run(Verb.BEGIN)
    assert (await run(Verb.READ)).kind is Kind.DONE
    assert gateways[1].local.ran == [Verb.READ]
    assert gateways[0].local.open == []


async def test_a_first_write_that_was_sent_is_aborted(fleet, gateways, run):
    fleet.network.faults[gateways[0].peer.name] = "lost"
    await run(Verb.BEGIN)
    assert (await run(Verb.WRITE)).kind is Kind.ABORTED
    assert gateways[0].local.open == []


async def test_a_caller_that_disconnects_frees_the_gateway(gateways, run):
    await run(Verb.BEGIN)
    await run(Verb.WRITE)
    run.session.disconnect()
    await asyncio.sleep(0.01)
    assert not gateways[0].server.is_busy


# Configuration versions


async def test_an_older_gateway_refuses_what_it_does_not_know(
    fleet, gateways, sender, run
):
    sender.directory.put_routes(gateway_daemons.make_table(2))
    for daemon in fleet.daemons.values():
        if daemon is not gateways[0]:
            daemon.directory.put_routes(gateway_daemons.make_table(2))
    assert (await run(Verb.WRITE)).kind is Kind.DONE
    assert gateways[0].local.ran == []
    assert gateways[1].local.ran == [Verb.WRITE]


async def test_an_older_gateway_waits_for_its_configuration(
    fleet, gateways, sender, run
):
    gateways[0].versions.refresh_configuration = lambda version, peer: (
        gateways[0].directory.put_routes(gateway_daemons.make_table(version))
    )
    sender.directory.put_routes(gateway_daemons.make_table(2))
    assert (await run(Verb.WRITE)).kind is Kind.DONE
    assert gateways[0].local.ran == [Verb.WRITE]


async def test_a_newer_gateway_runs_what_has_not_changed(gateways, run):
    gateways[0].directory.put_routes(gateway_daemons.make_table(2))
    assert (await run(Verb.WRITE)).kind is Kind.DONE
    assert gateways[0].local.ran == [Verb.WRITE]


@pytest.mark.parametrize("begins", [False, True])
async def test_a_key_revoked_at_the_gateway_starts_nothing(
    fleet, gateways, sender, run, begins
):
    """Guards against a revoked key that a slow daemon still accepts."""
    for daemon in fleet.daemons.values():
        if daemon is not sender:
            daemon.directory.put_routes(
                gateway_daemons.make_table(2, keys=("another",))
            )
    sender.versions.refresh_configuration = lambda version, peer: (
        sender.directory.put_routes(
            gateway_daemons.make_table(version, keys=("another",))
        )
    )
    if begins:
        await run(Verb.BEGIN)
    assert (await run(Verb.WRITE)).kind is Kind.UNKNOWN_KEY
    assert fleet.sum_ran() == 0


async def test_a_retry_is_checked_under_the_version_of_its_key(
    fleet, gateways, sender, run, monkeypatch
):
    """Guards against a request that claims a version it was not checked in.

    The key is revoked while the first gateway does not answer.
    """

    async def fail(peer, request, timeout):
        monkeypatch.undo()
        for daemon in fleet.daemons.values():
            daemon.directory.put_routes(
                gateway_daemons.make_table(2, keys=("another",))
            )
        return links.LinkFailure(False, "no hello in time")

    monkeypatch.setattr(sender.links, "call", fail)
    assert (await run(Verb.WRITE)).kind is Kind.UNKNOWN_KEY
    assert fleet.sum_ran() == 0


# Leaving and disagreement


async def test_a_leaving_gateway_ends_what_it_has(fleet, gateways, run):
    await run(Verb.BEGIN)
    await run(Verb.WRITE)
    gateways[0].server.refuse_new()
    fleet.network.known_down.add(gateways[0].peer.name)
    assert (await run(Verb.COMMIT)).kind is Kind.DONE
    assert (await run(Verb.WRITE)).kind is Kind.DONE
    assert gateways[1].local.ran == [Verb.WRITE]


async def test_a_stopping_gateway_refuses_new_work_as_not_run(
    fleet, gateways, run
):
    gateways[0].server.refuse_new()
    assert (await run(Verb.WRITE)).kind is Kind.DONE
    assert fleet.sum_ran() == 1


async def test_a_gateway_that_reaches_no_endpoint_passes_work_on(
    fleet, gateways, run
):
    """The gateway's own path to the endpoints is cut."""
    gateways[0].local.outcome = Kind.BUSY
    assert (await run(Verb.WRITE)).kind is Kind.DONE
    assert gateways[1].local.ran == [Verb.WRITE]


@pytest.mark.parametrize("begins", [False, True])
async def test_work_does_not_pass_all_daemons_while_endpoints_are_down(
    fleet, run, begins
):
    """Guards against many times the work during an outage of endpoints."""
    for daemon in fleet.daemons.values():
        daemon.local.outcome = Kind.BUSY
    if begins:
        await run(Verb.BEGIN)
    assert (await run(Verb.WRITE)).kind is Kind.BUSY
    assert fleet.sum_ran() == 2


async def test_two_gateways_serve_at_once(fleet, gateways, sender, run):
    """Daemons disagree about who is reachable; neither forwards again."""
    other = fleet.find_sender("c")
    await other.open_session()(Verb.WRITE)
    fleet.network.known_down.add(gateways[0].peer.name)
    await run(Verb.WRITE)
    assert gateways[0].local.ran == gateways[1].local.ran == [Verb.WRITE]
    assert sum(fleet.network.calls.values()) == 2
