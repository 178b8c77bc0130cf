"""Daemons of the platform find each other and share positions."""

import asyncio

import pytest
import pytest_asyncio

from fescuestile import allowance_lessor
from fescuestile import errors
from fescuestile import position_sharing
from fescuestile_daemon.relay.peers import statement_messages
from fescuestile_platform import peers as peers_adapter
from tests.platform.standins import drills
from tests.platform.standins import line_server


@pytest_asyncio.fixture
async def peers(world):
    """Two daemons of one zone that know each other."""
    for _ in range(2):
        async with asyncio.timeout(3.0):
            while len(list_registered(world)) < 2:
                await asyncio.sleep(0.01)
        for each in world.daemons:
            await each._peers.refresh()
    return world


def list_registered(world):
    return [name for kind, name in world.store.objects if kind == "peers"]


async def restart_peers(daemon):
    """Let a daemon register and list its peers as after its start."""
    await daemon._peers.close()
    # The port is free once the loop has closed the transport.
    await asyncio.sleep(0.05)
    await daemon._peers.start()


def choose_asker(world, group):
    """Return the daemon that does not sample a group's positions."""
    known = [each._peers._peer for each in world.daemons]
    sampler = position_sharing.choose_sampler(group, known, ())
    return next(each for each in world.daemons if each._peers._peer != sampler)


def find_latest(daemon, group):
    return daemon.node.directory.groups[group].leadership._freshness.latest


async def test_a_position_comes_from_the_sampler_of_the_zone(peers):
    """Answers reports that grow with the number of daemons."""
    client = await peers.connect("primary")
    await client.query("WRITE item a")
    asker = choose_asker(peers, "g1")
    group = asker.node.directory.groups["g1"]
    reports = [e.reported_at for e in group.endpoints.values()]
    asker.node.sampler.sample(group)
    async with asyncio.timeout(2.0):
        while find_latest(asker, "g1") is None:
            await asyncio.sleep(0.01)
    assert [e.reported_at for e in group.endpoints.values()] == reports


async def test_a_malformed_peer_hides_no_others(peers):
    """Guards against an object that takes the exchange down."""
    peers.store.put("peers", "odd-1", {"zone": 7})
    peers.store.put("peers", "odd-2", {"zone": "a", "address": "nowhere"})
    for each in peers.daemons:
        await each._peers.refresh()
        assert len(each.node.sampler._peers) == 2


async def test_a_daemon_that_starts_again_registers_its_new_address(peers):
    await peers.daemons[0].abort()
    started = await peers.start_daemon("daemon-0")
    async with asyncio.timeout(3.0):
        while started._peers._peer.address not in str(peers.store.objects):
            await asyncio.sleep(0.01)
    assert len(list_registered(peers)) == 2


async def test_reads_stay_fresh_without_the_sampler(peers):
    """Guards against reads that wait for a daemon that is gone."""
    asker = choose_asker(peers, "g0")
    number = peers.daemons.index(asker)
    await peers.daemons[1 - number].abort()
    client = await peers.connect("bounded_staleness", number=number)
    for _ in range(4):
        answer = await client.query("READ item")
        assert line_server.get_error(answer) is None
        await asyncio.sleep(0.7)


async def test_daemons_register_again_after_the_store_forgot_them(
    peers, monkeypatch
):
    """The copy is older than their registration."""
    monkeypatch.setattr(peers_adapter, "FIRST_DELAY_SECONDS", (0.2, 0.3))
    monkeypatch.setattr(peers_adapter, "LIST_DELAY_SECONDS", (0.2, 0.3))
    daemon = peers.daemons[0]
    await restart_peers(daemon)
    await asyncio.sleep(0.5)
    older = drills.take_copy(peers.store)
    for key in [key for key in older.objects if key[0] == "peers"]:
        del older.objects[key]
    name = daemon._peers._peer.name
    await drills.restore(peers.store, older)
    assert ("peers", name) not in peers.store.objects
    async with asyncio.timeout(3.0):
        while ("peers", name) not in peers.store.objects:
            await asyncio.sleep(0.02)


async def test_daemons_register_once_while_the_store_goes_on(
    peers, monkeypatch
):
    """Guards against calls to the store that change nothing."""
    monkeypatch.setattr(peers_adapter, "FIRST_DELAY_SECONDS", (0.0, 0.0))
    monkeypatch.setattr(peers_adapter, "LIST_DELAY_SECONDS", (0.1, 0.1))
    daemon = peers.daemons[0]
    peers.store.calls.clear()
    await restart_peers(daemon)
    await asyncio.sleep(1.0)
    calls = [call for call in peers.store.calls if "/peers" in call[1]]
    assert len([call for call in calls if call[0] == "POST"]) == 1
    assert len([call for call in calls if "stale_ok" in call[1]]) > 2


