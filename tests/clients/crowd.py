"""A crowd of clients that misbehave, with raw sockets."""

import asyncio
import collections.abc
import contextlib
import socket
import time

CONNECT = b"CONNECT g0-primary caller\r\n"
MESSAGE_BYTES = 1024 * 1024
# Time for which a client goes on, whatever the daemon does.
SEND_SECONDS = 12.0
# Time for which a crowd that has sent all stays connected.
HOLD_SECONDS = 6.0
# A small window makes unread answers stay in the daemon.
RECEIVE_BUFFER_BYTES = 4096
# Paced, since endpoints refuse more than they run in the route's time.
LARGE_READS = 200
LARGE_READ_PAUSE = 0.05

Behave = collections.abc.Callable[
    ["Client"], collections.abc.Coroutine[object, object, None]
]


class Client:
    """A connection that the daemon may end at any time."""

    def __init__(self) -> None:
        self._socket = socket.socket()
        self._socket.setblocking(False)
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._end = time.monotonic() + SEND_SECONDS

    @property
    def remaining(self) -> float:
        return max(0.0, self._end - time.monotonic())

    async def connect(self, address: str) -> None:
        host, port = address.split(":")
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(self.remaining):
            await loop.sock_connect(self._socket, (host, int(port)))

    async def send(self, data: bytes, piece: int = 0) -> None:
        """Send, in pieces if asked, until the client's time is over."""
        loop = asyncio.get_running_loop()
        size = piece or len(data)
        async with asyncio.timeout(self.remaining):
            for start in range(0, len(data), size):
                await loop.sock_sendall(
                    self._socket, data[start : start + size]
                )
                if piece:
                    await asyncio.sleep(0)

    async def read(self, limit: int = 65536) -> bytes:
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(self.remaining):
            return await loop.sock_recv(self._socket, limit)

    async def open_session(self) -> None:
        await self.send(CONNECT)
        await self.read()

    def close(self) -> None:
        self._socket.close()


class Crowd:
    """Clients that behave alike; connections stay open until the end."""

    def __init__(self, address: str, size: int, behave: Behave) -> None:
        self._address = address
        self._size = size
        self._behave = behave
        self._clients: list[Client] = []

    async def run(self) -> None:
        """Run all clients to their end and stay connected for a while."""
        await asyncio.gather(*(self._run_client() for _ in range(self._size)))
        await asyncio.sleep(HOLD_SECONDS)

    async def _run_client(self) -> None:
        client = Client()
        self._clients.append(client)
        with contextlib.suppress(OSError, TimeoutError):
            await client.connect(self._address)
            await self._behave(client)

    def close(self) -> None:
        for client in self._clients:
            client.close()


def make_query(text: bytes, id_: bytes = b"f1") -> bytes:
    return b"QUERY " + id_ + b" " + text + b"\r\n"


LARGEST_QUERY = make_query(b"READ " + b"k" * (MESSAGE_BYTES - 16))
assert len(LARGEST_QUERY) <= MESSAGE_BYTES


async def send_largest_messages(client: Client) -> None:
    await client.open_session()
    for _ in range(12):
        await client.send(LARGEST_QUERY)


async def send_largest_messages_in_pieces(client: Client) -> None:
    await client.open_session()
    for _ in range(8):
        await client.send(LARGEST_QUERY, piece=1400)


async def leave_a_large_message_unfinished(client: Client) -> None:
    await client.open_session()
    await client.send(LARGEST_QUERY[:-8], piece=16 * 1024)


async def send_without_a_line_end(client: Client) -> None:
    await client.open_session()
    for _ in range(32):
        await client.send(b"x" * MESSAGE_BYTES)


async def send_statements_ahead(client: Client) -> None:
    await client.open_session()
    batch = b"".join(
        make_query(b"READ item", b"f%d" % number) for number in range(1000)
    )
    for _ in range(40):
        await client.send(batch)


async def read_no_answers(client: Client) -> None:
    await client.open_session()
    for _ in range(LARGE_READS):
        await client.send(make_query(b"READ large"))
        await asyncio.sleep(LARGE_READ_PAUSE)


async def read_no_errors(client: Client) -> None:
    """Have the daemon repeat names that it does not know."""
    await client.open_session()
    query = make_query(b"EXECUTE " + b"k" * (MESSAGE_BYTES - 32) + b" x")
    for _ in range(12):
        await client.send(query)


async def stop_reading_half_way(client: Client) -> None:
    await client.open_session()
    for number in range(LARGE_READS):
        await client.send(make_query(b"READ large"))
        if number < 10:
            await client.read(4096)
        await asyncio.sleep(LARGE_READ_PAUSE)


async def set_values(client: Client) -> None:
    await client.open_session()
    for number in range(400):
        await client.send(make_query(b"SET v%d " % number + b"x" * 60_000))
        if not await client.read():
            return


async def prepare_statements(client: Client) -> None:
    await client.open_session()
    for number in range(400):
        text = b"PREPARE p%d READ " % number + b"x" * 60_000
        await client.send(make_query(text))
        if not await client.read():
            return


async def send_nothing(client: Client) -> None:
    await client.read()


async def send_half_a_connect(client: Client) -> None:
    await client.send(CONNECT[:12])
    await client.read()


async def send_slowly(client: Client) -> None:
    for byte in CONNECT:
        await client.send(bytes((byte,)))
        await asyncio.sleep(0.5)


async def open_idle_session(client: Client) -> None:
    await client.open_session()


async def send_endless_path(client: Client) -> None:
    await client.send(b"GET /")
    for _ in range(16):
        await client.send(b"x" * MESSAGE_BYTES)


async def send_endless_header(client: Client) -> None:
    await client.send(b"GET /v1/ready HTTP/1.1\r\nX-Header: ")
    for _ in range(16):
        await client.send(b"x" * MESSAGE_BYTES)


async def send_endless_headers(client: Client) -> None:
    await client.send(b"GET /v1/ready HTTP/1.1\r\n")
    for _ in range(16):
        await client.send(b"X-Header: x\r\n" * 4096)


async def send_probes_ahead(client: Client) -> None:
    request = b"GET /v1/ready HTTP/1.1\r\nHost: h\r\n\r\n"
    for _ in range(300):
        await client.send(request * 1000)


async def send_scrapes_ahead(client: Client) -> None:
    request = b"GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n"
    for _ in range(1000):
        await client.send(request * 10)
