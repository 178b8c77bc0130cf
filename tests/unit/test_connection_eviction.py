"""Which connection is closed for another tenant's, and how often.

Guards against connections that are closed and opened again in turn, each
time in one of the endpoint's slots.
"""

import collections

import pytest

from fescuestile import connection_eviction
from fescuestile import transaction_bounds
from measurements import connection_sharing


def make_idle(tenant, level=1, used_at=0.0):
    return connection_eviction.IdleConnection(tenant, level, used_at)


def make_uses(seconds=0.01, **counts):
    uses = connection_eviction.ConnectionUses(100.0)
    for tenant, count in counts.items():
        for number in range(count):
            uses.record(tenant, seconds, number / count)
    return uses


def choose(idle, uses):
    counts = collections.Counter(each.tenant for each in idle)
    index = connection_eviction.choose(idle, counts, uses, 1.0)
    return None if index is None else idle[index]


@pytest.mark.parametrize(("rate", "seconds"), [(40.0, 600.0), (160.0, 300.0)])
@pytest.mark.parametrize("seed", [1, 2])
def test_84_tenants_of_skew_1_2_open_few_connections(rate, seconds, seed):
    row = connection_sharing.measure(
        "expected use (ours)", rate, seed, seconds
    )
    assert row.opened < connection_sharing.TARGET_OPENED


def test_a_tenant_used_rarely_loses_its_connection():
    uses = make_uses(often=50, rarely=2)
    idle = [make_idle("often", used_at=0.0), make_idle("rarely", used_at=0.9)]
    assert choose(idle, uses).tenant == "rarely"


def test_a_tenant_with_more_than_its_use_needs_loses_one():
    uses = make_uses(hot=100, calm=10)
    idle = [make_idle("hot", used_at=at) for at in (0.3, 0.2, 0.4)]
    chosen = choose([*idle, make_idle("calm")], uses)
    assert chosen == idle[1]


def test_a_tenant_that_uses_all_of_its_connections_keeps_them():
    uses = make_uses(seconds=5.0, hot=100, calm=1)
    idle = [make_idle("hot"), make_idle("hot"), make_idle("calm")]
    assert choose(idle, uses).tenant == "calm"


def test_of_equal_tenants_the_least_urgent_loses_its_connection():
    uses = make_uses(one=5, other=5)
    idle = [make_idle("one", level=2, used_at=0.9), make_idle("other", 0)]
    assert choose(idle, uses).tenant == "one"


def test_of_connections_of_no_use_the_one_idle_for_longest_is_closed():
    idle = [make_idle("a", used_at=0.5), make_idle("b", used_at=0.2)]
    assert choose(idle, make_uses()) == idle[1]
    assert choose([], make_uses()) is None


def test_uses_of_many_tenants_are_bounded():
    uses = connection_eviction.ConnectionUses(1.0)
    for number in range(5000):
        uses.record(str(number), 0.01, number * 0.1)
    assert len(uses._uses) <= 1024


def test_transactions_hold_a_part_of_the_connections():
    bounds = transaction_bounds.TransactionBounds(0.75, 0.25)
    for _ in range(10):
        assert bounds.may_begin("hot", 42, others_wait=True)
        bounds.add("hot")
    assert not bounds.may_begin("hot", 42, others_wait=True)
    assert bounds.may_begin("calm", 42, others_wait=True)
    while bounds.may_begin("hot", 42, others_wait=False):
        bounds.add("hot")
    assert bounds.total == 31
    assert not bounds.may_begin("calm", 42, others_wait=False)
    bounds.remove("hot")
    assert bounds.may_begin("calm", 42, others_wait=True)


def test_one_transaction_may_begin_with_one_connection():
    bounds = transaction_bounds.TransactionBounds(0.75, 0.25)
    assert bounds.may_begin("a", 1, others_wait=True)
