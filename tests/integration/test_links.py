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

# Limit for replacing an unresponsive connection.
REPLACE_TIMEOUT_SECONDS = 2.0


class Peer:
    """The links of a daemon that answers heartbeats."""

    def __init__(self, number: int) -> None:
        self.ip = hosts.make_ip(number, 1)
        self.member = builders.build_member(number)
        self.links = links.Links(self.member, self.ip)
        self.links.add_handler(endpoint_messages.Heartbeat, self.answer)
        self.links.add_handler(endpoint_messages.Answered, self.receive)

    async def answer(self, peer, message):
        await self.links.reply(
            peer,
            endpoint_messages.Answered(
                message.id, endpoint_messages.Verdict.DONE
            ),
        )

    async def receive(self, peer, message):
        self.links.resolve(message.id, message)

    async def probe(self, member: members.Member) -> links.Reply:
        return await self.links.request(
            member, endpoint_messages.Heartbeat, 10.0
        )


@pytest.fixture
async def connected():
    """Return a peer, the member of a second peer and the wire's control.

    The second peer is reached through a relay of the wire stand-in.
    """
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


async def test_an_unresponsive_link_is_replaced(connected):
    peer, member, control = connected
    assert (await peer.probe(member)).is_ok()
    await control.silence(wire_messages.make_zone_side(1))
    async with asyncio.timeout(REPLACE_TIMEOUT_SECONDS):
        lost = await peer.probe(member)
        assert isinstance(lost.error, errors.ConnectionLost)
        assert (await peer.probe(member)).is_ok()


async def test_an_idle_link_is_not_suspected(connected):
    peer, member, _ = connected
    await peer.probe(member)
    link = await peer.links.dial(member)
    assert not link.needs_probe()
    await peer.links.send(member, endpoint_messages.Heartbeat(0))
    assert not link.needs_probe()


async def test_a_failing_handler_does_not_close_the_link(connected):
    peer, member, _ = connected
    peer.links.add_handler(endpoint_messages.Answered, fail)
    timed_out = await peer.links.request(
        member, endpoint_messages.Heartbeat, 0.2
    )
    assert isinstance(timed_out.error, errors.ConnectionLost)
    peer.links.add_handler(endpoint_messages.Answered, peer.receive)
    link = await peer.links.dial(member)
    assert (await peer.probe(member)).is_ok()
    assert await peer.links.dial(member) is link


async def fail(peer, message):
    raise RuntimeError("injected handler failure")


async def test_links_to_a_removed_daemon_are_closed(connected):
    peer, member, _ = connected
    await peer.probe(member)
    peer.links.disconnect(member.id)
    async with asyncio.timeout(REPLACE_TIMEOUT_SECONDS):
        while peer.links.is_connected(member.id):
            await asyncio.sleep(0.01)
