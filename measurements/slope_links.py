"""Slope measurements of links between daemons, over real websockets."""

import asyncio
import collections.abc
import contextlib
import socket
import time
import tracemalloc

from websockets.asyncio import client as websockets_client

from fescuestile import codec
from fescuestile import gossip_messages
from fescuestile import link_messages
from fescuestile import members
from fescuestile import requests
from fescuestile_daemon import links
from fescuestile_daemon import logs
from fescuestile_daemon import settings
from measurements import base
from measurements import builders
from measurements import slopes

HOST = "127.0.0.1"
BYTES_PER_KIBIBYTE = 1024
PING = gossip_messages.Ping(sequence=123456, digest=2**63)
POLL_SECONDS = 0.001
IDLE_SECONDS = 6.0
FORWARD = link_messages.Forward(
    id=1234567,
    endpoint="werkstatt-db-0001-1",
    term=3,
    remaining=4.2,
    request=requests.Request(
        request_id="0f3c5a6e9b7d4c1e8a2f-000123",
        caller="station-1234",
        database="werkstatt-db-0001",
        kind="history",
        level=1,
        staleness=5.0,
        deadline=0.0,
        repeatable=True,
        action=requests.Action.STATEMENT,
        text="GET pump-1234",
        read_only=True,
    ),
)


def log_errors_only() -> None:
    """Configure logging for errors only, to keep it out of the cost."""
    logs.configure_logs(settings.LoggingOptions(level="error"))


class MessageCounter:
    """Counts received messages."""

    def __init__(self) -> None:
        """Initialize with a count of 0."""
        self.count = 0

    async def receive(self, peer: str, message: object) -> None:
        """Count a message."""
        self.count += 1


@contextlib.asynccontextmanager
async def serve_links(
    own: members.Member,
) -> collections.abc.AsyncIterator[links.Links]:
    """Serve the links of one daemon at its own address."""
    served = links.Links(own, HOST)
    served.add_classes(gossip_messages.CLASSES)
    _, port = own.link_address.split(":")
    await served.start(HOST, int(port))
    try:
        yield served
    finally:
        await served.close()


def build_local_members(count: int) -> list[members.Member]:
    """Return members with free ports of this host."""
    return [
        members.Member(
            f"host-{number:04}", "z", f"{HOST}:{find_port()}", f"{HOST}:1"
        )
        for number in range(count)
    ]


def find_port() -> int:
    """Return a free port that the operating system picks."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        port: int = probe.getsockname()[1]
    return port


class FramesByCount(slopes.SlopeMeasurement):
    """Processor time of frames, for both ends of a link together."""

    name = "slope_links_frames"
    description = "Frames over a link, by their number."
    size_name = "frames"
    sizes = (500, 1000, 2000, 4000)

    def measure(self, size: int, seed: int) -> slopes.QuantityValues:
        """Send pings over a link, then forwarded statements."""
        log_errors_only()
        return {
            "CPU ms, pings": asyncio.run(self._measure(size, PING)),
            "CPU ms, forwards": asyncio.run(self._measure(size, FORWARD)),
        }

    async def _measure(self, size: int, message: object) -> float:
        local, remote = build_local_members(2)
        counter = MessageCounter()
        async with (
            serve_links(local) as sender,
            serve_links(remote) as receiver,
        ):
            receiver.add_handler(type(message), counter.receive)
            await sender.send(remote, message)
            cpu_seconds = []
            for _ in range(slopes.REPEATS):
                cpu_seconds.append(
                    await self._send(size, sender, remote, message, counter)
                )
        return min(cpu_seconds) * slopes.MILLISECONDS_PER_SECOND

    async def _send(
        self,
        size: int,
        sender: links.Links,
        remote: members.Member,
        message: object,
        counter: MessageCounter,
    ) -> float:
        counter.count = 0
        start = time.process_time()
        for _ in range(size):
            await sender.send(remote, message)
            await asyncio.sleep(0)
        while counter.count < size:
            await asyncio.sleep(POLL_SECONDS)
        return time.process_time() - start


class MemoryByLinks(slopes.SlopeMeasurement):
    """Memory and processor time of a daemon's idle links."""

    name = "slope_links_memory"
    description = "Memory and processor time of idle links, by their number."
    size_name = "links"
    sizes = (4, 100, 200, 400)

    def measure(self, size: int, seed: int) -> slopes.QuantityValues:
        """Open links to one daemon and halve the memory of both ends."""
        log_errors_only()
        return asyncio.run(self._measure(size))

    async def _measure(self, size: int) -> slopes.QuantityValues:
        own = build_local_members(1)[0]
        greeting_codec = codec.Codec(link_messages.CLASSES)
        async with serve_links(own):
            tracemalloc.start()
            before, _ = tracemalloc.get_traced_memory()
            opened = []
            for member in builders.build_members(size):
                peer = await websockets_client.connect(
                    f"ws://{own.link_address}",
                    compression=None,
                    ping_interval=None,
                )
                await peer.send(
                    greeting_codec.encode(link_messages.Greeting(member))
                )
                await peer.recv()
                opened.append(peer)
            after, _ = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            start = time.process_time()
            await asyncio.sleep(IDLE_SECONDS)
            cpu_seconds = time.process_time() - start
            await asyncio.gather(*(peer.close() for peer in opened))
        # Only the daemon pings. Both ends together use the processor time of
        # one ping and pong, as one end does when both ends ping.
        return {
            "memory KiB": (after - before) / 2 / BYTES_PER_KIBIBYTE,
            "CPU ms/s of idle links": cpu_seconds
            / IDLE_SECONDS
            * slopes.MILLISECONDS_PER_SECOND,
        }


def create_measurements() -> tuple[base.Measurement, ...]:
    """Return the measurements of this module."""
    return (FramesByCount(), MemoryByLinks())
