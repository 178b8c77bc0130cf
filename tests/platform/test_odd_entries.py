"""Entries of other writers among those of the endpoints."""

import asyncio

import pytest

from fescuestile_platform import documents
from tests.platform.standins import line_server

LARGE = 10**30
DEEP = "[" * 5000 + "]" * 5000
DIGITS = "9" * 5000


def make_spec(**fields):
    """Return the entry of an endpoint of group g0."""
    return {
        "service": "g0",
        "address": "127.0.0.9:7000",
        "zone": "a",
        "version": "v1",
        "slots": 2,
        "state": "ready",
        "warmup_left_ms": 0,
        "db_role": "replica",
        "seq": 1,
        "born": 1,
        **fields,
    }


ODD_FIELDS = [
    {"address": "127.0.0.9:70000"},
    {"address": f"127.0.0.9:{LARGE}"},
    {"address": "127.0.0.9:0"},
    {"address": "127.0.0.9:-7"},
    {"address": "127.0.0.9:\u0667000"},
    {"address": "host:7000"},
    {"address": "[::1]:7000"},
    {"address": ""},
    {"slots": 0},
    {"slots": -1},
    {"slots": LARGE},
    {"slots": 1e999},
    {"born": -1},
    {"born": LARGE},
    {"born": 1.5},
    {"zone": None},
    {"state": "odd"},
]


def name_case(value):
    return str(value)[:30]


@pytest.mark.parametrize("fields", ODD_FIELDS, ids=name_case)
def test_an_odd_entry_names_no_endpoint(fields):
    """Guards against a member that can't be used but is waited for."""
    assert documents.decode_endpoint("odd", make_spec()).slots == 2
    with pytest.raises(ValueError, match=r"expected|validation error"):
        documents.decode_endpoint("odd", make_spec(**fields))


@pytest.fixture
def world_size():
    return 1, 1


async def test_entries_of_unknown_services_isolate_no_daemon(world):
    """Guards against a daemon that refuses callers for others' entries."""
    for number in range(3):
        spec = make_spec(service=f"other-{number}")
        world.store.put("servers", f"odd-{number}", spec)
    loop = asyncio.get_running_loop()
    until = loop.time() + 2.0
    while loop.time() < until:
        assert world.daemons[0].node.is_ready()
        await asyncio.sleep(0.05)


def put_odd_entry(world, field, text):
    world.store.put_raw("servers", "a-odd", make_spec(), field, text)
    world.store.put_raw("servers", "z-odd", make_spec(), field, text)


async def check_failover(world):
    """Fail the primary; wait until a daemon started last takes a write."""
    group = world.groups["g0"]
    group.primary.faults.dark = True
    number = len(world.daemons) - 1
    async with asyncio.timeout(8.0):
        while True:
            client = await world.connect("primary", number=number)
            answer = await client.query("WRITE item value")
            if line_server.get_error(answer) is None:
                break
            await asyncio.sleep(0.05)
    assert group.lost == []


@pytest.mark.parametrize("starts", [False, True], ids=["runs", "starts"])
@pytest.mark.parametrize(
    ("field", "text"),
    [("zone", DEEP), ("slots", DIGITS), ("address", '"127.0.0.9:70000"')],
    ids=name_case,
)
async def test_a_daemon_serves_beside_an_odd_entry(world, field, text, starts):
    """Guards against a daemon that follows the registry no more."""
    put_odd_entry(world, field, text)
    if starts:
        await world.start_daemon("late")
        await world.wait_ready()
    replica = list(world.groups["g0"].endpoints.values())[1]
    world.store.register(replica, state="draining")
    known = world.daemons[-1].node.directory.groups["g0"].endpoints
    async with asyncio.timeout(3.0):
        while not known[replica.name].entry.leaving:
            await asyncio.sleep(0.02)
    await check_failover(world)
