"""A database group: its endpoints, primary, and proofs of freshness."""

import asyncio
import time
import typing

from fescuestile import clock
from fescuestile import endpoint_messages
from fescuestile import freshness
from fescuestile import plans
from fescuestile import positions
from fescuestile import promotion
from fescuestile import read_confirmation
from fescuestile_daemon.relay import members
from fescuestile_daemon.relay import messages
from fescuestile_daemon.relay import options
from fescuestile_daemon.relay import ports

Role = endpoint_messages.Role
# A promotion fences the primary or all its replicas, so the word of the
# primary and of one replica is proof that none has been ordered.
QUORUM = 2
# A report counts for the choice of the primary this long, in seconds.
REPORT_SECONDS = 3.0
# An endpoint that has gone counts for promotions this long, in seconds: it
# may hold writes that no other replica has, until those have caught up.
EXPECTED_SECONDS = 15.0


class Group:
    """State of one group in this daemon.

    :ivar members: endpoints by id
    :ivar connections: connections that each endpoint accepts
    :ivar changed: set and replaced at each change of primary or members
    :ivar expected: most endpoints that it lately had
    :ivar confirmed_at: steady seconds of the last confirmed round
    :ivar stalled_since: steady seconds since which no replica has received
        what the primary holds, None when one has
    """

    def __init__(
        self,
        name: str,
        dialer: ports.Dialer,
        relay_options: options.RelayOptions,
        boot_clock: clock.Clock,
    ) -> None:
        """Start without members."""
        self.name = name
        self.members: dict[str, members.Member] = {}
        self.connections = 1
        self.options = relay_options
        self.confirmed_at = time.monotonic()
        self.stalled_since: float | None = None
        self.expected = 0
        self._expected_at = 0.0
        self._awaited = positions.START
        self.read_at = 0.0
        self.freshness = freshness.FreshnessLog()
        self._dialer = dialer
        self._clock = boot_clock
        self._rounds = read_confirmation.ReadRounds(self.make_plan())
        self._waiters: set[asyncio.Future[None]] = set()
        self._round_task: set[asyncio.Task[None]] = set()
        self._failed_rounds_since: float | None = None

    def make_plan(self) -> plans.Plan:
        """Return the group's endpoints as a plan."""
        return plans.Plan(
            database=self.name,
            endpoints=tuple(
                plans.Endpoint(
                    name=member.name,
                    zone=member.entry.zone,
                    address=member.entry.address,
                    slots=member.entry.slots,
                    connections=member.pool.cap,
                )
                for member in self.members.values()
            ),
            ranks=(),
            kinds=(),
        )

    def put_member(
        self, entry: messages.EndpointEntry, cap: int
    ) -> members.Member:
        """Add an endpoint or take over what its entry says now."""
        known = self.members.get(entry.id)
        if known is not None and (
            known.entry.address != entry.address
            or known.entry.started_at != entry.started_at
        ):
            self.remove_member(entry.id)
            known = None
        if known is None:
            known = members.Member(entry, self._dialer, self.options, cap)
            self.members[entry.id] = known
            self._rounds.set_plan(self.make_plan())
        elif entry.claims_primary != known.entry.claims_primary:
            known.report = None
        known.entry = entry
        known.dropped_at = None
        known.pool.cap = cap
        if len(self.members) >= self.expected:
            self.expected = len(self.members)
            self._expected_at = time.monotonic()
        self.notify()
        return known

    def remove_member(self, name: str) -> None:
        """Forget an endpoint."""
        member = self.members.pop(name, None)
        if member is not None:
            member.close()
            self._rounds.set_plan(self.make_plan())
            self._expected_at = max(
                self._expected_at, time.monotonic() - EXPECTED_SECONDS / 2
            )
            self.notify()

    def expire_expected(self) -> None:
        """Accept that the group has become smaller, after a while."""
        lately = time.monotonic() - EXPECTED_SECONDS
        if len(self.members) < self.expected and self._expected_at < lately:
            self.expected = len(self.members)

    def list_reports(self) -> list[messages.Report]:
        """Return the recent reports."""
        oldest = time.monotonic() - REPORT_SECONDS
        return [
            member.report
            for member in self.members.values()
            if member.report is not None and member.reported_at >= oldest
        ]

    @property
    def term(self) -> int:
        """Highest term that an endpoint reported."""
        return max(
            (m.report.term for m in self.members.values() if m.report),
            default=0,
        )

    def find_primary(self) -> members.Member | None:
        """Return the primary, by reports first, else by the registry."""
        report = promotion.find_primary(self.list_reports())
        if report is not None:
            return self.members.get(report.endpoint)
        claimed = [
            member
            for member in self.members.values()
            if member.entry.claims_primary
            and (member.report is None or member.report.role is Role.PRIMARY)
        ]
        return max(
            claimed, key=lambda member: member.entry.started_at, default=None
        )

    def notify(self) -> None:
        """Wake those that wait for a change."""
        waiters, self._waiters = self._waiters, set()
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait_change(self, seconds: float) -> None:
        """Wait for a change of primary, members or proofs."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.add(waiter)
        try:
            async with asyncio.timeout(seconds):
                await waiter
        except TimeoutError:
            pass
        finally:
            self._waiters.discard(waiter)

    async def inspect(
        self,
        member: members.Member,
        command: messages.Inspect | messages.Fence | messages.Unfence,
        seconds: float,
    ) -> messages.Report | None:
        """Ask an endpoint for its report.

        :returns: None for no answer in time
        """
        asked_at = time.monotonic()
        try:
            async with asyncio.timeout(seconds):
                channel = await member.pool.lease()
                if isinstance(channel, messages.Outcome):
                    return None
                report: messages.Report | None = None
                try:
                    report = await channel.inspect(command)
                    answered = True
                except asyncio.CancelledError:
                    answered = False
                    raise
                finally:
                    if answered and not channel.closed:
                        member.note_answer()
                        member.pool.give_back(channel)
                    else:
                        member.pool.discard(channel)
        except TimeoutError:
            member.note_failure()
            return None
        if report is not None:
            self._take_report(member, report, asked_at)
        return report

    def _take_report(
        self,
        member: members.Member,
        report: messages.Report,
        asked_at: float,
    ) -> None:
        known = member.report
        if known is not None and asked_at < member.reported_at:
            return
        member.report = report
        member.reported_at = asked_at
        member.pool.usage = report.connections / max(1, self.connections)
        self._note_replication(report)
        if (
            known is None
            or known.role is not report.role
            or known.term != report.term
        ):
            self.notify()

    def _note_replication(self, report: messages.Report) -> None:
        """Note whether some replica receives what the primary writes."""
        if report.role is Role.PRIMARY:
            if self.stalled_since is None:
                self._awaited = report.last
                self.stalled_since = time.monotonic()
        elif report.last >= self._awaited:
            self.stalled_since = None

    def clear_stall(self) -> None:
        """Judge replication anew."""
        self.stalled_since = None

    def begin_proof(self) -> read_confirmation.Ticket:
        """Ask for a proof that begins now; see ``wait_proof``."""
        ticket = self._rounds.begin_read()
        asyncio.get_running_loop().call_soon(self._start_round)
        return ticket

    def _start_round(self) -> None:
        number = self._rounds.begin_round()
        if number is None:
            return
        task = asyncio.create_task(self._run_round(number))
        self._round_task.add(task)
        task.add_done_callback(self._round_task.discard)

    async def _run_round(self, number: int) -> None:
        asked_at = self._clock.now()
        ticket = read_confirmation.Ticket(number)
        first, others = self._order_for_round()
        asks = [
            asyncio.create_task(self._ask(number, asked_at, member))
            for member in first
        ]
        try:
            await asyncio.wait(asks, timeout=self.options.second_replica)
            if not self.is_proven(ticket):
                asks.extend(
                    asyncio.create_task(self._ask(number, asked_at, member))
                    for member in others
                )
            await asyncio.gather(*asks)
        finally:
            for ask in asks:
                ask.cancel()
        if not self.is_proven(ticket) and self._failed_rounds_since is None:
            self._failed_rounds_since = time.monotonic()
        self.notify()

    def _order_for_round(
        self,
    ) -> tuple[list[members.Member], list[members.Member]]:
        """Return who is asked at once, and who only if need be."""
        primary = self.find_primary()
        if primary is None:
            return list(self.members.values()), []
        replicas = sorted(
            (m for m in self.members.values() if m is not primary),
            key=lambda member: member.estimate_failures(),
        )
        return [primary, *replicas[:1]], replicas[1:]

    async def _ask(
        self, number: int, asked_at: float, member: members.Member
    ) -> None:
        report = await self.inspect(
            member, messages.Inspect(), self.options.inspect_timeout
        )
        if report is None:
            return
        self._rounds.observe(number, report)
        ticket = read_confirmation.Ticket(number)
        if self.is_proven(ticket):
            primary = self.find_primary()
            if primary is not None and primary.report is not None:
                self._note_proof(asked_at, primary.report.last)

    def _note_proof(
        self, asked_at: float, position: positions.Position
    ) -> None:
        self.confirmed_at = time.monotonic()
        self._failed_rounds_since = None
        self.freshness.add(freshness.Sample(asked_at, position))
        self.notify()

    def is_proven(self, ticket: read_confirmation.Ticket) -> bool:
        """Tell whether the primary still was one when the ticket began."""
        primary = self.find_primary()
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
            and time.monotonic() - since > self.options.refuse_after
        )

    async def wait_proof(
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
            await self.wait_change(min(deadline - now, 0.1))
            if not self.is_proven(ticket) and not self._round_task:
                ticket = self.begin_proof()
                await self.wait_change(min(deadline - now, 0.1))
        return self.find_primary() is member

    async def find_minimum(
        self, arrived: float, staleness: float, deadline: float
    ) -> positions.Position | None:
        """Return a position fresh enough for a read; ask for one if needed.

        :param arrived: boot-time seconds at which the read arrived
        :param staleness: seconds that the read may be stale
        :param deadline: steady seconds
        :returns: None when none could be had in time
        """
        self.read_at = time.monotonic()
        while True:
            minimum = self.freshness.find_minimum(arrived, staleness)
            if minimum is not None:
                return minimum
            now = time.monotonic()
            if now >= deadline or self.cannot_prove():
                return None
            if not self._round_task:
                self.begin_proof()
            await self.wait_change(min(deadline - now, 0.1))

    def sample(self) -> None:
        """Ask for a fresh position if reads need one soon."""
        now = time.monotonic()
        latest = self.freshness.latest
        age = self._clock.now() - latest.asked_at if latest else now
        recently_read = now - self.read_at < 2.0
        if recently_read and age > self.options.sample_interval:
            self.begin_proof()

    def list_candidates(self) -> typing.Iterator[members.Member]:
        """Yield the endpoints that take new work."""
        for member in self.members.values():
            if not member.entry.leaving:
                yield member

    def close(self) -> None:
        """Give up all endpoints."""
        for task in self._round_task:
            task.cancel()
        for name in list(self.members):
            self.remove_member(name)
