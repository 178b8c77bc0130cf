import asyncio
import contextlib

import pytest

from fescuestile import endpoint_messages
from fescuestile import errors
from fescuestile import members
from fescuestile_daemon import links
from fescuestile_standins import hosts
from fescuestile_standins import wire
from fescuestile_standins import wire_messages
from tests import builders

# A silent connection is replaced within this time.
REPLACED_SECONDS = 2.0


class Peer:
    """Links that answer heartbeats."""

    def __init__(self, number: int) -> None:
        self.ip = hosts.make_ip(number, 1)
        self.member = builders.build_member(number)
        self.links = links.Links(self.member, self.ip)
        self.links.add_handler(endpoint_messages.Heartbeat, self.answer)
        self.links.add_handler(endpoint_messages.Answered, self.take)

    async def answer(self, peer, message):
        await self.links.reply(
            peer,
            endpoint_messages.Answered(
                message.id, endpoint_messages.Verdict.DONE
            ),
        )

    async def take(self, peer, message):
        self.links.resolve(message.id, message)

    async def ask(self, member: members.Member) -> links.Reply:
        return await self.links.request(
            member, endpoint_messages.Heartbeat, 10.0
        )


@pytest.fixture
async def wired():
    """Give two peers, the second behind a relay, and the wire's control."""
    async with contextlib.AsyncExitStack() as stack:
        served = wire.Wire()
        control = await wire.connect(
            await served.start(f"{hosts.make_ip(9, 1)}:0")
        )
        stack.push_async_callback(served.close)
        stack.push_async_callback(control.close)
        peers = [Peer(1), Peer(2)]
        for peer in peers:
            await peer.links.start(peer.ip, 0)
            stack.push_async_callback(peer.links.close)
        target = f"{hosts.make_ip(2, 1)}:{peers[1].links.port}"
        address = await control.add_relay(f"{hosts.make_ip(2, 1)}:0", target)
        member = builders.build_member(2, link_address=address)
        yield peers[0], member, control


async def test_a_silent_link_is_replaced(wired):
    peer, member, control = wired
    assert (await peer.ask(member)).is_ok()
    await control.silence(wire_messages.make_zone_side(1))
    async with asyncio.timeout(REPLACED_SECONDS):
        lost = await peer.ask(member)
        assert isinstance(lost.error, errors.ConnectionLost)
        assert (await peer.ask(member)).is_ok()


async def test_an_idle_link_is_left_alone(wired):
    peer, member, _ = wired
    await peer.ask(member)
    link = await peer.links.dial(member)
    assert not link.is_doubtful()
    await peer.links.send(member, endpoint_messages.Heartbeat(0))
    assert not link.is_doubtful()


async def test_a_failing_handler_costs_its_message_alone(wired):
    peer, member, _ = wired
    peer.links.add_handler(endpoint_messages.Answered, fail)
    timed_out = await peer.links.request(
        member, endpoint_messages.Heartbeat, 0.2
    )
    assert isinstance(timed_out.error, errors.ConnectionLost)
    peer.links.add_handler(endpoint_messages.Answered, peer.take)
    link = await peer.links.dial(member)
    assert (await peer.ask(member)).is_ok()
    assert await peer.links.dial(member) is link


async def fail(peer, message):
    raise RuntimeError("a handler's fault")


async def test_the_links_to_a_daemon_that_is_gone_end(wired):
    peer, member, _ = wired
    await peer.ask(member)
    peer.links.forget(member.id)
    async with asyncio.timeout(REPLACED_SECONDS):
        while peer.links.is_connected(member.id):
            await asyncio.sleep(0.01)
