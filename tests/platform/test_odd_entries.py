"""Entries of other writers among those of the endpoints."""

import asyncio

import pytest
import structlog

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
    {"born": 0},
    {"service": ""},
    {"service": "g0 other"},
    {"service": "g0\r\nQUERY - DEMOTE 9"},
    {"service": "g\u20280"},
    {"zone": None},
    {"version": 7},
    {"warmup_left_ms": "0"},
    {"warmup_left_ms": -1},
    {"seq": 1.5},
    {"seq": True},
    {"state": "odd"},
]
# Fields that the relay does not use, or once took a default for.
UNUSED_FIELDS = ("version", "warmup_left_ms", "seq", "born")


def name_case(value):
    return ascii(value)[:30]


@pytest.mark.parametrize("fields", ODD_FIELDS, ids=name_case)
def test_an_odd_entry_names_no_endpoint(fields):
    """Guards against a member that can't be used but is waited for."""
    assert documents.decode_endpoint("odd", make_spec()).slots == 2
    with pytest.raises(ValueError, match=r"expected|validation error"):
        documents.decode_endpoint("odd", make_spec(**fields))


@pytest.mark.parametrize("field", make_spec())
def test_an_entry_without_a_field_names_no_endpoint(field):
    """Guards against RECOVER: entries of strangers count as members."""
    spec = make_spec()
    del spec[field]
    with pytest.raises(ValueError, match=f"{field}: expected a value, got"):
        documents.decode_endpoint("odd", spec)


@pytest.mark.parametrize("name", ["i 7", "i\r\nQUERY - PAUSE 9", "i" * 257])
def test_an_entry_with_an_odd_name_names_no_endpoint(name):
    """Guards against a line of another writer on a connection."""
    with pytest.raises(ValueError, match="expected a printable word"):
        documents.decode_endpoint(name, make_spec())


def test_the_error_of_an_odd_entry_says_what_was_expected():
    with pytest.raises(ValueError, match=r"slots: expected .*int.*, got 'x'"):
        documents.decode_endpoint("odd", make_spec(slots="x"))


def test_fields_that_are_not_known_yet_are_ignored():
    assert documents.decode_endpoint("new", make_spec(load=0.5)).slots == 2


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
    [
        ("zone", DEEP),
        ("slots", DIGITS),
        ("address", '"127.0.0.9:70000"'),
        ("zone", '"\x01"'),
        ("version", '"\\x"'),
        ("zone", '"\\ud800"'),
        ("load", '"\udcff"'),
        ("zone", '"open'),
    ],
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


def omit(spec, *fields):
    """Return an entry without some of its fields."""
    return {name: spec[name] for name in spec if name not in fields}


async def wait_served(world, database, text, seconds=6.0):
    """Wait until a daemon is ready and serves a statement."""
    async with asyncio.timeout(seconds):
        await world.wait_ready()
        while True:
            client = await world.connect(database)
            answer = await client.query(text)
            client.close()
            if line_server.get_error(answer) is None:
                return
            await asyncio.sleep(0.05)


@pytest.mark.parametrize("starts", [False, True], ids=["runs", "starts"])
async def test_entries_with_missing_fields_stop_no_reads(world, starts):
    """Guards against RECOVER: a read waits for answers of strangers."""
    for number in range(2):
        spec = omit(make_spec(), *UNUSED_FIELDS)
        world.store.put("servers", f"odd-{number}", spec)
    # The daemon that runs records new members within this time.
    await asyncio.sleep(4.5)
    if starts:
        await world.restart_daemon()
    await wait_served(world, "primary", "READ item", 4.0)
    await wait_served(world, "bounded_staleness", "READ item", 4.0)
    recorded = world.store.objects["members", "g0"]["spec"]["members"]
    assert len(recorded) == len(world.groups["g0"].endpoints)


@pytest.mark.parametrize("starts", [False, True], ids=["runs", "starts"])
async def test_a_spoiled_entry_of_a_member_loses_no_write(world, starts):
    """Guards against LOST: the member seems to be gone, or started again."""
    group = world.groups["g0"]
    primary, deaf, holder = group.endpoints.values()
    deaf.faults.deaf = True
    for number in range(5):
        await wait_served(world, "primary", f"WRITE item-{number} kept")
    spec = world.store.objects["servers", holder.name]["spec"]
    world.store.put("servers", holder.name, omit(spec, "born"))
    if starts:
        await world.restart_daemon()
    # Longer than an endpoint is used without an entry.
    await asyncio.sleep(4.0)
    primary.faults.dark = True
    await asyncio.sleep(3.0)
    assert group.successions == []
    world.store.register(holder)
    async with asyncio.timeout(8.0):
        while group.primary is primary:
            await asyncio.sleep(0.02)
    deaf.faults.deaf = False
    await wait_served(world, "primary", "WRITE after value")
    assert group.primary is holder
    assert group.lost == []


async def test_strangers_in_a_record_are_released(world):
    """Guards against RECOVER: an older version has recorded strangers."""
    record = world.store.objects["members", "g0"]["spec"]
    strangers = [{"id": f"odd-{number}", "born": 0} for number in range(2)]
    members = [*record["members"], *strangers]
    world.store.put("members", "g0", {**record, "members": members})
    for stranger in strangers:
        spec = omit(make_spec(), *UNUSED_FIELDS)
        world.store.put("servers", stranger["id"], spec)
    await world.restart_daemon()
    await wait_served(world, "primary", "READ item", 4.0)
    await wait_served(world, "bounded_staleness", "READ item", 4.0)
    # Members that are missing, and the longest delay of a change.
    async with asyncio.timeout(30.0):
        while len(world.store.objects["members", "g0"]["spec"]["members"]) > 3:
            await asyncio.sleep(0.05)


async def test_an_odd_entry_is_reported_once(world):
    """Guards against a log line for each heartbeat of its writer."""
    daemon = world.daemons[0]
    known = daemon.node.directory.groups["g0"].endpoints
    counters = daemon.node.recorder.counters

    async def put(**fields):
        world.store.put("servers", "odd", make_spec(**fields))
        async with asyncio.timeout(2.0):
            while ("odd" in known) == bool(fields):
                await asyncio.sleep(0.02)

    with structlog.testing.capture_logs() as logs:
        for number in range(3):
            await put(seq=str(number))
            await asyncio.sleep(0.6)
        await put()
        await asyncio.sleep(0.6)
        world.store.put("servers", "odd", make_spec(seq="3"))
        await asyncio.sleep(0.6)
    lines = [e for e in logs if e["event"].startswith("malformed object")]
    assert [(e["kind"], e["name"]) for e in lines] == [("servers", "odd")] * 2
    assert lines[0]["detail"] == "field seq: expected a valid integer, got '0'"
    assert counters["malformed_objects", "servers"] == 2
