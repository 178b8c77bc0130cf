"""Links refuse strangers and hold a bounded amount of memory."""

import asyncio

import pytest

from fescuestile_daemon.relay.peers import link_frames
from fescuestile_daemon.relay.peers import links
from tests.relay.peers import link_builders

Kind = link_frames.Kind
LinkFailure = links.LinkFailure
MEBIBYTE = "x" * 2**20


async def is_closed(reader):
    async with asyncio.timeout(2.0):
        try:
            return await reader.read() == b""
        except ConnectionError:
            return True


@pytest.mark.parametrize(
    ("host", "name", "receiver"),
    [
        ("127.0.3.77", "d1", "d2"),
        ("127.0.3.1", "d3", "d2"),
        ("127.0.3.1", "d9", "d2"),
        ("127.0.3.1", "d1", "d3"),
    ],
    ids=["address", "name of another", "unknown name", "receiver"],
)
async def test_only_a_peer_at_its_address_is_served(
    network, host, name, receiver
):
    """Guards against another sender that runs statements as a peer."""
    one, two = await network.add(1), await network.add(2)
    await network.add(3)
    reader, writer = await network.dial(one, two, host)
    body = {"name": name, "to": receiver}
    writer.write(link_frames.encode(Kind.HELLO, body=body))
    writer.write(link_frames.encode(Kind.REQUEST, 1))
    assert await is_closed(reader)
    assert two.handler.requests == []
    assert two.links.counts.refused == 1


async def test_another_daemon_at_a_peers_address_is_sent_nothing(network):
    """Guards against requests to a daemon that took over an address."""
    one, two = await network.add(1), await network.add(2)

    async def answer(reader, writer):
        await link_builders.read_frame(reader)
        writer.write(link_builders.hello(two, one))
        await reader.read()

    other = await network.add_raw(3, answer)
    result = await one.call(other)
    assert result.sent is False
    assert not one.links.is_reachable("d3")


@pytest.mark.parametrize(
    "data",
    [
        b"\xff\xff\xff\xff",
        b"\x00\x00\x00\x01\x01",
        link_frames.encode(Kind.ANSWER, 1),
        link_frames.encode(Kind.HELLO),
    ],
    ids=["length", "content", "answer", "second hello"],
)
async def test_a_violation_closes_the_link(network, data):
    """Guards against a link that goes on after bytes it could not read."""
    one, two = await network.add(1), await network.add(2)
    reader, writer = await network.say_hello(one, two)
    writer.write(data)
    assert await is_closed(reader)
    assert two.handler.lost == ["d1"]


async def test_requests_over_a_bound_are_not_sent_or_not_run(network):
    """Guards against requests that pile up at either side."""
    options = link_builders.bound(in_flight=3)
    one = await network.add(1, options=options)
    two = await network.add(2, options=link_builders.bound(served=2))
    results = await asyncio.gather(
        *(one.call(two, text="a", delay=0.1) for _ in range(5))
    )
    failures = [each for each in results if isinstance(each, LinkFailure)]
    assert [failure.sent for failure in failures] == [False] * 3
    assert len(two.handler.requests) == 2


async def test_bytes_queued_to_a_peer_are_bounded(network):
    """Guards against memory that grows for a peer that does not read.

    What was not written when the link ended was not sent.
    """
    # More than the kernel buffers on loopback.
    options = link_builders.bound(link_bytes=16 * 2**20)
    one = await network.add(1, options=options)

    async def stall(reader, writer):
        await link_builders.read_frame(reader)
        writer.write(link_builders.hello(slow, one))
        await asyncio.sleep(5.0)

    slow = await network.add_raw(2, stall)
    results = await asyncio.gather(
        *(one.call(slow, timeout=5.0, text=MEBIBYTE) for _ in range(30))
    )
    assert {result.sent for result in results} == {True, False}
    details = [result.detail for result in results]
    assert details.count("too many bytes queued") > 10
    assert LinkFailure(False, "silent") in results
    assert one.links._context.queued.used == 0


async def test_a_peer_that_reads_no_answers_is_disconnected(network):
    """Guards against answers and pongs that fill the memory."""
    options = link_builders.bound(link_bytes=3 * 2**20)
    one = await network.add(1)
    two = await network.add(2, options=options)
    _, writer = await network.say_hello(one, two)
    for number in range(1, 30):
        writer.write(
            link_frames.encode(Kind.REQUEST, number, {"text": MEBIBYTE})
        )
    await link_builders.wait_until(lambda: two.handler.lost == ["d1"])
    context = two.links._context
    await link_builders.wait_until(lambda: not two.links.tasks)
    assert (context.queued.used, context.held.used) == (0, 0)


async def test_incomplete_frames_are_bounded_together(network):
    """Guards against many peers that each send half a frame."""
    options = link_builders.bound(total_bytes=3 * 2**20)
    two = await network.add(2, options=options)
    for number in range(3, 7):
        peer = await network.add(number)
        _, writer = await network.say_hello(peer, two)
        frame = link_frames.encode(Kind.REQUEST, 1, {"text": MEBIBYTE})
        writer.write(frame[:-1])
    await link_builders.wait_until(lambda: len(two.handler.lost) >= 1)
    assert two.links._context.partial.used <= 3 * 2**20
    assert len(two.handler.lost) < 4


async def test_connections_without_a_hello_are_bounded(network):
    """Guards against descriptors held by connections that say nothing."""
    two = await network.add(2, options=link_builders.bound(unnamed=2))
    one = await network.add(1)
    streams = [await network.dial(one, two) for _ in range(3)]
    assert await is_closed(streams[2][0])
    assert len(two.links._unnamed) == 2
    async with asyncio.timeout(2.0):
        assert await is_closed(streams[0][0])
