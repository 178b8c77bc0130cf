"""Groups of endpoint stand-ins that run in the test's process."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import time

from fescuestile import endpoint_messages
from fescuestile import ports
from fescuestile_daemon import endpoint_adapter
from fescuestile_standins import endpoint_server

HOST = "127.0.0.1"
NAMES = ("one", "two", "three")
TIMEOUT = 2.0


def make_options(
    name: str = "one", **changes
) -> endpoint_server.EndpointOptions:
    options = endpoint_server.EndpointOptions(
        name=name,
        zone="muenchen",
        address=f"{HOST}:0",
        database="werkstatt-db",
        primary="one",
        service_seconds=0.0,
        connect_seconds=0.0,
    )
    return dataclasses.replace(options, **changes)


@contextlib.asynccontextmanager
async def serve(
    **changes,
) -> collections.abc.AsyncIterator[endpoint_server.EndpointServer]:
    endpoint = endpoint_server.EndpointServer(make_options(**changes))
    await endpoint.start()
    try:
        yield endpoint
    finally:
        await endpoint.close()


@contextlib.asynccontextmanager
async def serve_group(
    **changes,
) -> collections.abc.AsyncIterator[dict[str, endpoint_server.EndpointServer]]:
    group: dict[str, endpoint_server.EndpointServer] = {}
    async with contextlib.AsyncExitStack() as stack:
        for name in NAMES:
            peers = {key: value.address for key, value in group.items()}
            context = serve(name=name, peers=peers, **changes)
            group[name] = await stack.enter_async_context(context)
        yield group


async def connect(
    endpoint: endpoint_server.EndpointServer, control: bool = False
) -> ports.EndpointConnection:
    dialer = endpoint_adapter.make_dialer("daemon", HOST)
    opened = await dialer.connect(endpoint.address, control, TIMEOUT)
    assert opened.is_ok(), opened
    return opened.ok


async def execute(
    connection: ports.EndpointConnection, text: str, term: int = 1, **fields
) -> endpoint_messages.Answered:
    read_only = fields.pop("read_only", text.startswith("GET"))
    command = endpoint_messages.Execute(
        connection.next_id(), term, text, read_only, **fields
    )
    reply = await connection.execute(command, TIMEOUT)
    assert reply.is_ok(), reply
    return reply.ok


async def wait_until(
    condition: collections.abc.Callable[[], object], timeout: float = 5.0
) -> None:
    end = time.monotonic() + timeout
    while not condition():
        assert time.monotonic() < end, "the condition was not met in time"
        await asyncio.sleep(0.005)
