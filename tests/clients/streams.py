"""Clients that misbehave at the product's own border, over gRPC.

They use bare streams, since the client library keeps within the limits.
"""

import asyncio
import collections.abc
import contextlib
import typing

import grpc

from fescuestile_api import fescuestile_pb2 as pb

METHOD = "/fescuestile.v1.CallerService/Session"
DATABASE = "werkstatt-db"
LARGE_KEY = "large"
LARGE_VALUE_BYTES = 200_000
# Time for which a client goes on, whatever the daemon does.
SEND_SECONDS = 12.0
HOLD_SECONDS = 4.0

Stream = typing.Any
Behave = collections.abc.Callable[
    [Stream], collections.abc.Coroutine[object, object, None]
]


def make_request(sequence: int, text: str, read_only: bool = True) -> bytes:
    request = pb.Request(
        sequence=sequence,
        request_id=f"r{sequence}",
        database=DATABASE,
        kind="dispatch",
        deadline_ms=20_000,
        statement=pb.Statement(text=text, read_only=read_only),
    )
    return bytes(pb.CallerFrame(request=request).SerializeToString())


async def open_session(stream: Stream) -> None:
    await stream.write(
        pb.CallerFrame(open=pb.Open(caller="c")).SerializeToString()
    )


async def read_no_answers(stream: Stream) -> None:
    await open_session(stream)
    for number in range(1, 201):
        await stream.write(make_request(number, f"GET {LARGE_KEY}"))
        await asyncio.sleep(0.05)


async def send_largest_requests(stream: Stream) -> None:
    await open_session(stream)
    text = "GET " + "k" * 250_000
    for number in range(1, 129):
        await stream.write(make_request(number, text))


async def send_invalid_frames(stream: Stream) -> None:
    await open_session(stream)
    for _ in range(4000):
        await stream.write(b"\xff\xff\xff")


async def send_oversized_frames(stream: Stream) -> None:
    await open_session(stream)
    for _ in range(4):
        await stream.write(b"\0" * (16 * 1024 * 1024))


async def send_nothing(stream: Stream) -> None:
    await stream.read()


async def open_idle_session(stream: Stream) -> None:
    await open_session(stream)
    await stream.read()
    await stream.read()


class Crowd:
    """Streams that behave alike; they stay open until the crowd is closed."""

    def __init__(
        self, address: str, channels: int, streams: int, behave: Behave
    ) -> None:
        """Initialize without connections.

        :param streams: number of streams of each channel
        """
        self._address = address
        self._channel_count = channels
        self._stream_count = streams
        self._behave = behave
        self._channels: list[typing.Any] = []
        self._streams: list[Stream] = []

    async def run(self) -> None:
        options = (("grpc.use_local_subchannel_pool", 1),)
        work = []
        for _ in range(self._channel_count):
            channel: typing.Any = grpc.aio.insecure_channel(
                self._address, options
            )
            self._channels.append(channel)
            for _ in range(self._stream_count):
                stream: Stream = channel.stream_stream(METHOD)()
                self._streams.append(stream)
                work.append(self._run_stream(stream))
        await asyncio.gather(*work)
        await asyncio.sleep(HOLD_SECONDS)

    async def _run_stream(self, stream: Stream) -> None:
        with contextlib.suppress(
            grpc.RpcError, TimeoutError, asyncio.InvalidStateError
        ):
            async with asyncio.timeout(SEND_SECONDS):
                await self._behave(stream)

    async def close(self) -> None:
        for stream in self._streams:
            stream.cancel()
        for channel in self._channels:
            await channel.close()
