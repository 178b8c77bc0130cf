"""Clients within the protocol's limits meet none of the daemon's."""

import asyncio

import pytest

from tests.platform.standins import line_server

MESSAGE_BYTES = 1024 * 1024
CAUSE = "clients_limited"


@pytest.fixture
def world_size():
    return 1, 1


async def connect(address):
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(
        host, int(port), limit=4 * MESSAGE_BYTES
    )
    writer.write(b"CONNECT g0-primary caller\r\n")
    assert (await reader.readline()).startswith(b"READY")
    return reader, writer


async def read_answer(reader):
    lines: list[bytes] = []
    async with asyncio.timeout(10):
        while not lines or not lines[-1].startswith(b"READY"):
            lines.append((await reader.readline()).rstrip(b"\r\n"))
    return lines


def list_causes(world):
    counters = world.daemons[0].node.recorder.counters
    return [key for key in counters if key[0] == CAUSE]


async def test_messages_and_rows_of_the_largest_size_are_served(world):
    reader, writer = await connect(world.caller_addresses[0])
    head, row_head = b"QUERY f1 WRITE item ", b"ROW "
    value = b"v" * (MESSAGE_BYTES - len(head) - 2)
    writer.write(head + value + b"\r\n")
    lines = await read_answer(reader)
    assert lines[0].startswith(b"COMPLETE")
    writer.write(b"QUERY f2 READ item\r\n")
    lines = await read_answer(reader)
    assert lines[0] == row_head + value
    writer.close()
    assert list_causes(world) == []


async def test_a_transaction_sent_at_once_is_answered_in_order(world):
    reader, writer = await connect(world.caller_addresses[0])
    texts = ["BEGIN", *(f"WRITE k{n} {n}" for n in range(12)), "COMMIT"]
    texts += [f"READ k{n}" for n in range(12)]
    sent = "".join(f"QUERY f{n} {t}\r\n" for n, t in enumerate(texts))
    writer.write(sent.encode())
    answers = [await read_answer(reader) for _ in texts]
    assert [lines[-2][:8] for lines in answers] == [b"COMPLETE"] * 26
    rows = [lines[0] for lines in answers[14:]]
    assert rows == [b"ROW %d" % number for number in range(12)]
    writer.close()
    assert list_causes(world) == []


async def test_hundreds_of_sessions_stay_open(world):
    clients = [line_server.LineClient() for _ in range(300)]
    for client in clients:
        greeting = await client.connect(
            world.caller_addresses[0], "g0-primary"
        )
        assert greeting.startswith("READY")
    lines = await clients[0].query("READ k")
    assert line_server.get_error(lines) is None
    assert len(world.daemons[0].node.sessions) == 300
    assert list_causes(world) == []
    for client in clients:
        client.close()
