"""Proofs that a group's primary is still one, and fresh positions."""

import asyncio
import dataclasses
import time
import typing

from fescuestile import clock
from fescuestile import endpoint_messages
from fescuestile import freshness
from fescuestile import plans
from fescuestile import positions
from fescuestile import read_confirmation
from fescuestile_daemon.relay import members
from fescuestile_daemon.relay import messages

if typing.TYPE_CHECKING:
    from fescuestile_daemon.relay import groups

Role = endpoint_messages.Role
# A promotion fences the primary or all its replicas, so the word of the
# primary and of one replica is proof that none has been ordered.
QUORUM = 2
# Fresh positions are asked for this long after the last read that needed
# one, in seconds.
SAMPLE_AFTER_READ_SECONDS = 2.0
# Pause between two looks at a proof that is being waited for, in seconds.
LOOK_SECONDS = 0.1


@dataclasses.dataclass(slots=True)
class Round:
    """One round of questions.

    :ivar asked_at: boot-time seconds before the first question
    :ivar lasts: ends of the logs of those that have answered
    """

    number: int
    asked_at: float
    lasts: dict[str, positions.Position] = dataclasses.field(
        default_factory=dict
    )


class Proofs:
    """Rounds of questions to the endpoints of one group."""

    def __init__(self, group: "groups.Group", boot_clock: clock.Clock) -> None:
        """Start before the first round."""
        self._group = group
        self._clock = boot_clock
        self._rounds = read_confirmation.ReadRounds(group.make_plan())
        self._freshness = freshness.FreshnessLog()
        self._running: set[asyncio.Task[None]] = set()
        self._failed_rounds_since: float | None = None
        self._read_at = 0.0

    def set_plan(self, plan: plans.Plan) -> None:
        """Ask the endpoints of another plan from now on."""
        self._rounds.set_plan(plan)

    def begin(self) -> read_confirmation.Ticket:
        """Ask for a proof that begins now; see ``wait``."""
        ticket = self._rounds.begin_read()
        asyncio.get_running_loop().call_soon(self._start_round)
        return ticket

    def _start_round(self) -> None:
        number = self._rounds.begin_round()
        if number is None:
            return
        task = asyncio.create_task(self._run_round(number))
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    async def _run_round(self, number: int) -> None:
        round_ = Round(number, self._clock.now())
        ticket = read_confirmation.Ticket(number)
        first, others = self._order_for_round()
        asks = [
            asyncio.create_task(self._ask(round_, member)) for member in first
        ]
        try:
            await asyncio.wait(
                asks, timeout=self._group.options.second_replica
            )
            if not self.is_proven(ticket):
                asks.extend(
                    asyncio.create_task(self._ask(round_, member))
                    for member in others
                )
            await asyncio.gather(*asks)
        finally:
            for ask in asks:
                ask.cancel()
        if not self.is_proven(ticket) and self._failed_rounds_since is None:
            self._failed_rounds_since = time.monotonic()
        self._group.notify()

    def _order_for_round(
        self,
    ) -> tuple[list[members.Member], list[members.Member]]:
        """Return who is asked at once, and who only if need be."""
        primary = self._group.find_primary()
        if primary is None:
            return list(self._group.members.values()), []
        replicas = sorted(
            (m for m in self._group.members.values() if m is not primary),
            key=lambda member: member.estimate_failures(),
        )
        return [primary, *replicas[:1]], replicas[1:]

    def _note_replicas(self, round_: Round) -> None:
        """Take a fresh position from all replicas, without the primary.

        A write is acknowledged once one replica has it, so the longest of
        all replicas' logs holds each that was before they were asked.
        """
        primary = self._group.find_primary()
        replicas = {
            member.name
            for member in self._group.members.values()
            if member is not primary
        }
        if len(replicas) < max(1, self._group.expected - 1):
            return
        if replicas <= round_.lasts.keys():
            longest = max(round_.lasts[name] for name in replicas)
            self._freshness.add(freshness.Sample(round_.asked_at, longest))
            self._group.notify()

    async def _ask(self, round_: Round, member: members.Member) -> None:
        report = await self._group.inspect(
            member, messages.Inspect(), self._group.options.inspect_timeout
        )
        if report is None:
            return
        round_.lasts[member.name] = report.last
        self._note_replicas(round_)
        self._rounds.observe(round_.number, report)
        ticket = read_confirmation.Ticket(round_.number)
        if self.is_proven(ticket):
            primary = self._group.find_primary()
            if primary is not None and primary.report is not None:
                self._note_proof(round_.asked_at, primary.report.last)

    def _note_proof(
        self, asked_at: float, position: positions.Position
    ) -> None:
        self._failed_rounds_since = None
        self._freshness.add(freshness.Sample(asked_at, position))
        self._group.notify()

    def is_proven(self, ticket: read_confirmation.Ticket) -> bool:
        """Tell whether the primary still was one when the ticket began."""
        primary = self._group.find_primary()
        if primary is None or primary.report is None:
            return False
        if primary.report.role is not Role.PRIMARY:
            return False
        return self._rounds.is_confirmed(
            ticket,
            primary.report.term,
            primary.name,
            answers_by_term=False,
            quorum=QUORUM,
        )

    def is_refuted(self, ticket: read_confirmation.Ticket, term: int) -> bool:
        """Tell whether a later term has begun or is being prepared."""
        return self._rounds.is_refuted(ticket, term)

    def cannot_prove(self) -> bool:
        """Tell whether no majority has been reached for a while."""
        since = self._failed_rounds_since
        return (
            since is not None
            and time.monotonic() - since > self._group.options.refuse_after
        )

    def _cannot_sample(self, arrived: float) -> bool:
        """Tell whether no fresh position has been had for a while."""
        latest = self._freshness.latest
        if latest is None:
            return self.cannot_prove()
        age = arrived - latest.asked_at
        return self.cannot_prove() and age > self._group.options.refuse_after

    async def wait(
        self,
        ticket: read_confirmation.Ticket,
        member: members.Member,
        deadline: float,
    ) -> bool:
        """Wait until a member is proven to have been the primary.

        :param deadline: steady seconds
        :returns: False when it was not, or when time has run out
        """
        while not self.is_proven(ticket):
            now = time.monotonic()
            term = member.report.term if member.report else 0
            if now >= deadline or self.is_refuted(ticket, term):
                return False
            if self.cannot_prove():
                return False
            await self._group.wait_change(min(deadline - now, LOOK_SECONDS))
            if not self.is_proven(ticket) and not self._running:
                ticket = self.begin()
                await self._group.wait_change(
                    min(deadline - now, LOOK_SECONDS)
                )
        return self._group.find_primary() is member

    async def find_minimum(
        self, arrived: float, staleness: float, deadline: float
    ) -> positions.Position | None:
        """Return a position fresh enough for a read; ask for one if needed.

        :param arrived: boot-time seconds at which the read arrived
        :param staleness: seconds that the read may be stale
        :param deadline: steady seconds
        :returns: None when none could be had in time
        """
        self._read_at = time.monotonic()
        while True:
            minimum = self._freshness.find_minimum(arrived, staleness)
            if minimum is not None:
                return minimum
            now = time.monotonic()
            if now >= deadline or self._cannot_sample(arrived):
                return None
            if not self._running:
                self.begin()
            await self._group.wait_change(min(deadline - now, LOOK_SECONDS))

    def sample(self) -> None:
        """Ask for a fresh position if reads need one soon."""
        now = time.monotonic()
        latest = self._freshness.latest
        age = self._clock.now() - latest.asked_at if latest else now
        recently_read = now - self._read_at < SAMPLE_AFTER_READ_SECONDS
        if recently_read and age > self._group.options.sample_interval:
            self.begin()

    def close(self) -> None:
        """Stop the rounds that run."""
        for task in self._running:
            task.cancel()
