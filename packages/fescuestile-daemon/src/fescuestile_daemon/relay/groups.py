"""A database group: its endpoints and its primary."""

import asyncio
import time
import typing

from fescuestile import clock
from fescuestile import endpoint_messages
from fescuestile import plans
from fescuestile import positions
from fescuestile import promotion
from fescuestile_daemon.relay import members
from fescuestile_daemon.relay import messages
from fescuestile_daemon.relay import options
from fescuestile_daemon.relay import ports
from fescuestile_daemon.relay import proofs

Role = endpoint_messages.Role
# A report counts for the choice of the primary this long, in seconds.
REPORT_SECONDS = 3.0
# An endpoint that has gone counts for promotions this long, in seconds: it
# may hold writes that no other replica has, until those have caught up.
EXPECTED_SECONDS = 15.0


class Group:
    """State of one group in this daemon.

    :ivar members: endpoints by id
    :ivar proofs: proofs that its primary is still one
    :ivar connections: connections that each endpoint accepts
    :ivar changed: set and replaced at each change of primary or members
    :ivar expected: most endpoints that it lately had
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
        self.stalled_since: float | None = None
        self.expected = 0
        self._expected_at = 0.0
        self._awaited = positions.START
        self._awaited_term = 0
        self._dialer = dialer
        self.proofs = proofs.Proofs(self, boot_clock)
        self._waiters: set[asyncio.Future[None]] = set()

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
            self.proofs.set_plan(self.make_plan())
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
            self.proofs.set_plan(self.make_plan())
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

    def is_out_of_reach(self) -> bool:
        """Tell whether too few endpoints answer for any proof or write."""
        now = time.monotonic()
        answering = sum(
            member.has_answered
            and member.measure_silence(now) < self.options.isolated_after
            for member in self.members.values()
        )
        return answering < min(proofs.QUORUM, len(self.members))

    def is_silent(self, now: float) -> bool:
        """Tell whether a member has left a question open for a while."""
        return any(
            member.measure_silence(now) > self.options.suspect_after
            for member in self.members.values()
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
                channel = await member.pool.lease(inspects=True)
                if isinstance(channel, messages.Outcome):
                    return None
                report: messages.Report | None = None
                member.note_asked()
                sent_at = time.monotonic()
                try:
                    report = await channel.inspect(command)
                    answered = True
                    member.note_trip(
                        time.monotonic() - sent_at, report is not None
                    )
                except asyncio.CancelledError:
                    answered = False
                    raise
                finally:
                    if answered and not channel.closed:
                        was_silent = member.waiting_since != asked_at
                        member.note_answer()
                        if was_silent:
                            self.notify()
                        member.pool.give_back(channel)
                    else:
                        member.pool.discard(channel)
        except TimeoutError:
            member.note_failure()
            return None
        if report is not None:
            self._take_report(member, report, asked_at)
        return report

    async def refresh(self, seconds: float) -> None:
        """Ask all members for reports, for so many seconds at most."""
        asks = [
            asyncio.create_task(
                self.inspect(member, messages.Inspect(), seconds)
            )
            for member in self.members.values()
        ]
        if asks:
            await asyncio.wait(asks, timeout=seconds)

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
        member.note_connections(report.connections / max(1, self.connections))
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
            if report.term > self._awaited_term:
                # Another primary has begun; its replicas get their time.
                self.stalled_since = None
                self._awaited_term = report.term
            if self.stalled_since is None and len(self.members) > 1:
                self._awaited = report.last
                self.stalled_since = time.monotonic()
        elif report.last >= self._awaited:
            self.stalled_since = None

    def is_stalled(self, now: float, awake: float) -> bool:
        """Tell whether no replica follows the primary.

        Each replica that answers must have been asked again well after the
        primary told what it holds, and none may be fenced: then a
        promotion is under way.

        :param now: steady seconds
        :param awake: seconds for which this daemon ran without a pause
        """
        since = self.stalled_since
        silence = self.options.commit_silence
        if since is None or min(now - since, awake) < silence:
            return False
        asked_again = [
            member.report
            for member in self.members.values()
            if member.report is not None
            and member.report.role is not Role.PRIMARY
            and member.reported_at > since + silence / 2
        ]
        return bool(asked_again) and all(
            report.role is Role.REPLICA and report.last < self._awaited
            for report in asked_again
        )

    def clear_stall(self) -> None:
        """Judge replication anew."""
        self.stalled_since = None

    def list_candidates(self) -> typing.Iterator[members.Member]:
        """Yield the endpoints that take new work."""
        for member in self.members.values():
            if not member.entry.leaving:
                yield member

    def close(self) -> None:
        """Give up all endpoints."""
        self.proofs.close()
        for name in list(self.members):
            self.remove_member(name)
