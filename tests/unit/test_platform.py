import asyncio
import random

import pytest

from fescuestile import errors
from fescuestile import platform_messages
from fescuestile import ports
from fescuestile_daemon import platform_adapter
from fescuestile_standins import hosts
from fescuestile_standins import platform


@pytest.fixture
async def address():
    server = platform.Platform()
    yield await server.start("127.0.0.1:0")
    await server.close()


@pytest.fixture
async def adapter(address):
    made = platform_adapter.PlatformAdapter(
        (address,),
        hosts.make_ip(3, 1),
        timeout=0.3,
        random_source=random.Random(1),
    )
    yield made
    await made.close()


@pytest.fixture
def hooks(address):
    return platform.HookClient(address)


async def test_a_write_names_the_version_it_replaces(adapter):
    first = (await adapter.write("plan/a", b"1", 0, "c1")).ok
    conflict = await adapter.write("plan/a", b"2", 0, "c2")
    assert isinstance(conflict.error, errors.VersionConflict)
    assert (await adapter.write("plan/a", b"3", first.version, "c3")).is_ok()
    assert (await adapter.read("plan/a")).ok.value == b"3"
    assert (await adapter.read("plan/b")).ok is None


async def test_a_repeated_change_id_returns_the_first_outcome(adapter):
    first = await adapter.write("plan/a", b"1", 0, "c1")
    assert await adapter.write("plan/a", b"other", 0, "c1") == first


async def test_a_write_whose_answer_is_lost_is_in_force(adapter, hooks):
    await hooks.send(platform_messages.SetFaults(id=0, lose_replies=1))
    lost = await adapter.write("plan/a", b"1", 0, "c1")
    assert isinstance(lost.error, errors.PlatformUnavailable)
    assert (await adapter.write("plan/a", b"1", 0, "c1")).ok.version == 1


async def test_objects_larger_than_a_frame_together_are_listed_in_pages(
    adapter,
):
    value = b"x" * platform_messages.MAX_VALUE_BYTES
    for number in range(5):
        await adapter.write(f"plan/{number}", value, 0, str(number))
    found = (await adapter.list_objects("plan/")).ok
    assert [stored.path for stored in found] == [
        f"plan/{number}" for number in range(5)
    ]
    too_large = await adapter.write("plan/9", value + b"x", 0, "9")
    assert too_large.error.field == "value"


async def test_a_watch_yields_missed_and_new_changes_and_counts_once(
    adapter, hooks
):
    await adapter.write("plan/a", b"1", 0, "c1")
    await adapter.write("audit/a", b"1", 0, "c2")
    watch = adapter.watch("plan/", 0)
    assert (await anext(watch)).value == b"1"
    await adapter.write("plan/b", b"2", 0, "c3")
    assert (await anext(watch)).path == "plan/b"
    counters = await hooks.send(platform_messages.ReadCounters(id=0))
    assert (counters.watches, counters.waiting) == (1, 1)
    assert (counters.writes, counters.reads) == (3, 0)
    await hooks.send(platform_messages.SetFaults(id=0, down=True))
    with pytest.raises(StopAsyncIteration):
        await anext(watch)


async def test_an_outage_gives_typed_errors_and_ends(adapter, hooks):
    await adapter.read("plan/a")
    await hooks.send(platform_messages.SetFaults(id=0, down=True))
    down = await adapter.read("plan/a")
    assert isinstance(down.error, errors.PlatformUnavailable)
    await hooks.send(platform_messages.SetFaults(id=0, slow_ms=1000))
    async with asyncio.timeout(10):
        while (down := await adapter.read("plan/a")).is_error():
            if "no answer" in down.error.message:
                break
            await asyncio.sleep(0.02)
    assert "no answer" in down.error.message
    await hooks.send(platform_messages.SetFaults(id=0))
    async with asyncio.timeout(10):
        while (await adapter.read("plan/a")).is_error():
            await asyncio.sleep(0.02)


async def test_the_host_list_lags_and_marks_leaving_hosts(adapter, hooks):
    host = ports.HostEntry("h1", "etna-uno", "127.0.1.1:1", "daemon", False)
    await hooks.send(platform_messages.SetHosts(id=0, hosts=(host,)))
    assert (await adapter.list_hosts()).ok == (host,)
    await hooks.send(platform_messages.MarkLeaving(id=0, name="h1"))
    leaving = (await adapter.list_hosts()).ok
    assert [entry.leaving for entry in leaving] == [True]
    await hooks.send(
        platform_messages.MarkLeaving(
            id=0, name="h1", leaving=False, lag_ms=60_000
        )
    )
    assert (await adapter.list_hosts()).ok == leaving


def test_hosts_are_read_from_ini(tmp_path):
    file = tmp_path / "hosts.ini"
    file.write_text("[h1]\nzone = z\naddress = 127.0.1.1:1\nleaving = yes\n")
    expected = ports.HostEntry("h1", "z", "127.0.1.1:1", "daemon", True)
    assert platform.read_hosts(str(file)) == (expected,)
