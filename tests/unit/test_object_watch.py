"""The watch of the platform's store keeps its copy current."""

import asyncio
import random
import time

import pytest
import structlog

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
    :ivar header: era that the answers name, None for none
    """

    def __init__(self):
        super().__init__(http.HttpClient("127.0.0.1:1"))
        self.objects = ["a"]
        self.revision = 1
        self.gates: list[asyncio.Event] = []
        self.calls: list[str | int] = []
        self.available = True
        self.header: str | None = None

    def put(self, name):
        self.objects.append(name)
        self.revision += 1

    def restore(self, names, header):
        """Go on from a copy, with one revision for each object."""
        self.objects, self.revision = list(names), len(names)
        self.header = header

    def hear(self, header=None):
        """Record the era of an answer; return it.

        :param header: era that it names, by default that of the store
        """
        text = header or self.header
        headers = {} if text is None else {"store-era": text}
        era = self._eras.record(headers, time.monotonic())
        if era is None:
            raise errors.PlatformUnavailable("earlier era", step="list")
        return era

    def delay(self):
        """Make the next call wait; return the event that lets it go."""
        self.gates.append(asyncio.Event())
        return self.gates[-1]

    async def list_all(self, kind, allow_stale=False):
        self.calls.append("list")
        names, revision = list(self.objects), self.revision
        header = self.header
        await asyncio.sleep(0.001)
        if self.gates:
            await self.gates.pop(0).wait()
        if not self.available:
            raise errors.PlatformUnavailable("no answer", step="list")
        era = self.hear(header)
        return store.Listing(self._make_objects(names), revision, era)

    async def watch(self, kind, since, seconds, era=None):
        self.calls.append(since)
        while self.revision == since:
            await asyncio.sleep(0.001)
        changed = self._make_objects(self.objects[since:]).values()
        events = [(each, False) for each in changed]
        answer = store.Changes(events, self.revision)
        is_gone, header = since > self.revision, self.header
        await asyncio.sleep(0)
        if self.gates:
            await self.gates.pop(0).wait()
        if self.hear(header) != (era or self.era) or is_gone:
            return None
        return answer

    def _make_objects(self, names):
        """Return objects whose revisions are their places."""
        return {
            name: store.StoredObject(name, place, {}, self._eras.current)
            for place, name in enumerate(names, 1)
        }


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


async def start_watch(fake_store, watch, seen, names, header):
    """Start the watch at a store that holds objects."""
    fake_store.restore(names, header)
    await watch.start()
    await wait_seen(seen, sorted(names))


async def test_a_listing_of_a_later_era_is_applied(fake_store, watch, seen):
    """Answers a drill: revisions go back, and are given out again."""
    await start_watch(fake_store, watch, seen, "abcd", "1")
    fake_store.restore("ab", "2")
    await wait_seen(seen, ["a", "b"])
    fake_store.put("e")
    await wait_seen(seen, ["a", "b", "e"])
    assert fake_store.calls == ["list", 4, "list", 2]
    await watch.close()


async def test_a_watch_from_a_revision_given_out_again_lists(
    fake_store, watch, seen
):
    """The copy lacks c, and another object has its revision."""
    await start_watch(fake_store, watch, seen, "abc", "1")
    fake_store.restore("abxy", "2")
    await wait_seen(seen, ["a", "b", "x", "y"])
    assert ["a", "b", "c", "y"] not in seen
    await watch.close()


class ReturningStore(FakeStore):
    """Goes away during the first watch, and back to the watched revision.

    :ivar lengths: seconds of each watch
    """

    def __init__(self):
        super().__init__()
        self.lengths: list[float] = []

    async def watch(self, kind, since, seconds, era=None):
        self.lengths.append(seconds)
        if len(self.lengths) == 1:
            self.restore("abx", "2")
            raise errors.PlatformUnavailable("connection lost", step="watch")
        await asyncio.sleep(seconds)
        return None if self.hear() != era else ([], since)


async def test_a_watch_that_is_taken_up_again_hears_of_the_era_soon(seen):
    """Guards against an entry kept until the next watch ends, 3 s later.

    The revision of the watch has been given out again, so it is not refused.
    """
    returning = ReturningStore()
    watch = watches.ObjectWatch(
        returning,
        "servers",
        lambda objects: seen.append(sorted(objects)),
        random.Random(1),
        3.0,
    )
    await start_watch(returning, watch, seen, "abc", "1")
    async with asyncio.timeout(1.0):
        while seen[-1] != ["a", "b", "x"] or len(returning.lengths) < 3:
            await asyncio.sleep(0.001)
    first, resumed, later = returning.lengths[:3]
    assert resumed < first == later
    await watch.close()


async def test_a_watch_under_way_ends_when_another_call_names_a_new_era(
    fake_store, watch, seen
):
    """The connection of the watch has gone silent."""
    await start_watch(fake_store, watch, seen, "abc", "1")
    fake_store.delay()
    fake_store.restore("ab", "2")
    await asyncio.sleep(0.01)
    fake_store.hear()
    await wait_seen(seen, ["a", "b"])
    await watch.close()


async def test_a_refresh_does_not_share_a_listing_of_a_former_era(fake_store):
    """The era changes after the listing and before the refresh uses it."""
    seen = []

    def record(objects):
        seen.append(sorted(objects))
        if len(seen) == 2:
            fake_store.restore("a", "2")
            fake_store.hear()

    fake_store.restore("ab", "1")
    watch = watches.ObjectWatch(
        fake_store, "servers", record, random.Random(1), 3.0
    )
    first_answer = fake_store.delay()
    refreshes = [asyncio.create_task(watch.refresh()) for _ in range(3)]
    await asyncio.sleep(0.01)
    first_answer.set()
    assert all(await asyncio.gather(*refreshes))
    assert seen == [["a", "b"], ["a", "b"], ["a"]]


async def test_a_listing_of_a_former_era_is_not_applied(
    fake_store, watch, seen
):
    """It was answered before the store went away and arrives late."""
    await start_watch(fake_store, watch, seen, "abc", "1")
    late_answer = fake_store.delay()
    refresh = asyncio.create_task(watch.refresh())
    await asyncio.sleep(0.01)
    fake_store.restore("ab", "2")
    await wait_seen(seen, ["a", "b"])
    late_answer.set()
    assert not await refresh
    assert seen[-1] == ["a", "b"]
    await watch.close()


async def test_a_store_that_goes_back_without_an_era_is_followed(
    fake_store, watch, seen
):
    """Answers a store that names no era, and one whose era stays."""
    await start_watch(fake_store, watch, seen, "abcd", None)
    with structlog.testing.capture_logs() as logs:
        fake_store.restore("ab", None)
        await wait_seen(seen, ["a", "b"])
    falls = [each for each in logs if "went back" in each["event"]]
    assert [(each["before"], each["as_of"]) for each in falls] == [(4, 2)]
    fake_store.put("e")
    await wait_seen(seen, ["a", "b", "e"])
    assert fake_store.calls.count("list") == 2
    await watch.close()


async def test_objects_of_a_copy_are_known_until_they_change(
    fake_store, watch, seen
):
    def list_copied():
        found = fake_store._make_objects(fake_store.objects).values()
        return [each.name for each in found if watch.is_copied(each)]

    await start_watch(fake_store, watch, seen, "abc", "1")
    assert list_copied() == []
    fake_store.restore("ab", "2")
    await wait_seen(seen, ["a", "b"])
    assert list_copied() == ["a", "b"]
    fake_store.objects[1] = "x"
    fake_store.put("b")
    await wait_seen(seen, ["a", "b"])
    assert await watch.refresh()
    assert list_copied() == ["a"]
    await watch.close()


class SilentStore(FakeStore):
    """Store whose first watches get no answer.

    :ivar lengths: seconds that each watch asked for
    :ivar silent_seconds: time until each of these watches is given up
    """

    def __init__(self, silent_seconds):
        super().__init__()
        self.lengths = []
        self.silent_seconds = silent_seconds

    async def watch(self, kind, since, seconds, era=None):
        self.lengths.append(seconds)
        if self.silent_seconds:
            await asyncio.sleep(self.silent_seconds.pop(0))
            raise errors.PlatformUnavailable("no answer", step="watch")
        return await super().watch(kind, since, seconds, era)


def make_watch(fake_store, seen, seconds):
    return watches.ObjectWatch(
        fake_store, "config", seen.append, random.Random(1), seconds
    )


async def test_two_watches_fit_into_the_time_for_a_change(seen):
    """Guards against a change that a silent connection makes late."""
    silent = SilentStore([0.5])
    watch = make_watch(silent, seen, 5.0)
    await watch.start()
    began_at = time.monotonic()
    async with asyncio.timeout(2.0):
        while len(silent.lengths) < 2:
            await asyncio.sleep(0.001)
    # It waited longer than the delay after a failed call.
    assert time.monotonic() - began_at < 0.55 + 0.2
    assert silent.lengths[0] + 2 * store.WATCH_HEADROOM_SECONDS <= 5.0
    await watch.close()


async def test_calls_are_short_until_the_store_answers(seen):
    """Guards against a call of a cut that stays silent for long after it."""
    silent = SilentStore([0.0, 0.0])
    watch = make_watch(silent, seen, 5.0)
    await watch.start()
    async with asyncio.timeout(3.0):
        while len(silent.lengths) < 3:
            await asyncio.sleep(0.001)
    silent.put("b")
    async with asyncio.timeout(3.0):
        while len(silent.lengths) < 4:
            await asyncio.sleep(0.001)
    short = watches.RESUMED_WATCH_SECONDS
    assert silent.lengths == [3.6, short, short, 3.6]
    await watch.close()


async def test_a_restarted_watch_begins_at_once(fake_store, watch, seen):
    """Guards against changes missed while a watch waits on a dead link."""
    await watch.start()
    await wait_seen(seen, ["a"])
    fake_store.delay()
    fake_store.put("b")
    await asyncio.sleep(0.02)
    watch.restart()
    await wait_seen(seen, ["a", "b"])
    await watch.close()
