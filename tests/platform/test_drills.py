"""The stand-in store's drills."""

import asyncio
import contextlib

import pytest
import pytest_asyncio

from fescuestile import errors
from fescuestile_platform import http
from tests.platform.standins import drills
from tests.platform.standins import group as wire_group
from tests.platform.standins import store as wire_store

WATCH = "/v1/objects/{}?watch={}&wait_ms={}"
QUICK = drills.Drill(
    away_seconds=0.1,
    operator_seconds=0.1,
    endpoint_seconds=0.2,
    removal_seconds=0.3,
)


@pytest_asyncio.fixture
async def store():
    made = wire_store.Store()
    await made.start()
    yield made
    await made.close()


class Headers(http.HttpClient):
    """Opens a connection for each call and keeps the raw answer."""

    async def fetch(self, method, path):
        """Return the head of an answer."""
        host, port = self.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        request = f"{method} {path} HTTP/1.1\r\nContent-Length: 0\r\n\r\n"
        writer.write(request.encode())
        head = await reader.readuntil(b"\r\n\r\n")
        writer.close()
        return head.decode()


@pytest_asyncio.fixture
async def client(store):
    made = Headers(store.address)
    yield made
    made.close()


async def fetch_all(client):
    """Return the heads of a listing, an object, no object and a watch."""
    paths = (
        "/v1/objects/config",
        "/v1/objects/config/main",
        "/v1/objects/config/none",
        WATCH.format("config", 1000, 1000),
    )
    return [await client.fetch("GET", path) for path in paths]


async def test_all_answers_name_the_era(store, client):
    store.put("config", "main", {"version": 1})
    heads = await fetch_all(client)
    assert [head.split()[1] for head in heads] == ["200", "200", "404", "410"]
    assert all("Store-Era: 1\r\n" in head for head in heads)
    store.faults.status = 503
    assert "Store-Era: 1\r\n" in (await fetch_all(client))[0]
    store.faults.status = 0
    await drills.restore(store, drills.take_copy(store), QUICK)
    assert all("Store-Era: 2\r\n" in head for head in await fetch_all(client))
    store.era = None
    assert not any("Store-Era" in head for head in await fetch_all(client))


async def test_the_system_loses_what_it_wrote_and_others_write_again(store):
    endpoints = wire_group.Group("g0").endpoints.values()
    stays, leaves, removed = endpoints
    for endpoint in endpoints:
        store.register(endpoint)
    store.put("config", "main", {"version": 1})
    store.put("leases", "promotion", {"token": 1})
    older = drills.take_copy(store)
    store.register(leaves, state="draining")
    store.remove("servers", removed.name)
    store.put("config", "main", {"version": 2})
    store.put("leases", "promotion", {"token": 2})
    newest = store.revision
    await drills.restore(store, older, QUICK)
    assert store.era == 2
    assert store.revision == older.revision < newest
    assert store.objects["config", "main"]["spec"] == {"version": 1}
    assert store.objects["leases", "promotion"]["spec"] == {"token": 1}
    await asyncio.sleep(0.5)
    assert store.objects["config", "main"]["spec"] == {"version": 2}
    assert store.objects["leases", "promotion"]["spec"] == {"token": 1}
    entry = store.objects["servers", leaves.name]["spec"]
    assert entry["state"] == "draining"
    assert ("servers", stays.name) in store.objects
    assert ("servers", removed.name) not in store.objects
    assert store.revision == older.revision + 3


async def test_what_is_written_since_the_return_stays(store):
    store.put("config", "main", {"version": 1})
    older = drills.take_copy(store)
    store.put("config", "main", {"version": 2})
    await drills.restore(store, older, QUICK)
    store.put("config", "main", {"version": 3})
    await asyncio.sleep(0.3)
    assert store.objects["config", "main"]["spec"] == {"version": 3}


async def test_a_copy_can_come_back_twice(store):
    store.put("config", "main", {"version": 1})
    older = drills.take_copy(store)
    store.put("config", "main", {"version": 2})
    for era in (2, 3):
        await drills.restore(store, older, QUICK)
        assert store.era == era
        assert store.objects["config", "main"]["spec"] == {"version": 1}
    await asyncio.sleep(0.3)
    assert store.objects["config", "main"]["spec"] == {"version": 2}


@pytest.mark.parametrize("way", drills.Way)
async def test_the_store_is_away_before_it_comes_back(store, client, way):
    older = drills.take_copy(store)
    store.put("config", "main", {"version": 1})
    waiting = asyncio.create_task(
        client.call(
            "GET", WATCH.format("config", store.revision, 2000), timeout=1.0
        )
    )
    await asyncio.sleep(0.05)
    drill = drills.Drill(away_seconds=0.5, way=way, operator_seconds=5.0)
    away = asyncio.create_task(drills.restore(store, older, drill))
    await asyncio.sleep(0.1)
    status = 0
    with contextlib.suppress(errors.PlatformUnavailable):
        answer = await client.call("GET", "/v1/objects/config", timeout=0.2)
        status = answer.status
    assert status == (503 if way == drills.Way.BUSY else 0)
    await away
    answer = await client.call("GET", "/v1/objects/config", timeout=0.5)
    assert answer.body["as_of"] == older.revision
    if way == drills.Way.BUSY:
        assert (await waiting).status == 410
        return
    with pytest.raises(errors.PlatformUnavailable):
        await waiting


async def test_revisions_are_given_out_again(store, client):
    store.put("config", "main", {"version": 1})
    older = drills.take_copy(store)
    store.put("config", "main", {"version": 2})
    store.put("config", "main", {"version": 3})
    before = store.revision
    await drills.restore(store, older, QUICK)
    path = WATCH.format("config", before, 100)
    assert (await client.call("GET", path, 1.0)).status == 410
    for version in (4, 5, 6):
        store.put("config", "main", {"version": version})
    body = (await client.call("GET", path, 1.0)).body
    versions = [each["object"]["spec"]["version"] for each in body["events"]]
    assert versions == [6]
