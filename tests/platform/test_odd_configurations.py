"""Malformed parts of the configuration spoil only themselves."""

import math

import pytest
import structlog

from fescuestile import tenants
from fescuestile_platform import configurations
from tests.platform.standins import world as worlds

SECRET = "k-secret"
ODD = float("nan")


def make_spec(*entries, version=1):
    spec = worlds.make_configuration(["g0"], version)
    spec["tenants"] = list(entries)
    return spec


def make_tenant(**fields):
    return {"name": "north", "api_keys": [SECRET], **fields}


def decode(*entries, before=None):
    return configurations.decode(make_spec(*entries), before)


def find(decoded, key):
    return decoded.table.tenant_table.find(tenants.hash_key(key))


OTHER = {"name": "south", "api_keys": ["k-south"]}


@pytest.mark.parametrize(
    "odd",
    [7, None, True, "", "a b", "a\nb", "a\x00", "\ud800", [], "k" * 2000],
    ids=lambda value: str(type(value)),
)
def test_a_malformed_key_spoils_only_itself(odd):
    """Guards against a tenant, or all of them, cut off by one key."""
    decoded = decode(make_tenant(api_keys=[odd, SECRET]), OTHER)
    assert find(decoded, SECRET).name == "north"
    assert find(decoded, "k-south").name == "south"
    assert decoded.table.tenant_table.key_count == 2
    assert len(decoded.problems) == 1


@pytest.mark.parametrize(
    "odd",
    [
        7,
        None,
        "text",
        [],
        make_tenant(name=""),
        make_tenant(name=7),
        make_tenant(name="a b"),
        make_tenant(name="a\tb"),
        make_tenant(api_keys="k-secret"),
        make_tenant(api_keys={"a": 1}),
    ],
    ids=str,
)
def test_a_malformed_tenant_spoils_only_itself(odd):
    """Guards against one entry that cuts off the other tenants."""
    decoded = decode(odd, OTHER)
    assert find(decoded, SECRET) is None
    assert find(decoded, "k-south").name == "south"
    assert len(decoded.problems) == 1


def test_malformed_tenants_alone_do_not_open_the_routes():
    """Guards against callers without keys where keys were meant."""
    decoded = decode(7)
    route = decoded.table.routes["g0-primary"]
    assert decoded.table.find_tenant(route, b"") is None


@pytest.mark.parametrize("keys", [None, []], ids=str)
def test_a_tenant_may_have_no_keys(keys):
    assert not decode(make_tenant(api_keys=keys)).problems


@pytest.mark.parametrize("field", ["rate_per_s", "burst"])
@pytest.mark.parametrize(
    "odd", [-1, math.inf, -math.inf, ODD, "5", True, [], 10**30], ids=str
)
def test_a_malformed_limit_is_never_no_limit(field, odd):
    """Guards against a tenant that a typing error makes unlimited."""
    entry = make_tenant(**{"rate_per_s": 9, "burst": 3, field: odd})
    decoded = decode(entry)
    assert len(decoded.problems) == 1
    tenant = find(decoded, SECRET)
    assert (tenant.rate, tenant.burst) == (0.0, 0.0)
    known = decode(make_tenant(rate_per_s=4, burst=2)).table
    tenant = find(decode(entry, before=known), SECRET)
    assert (tenant.rate, tenant.burst) == (4.0, 2.0)


def test_a_limit_of_zero_admits_nothing():
    """Guards against 0 that is taken for no limit."""
    decoded = decode(make_tenant(rate_per_s=0))
    assert find(decoded, SECRET).rate == 0.0
    assert not decoded.problems


@pytest.mark.parametrize("odd", ["7", None, -1, 1.5, ODD, 10**30], ids=str)
def test_a_malformed_priority_is_the_lowest(odd):
    """Guards against a weight that starves the other tenants."""
    decoded = decode(make_tenant(priority=odd, rate_per_s=4))
    assert find(decoded, SECRET) == tenants.Tenant("north", rate=4.0)
    assert len(decoded.problems) == 1


@pytest.mark.parametrize(("priority", "weight"), [(0, 4), (1, 2), (2, 1)])
def test_priority_0_is_the_most_urgent(priority, weight):
    """Guards against weights in the opposite order of the priorities."""
    decoded = decode(make_tenant(priority=priority, rate_per_s=4))
    assert find(decoded, SECRET).weight == weight
    assert not decoded.problems


@pytest.mark.parametrize(
    ("field", "odd"),
    [
        ("public", "yes"),
        ("public", 1),
        ("timeout_ms", math.inf),
        ("timeout_ms", -5),
        ("route_type", "odd"),
        ("service", None),
    ],
)
def test_a_malformed_route_keeps_its_earlier_version(field, odd):
    """Guards against a route that is lost, or public by mistake."""
    before = configurations.decode(make_spec()).table
    spec = make_spec(version=2)
    spec["routes"][0][field] = odd
    decoded = configurations.decode(spec, before)
    assert decoded.table.routes == before.routes
    assert decoded.table.version == 2
    assert len(decoded.problems) == 1
    assert len(configurations.decode(spec).table.routes) == 2


@pytest.mark.parametrize(
    "odd", [{"version": "9"}, {"version": 9.5}, {"tenants": SECRET}], ids=str
)
async def test_a_malformed_document_is_logged_once_without_it(world, odd):
    """Guards against keys in the log, and a lost earlier version."""
    daemon = world.daemons[0]
    table = daemon.node.directory.table
    spec = {**make_spec(make_tenant(), version=9), **odd}
    with structlog.testing.capture_logs() as logs:
        world.store.put("config", "main", spec)
        world.store.put("config", "other", spec)
        await world.wait_log(logs, "malformed object in the platform store")
    assert daemon.node.directory.table is table
    lines = [e for e in logs if e["event"].startswith("malformed object")]
    assert len(lines) == len(world.daemons)
    assert SECRET not in str(logs)


async def test_malformed_parts_are_logged_once_without_the_key(world):
    """Guards against a line for each watch, and keys in it."""
    event = "parts of the configuration left out"
    spec = make_spec(make_tenant(api_keys=[SECRET + " x"]), version=9)
    with structlog.testing.capture_logs() as logs:
        world.store.put("config", "main", spec)
        await world.wait_log(logs, event)
        world.store.put("config", "other", {})
        await world.wait_log(logs, event)
    assert [e["event"] for e in logs].count(event) == len(world.daemons)
    assert SECRET not in str(logs)