async def restart_process(world, number):
    """Let a new process take the entry of a daemon over."""
    name = world.daemons[number]._peers._peer.name
    await world.daemons[number].abort()
    started = await world.start_daemon(name)
    async with asyncio.timeout(3.0):
        while len(started.links.get_peers()) < 1:
            await asyncio.sleep(0.01)
    return started


async def test_a_new_entry_that_is_found_again_does_not_count_at_once(peers):
    """Guards against a share of which the other daemons do not know.

    The answer to the creation was lost, or the process ended right after it,
    so the others may not have listed the entry.
    """
    daemon = peers.daemons[0]
    await daemon._peers._register()
    assert not daemon.node.limiter.check_listed()


async def test_a_restart_counts_at_once_when_all_have_listed_it(
    peers, monkeypatch
):
    """Guards against seconds without tokens after a loss of power.

    The address has changed: the others count daemons by their names.
    """
    daemon = peers.daemons[0]
    with monkeypatch.context() as patched:
        patched.setattr(allowance_lessor, "LISTED_SECONDS", 0.0)
        for _ in range(3):
            await daemon._peers.refresh()
    started = await restart_process(peers, 0)
    assert started.node.limiter.check_listed()
    calls = [call for call in peers.store.calls if call[0] == "PUT"]
    name = started._peers._peer.name
    # One for the mark, one for the new address.
    assert len([c for c in calls if c[1].endswith(f"peers/{name}")]) == 2


async def test_a_daemon_whose_entry_was_removed_registers_again(
    peers, monkeypatch
):
    """Guards against a daemon that others no longer reach or count."""
    monkeypatch.setattr(peers_adapter, "FIRST_DELAY_SECONDS", (0.05, 0.05))
    monkeypatch.setattr(peers_adapter, "LIST_DELAY_SECONDS", (0.05, 0.05))
    daemon = peers.daemons[0]
    await restart_peers(daemon)
    await asyncio.sleep(0.3)
    key = "peers", daemon._peers._peer.name
    del peers.store.objects[key]
    async with asyncio.timeout(3.0):
        while key not in peers.store.objects:
            await asyncio.sleep(0.02)


async def test_the_first_list_is_repeated_soon(peers, monkeypatch):
    """Guards against 12 s without tokens after a start beside the store."""
    monkeypatch.setattr(peers_adapter, "FIRST_DELAY_SECONDS", (0.05, 0.05))
    monkeypatch.setattr(peers_adapter, "LIST_DELAY_SECONDS", (60.0, 60.0))
    daemon = peers.daemons[0]
    tries = []

    async def fail():
        tries.append(1)
        raise errors.PlatformUnavailable("no answer", step="send")

    monkeypatch.setattr(daemon._peers, "_register", fail)
    await restart_peers(daemon)
    async with asyncio.timeout(3.0):
        while len(tries) < 4:
            await asyncio.sleep(0.02)


async def test_daemons_open_links_to_each_other(peers):
    """Guards against peers that are not passed on, or cannot be reached."""
    one, two = peers.daemons
    name = two._peers._peer.name
    reply = await one.links.call(name, {}, 1.0)
    answer = statement_messages.decode_answer(reply)
    assert answer is not None
    assert answer.refusal is statement_messages.Refusal.MALFORMED
    assert one.links.find_version(name) == two.node.directory.table.version


async def test_a_daemon_that_starts_knows_its_peers_at_once(
    peers, monkeypatch
):
    """Guards against seconds in which a new daemon forwards nothing."""
    monkeypatch.setattr(peers_adapter, "FIRST_DELAY_SECONDS", (60.0, 60.0))
    started = await peers.start_daemon("daemon-9")
    async with asyncio.timeout(3.0):
        while len(started.links.get_peers()) < 2:
            await asyncio.sleep(0.01)


@pytest.mark.parametrize(
    ("fields", "weight"),
    [
        ({}, 1.0),
        ({"weight": 2}, 2.0),
        ({"weight": "2"}, 1.0),
        ({"weight": -1.0}, 1.0),
        ({"weight": None}, 1.0),
    ],
    ids=str,
)
async def test_an_odd_weight_hides_no_peer(peers, fields, weight):
    """Guards against entries of another release that are not read."""
    spec = {"zone": "a", "address": "127.0.0.1:7"} | fields
    peers.store.put("peers", "other", spec)
    one = peers.daemons[0]
    await one._peers.refresh()
    found = {peer.name: peer for peer in one.links.get_peers()}
    assert found["other"].weight == weight
