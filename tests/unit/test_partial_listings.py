"""Watches of objects of which some names cannot be read."""

import asyncio
import random

import pytest
import structlog

from fescuestile import errors
from fescuestile_platform import http
from fescuestile_platform import store
from fescuestile_platform import watches


class FakeStore(store.StoreClient):
    """Store that reports some objects without their names.

    :ivar objects: names of the objects
    :ivar hidden: names that listings and events do not show
    :ivar refused: whether single objects cannot be read
    :ivar changes: answers to the next watches
    """

    def __init__(self):
        super().__init__(http.HttpClient("127.0.0.1:1"))
        self.objects = {"a", "b", "c"}
        self.hidden: set[str] = set()
        self.refused = False
        self.changes: asyncio.Queue[store.Changes] = asyncio.Queue()
        self.reads: list[str] = []

    async def list_all(self, kind, allow_stale=False):
        await asyncio.sleep(0)
        names = self.objects - self.hidden
        found = {name: store.StoredObject(name, 1, {}) for name in names}
        return store.Listing(found, 1, is_partial=bool(self.hidden))

    async def watch(self, kind, since, seconds, era=None):
        return await self.changes.get()

    async def read(self, kind, name):
        self.reads.append(name)
        if self.refused:
            raise errors.PlatformUnavailable("no answer", step="read")
        if name not in self.objects:
            return None
        return store.StoredObject(name, 1, {})


@pytest.fixture
def fake_store():
    return FakeStore()


@pytest.fixture
def seen():
    return []


@pytest.fixture
async def watch(fake_store, seen):
    made = watches.ObjectWatch(
        fake_store,
        "servers",
        lambda objects: seen.append("".join(sorted(objects))),
        random.Random(1),
        3.0,
    )
    assert await made.refresh()
    yield made
    await made.close()


@pytest.mark.parametrize(
    ("refused", "expected"), [(False, "ab"), (True, "abc")]
)
async def test_a_known_object_is_not_gone_for_an_unreadable_name(
    fake_store, watch, seen, refused, expected
):
    """Guards against LOST: a member is taken as gone that exists."""
    fake_store.hidden = {"b"}
    fake_store.objects.discard("c")
    fake_store.refused = refused
    assert await watch.refresh()
    assert seen == ["abc", expected]
    assert sorted(fake_store.reads) == ["b", "c"]


async def test_unreadable_names_are_logged_once(fake_store, watch):
    fake_store.hidden = {"b"}
    with structlog.testing.capture_logs() as logs:
        for _ in range(3):
            await watch.refresh()
        fake_store.hidden = set()
        await watch.refresh()
    assert [each["event"].split()[0] for each in logs] == ["objects", "names"]


async def test_an_event_without_a_name_brings_a_new_listing(
    fake_store, watch, seen
):
    """Guards against an endpoint that is kept although it has left."""
    await watch.start()
    fake_store.objects.discard("c")
    fake_store.changes.put_nowait(store.Changes([], 2, is_partial=True))
    async with asyncio.timeout(2.0):
        while seen[-1] != "ab":
            await asyncio.sleep(0.01)
