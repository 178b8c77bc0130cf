"""The watch of the platform's store keeps its copy current."""

import asyncio
import random

import pytest

from fescuestile import errors
from fescuestile_platform import http
from fescuestile_platform import store
from fescuestile_platform import watches


class FakeStore(store.StoreClient):
    """Store whose answers wait until the test lets them go.

    :ivar objects: names of the objects
    :ivar revision: revision of the latest change
    :ivar gates: events for which the calls wait, in order of the calls
    :ivar calls: list and watch calls, the latter as the revision since which
    """

    def __init__(self):
        super().__init__(http.HttpClient("127.0.0.1:1"))
        self.objects = ["a"]
        self.revision = 1
        self.gates: list[asyncio.Event] = []
        self.calls: list[str | int] = []
        self.available = True

    def put(self, name):
        self.objects.append(name)
        self.revision += 1

    def delay(self):
        """Make the next call wait; return the event that lets it go."""
        self.gates.append(asyncio.Event())
        return self.gates[-1]

    async def list_all(self, kind, allow_stale=False):
        self.calls.append("list")
        answer = store.Listing(self._make_objects(self.objects), self.revision)
        if self.gates:
            await self.gates.pop(0).wait()
        if not self.available:
            raise errors.PlatformUnavailable("no answer", step="list")
        return answer

    async def watch(self, kind, since, seconds, era=None):
        self.calls.append(since)
        while self.revision == since:
            await asyncio.sleep(0.001)
        changed = self._make_objects(self.objects[since:]).values()
        answer = [(each, False) for each in changed], self.revision
        if self.gates:
            await self.gates.pop(0).wait()
        return answer

    def _make_objects(self, names):
        return {name: store.StoredObject(name, 1, {}) for name in names}


@pytest.fixture
def fake_store():
    return FakeStore()


@pytest.fixture
def seen():
    return []


@pytest.fixture
def watch(fake_store, seen):
    return watches.ObjectWatch(
        fake_store,
        "servers",
        lambda objects: seen.append(sorted(objects)),
        random.Random(1),
        3.0,
    )


async def wait_seen(seen, names):
    async with asyncio.timeout(2.0):
        while not seen or seen[-1] != names:
            await asyncio.sleep(0.001)


async def test_a_refresh_is_current_while_the_watch_hangs(
    fake_store, watch, seen
):
    """Guards against decisions from a copy that a silent watch left behind.

    The answer to the watch comes after the refresh and is older than it.
    """
    await watch.start()
    await wait_seen(seen, ["a"])
    answer_to_watch = fake_store.delay()
    fake_store.put("b")
    await asyncio.sleep(0.01)
    fake_store.put("c")
    assert await watch.refresh()
    assert seen[-1] == ["a", "b", "c"]
    count = len(seen)
    answer_to_watch.set()
    fake_store.put("d")
    await wait_seen(seen, ["a", "b", "c", "d"])
    assert seen[count:] == [["a", "b", "c", "d"]]
    assert 3 in fake_store.calls
    await watch.close()


async def test_refreshes_at_the_same_time_share_a_listing(fake_store, watch):
    """Guards against a burst of listings when many groups fail at once."""
    first_answer = fake_store.delay()
    first = asyncio.create_task(watch.refresh())
    await asyncio.sleep(0.01)
    others = [asyncio.create_task(watch.refresh()) for _ in range(20)]
    await asyncio.sleep(0.01)
    first_answer.set()
    assert all(await asyncio.gather(first, *others))
    assert fake_store.calls == ["list", "list"]


async def test_a_slow_listing_does_not_replace_a_newer_one(
    fake_store, watch, seen
):
    slow_answer = fake_store.delay()
    await watch.start()
    await asyncio.sleep(0.01)
    fake_store.put("b")
    assert await watch.refresh()
    slow_answer.set()
    fake_store.put("c")
    await wait_seen(seen, ["a", "b", "c"])
    assert ["a"] not in seen
    await watch.close()


async def test_a_refresh_fails_without_an_answer(fake_store, watch, seen):
    fake_store.available = False
    assert not await watch.refresh()
    assert seen == []


async def test_changes_soon_after_each_other_share_a_watch(fake_store, seen):
    """Answers endpoints that change with each heartbeat while they start.

    A watch is a call of each daemon to the store.
    """
    watch = watches.ObjectWatch(
        fake_store,
        "servers",
        lambda objects: seen.append(sorted(objects)),
        random.Random(1),
        3.0,
        batch_seconds=0.2,
    )
    await watch.start()
    await wait_seen(seen, ["a"])
    for name in "bcde":
        fake_store.put(name)
        await asyncio.sleep(0.03)
    await wait_seen(seen, ["a", "b", "c", "d", "e"])
    assert len(seen) == 3
    assert fake_store.calls == ["list", 1, 2]
    await watch.close()
