"""The client of the platform's store tells its eras apart."""

import asyncio

import pytest
import structlog

from fescuestile import errors
from fescuestile_platform import http
from fescuestile_platform import store

STORED = {"meta": {"name": "a", "revision": 3}, "spec": {}}


class FakeClient(http.HttpClient):
    """Answers calls with prepared responses, in order.

    :ivar calls: methods and paths
    :ivar responses: responses not sent yet
    """

    def __init__(self):
        super().__init__("127.0.0.1:1")
        self.calls = []
        self.responses = []

    def add(self, era, body=None, status=200):
        """Add a response.

        :param era: text of the header, None for no header
        """
        headers = {} if era is None else {"store-era": era}
        self.responses.append(http.Response(status, body or STORED, headers))

    async def call(self, method, path, timeout, body=None, headers=None):
        self.calls.append((method, path))
        return self.responses.pop(0)


@pytest.fixture
def client():
    return FakeClient()


@pytest.fixture
def heard():
    return []


@pytest.fixture
def store_client(client, heard):
    made = store.StoreClient(client)
    made.add_era_listener(lambda before, era: heard.append((before, era)))
    return made


async def read(store_client):
    return await store_client.read("leases", "a")


async def test_a_change_is_heard_once_with_both_eras(
    client, store_client, heard
):
    for era in ("3", "4", "4"):
        client.add(era)
    with structlog.testing.capture_logs() as logs:
        found = [await read(store_client) for _ in range(3)]
    assert [each.era for each in found] == [3, 4, 4]
    assert heard == [(3, 4)]
    assert (store_client.era, store_client.era_changes) == (4, 1)
    assert [(each["before"], each["era"]) for each in logs] == [(3, 4)]


async def test_the_first_answer_is_no_change(client, store_client, heard):
    client.add("7")
    with structlog.testing.capture_logs() as logs:
        await read(store_client)
    assert (heard, logs) == ([], [])
    assert store_client.era == 7


async def test_a_store_without_eras_works(client, store_client, heard):
    client.add(None)
    client.add(None)
    with structlog.testing.capture_logs() as logs:
        assert (await read(store_client)).era == 0
        assert await store_client.replace("leases", "a", {}, 3, 0)
    assert (heard, logs) == ([], [])


async def test_the_first_era_after_answers_without_one_is_a_change(
    client, store_client, heard
):
    """A store that was upgraded may have been restored with that."""
    client.add(None)
    client.add("5")
    await read(store_client)
    await read(store_client)
    assert heard == [(0, 5)]


async def test_an_answer_of_an_earlier_era_is_not_applied(
    client, store_client, heard
):
    client.add("4")
    await read(store_client)
    client.add("3")
    client.add("3")
    with structlog.testing.capture_logs() as logs:
        for _ in range(2):
            with pytest.raises(errors.PlatformUnavailable, match="era"):
                await read(store_client)
    assert store_client.era == 4
    assert heard == []
    assert len(logs) == 1
    client.add("4")
    assert (await read(store_client)).era == 4


@pytest.mark.parametrize("text", [None, "", "x", "-5", "4.0", "9" * 400])
async def test_an_answer_of_an_unknown_era_may_hide_a_change(
    client, store_client, heard, text
):
    """Guards against a daemon that hears no configuration any more."""
    client.add("4")
    await read(store_client)
    for each in (text, text, "4", text, "5"):
        client.add(each)
    with structlog.testing.capture_logs() as logs:
        found = [await read(store_client) for _ in range(4)]
    assert [each.era for each in found] == [4, 4, 4, 4]
    assert heard == [(4, 4)]
    assert len(logs) == 1
    assert (await read(store_client)).era == 5
    assert heard == [(4, 4), (4, 5)]


@pytest.mark.parametrize("status", [200, 409])
async def test_a_write_answered_in_an_earlier_era_has_an_unknown_outcome(
    client, store_client, status
):
    client.add("4")
    await read(store_client)
    client.add("3", status=status)
    with pytest.raises(errors.PlatformUnavailable) as raised:
        await store_client.replace("leases", "a", {}, 3)
    assert not isinstance(raised.value, errors.PlatformRefused)


async def test_a_number_that_is_none_from_the_start_is_logged_once(
    client, store_client, heard
):
    client.add("x")
    client.add("x")
    with structlog.testing.capture_logs() as logs:
        assert (await read(store_client)).era == 0
        await read(store_client)
    assert len(logs) == 1
    assert heard == []


async def test_eras_that_were_skipped_are_one_change(
    client, store_client, heard
):
    client.add("3")
    client.add("6")
    await read(store_client)
    with structlog.testing.capture_logs() as logs:
        await read(store_client)
    assert heard == [(3, 6)]
    assert [each["skipped"] for each in logs] == [2]


async def test_a_refused_call_tells_of_the_era(client, store_client, heard):
    client.add("3")
    client.add("4", status=503)
    await read(store_client)
    with pytest.raises(errors.PlatformRefused):
        await read(store_client)
    assert heard == [(3, 4)]


async def test_a_conditional_write_is_not_sent_in_another_era(
    client, store_client
):
    client.add("3")
    client.add("4")
    found = await read(store_client)
    await store_client.read("leases", "b")
    count = len(client.calls)
    assert await store_client.replace("leases", "a", {}, 3, found.era) is None
    assert await store_client.create("leases", "b", {}, found.era) is None
    assert len(client.calls) == count


async def test_a_write_executed_in_another_era_has_an_unknown_outcome(
    client, store_client
):
    """The condition may have held by chance: revisions are given again."""
    client.add("3")
    client.add("4")
    found = await read(store_client)
    with pytest.raises(errors.PlatformUnavailable, match="era"):
        await store_client.replace("leases", "a", {}, 3, found.era)
    client.add("5")
    with pytest.raises(errors.PlatformUnavailable, match="era"):
        await store_client.create("leases", "b", {}, 4)


async def test_a_write_refused_in_another_era_is_not_executed(
    client, store_client
):
    client.add("3")
    client.add("4", status=409)
    found = await read(store_client)
    assert await store_client.replace("leases", "a", {}, 3, found.era) is None


async def test_a_listing_holds_objects_of_one_era(client, store_client):
    page = {"items": [STORED], "as_of": 9, "truncated": True}
    client.add("3", page)
    client.add("4", page)
    with pytest.raises(errors.PlatformUnavailable, match="era"):
        await store_client.list_all("leases")


async def test_a_watch_does_not_go_on_in_another_era(client, store_client):
    client.add("3", {"items": [], "as_of": 9})
    listing = await store_client.list_all("leases")
    client.add("4", {"events": [], "as_of": 12})
    assert (
        await store_client.watch("leases", listing.as_of, 1.0, listing.era)
        is None
    )


async def test_the_header_is_read_from_the_connection():
    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 404 -\r\nSTORE-Era: 12\r\n")
        writer.write(b"Content-Length: 2\r\n\r\n{}")
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    connected = http.HttpClient(f"127.0.0.1:{port}")
    made = store.StoreClient(connected)
    assert await read(made) is None
    assert made.era == 12
    connected.close()
    server.close()
