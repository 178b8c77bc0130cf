"""Counters by tenant keep a bounded number of labels."""

import pytest
import structlog

from fescuestile_daemon.relay.core import tenant_counters

ADMITTED = tenant_counters.Count.ADMITTED
NAMED = tenant_counters.NAMED_TENANTS


@pytest.fixture
def counters():
    return tenant_counters.TenantCounters()


def admit(counters, name, count):
    for _ in range(count):
        counters.record_admitted(name)


def test_the_largest_tenants_are_named_and_the_others_added_up(counters):
    """Guards against a label for each of thousands of tenants."""
    for number in range(100):
        admit(counters, f"t{number:03}", number + 1)
    counters.rank()
    admit(counters, "t099", 5)
    admit(counters, "t000", 5)
    counts = dict(counters.list_counts(ADMITTED))
    assert len(counts) == NAMED + 1
    assert counts.keys() >= {f"t{99 - rank:03}" for rank in range(NAMED)}
    assert sum(counts.values()) == 100 * 101 / 2 + 10
    assert counts["t099"] == 5


def test_no_counter_falls_when_other_tenants_grow(counters):
    """Guards against rates that jump when a tenant is named no longer."""
    for number in range(NAMED):
        admit(counters, f"old{number}", 10)
    before = dict(counters.list_counts(ADMITTED))
    for number in range(NAMED):
        admit(counters, f"new{number}", 20)
    counters.rank()
    after = dict(counters.list_counts(ADMITTED))
    assert after[tenant_counters.OTHER] >= before[tenant_counters.OTHER]
    assert sum(after.values()) == NAMED * 30


def test_callers_without_a_tenant_are_not_counted(counters):
    """Guards against an empty label where there are no tenants."""
    admit(counters, "", 3)
    assert counters.list_counts(ADMITTED) == [(tenant_counters.OTHER, 0)]


def test_unknown_keys_are_logged_at_most_once_a_second(counters, monkeypatch):
    """Guards against a line for each request of a misconfigured caller."""
    with structlog.testing.capture_logs() as logs:
        for _ in range(500):
            counters.record_unknown_key()
        monkeypatch.setattr(tenant_counters, "LOG_SECONDS", 0.0)
        counters.record_unknown_key()
    assert [line["count"] for line in logs] == [1, 500]
    assert counters.unknown_keys == 501
