"""Fencing tokens fit into a signed integer of 64 bits."""

import time

import pytest
import structlog.testing

from fescuestile import clock
from fescuestile_daemon.relay.records import leases
from fescuestile_platform import eras
from fescuestile_platform import http
from fescuestile_platform import promotions
from fescuestile_platform import store
from tests import lease_stores

LIMIT = 1 << 63
HUGE = [10**17, LIMIT >> 32, LIMIT, 10**18 - 1]


def record(tracker, named):
    """Record an answer; return the number of its era."""
    return tracker.record({"store-era": str(named)}, time.monotonic())


@pytest.mark.parametrize("named", HUGE)
def test_an_era_without_a_token_is_not_applied(named):
    tracker = eras.Eras()
    heard = []
    tracker.add_listener(lambda before, era: heard.append((before, era)))
    record(tracker, 3)
    with structlog.testing.capture_logs() as logs:
        assert record(tracker, named) == 3
        assert record(tracker, named) == 3
    assert [(each["header"], each["era"]) for each in logs] == [
        (str(named), 3)
    ]
    # It may hide a copy.
    assert heard == [(3, 3)]
    assert record(tracker, 4) == 4


@pytest.mark.parametrize("named", [3, leases.MAX_ERA, *HUGE])
async def test_tokens_fit(named):
    """Guards against ONE: a token that the platform reads as a lower one."""
    manual = clock.ManualClock()
    lease_store = lease_stores.MemoryStore()
    manager = leases.LeaseManager(lease_store, "d1", manual)
    lease_store.era = record(eras.Eras(), named)
    lease_store.stored = leases.StoredRecord(leases.Record(), 10**12)
    await manager.observe()
    manual.advance(leases.WAIT_SECONDS + 0.1)
    lease = await manager.acquire()
    assert lease is not None
    assert 0 < lease.token < LIMIT


def test_a_fall_without_a_number_is_not_applied(monkeypatch):
    """Guards against ONE: the store is without, rather than tokens fall."""
    now = [100.0]
    monkeypatch.setattr(time, "monotonic", lambda: now[0])
    tracker = eras.Eras()
    record(tracker, leases.MAX_ERA)
    for _ in range(20):
        now[0] += 1.0
        assert record(tracker, leases.MAX_ERA - 5) is None
    assert record(tracker, leases.MAX_ERA) == leases.MAX_ERA


class LeaseClient(http.HttpClient):
    """Answers with a lease object that has this token."""

    def __init__(self, token):
        super().__init__("127.0.0.1:1")
        self.token = token

    async def call(self, method, path, seconds, body=None, headers=None):
        spec = {"holder": "", "token": self.token, "claim": "x", "era": 3}
        meta = {"name": "promotion", "revision": 7}
        return http.Response(
            200, {"meta": meta, "spec": spec}, {"store-era": "3"}
        )


@pytest.mark.parametrize("token", [-1, LIMIT - 1, LIMIT, 10**30])
async def test_a_lease_object_with_an_odd_token_counts_as_held(token):
    client = store.StoreClient(LeaseClient(token))
    with structlog.testing.capture_logs() as logs:
        found = await promotions.PlatformLeaseStore(client).read()
    assert found.record == leases.make_unknown(7)
    assert [each["event"] for each in logs] == [
        "malformed lease object treated as held"
    ]
