"""Samples fresh positions, or asks another daemon of the zone for them."""

import abc
import asyncio
import collections.abc
import secrets
import time

import structlog

from fescuestile import clock
from fescuestile import freshness
from fescuestile import position_sharing
from fescuestile_daemon.relay.groups import groups

log = structlog.get_logger()

# Longest wait for an answer: a round of reports takes a part of it.
ANSWER_TIMEOUT_SECONDS = 0.12
# Longest wait for a round before a question is left unanswered.
ROUND_TIMEOUT_SECONDS = 0.1
# A sample that is older than this is not shared; a part of the staleness that
# reads may have.
SHARED_AGE_SECONDS = 0.5
# A peer that left a question unanswered is not asked again for this time.
AVOID_SECONDS = 5.0
NUMBER_BITS = 63


class Exchange(abc.ABC):
    """Sends datagrams to other daemons."""

    @abc.abstractmethod
    def send(self, datagram: bytes, address: str) -> None:
        """Send a datagram; it may be lost.

        :param address: ``IP:port``
        """


class PositionSampler:
    """Finds fresh positions of groups with as few reports as it can."""

    def __init__(
        self,
        name: str,
        zone: str,
        find_group: collections.abc.Callable[[str], groups.Group | None],
        boot_clock: clock.Clock,
    ) -> None:
        """Sample alone until peers and an exchange are known.

        :param name: name of this daemon
        :param zone: its availability zone
        :param find_group: returns a group by name, None for an unknown one
        """
        self._name = name
        self._zone = zone
        self._find_group = find_group
        self._clock = boot_clock
        self._exchange: Exchange | None = None
        self._peers: tuple[position_sharing.Peer, ...] = ()
        self._avoided_until: dict[str, float] = {}
        self._waiting: dict[
            int, tuple[str, asyncio.Future[position_sharing.Answer]]
        ] = {}
        self._asked: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def set_exchange(self, exchange: Exchange | None) -> None:
        """Share positions by an exchange, or no longer."""
        self._exchange = exchange

    def set_peers(
        self, peers: collections.abc.Iterable[position_sharing.Peer]
    ) -> None:
        """Replace the known daemons; those of the own zone count."""
        self._peers = tuple(peer for peer in peers if peer.zone == self._zone)

    def sample(self, group: groups.Group) -> None:
        """Find a fresh position of a group in the background."""
        sampler = self._choose(group.name)
        if sampler is None or sampler.name == self._name:
            group.leadership.begin_check()
        elif group.name not in self._asked:
            self._asked.add(group.name)
            self._start(self._ask(group, sampler))

    def receive(self, datagram: bytes, address: str) -> None:
        """Handle a datagram of another daemon; a malformed one is dropped.

        :param address: ``IP:port`` of the sender
        """
        message = position_sharing.decode(datagram)
        if isinstance(message, position_sharing.Question):
            self._start(self._answer(message, address))
        elif message is not None:
            waiting = self._waiting.get(message.number)
            if waiting is not None and waiting[0] == address:
                _, future = waiting
                if not future.done():
                    future.set_result(message)

    def close(self) -> None:
        """Cancel the questions and answers under way."""
        for task in self._tasks:
            task.cancel()

    def _start(
        self, work: collections.abc.Coroutine[None, None, None]
    ) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _choose(self, group: str) -> position_sharing.Peer | None:
        if self._exchange is None:
            return None
        now = time.monotonic()
        avoided = {
            name for name, until in self._avoided_until.items() if until > now
        }
        return position_sharing.choose_sampler(group, self._peers, avoided)

    async def _ask(
        self, group: groups.Group, sampler: position_sharing.Peer
    ) -> None:
        number = secrets.randbits(NUMBER_BITS)
        future = asyncio.get_running_loop().create_future()
        self._waiting[number] = sampler.address, future
        asked_at = self._clock.now()
        try:
            if self._exchange is not None:
                question = position_sharing.Question(number, group.name)
                self._exchange.send(
                    position_sharing.encode(question), sampler.address
                )
            async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
                answer = await future
        except TimeoutError:
            self._avoid(sampler)
            group.leadership.begin_check()
        else:
            group.leadership.add_sample(
                freshness.Sample(asked_at - answer.age, answer.position)
            )
        finally:
            del self._waiting[number]
            self._asked.discard(group.name)

    def _avoid(self, sampler: position_sharing.Peer) -> None:
        if sampler.name not in self._avoided_until:
            log.info("peer shares no positions", peer=sampler.name)
        self._avoided_until[sampler.name] = time.monotonic() + AVOID_SECONDS

    async def _answer(
        self, question: position_sharing.Question, address: str
    ) -> None:
        group = self._find_group(question.group)
        if group is None:
            return
        sample = await group.leadership.find_sample(
            SHARED_AGE_SECONDS, ROUND_TIMEOUT_SECONDS
        )
        if sample is None or self._exchange is None:
            return
        answer = position_sharing.Answer(
            question.number,
            self._clock.now() - sample.requested_at,
            sample.position,
        )
        self._exchange.send(position_sharing.encode(answer), address)
