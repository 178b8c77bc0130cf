"""Daemons of the platform find each other and share positions."""

import asyncio

import pytest_asyncio

from fescuestile import position_sharing
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
