"""Sessions, reads, writes and transactions, from callers to endpoints."""

import asyncio
import importlib
import os

import pytest

from tests.platform.standins import line_server
from tests.platform.standins import world as worlds

get_row = line_server.get_row
get_error = line_server.get_error


async def read_until(client, text, expected):
    async with asyncio.timeout(5):
        while get_row(await client.query(text)) != expected:
            await asyncio.sleep(0.02)


def test_standard_platform_module_is_not_shadowed():
    module = importlib.import_module("platform")
    assert os.path.basename(module.__file__ or "") == "platform.py"


@pytest.mark.parametrize("route_type", worlds.ROUTE_TYPES)
async def test_session_reads_its_own_write(world, route_type):
    client = await world.connect(route_type)
    answer = await client.query("WRITE item first")
    assert answer[0].startswith("COMPLETE i-g0-")
    if route_type == "bounded_staleness":
        await read_until(client, "READ item", "first")
    else:
        assert get_row(await client.query("READ item")) == "first"


async def test_answer_keeps_the_endpoint_receipt(world):
    client = await world.connect("primary")
    await client.query("WRITE item value")
    answer = await client.query("READ item")
    assert answer[0] == "ROW value"
    assert answer[1].startswith("COMPLETE i-g0-")
    assert answer[2].startswith("READY I 1.")


async def test_transaction_commits_and_rolls_back(world):
    client = await world.connect("primary")
    assert (await client.query("BEGIN"))[-1] == "READY T -"
    await client.query("WRITE item one")
    assert get_row(await client.query("READ other")) == "none"
    assert (await client.query("COMMIT"))[0].startswith("COMPLETE i-")
    assert get_row(await client.query("READ item")) == "one"
    await client.query("BEGIN")
    await client.query("WRITE item two")
    assert (await client.query("ROLLBACK"))[0] == "COMPLETE -"
    assert get_row(await client.query("READ item")) == "one"


async def test_disconnected_caller_is_rolled_back(world):
    client = await world.connect("primary")
    await client.query("BEGIN")
    await client.query("WRITE item gone")
    client.close()
    await asyncio.sleep(0.1)
    other = await world.connect("primary")
    assert get_row(await other.query("READ item")) == "none"


async def test_prepared_names_of_sessions_do_not_mix(world):
    first = await world.connect("primary")
    second = await world.connect("primary")
    assert await first.query("PREPARE s READ q1") == [
        "COMPLETE -",
        "READY I -",
    ]
    await second.query("PREPARE s WRITE q2")
    await second.query("EXECUTE s item data")
    assert get_row(await first.query("EXECUTE s item")) == "data"
    assert get_error(await first.query("DEALLOC other")) == "NOSTMT"
    await first.query("DEALLOC s")
    assert get_error(await first.query("EXECUTE s item")) == "NOSTMT"


async def test_session_values_are_set_on_the_connection_used(world):
    red = await world.connect("primary")
    plain = await world.connect("primary")
    blue = await world.connect("primary")
    await red.query("SET color red")
    await blue.query("SET color blue")
    primary = world.groups["g0"].primary
    seen: list[dict[str, str]] = []
    for client in (red, plain, blue, red, blue, plain) * 3:
        await client.query("BEGIN")
        await client.query("READ item")
        seen.extend(c.values for c in primary.connections if c.state == "T")
        seen = [dict(values) for values in seen]
        await client.query("ROLLBACK")
    expected = [{"color": "red"}, {}, {"color": "blue"}]
    expected += [{"color": "red"}, {"color": "blue"}, {}]
    assert seen == expected * 3


async def test_unknown_database_is_refused(world):
    from tests.platform.standins import line_server

    client = line_server.LineClient()
    answer = await client.connect(world.caller_addresses[0], "nowhere")
    assert answer.startswith("ERROR NODB")
    assert await client.read_rest() == b""


async def test_route_change_applies_to_the_next_statement(world):
    client = await world.connect("primary")
    await client.query("WRITE item here")
    changed = worlds.make_configuration(world.groups, version=2)
    for route in changed["routes"]:
        if route["host"] == "g0-primary":
            route["service"] = "g1"
    world.store.put("config", "main", changed)
    await read_until(client, "READ item", "none")


async def test_older_configuration_version_is_ignored(world):
    directory = world.daemons[0].node.directory
    world.store.put(
        "config", "main", worlds.make_configuration(world.groups, version=9)
    )
    async with asyncio.timeout(5):
        while directory.table.version != 9:
            await asyncio.sleep(0.01)
    world.store.put(
        "config", "main", worlds.make_configuration(world.groups, version=3)
    )
    await asyncio.sleep(0.2)
    assert directory.table.version == 9


async def test_watch_lists_again_after_the_history_is_dropped(world):
    world.store.drop_history()
    world.store.put(
        "config", "main", worlds.make_configuration(world.groups, version=5)
    )
    async with asyncio.timeout(6):
        while world.daemons[0].node.directory.table.version != 5:
            await asyncio.sleep(0.02)


async def test_malformed_entries_do_not_affect_others(world):
    world.store.put("servers", "i-odd", {"service": 7})
    world.store.put("servers", "i-odder", "text")
    await asyncio.sleep(0.2)
    client = await world.connect("primary")
    assert get_row(await client.query("READ item")) == "none"
    assert (
        "i-odd" not in world.daemons[0].node.directory.groups["g0"].endpoints
    )


async def test_malformed_line_closes_only_its_own_connection(world):
    good = await world.connect("primary")
    bad = await world.connect("primary")
    await bad.send(b"NONSENSE\r\n")
    assert (await bad.read_rest()).startswith(b"ERROR MALFORMED")
    assert get_row(await good.query("READ item")) == "none"


async def test_statements_in_one_packet_are_answered_in_order(world):
    client = await world.connect("primary")
    await client.send(b"QUERY a1 WRITE k v\r\nQUERY a2 READ k\r\nQUERY a3 SE")
    await asyncio.sleep(0.2)
    await client.send(b"T n v\r\nTERMINATE\r\n")
    text = (await client.read_rest()).decode()
    lines = [line for line in text.split("\r\n") if line]
    assert lines[0].startswith("COMPLETE i-")
    assert lines[2] == "ROW v"
    assert lines[5] == "COMPLETE -"


async def test_statement_ids_are_forwarded_unchanged(world):
    client = await world.connect("primary")
    await client.query("WRITE item x", id_="cafe01")
    assert ("cafe01", "WRITE") in world.groups["g0"].primary.served


async def test_stand_in_replica_receives_entries_that_it_missed(world):
    group = world.groups["g0"]
    replica = next(e for e in group.endpoints.values() if e.role == "replica")
    client = await world.connect("primary")
    replica.faults.deaf = True
    await client.query("WRITE item-1 missed")
    replica.faults.deaf = False
    await client.query("WRITE item-2 value")
    assert replica.received == group.primary.received
