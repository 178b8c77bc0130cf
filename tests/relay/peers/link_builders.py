"""Daemons on loopback addresses that have links to each other."""

import asyncio
import dataclasses

from fescuestile import position_sharing
from fescuestile_daemon.relay.peers import link_frames
from fescuestile_daemon.relay.peers import links

# Back-offs are shorter than the defaults, so that tests see a probe. A stall
# of the test run, which is every daemon of a test, is no pause of one daemon.
OPTIONS = links.LinkOptions(backoff=0.3, max_backoff=0.6, pause=5.0)


class Handler(links.RequestHandler):
    """Answers after the seconds that a request names."""

    def __init__(self):
        self.requests = []
        self.lost = []

    async def handle(self, peer, request):
        self.requests.append((peer, request))
        await asyncio.sleep(request.get("delay", 0))
        if "error" in request:
            raise LookupError(request["error"])
        return {"echo": request.get("text"), "by": peer}

    def disconnect(self, peer):
        self.lost.append(peer)


class Daemon:
    """One end of links, at an address of its own."""

    def __init__(self, number, options=OPTIONS, version=1):
        self.name = f"d{number}"
        self.host = f"127.0.3.{number}"
        self.port = 0
        self.handler = Handler()
        self.down: list[str] = []
        self.links = links.PeerLinks(
            self.name, lambda: version, options=options
        )
        self.links.set_handler(self.handler)
        self.links.add_listener(self.down.append)

    @property
    def peer(self):
        return position_sharing.Peer(
            self.name, "a", f"{self.host}:{self.port}"
        )

    async def start(self, port=0):
        await self.links.start(self.host, port)
        self.port = self.links.port

    async def call(self, other, timeout=1.0, **request):
        return await self.links.call(other.name, request, timeout)


class Network:
    """Daemons that know each other; the fixture closes them."""

    def __init__(self):
        self.daemons = []
        self.servers = []
        self.writers = []

    async def add(self, number, port=0, options=OPTIONS, version=1):
        daemon = Daemon(number, options, version)
        await daemon.start(port)
        self.daemons.append(daemon)
        self.introduce()
        return daemon

    async def restart(self, daemon):
        """Start a daemon again at its address."""
        await daemon.links.close()
        self.daemons.remove(daemon)
        number = int(daemon.name.removeprefix("d"))
        return await self.add(number, daemon.port)

    async def add_raw(self, number, on_connection):
        """Add a peer whose side of the connection a test writes itself."""
        peer = Daemon(number)

        async def serve(reader, writer):
            self.writers.append(writer)
            await on_connection(reader, writer)

        server = await asyncio.start_server(serve, peer.host, 0)
        peer.port = server.sockets[0].getsockname()[1]
        self.servers.append(server)
        self.daemons.append(peer)
        self.introduce()
        return peer

    async def dial(self, sender, receiver, host=None):
        """Connect as a daemon does, from its address or another one."""
        reader, writer = await asyncio.open_connection(
            receiver.host, receiver.port, local_addr=(host or sender.host, 0)
        )
        self.writers.append(writer)
        return reader, writer

    async def say_hello(self, sender, receiver):
        """Open a link by hand; return its streams."""
        reader, writer = await self.dial(sender, receiver)
        writer.write(hello(sender, receiver))
        assert (await read_frame(reader)).kind is link_frames.Kind.HELLO
        return reader, writer

    def introduce(self):
        peers = [daemon.peer for daemon in self.daemons]
        for daemon in self.daemons:
            daemon.links.set_peers(peers)

    async def close(self):
        for daemon in self.daemons:
            await daemon.links.close()
        for server in self.servers:
            server.close()
        for writer in self.writers:
            writer.transport.abort()
        await asyncio.sleep(0)


def hello(sender, receiver, **fields):
    """Return the frame by which a daemon names itself to another."""
    body = {"name": sender.name, "to": receiver.name, "version": 1}
    return link_frames.encode(link_frames.Kind.HELLO, body=body | fields)


async def read_frame(reader):
    size = int.from_bytes(await reader.readexactly(4), "big")
    return link_frames.decode(await reader.readexactly(size))


def bound(**options):
    return dataclasses.replace(OPTIONS, **options)


async def wait_until(condition, seconds=3.0):
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.005)
