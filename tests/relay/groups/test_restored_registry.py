"""Entries of a registry that may be older than the ones before them."""

import dataclasses
import time

import pytest

from fescuestile import clock
from fescuestile import endpoint_messages
from fescuestile import group_members
from fescuestile_daemon.relay.core import options
from fescuestile_daemon.relay.groups import directory
from tests import builders
from tests import monitored_groups

Role = endpoint_messages.Role
STARTED_AT = 1000


def make_entry(name, started_at=STARTED_AT, **fields):
    """Return an entry of the group's endpoint."""
    return dataclasses.replace(
        monitored_groups.make_entry(name), started_at=started_at, **fields
    )


class Registry:
    """A directory and the registry that it copies."""

    def __init__(self):
        self.directory = directory.Directory(
            monitored_groups.NoDialer(),
            options.RelayOptions(),
            clock.BootClock(),
        )
        self.entries = {}
        self.copied = set()
        for name in monitored_groups.NAMES:
            self.put(make_entry(name))

    @property
    def group(self):
        return self.directory.groups["g"]

    def find(self, name):
        """Return the state of an endpoint, None if it is not in use."""
        return self.group.endpoints.get(name)

    def put(self, entry):
        """Write an entry."""
        self.entries[entry.id] = entry
        self.copied.discard(entry.id)
        self._apply()

    def remove(self, name):
        """Remove an entry."""
        del self.entries[name]
        self.copied.discard(name)
        self._apply()

    def restore(self, *entries):
        """Go back to a copy that holds these instead of the same names."""
        self.entries.update({entry.id: entry for entry in entries})
        self.copied = set(self.entries)
        self._apply()

    def _apply(self):
        self.directory.put_endpoints(
            dict(self.entries), keep_missing=True, copied=self.copied
        )

    def expire(self, monkeypatch):
        """Let the time pass for which endpoints without entries are kept."""
        later = time.monotonic() + options.RelayOptions().removal_delay + 1.0
        monkeypatch.setattr(time, "monotonic", lambda: later)
        self.directory.expire()

    def end(self, name, monkeypatch):
        """Let a leaving endpoint end, with its entry."""
        self.find(name).refused_since = time.monotonic()
        self.remove(name)
        self.expire(monkeypatch)
        assert self.find(name) is None


@pytest.fixture
async def registry():
    return Registry()


async def test_a_leaving_endpoint_is_not_ready_again(registry):
    """Guards against DRAIN: the copy is older than its notice."""
    registry.put(make_entry("r1", leaving=True))
    since = registry.find("r1").leaving_since
    registry.restore(make_entry("r1"))
    registry.put(make_entry("r2"))
    assert registry.find("r1").entry.leaving
    assert registry.find("r1").leaving_since == since
    assert registry.group.list_leaving() == ["r1"]
    registry.put(make_entry("r1", leaving=True))
    assert registry.find("r1").leaving_since == since


async def test_a_leaving_endpoint_whose_entry_lapsed_is_not_ready_again(
    registry, monkeypatch
):
    """It may still run: nobody has tried to connect since."""
    registry.put(make_entry("r1", leaving=True))
    since = registry.find("r1").leaving_since
    registry.remove("r1")
    registry.expire(monkeypatch)
    registry.restore(make_entry("r1"))
    assert registry.find("r1").entry.leaving
    assert registry.find("r1").leaving_since <= since


async def test_an_endpoint_that_has_left_does_not_come_back(
    registry, monkeypatch
):
    """Neither as an endpoint for work nor as a member."""
    registry.put(make_entry("r1", leaving=True))
    registry.end("r1", monkeypatch)
    present = registry.group.members.make_record()
    for leaving in (False, True):
        registry.restore(make_entry("r1", leaving=leaving))
        assert registry.find("r1") is None
        assert registry.group.members.make_record() == present
    registry.put(make_entry("r1", STARTED_AT + 1))
    assert registry.find("r1").entry.started_at == STARTED_AT + 1


async def test_a_former_run_does_not_replace_the_present_one(
    registry, monkeypatch
):
    """The copy is older than the endpoint's start."""
    registry.put(make_entry("r1", STARTED_AT + 1))
    state = registry.find("r1")
    registry.restore(make_entry("r1"))
    registry.put(make_entry("r2"))
    assert registry.find("r1") is state
    former = group_members.Member("r1", STARTED_AT)
    assert former not in registry.group.members._present.values()
    registry.put(make_entry("r1", STARTED_AT + 1))
    registry.expire(monkeypatch)
    assert registry.find("r1") is state


async def test_a_run_that_is_not_written_again_is_gone(registry, monkeypatch):
    registry.put(make_entry("r1", STARTED_AT + 1))
    registry.restore(make_entry("r1"))
    registry.expire(monkeypatch)
    assert registry.find("r1") is None


async def test_a_missing_endpoint_is_kept_until_it_is_written_again(
    registry, monkeypatch
):
    registry.put(make_entry("r3"))
    state = registry.find("r3")
    del registry.entries["r3"]
    registry.restore()
    assert registry.find("r3") is state
    registry.put(make_entry("r3"))
    registry.expire(monkeypatch)
    assert registry.find("r3") is state


async def test_an_earlier_claim_does_not_replace_the_primary(registry):
    """Guards against work for a former primary: the copy is older."""
    registry.put(make_entry("p", claims_primary=False))
    registry.put(make_entry("r1", claims_primary=True))
    for name, role in (("p", Role.REPLICA), ("r1", Role.PRIMARY)):
        report = builders.build_log_report(name, 5, role)
        registry.group._apply_report(
            registry.find(name), report, time.monotonic()
        )
    registry.restore(make_entry("p"), make_entry("r1"))
    assert registry.group.find_primary().name == "r1"
    registry.put(make_entry("r1", claims_primary=True))
    assert registry.group.find_primary().name == "r1"
    registry.put(make_entry("p", claims_primary=False))
    assert registry.group.find_primary().name == "r1"


async def test_an_entry_written_since_the_restoration_counts(
    registry, monkeypatch
):
    registry.put(make_entry("r1", leaving=True))
    registry.restore()
    registry.put(make_entry("r1"))
    assert not registry.find("r1").entry.leaving
    registry.put(make_entry("r2", STARTED_AT + 1))
    registry.restore()
    registry.put(make_entry("r2"))
    assert registry.find("r2").entry.started_at == STARTED_AT
