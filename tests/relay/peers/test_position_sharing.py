"""Daemons of a zone share the positions that one of them samples."""

import asyncio
import dataclasses

import hypothesis
from hypothesis import strategies
import pytest

from fescuestile import clock
from fescuestile import endpoint_messages
from fescuestile import position_sharing
from fescuestile import positions
from fescuestile_daemon.relay.peers import sampling
from tests import fences

Role = endpoint_messages.Role
Answer = position_sharing.Answer
Question = position_sharing.Question
POSITION = positions.Position(3, 1207)
GROUP = "g"


class Endpoints(fences.Dialer):
    """A group that counts the reports that daemons ask for."""

    def __init__(self):
        self.reports = 0.0
        self.endpoints = {
            name: fences.Endpoint(name, log=[(1, 5)])
            for name in ("p", "r1", "r2")
        }
        self.endpoints["p"].role = Role.PRIMARY

    async def delay(self, endpoint):
        self.reports += 0.5
        await asyncio.sleep(0)


class Network:
    """Carries datagrams between samplers; some are lost or delayed."""

    def __init__(self):
        self.samplers = {}
        self.delay = 0.001
        self.silent = set()

    def deliver(self, datagram, sender, address):
        if sender not in self.silent and address in self.samplers:
            asyncio.get_running_loop().call_later(
                self.delay,
                self.samplers[address].receive,
                datagram,
                sender,
            )


class Exchange(sampling.Exchange):
    def __init__(self, network, address):
        self._network = network
        self._address = address

    def send(self, datagram, address):
        self._network.deliver(datagram, self._address, address)


class Daemon:
    """A sampler with its own view of the group."""

    def __init__(self, network, endpoints, number, zone="a"):
        self.peer = position_sharing.Peer(
            f"d{number}", zone, f"10.0.0.{number}:7440"
        )
        self.group = fences.make_group(endpoints)
        self.sampler = sampling.PositionSampler(
            self.peer.name, zone, {GROUP: self.group}.get, clock.BootClock()
        )
        self.sampler.set_exchange(Exchange(network, self.peer.address))
        network.samplers[self.peer.address] = self.sampler

    @property
    def latest(self):
        return self.group.leadership._freshness.latest

    async def sample(self):
        """Sample once and wait for what comes of it."""
        self.sampler.sample(self.group)
        await asyncio.sleep(0.05)


class Zone:
    """The daemons of a zone, which know each other."""

    def __init__(self, count):
        self.endpoints = Endpoints()
        self.network = Network()
        self.daemons = [
            Daemon(self.network, self.endpoints, number)
            for number in range(1, count + 1)
        ]
        for daemon in self.daemons:
            daemon.sampler.set_peers([d.peer for d in self.daemons])
        chosen = position_sharing.choose_sampler(
            GROUP, [d.peer for d in self.daemons], ()
        )
        self.sampler = next(d for d in self.daemons if d.peer == chosen)
        self.others = [d for d in self.daemons if d is not self.sampler]

    def close(self):
        for daemon in self.daemons:
            daemon.sampler.close()
            daemon.group.close()


@pytest.fixture
async def zone():
    made = Zone(8)
    for daemon in made.daemons:
        await daemon.group.refresh(0.1)
    made.endpoints.reports = 0
    yield made
    made.close()


async def test_reports_do_not_grow_with_the_daemons_of_a_zone(zone):
    """Answers many daemons that each need a position as fresh as the others.

    All of them ask at the same time.
    """
    await asyncio.gather(*(daemon.sample() for daemon in zone.daemons))
    assert all(d.latest.position.index == 5 for d in zone.daemons)
    assert zone.endpoints.reports <= 3


async def test_a_shared_position_is_not_younger_than_it_is(zone):
    """Guards against positions that a delayed answer makes look fresh."""
    asker = zone.others[0]
    zone.network.delay = 0.02
    await zone.sampler.sample()
    sampled_at = zone.sampler.latest.requested_at
    await asyncio.sleep(0.2)
    await asker.sample()
    await asyncio.sleep(0.05)
    age = sampled_at - asker.latest.requested_at
    assert 0 <= age <= 2 * zone.network.delay


async def test_a_silent_sampler_costs_its_peers_one_question(zone):
    zone.network.silent.add(zone.sampler.peer.address)
    asker = zone.others[0]
    asker.sampler.sample(asker.group)
    await asyncio.sleep(sampling.ANSWER_TIMEOUT_SECONDS + 0.05)
    assert asker.latest is not None
    chosen = asker.sampler._choose(GROUP)
    assert chosen is not None
    assert chosen != zone.sampler.peer


async def test_daemons_of_other_zones_are_not_asked(zone):
    far = dataclasses.replace(zone.sampler.peer, zone="b")
    asker = zone.others[0]
    asker.sampler.set_peers([far, asker.peer])
    assert asker.sampler._choose(GROUP) == asker.peer


async def test_only_the_answer_that_was_asked_for_counts(zone):
    """Guards against positions that nobody was asked for."""
    asker = zone.others[0]
    answer = position_sharing.encode(Answer(7, 0.0, POSITION))
    asker.sampler.receive(answer, zone.sampler.peer.address)
    zone.network.silent.add(zone.sampler.peer.address)
    asker.sampler.sample(asker.group)
    await asyncio.sleep(0)
    (number,) = asker.sampler._waiting
    answer = position_sharing.encode(Answer(number, 0.0, POSITION))
    asker.sampler.receive(answer, "10.9.9.9:7440")
    await asyncio.sleep(0.01)
    assert asker.latest is None


async def test_unknown_groups_are_not_answered(zone):
    question = position_sharing.encode(Question(1, "other"))
    zone.sampler.sampler.receive(question, zone.others[0].peer.address)
    await asyncio.sleep(0.01)
    assert zone.endpoints.reports == 0


@pytest.mark.parametrize(
    "message",
    [Question(2**63 - 1, "werkstatt-db~3"), Answer(0, 1.5, POSITION)],
)
def test_messages_survive_the_wire(message):
    decoded = position_sharing.decode(position_sharing.encode(message))
    if isinstance(decoded, Answer):
        assert decoded.age >= message.age
        decoded = dataclasses.replace(decoded, age=message.age)
    assert decoded == message


@hypothesis.given(strategies.binary(max_size=600))
@hypothesis.example(b"ask 1 ")
@hypothesis.example(b"position 1 1 1")
@hypothesis.example(b"position 1 -1 1 1")
@hypothesis.example(b"ask 1 " + b"g" * 600)
def test_malformed_datagrams_are_dropped(datagram):
    """Guards against a message that takes a daemon down."""
    decoded = position_sharing.decode(datagram)
    if decoded is not None:
        assert (
            position_sharing.encode(decoded).split()[:2]
            == (datagram.split()[:2])
        )
