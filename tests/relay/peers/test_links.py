"""Daemons send each other requests over links."""

import asyncio

import pytest

from fescuestile_daemon.relay.peers import link_frames
from fescuestile_daemon.relay.peers import links
from fescuestile_daemon.relay.peers import pauses
from tests.relay.peers import link_builders

Kind = link_frames.Kind
LinkFailure = links.LinkFailure


@pytest.fixture
async def pair(network):
    return await network.add(1), await network.add(2)


async def test_answers_come_in_any_order_on_one_link(pair):
    """Guards against answers that wait for, or go to, another request."""
    one, two = pair
    slow = asyncio.create_task(one.call(two, text="slow", delay=0.1))
    fast = [one.call(two, text=str(n), delay=0.01) for n in range(50)]
    answers = await asyncio.gather(*fast)
    assert not slow.done()
    assert [answer["echo"] for answer in answers] == [
        str(number) for number in range(50)
    ]
    assert (await slow)["echo"] == "slow"
    assert two.links.counts.opened == 1


async def test_a_request_of_a_mebibyte_passes_with_others(pair):
    """Guards against frames that are lost while the transport is full."""
    one, two = pair
    texts = [letter * 2**20 for letter in "abcd"]
    answers = await asyncio.gather(
        *(one.call(two, timeout=5.0, text=text) for text in texts)
    )
    assert [answer["echo"] for answer in answers] == texts
    for daemon in pair:
        context = daemon.links._context
        await link_builders.wait_until(lambda c=context: c.queued.used == 0)
        assert (context.partial.used, context.held.used) == (0, 0)


async def test_a_failed_request_may_have_run(pair):
    """Guards against a retry of work that failed half-way."""
    one, two = pair
    assert await one.call(two, error="x") == LinkFailure(True, "LookupError")


async def test_requests_to_strangers_were_not_sent(pair):
    one, _ = pair
    assert not (await one.links.call("d9", {}, 1.0)).sent
    assert not one.links.is_reachable("d9")


async def test_a_timeout_leaves_the_link_up(pair):
    """Guards against one slow request that costs the others their link."""
    one, two = pair
    assert await one.call(two, timeout=0.05, delay=0.4) == LinkFailure(
        True, "timed out"
    )
    await asyncio.sleep(0.4)
    assert (await one.call(two, text="next"))["echo"] == "next"
    assert one.links.is_reachable("d2")
    assert one.links.counts.opened == 1


async def test_a_cancelled_call_is_served_and_forgotten(pair):
    """Guards against calls that stay in the table for ever."""
    one, two = pair
    await one.call(two)
    task = asyncio.create_task(one.call(two, delay=0.1))
    await asyncio.sleep(0.03)
    task.cancel()
    await asyncio.sleep(0.15)
    assert len(two.handler.requests) == 2
    assert not one.links._states["d2"].outgoing._calls
    assert one.links.is_reachable("d2")


async def test_a_silent_peer_fails_its_requests_in_time(network, pair):
    """Guards against callers that wait for a frozen daemon."""
    one, _ = pair

    async def be_silent(reader, writer):
        await link_builders.read_frame(reader)
        writer.write(link_builders.hello(silent, one))
        await reader.read()

    silent = await network.add_raw(3, be_silent)
    loop = asyncio.get_running_loop()
    started = loop.time()
    results = await asyncio.gather(
        one.call(silent, timeout=5.0), one.call(silent, timeout=5.0)
    )
    assert list(results) == [LinkFailure(True, "silent")] * 2
    assert loop.time() - started < 0.5
    assert one.down == ["d3"]
    assert not one.links.is_reachable("d3")
    assert not (await one.call(silent)).sent


async def test_a_slow_request_is_no_silence(pair):
    """Guards against a link that is given up while its peer works."""
    one, two = pair
    assert (await one.call(two, timeout=2.0, delay=0.8))["by"] == "d1"


async def test_a_peer_that_says_nothing_was_sent_nothing(network, pair):
    """Guards against work in doubt for a connection that only a kernel took.

    A frozen process still accepts connections.
    """
    one, _ = pair

    async def ignore(reader, writer):
        await reader.read()

    frozen = await network.add_raw(3, ignore)
    assert await one.call(frozen) == LinkFailure(False, "no hello in time")
    assert one.down == ["d3"]


