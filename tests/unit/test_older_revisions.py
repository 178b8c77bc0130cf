"""Revisions that fall within an era of the store are taken as a drill."""

import random

import pytest
import structlog.testing

from fescuestile_platform import store
from fescuestile_platform import watches
from tests.unit import test_object_watch
from tests.unit import test_store_eras


@pytest.fixture
def heard():
    return []


@pytest.fixture
def client():
    return test_store_eras.FakeClient()


@pytest.fixture
def store_client(client, heard):
    made = store.StoreClient(client)
    made.add_era_listener(lambda before, era: heard.append((before, era)))
    return made


def make_body(revision):
    """Return the body of an answer with an object."""
    return {"meta": {"name": "a", "revision": revision}, "spec": {}}


@pytest.mark.parametrize("era", ["3", None])
async def test_an_object_that_goes_back_is_a_change(
    client, store_client, heard, era
):
    """Guards against LOST: the record lacks a promotion."""
    for revision in (5, 7, 6, 6, 8):
        client.add(era, make_body(revision))
    with structlog.testing.capture_logs() as logs:
        found = [await store_client.read("members", "a") for _ in range(5)]
    numbers = [each.era for each in found]
    assert numbers[0] == numbers[1] < numbers[2]
    assert numbers[2:] == [store_client.era] * 3
    assert heard == [(numbers[0], numbers[2])]
    assert len(logs) == 2


async def test_a_written_object_that_goes_back_is_a_change(
    client, store_client, heard
):
    client.add("3", make_body(7))
    client.add("3", make_body(6))
    await store_client.replace("members", "a", {}, 5, None)
    await store_client.read("members", "a")
    assert len(heard) == 1


async def test_revisions_are_compared_by_object(client, store_client, heard):
    client.add("3", make_body(7))
    client.add("3", {**make_body(4), "meta": {"name": "b", "revision": 4}})
    client.add("3", make_body(7))
    await store_client.read("members", "a")
    await store_client.read("members", "b")
    await store_client.read("leases", "a")
    assert heard == []


async def test_revisions_of_a_drill_are_no_further_change(
    client, store_client, heard
):
    client.add("3", make_body(7))
    client.add("4", make_body(5))
    client.add("4", make_body(6))
    for _ in range(3):
        await store_client.read("members", "a")
    assert heard == [(3, 4)]


async def test_reads_that_overlap_are_no_change(
    client, store_client, heard, monkeypatch
):
    """The one that was sent first may be answered last."""
    client.add("3", make_body(6))
    client.add("3", make_body(7))
    await store_client.read("members", "a")
    call = client.call

    async def call_slowly(*parts):
        monkeypatch.setattr(client, "call", call)
        client.add("3", make_body(6))
        older = client.responses.pop()
        await store_client.read("members", "a")
        return older

    monkeypatch.setattr(client, "call", call_slowly)
    assert (await store_client.read("members", "a")).revision == 6
    assert heard == []


@pytest.mark.parametrize("header", [None, "1"])
async def test_a_listing_that_goes_back_is_a_change(heard, header):
    """Guards against ONE and LOST in a store that names no new era."""
    fake_store = test_object_watch.FakeStore()
    fake_store.add_era_listener(
        lambda before, era: heard.append((before, era))
    )
    seen: list[list[str]] = []
    watch = watches.ObjectWatch(
        fake_store,
        "servers",
        lambda objects: seen.append(sorted(objects)),
        random.Random(1),
        1.0,
    )
    await test_object_watch.start_watch(
        fake_store, watch, seen, "abcd", header
    )
    before = fake_store.era
    fake_store.restore("ab", header)
    await test_object_watch.wait_seen(seen, ["a", "b"])
    assert heard == [(before, fake_store.era)]
    assert fake_store.era > before
    fake_store.put("e")
    await test_object_watch.wait_seen(seen, ["a", "b", "e"])
    assert len(heard) == 1
    await watch.close()
