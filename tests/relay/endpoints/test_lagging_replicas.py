"""Reads beside replicas that lag, for long or for a moment."""

import asyncio
import time

import pytest

from fescuestile import clock
from fescuestile import positions
from fescuestile_daemon.relay.core import messages
from fescuestile_daemon.relay.core import options
from fescuestile_daemon.relay.core import ports
from fescuestile_daemon.relay.endpoints import endpoint_states
from tests import virtual_time

READ_INTERVAL_SECONDS = 0.005


class NoDialer(ports.Dialer):
    async def dial(self, entry, tenant=""):
        raise NotImplementedError


def build_endpoint():
    entry = messages.EndpointEntry(
        "r1", "g", "127.0.0.1:1", "a", 2, False, False, 0
    )
    return endpoint_states.EndpointState(
        entry,
        NoDialer(),
        options.RelayOptions(),
        4,
        clock.BootClock(),
    )


class Replica:
    """A replica whose log ends at the position of so many seconds ago."""

    def __init__(self, endpoint, loop):
        self.endpoint = endpoint
        self.missed = self.served = 0
        self._loop = loop

    def read(self, lag):
        """Try a read that must see what is a second old."""
        wanted = self._find_position(1.0)
        if self.endpoint.lacks_position(wanted):
            return
        if self._find_position(lag) < wanted:
            self.endpoint.record_missing_position(wanted)
            self.missed += 1
        else:
            self.endpoint.record_held_position(wanted)
            self.served += 1

    def _find_position(self, age):
        return positions.Position(1, int((self._loop.time() - age) * 1000))


async def read_for(replica, seconds, lag, loop):
    until = loop.time() + seconds
    while loop.time() < until:
        replica.read(lag)
        await asyncio.sleep(READ_INTERVAL_SECONDS)


@pytest.fixture
def replica_run(monkeypatch):
    """Run reads against a replica in virtual time."""

    def run(*phases):
        async def main():
            loop = asyncio.get_running_loop()
            replica = Replica(build_endpoint(), loop)
            counts = []
            for seconds, lag in phases:
                before = replica.missed, replica.served
                await read_for(replica, seconds, lag, loop)
                counts.append(
                    (replica.missed - before[0], replica.served - before[1])
                )
            return counts

        return virtual_time.run(main(), monkeypatch)

    return run


def test_a_replica_that_lags_for_long_is_seldom_tried(replica_run):
    """Answers a crest of reads while the replicas apply 12 s late.

    Each try there costs a round trip to another zone before the primary is
    asked.
    """
    ((missed, served),) = replica_run((8.0, 12.0))
    assert served == 0
    assert missed < 16


def test_a_replica_that_catches_up_serves_again(replica_run):
    """Answers a lag that ends: at the latest the next try finds it out."""
    _, (missed, served) = replica_run((4.0, 12.0), (2.0, 0.1))
    assert missed == 0
    assert served > 0.5 * 2.0 / READ_INTERVAL_SECONDS


def test_a_replica_that_lags_for_a_moment_is_tried_at_once(replica_run):
    """Answers replicas that lag for less than the target of the reads."""
    _, _, (_, served) = replica_run((1.0, 0.1), (0.06, 1.2), (0.2, 0.1))
    assert served > 0.5 * 0.2 / READ_INTERVAL_SECONDS


def test_only_a_persistent_lag_excludes_an_endpoint():
    endpoint = build_endpoint()
    wanted = positions.Position(1, 5)
    endpoint.record_missing_position(wanted)
    assert endpoint.lacks_position(wanted)
    assert not endpoint.lags_persistently(wanted)
    for _ in range(3):
        endpoint._missing_until = time.monotonic()
        endpoint.record_missing_position(wanted)
    assert endpoint.lags_persistently(wanted)
    assert not endpoint.lags_persistently(positions.Position(1, 4))
    endpoint.record_held_position(wanted)
    assert not endpoint.lags_persistently(wanted)