async def test_a_peer_that_starts_again_is_found_by_a_probe(network, pair):
    """Guards against a peer that stays out, or is used as if it were old."""
    one, two = pair
    await one.call(two)
    running = asyncio.create_task(one.call(two, delay=1.0))
    await two.call(one)
    await asyncio.sleep(0.05)
    two = await network.restart(two)
    assert (await running).sent
    assert one.down == ["d2"]
    assert one.handler.lost == ["d2"]
    assert not (await one.call(two)).sent
    await link_builders.wait_until(lambda: one.links.is_reachable("d2"))
    assert (await one.call(two, text="again"))["echo"] == "again"


async def test_a_hello_of_a_peer_ends_its_backoff(network, pair):
    """Guards against a back-off that outlasts the failure."""
    one, two = pair
    await one.call(two)
    await two.links.close()
    await link_builders.wait_until(lambda: one.down)
    one.links._states["d2"].failures = 9
    two = await network.restart(two)
    await two.call(one)
    await link_builders.wait_until(lambda: one.links.is_reachable("d2"), 0.25)


async def test_a_peer_that_leaves_completes_accepted_work(network, pair):
    """Guards against a shutdown that interrupts or gets new work."""
    one, two = pair
    running = asyncio.create_task(one.call(two, text="a", delay=0.2))
    await asyncio.sleep(0.05)
    two.links.announce_leaving()
    await link_builders.wait_until(lambda: not one.links.is_reachable("d2"))
    assert (await one.call(two, text="commit"))["echo"] == "commit"
    assert (await running)["echo"] == "a"
    assert one.down == []
    three = await network.add(3)
    await three.call(two)
    assert not three.links.is_reachable("d2")
    two = await network.restart(two)
    await link_builders.wait_until(lambda: one.links.is_reachable("d2"))


async def test_versions_are_announced_both_ways(network):
    """Guards against a version that only reaches the side that asks."""
    one = await network.add(1, version=4)
    two = await network.add(2, version=5)
    heard = []
    one.links.add_version_listener(lambda *version: heard.append(version))
    assert one.links.find_version("d2") is None
    await one.call(two)
    assert one.links.find_version("d2") == 5
    assert two.links.find_version("d1") == 4
    one.links.announce_version(6)
    two.links.announce_version(7)
    await link_builders.wait_until(
        lambda: (
            one.links.find_version("d2") == 7
            and two.links.find_version("d1") == 6
        )
    )
    assert heard == [("d2", 5), ("d2", 7)]


async def test_an_unused_link_is_closed_without_a_failure(network):
    """Guards against links of all daemons to all others."""
    options = link_builders.bound(idle=0.05, recent=0.05)
    one = await network.add(1, options=options)
    two = await network.add(2)
    await one.call(two)
    await link_builders.wait_until(lambda: two.handler.lost == ["d1"])
    assert one.links.is_reachable("d2")
    assert one.down == []
    assert (await one.call(two, text="new"))["echo"] == "new"


async def test_a_peer_that_is_no_longer_listed_may_not_speak(pair):
    """Guards against links that outlive a registration."""
    one, two = pair
    await one.call(two)
    running = asyncio.create_task(one.call(two, text="last", delay=0.1))
    await asyncio.sleep(0.03)
    two.links.set_peers([])
    assert not (await one.call(two)).sent
    assert (await running)["echo"] == "last"
    await link_builders.wait_until(lambda: two.handler.lost == ["d1"])


async def test_a_request_does_not_begin_after_its_link_was_lost(network, pair):
    """Guards against a transaction that no loss of a link rolls back."""
    one, two = pair
    _, writer = await network.say_hello(one, two)
    request = link_frames.encode(Kind.REQUEST, 1, {"text": "begin"})
    writer.write(request + link_frames.encode(Kind.ANSWER, 1, {}))
    await link_builders.wait_until(lambda: two.handler.lost == ["d1"])
    await asyncio.sleep(0.01)
    assert two.handler.requests == []
    assert two.links._context.held.used == 0


async def test_a_daemon_that_was_paused_runs_no_old_requests(pair):
    """Guards against a write that runs after its caller has given it up."""
    one, two = pair
    await one.call(two)
    two.links._pauses._checked_at -= 6.0
    result = await one.call(two, text="old")
    assert result == LinkFailure(False, "the daemon was paused")
    assert len(two.handler.requests) == 1
    assert (await one.call(two, text="new"))["echo"] == "new"


def test_a_pause_counts_before_peers_lose_their_patience():
    """Guards against defaults with which given-up requests are run.

    A daemon that was stopped for 0.36 s ran some when 0.4 s counted.
    """
    options = links.LinkOptions()
    assert pauses.BEAT_SECONDS < options.pause <= options.silence
