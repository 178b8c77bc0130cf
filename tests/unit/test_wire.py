"""Tests of the network stand-in, on loopback."""

import asyncio
import contextlib
import sys

import pytest

from fescuestile import errors
from fescuestile_standins import hosts
from fescuestile_standins import wire
from fescuestile_standins import wire_messages

ANY_PORT = f"{hosts.make_ip(9, 1)}:0"
NO_DATA_SECONDS = 0.15
ZONE_1 = wire_messages.make_zone_side(1)
ZONE_2 = wire_messages.make_zone_side(2)
ZONE_3 = wire_messages.make_zone_side(3)


async def echo(reader, writer):
    with contextlib.suppress(OSError):
        while data := await reader.read(1000):
            writer.write(data)
    writer.close()


@pytest.fixture
async def control():
    served = wire.Wire()
    client = await wire.connect(await served.start(ANY_PORT))
    yield client
    await client.close()
    await served.close()


@pytest.fixture
async def relay(control):
    """Address of a relay to an echo server in zone 2."""
    server = await asyncio.start_server(echo, hosts.make_ip(2, 1), 0)
    port = server.sockets[0].getsockname()[1]
    yield await control.add_relay(ANY_PORT, f"{hosts.make_ip(2, 1)}:{port}")
    server.close()


class Caller:
    """A connection from a zone to the echo server."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ):
        self.reader = reader
        self.writer = writer

    async def send(self, text: bytes) -> None:
        self.writer.write(text)
        await self.writer.drain()

    async def receive(self, count: int) -> bytes:
        async with asyncio.timeout(5):
            return await self.reader.readexactly(count)

    async def receives_nothing(self) -> bool:
        try:
            async with asyncio.timeout(NO_DATA_SECONDS):
                await self.reader.read(1)
        except TimeoutError:
            return True
        return False


async def call(relay: str, zone: int) -> Caller:
    ip, port = relay.split(":")
    return Caller(
        *await asyncio.open_connection(
            ip, int(port), local_addr=(hosts.make_ip(zone, 1), 0)
        )
    )


async def test_bytes_are_forwarded_in_both_directions(relay):
    caller = await call(relay, 1)
    await caller.send(b"hello")
    assert await caller.receive(5) == b"hello"


async def test_a_cut_stalls_only_its_zones_until_it_is_healed(control, relay):
    near, far = await call(relay, 1), await call(relay, 3)
    await near.send(b"a")
    assert await near.receive(1) == b"a"
    assert await control.cut(ZONE_1, ZONE_2) == 1
    fresh = await call(relay, 1)
    for caller in (near, fresh, far):
        await caller.send(b"b")
    assert await far.receive(1) == b"b"
    assert await near.receives_nothing()
    assert await fresh.receives_nothing()
    await control.heal(ZONE_1, ZONE_2)
    assert await near.receive(1) == b"b"
    assert await fresh.receive(1) == b"b"


async def test_silence_discards_bytes_of_open_connections_only(control, relay):
    old = await call(relay, 1)
    await old.send(b"a")
    await old.receive(1)
    assert await control.silence(ZONE_1) == 1
    await old.send(b"b")
    fresh = await call(relay, 1)
    await fresh.send(b"c")
    assert await fresh.receive(1) == b"c"
    assert await old.receives_nothing()


async def test_a_delay_applies_in_each_direction(control, relay):
    caller = await call(relay, 1)
    await control.delay(0.1, ZONE_2, ZONE_1)
    start = asyncio.get_running_loop().time()
    await caller.send(b"a")
    await caller.receive(1)
    assert asyncio.get_running_loop().time() - start >= 0.2
    await control.delay(0, ZONE_2, ZONE_1)


async def test_a_drop_resets_open_connections(control, relay):
    caller, other = await call(relay, 1), await call(relay, 3)
    for each in (caller, other):
        await each.send(b"a")
        await each.receive(1)
    assert await control.drop(hosts.make_ip(1, 1), hosts.make_ip(2, 1)) == 1
    with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
        await caller.receive(1)
    await other.send(b"b")
    assert await other.receive(1) == b"b"


async def test_the_end_of_a_stream_is_forwarded(relay):
    caller = await call(relay, 1)
    await caller.send(b"a")
    caller.writer.write_eof()
    async with asyncio.timeout(5):
        assert await caller.reader.read() == b"a"


async def test_invalid_commands_are_refused(control):
    with pytest.raises(errors.InvalidInput, match="expected an address"):
        await control.add_relay("localhost:1", f"{hosts.make_ip(2, 1)}:1")
    with pytest.raises(errors.InvalidInput, match="does not appear"):
        await control.cut("zone 1")


async def test_it_runs_as_a_process():
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "fescuestile_standins.wire"),
        *("--address", ANY_PORT),
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        async with asyncio.timeout(20):
            assert process.stdout is not None
            line = await process.stdout.readline()
        client = await wire.connect(line.decode().split()[1])
        assert await client.cut(ZONE_1) == 0
        await client.close()
    finally:
        process.kill()
        await process.wait()
