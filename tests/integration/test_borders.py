"""Tests of invalid input to running daemons."""

import asyncio
import typing

import grpc
import pytest
from websockets.asyncio import client as websockets_client

from fescuestile import errors
from fescuestile_api import fescuestile_pb2 as pb
from fescuestile_client import options as client_options
from fescuestile_client import session as client_session
from tests import endpoint_groups
from tests import fleets

METHOD = "/fescuestile.v1.CallerService/Session"
INVALID_FRAMES = (
    b"\xff\xff\xff",
    b"",
    pb.CallerFrame(open=pb.Open()).SerializeToString(),
    pb.CallerFrame(open=pb.Open(caller="c", token=b"t")).SerializeToString(),
    pb.CallerFrame(request=pb.Request(sequence=9)).SerializeToString(),
)


@pytest.fixture
async def daemons():
    async with endpoint_groups.serve_group() as group:
        plan = fleets.build_group_plan(group)
        async with fleets.serve_daemons(2, plan) as daemons:
            yield daemons


def open_stream(channel: typing.Any) -> typing.Any:
    """Open a session's stream with frames as undecoded bytes."""
    return channel.stream_stream(METHOD)()


async def check_service(daemon) -> None:
    async with fleets.open_session(daemon) as session:
        answer = await session.execute(
            fleets.DATABASE, "fault-report", "PUT a 1"
        )
    assert answer.position.index > 0


async def test_an_invalid_frame_fails_only_its_own_request(daemons):
    address = daemons[0].options.daemon.caller_address
    async with (
        asyncio.timeout(20),
        grpc.aio.insecure_channel(address) as channel,
    ):
        stream = open_stream(channel)
        for frame in INVALID_FRAMES:
            await stream.write(frame)
            reply = pb.DaemonFrame.FromString(await stream.read())
            assert reply.answer.failure.field
            assert reply.answer.last
        await check_service(daemons[0])
        opening = pb.CallerFrame(open=pb.Open(caller="c"))
        await stream.write(opening.SerializeToString())
        reply = pb.DaemonFrame.FromString(await stream.read())
        assert reply.opened.daemon == daemons[0].own.id
        large = pb.Request(
            sequence=3,
            request_id="r",
            database=fleets.DATABASE,
            kind="fault-report",
            statement=pb.Statement(text="x" * 300_000),
        )
        await stream.write(pb.CallerFrame(request=large).SerializeToString())
        reply = pb.DaemonFrame.FromString(await stream.read())
        assert reply.answer.sequence == 3
        assert reply.answer.failure.code == pb.INVALID
        assert reply.answer.failure.field == "request"
        await stream.done_writing()


async def test_malformed_link_messages_do_not_affect_service(daemons):
    address = daemons[0].options.daemon.link_address
    for frame in (b"\xff\xff", b"", b"\x82cabc\xa0", "text"):
        async with websockets_client.connect(f"ws://{address}") as link:
            await link.send(frame)
            await link.wait_closed()
    host, port = address.split(":")
    _, writer = await asyncio.open_connection(host, int(port))
    writer.write(b"\0" * 1000)
    await writer.drain()
    writer.close()
    await check_service(daemons[0])
    await check_service(daemons[1])


async def test_sessions_above_the_limit_are_refused():
    async with endpoint_groups.serve_group() as group:
        plan = fleets.build_group_plan(group)
        async with (
            fleets.serve_daemons(1, plan, limits={"sessions": 1}) as daemons,
            fleets.open_session(daemons[0]),
        ):
            address = daemons[0].options.daemon.caller_address
            options = client_options.SessionOptions(timeout=0.3)
            session = client_session.Session([address], "c", options=options)
            with pytest.raises(errors.NotRun):
                await session.start()
            await session.close()
