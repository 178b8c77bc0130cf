"""Versions that spread between daemons, without a network."""

import asyncio
import collections

import pytest
import pytest_asyncio
import structlog

from fescuestile_daemon.relay.peers import configuration_spread
from fescuestile_daemon.relay.peers import peer_configurations

SECRET = "k-secret"


class FakeTarget(configuration_spread.ConfigurationTarget):
    """Takes documents that are mappings with a newer version."""

    version = 1

    def on_change(self):
        """Do nothing before a test sets it."""

    async def put(self, spec):
        if not isinstance(spec, dict):
            raise ValueError("no object")
        if spec["version"] > self.version:
            self.version = spec["version"]
            self.on_change()


class FakeLinks:
    """Replies with the documents of the peers; keeps who was asked."""

    def __init__(self):
        self.documents = {}
        self.asked = []
        self.version = 0

    async def call(self, peer, request, timeout):
        self.asked.append((peer, request["type"]))
        if peer not in self.documents:
            return "link failure"
        handler = peer_configurations.ConfigurationHandler(
            lambda: self.documents[peer]
        )
        return await handler.handle("me", request)

    def announce_version(self, version):
        self.version = version


@pytest.fixture(autouse=True)
def short_times(monkeypatch):
    monkeypatch.setattr(configuration_spread, "STORE_SECONDS", 0.05)
    monkeypatch.setattr(configuration_spread, "RETRY_SECONDS", 0.05)


@pytest.fixture
def links():
    return FakeLinks()


@pytest.fixture
def target():
    return FakeTarget()


@pytest_asyncio.fixture
async def spread(target, links):
    made = configuration_spread.ConfigurationSpread(
        target,
        peer_configurations.LinkedSource(links),
        links.announce_version,
    )
    target.on_change = made.handle_change
    yield made
    made.close()


async def test_a_version_that_the_store_withholds_comes_from_a_peer(
    spread, target, links
):
    """Guards against a daemon cut from the store that stays on old keys."""
    links.documents["p"] = {"version": 2}
    spread.handle_announcement("p", 2)
    await asyncio.sleep(0.02)
    assert links.asked == []
    await asyncio.sleep(0.1)
    assert (target.version, links.version) == (2, 2)
    assert links.asked == [("p", "configuration")]


async def test_no_peer_is_asked_for_what_the_store_delivers(
    spread, target, links
):
    """Guards against a document from each daemon to each at a change."""
    for number in range(30):
        spread.handle_announcement(f"p{number}", 2)
    await target.put({"version": 2})
    await asyncio.sleep(0.15)
    assert links.asked == []


async def test_daemons_ask_different_peers_for_a_version(links):
    """Guards against one daemon that sends its document to all others."""
    names = [f"p{number}" for number in range(10)]
    for name in names:
        links.documents[name] = {"version": 2}
    for _ in range(40):
        made = configuration_spread.ConfigurationSpread(
            FakeTarget(),
            peer_configurations.LinkedSource(links),
            links.announce_version,
        )
        for name in names:
            made.handle_announcement(name, 2)
    await asyncio.sleep(0.15)
    asked = collections.Counter(peer for peer, _ in links.asked)
    assert asked.total() == 40
    # 4 each on average; 20 of 40 come once in a billion runs.
    assert max(asked.values()) < 20


async def test_a_silent_peer_does_not_keep_the_others_from_helping(
    spread, target, links
):
    """Guards against waiting for one peer that announced and is gone."""
    links.documents["a"] = {"version": 2}
    spread.handle_announcement("z", 2)
    spread.handle_announcement("a", 2)
    await asyncio.sleep(0.15)
    assert target.version == 2


async def test_no_older_version_is_taken(spread, target, links):
    """Guards against a version that falls back."""
    target.version = 5
    links.documents["p"] = {"version": 3}
    spread.handle_announcement("p", 3)
    assert await spread.update_from("p", 3)
    spread.handle_announcement("p", 6)
    await asyncio.sleep(0.2)
    assert target.version == 5
    assert len(links.asked) == 1


@pytest.mark.parametrize("odd", [None, "3", 2.5, True, -1, 2**70], ids=str)
async def test_an_odd_announcement_is_ignored(spread, links, odd):
    """Guards against a peer that keeps a daemon busy with nonsense."""
    spread.handle_announcement("p", odd)
    await asyncio.sleep(0.1)
    assert links.asked == []


async def test_a_malformed_document_is_asked_for_once_and_not_shown(
    spread, target, links
):
    """Guards against requests without end, and against keys in the log."""
    links.documents["p"] = [SECRET]
    with structlog.testing.capture_logs() as logs:
        spread.handle_announcement("p", 2)
        await asyncio.sleep(0.3)
    assert len(links.asked) == 1
    assert len(logs) == 1
    assert SECRET not in str(logs)
    assert target.version == 1


async def test_a_request_of_a_newer_version_updates_at_once(
    spread, target, links
):
    """Guards against forwarded work that runs by an older configuration."""
    links.documents["p"] = {"version": 4}
    assert await spread.update_from("p", 4)
    assert not await spread.update_from("p", 5)
    assert target.version == 4
