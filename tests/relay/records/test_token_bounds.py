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
    """Answers with a lease object of this content."""

    def __init__(self, spec):
        super().__init__("127.0.0.1:1")
        self._spec = spec

    async def call(self, method, path, seconds, body=None, headers=None):
        meta = {"name": "promotion", "revision": 7}
        return http.Response(
            200, {"meta": meta, "spec": self._spec}, {"store-era": "3"}
        )


def make_lease(**fields):
    """Return a free lease."""
    return {"holder": "", "token": 5, "claim": "x", "era": 3, **fields}


async def read_lease(spec):
    client = store.StoreClient(LeaseClient(spec))
    return (await promotions.PlatformLeaseStore(client).read()).record


@pytest.mark.parametrize("token", [-1, LIMIT - 1, LIMIT, 10**30])
async def test_a_lease_object_with_an_odd_token_counts_as_held(token):
    with structlog.testing.capture_logs() as logs:
        found = await read_lease(make_lease(token=token))
    assert found == leases.make_unknown(7)
    assert [each["event"] for each in logs] == [
        "malformed lease object treated as held"
    ]


@pytest.mark.parametrize(
    "spec",
    [
        None,
        {},
        {"holder": "", "claim": "x"},
        {"token": 5, "claim": "x"},
        {"holder": "", "token": 5},
        make_lease(token=True),
        make_lease(token="5"),
        make_lease(token=5.0),
        make_lease(holder=None),
        make_lease(claim=7),
        make_lease(era="3"),
        make_lease(era=-1),
    ],
    ids=str,
)
async def test_a_lease_object_with_an_odd_field_counts_as_held(spec):
    """Guards against ONE: tokens start anew after a spoiled lease."""
    assert await read_lease(spec) == leases.make_unknown(7)


async def test_a_lease_of_an_earlier_version_is_read():
    spec = {"holder": "d", "token": 5, "claim": "x"}
    assert await read_lease(spec) == leases.Record("d", 5, "x")
