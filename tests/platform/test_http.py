"""Tests of calls to services of the platform that are out of reach."""

import asyncio

import pytest

from fescuestile import errors
from fescuestile_platform import http


@pytest.fixture
async def server():
    running = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
    yield running
    running.close()


@pytest.fixture
def client(server):
    host, port = server.sockets[0].getsockname()
    client = http.HttpClient(f"{host}:{port}")
    yield client
    client.close()


async def test_a_service_that_accepts_connections_is_reachable(client):
    assert await client.is_reachable(0.5)


async def test_a_service_that_refuses_connections_is_not(server, client):
    server.close()
    assert not await client.is_reachable(0.5)


async def test_a_call_without_a_connection_was_not_executed(server, client):
    server.close()
    with pytest.raises(errors.PlatformRefused):
        await client.call("POST", "/promote", 0.5, {})


async def test_a_call_without_an_answer_may_have_been_executed(client):
    with pytest.raises(errors.PlatformUnavailable) as raised:
        await client.call("POST", "/promote", 0.05, {})
    assert not isinstance(raised.value, errors.PlatformRefused)
