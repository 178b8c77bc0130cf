"""A database group: its endpoints and its primary."""

import asyncio
import math
import time
import typing

from fescuestile import clock
from fescuestile import endpoint_messages
from fescuestile import group_members
from fescuestile import pending_promotions
from fescuestile import plans
from fescuestile import positions
from fescuestile import promotion
from fescuestile_daemon.relay.core import changes
from fescuestile_daemon.relay.core import events
from fescuestile_daemon.relay.core import messages
from fescuestile_daemon.relay.core import options
from fescuestile_daemon.relay.core import ports
from fescuestile_daemon.relay.endpoints import endpoint_states
from fescuestile_daemon.relay.groups import leadership
from fescuestile_daemon.relay.groups import replication

Role = endpoint_messages.Role
# Longest age of a report from which the primary is determined.
REPORT_VALID_SECONDS = 3.0


class Group(changes.Changes):
    """State of one group in this daemon.

    :ivar endpoints: endpoints by id
    :ivar leadership: checks that its primary still leads
    :ivar replication: checks that its members hold what it acknowledged
    :ivar connections: connections that each endpoint accepts
    :ivar replicated: whether a replica has to hold each acknowledged write
    :ivar members: endpoints that may hold acknowledged writes
    :ivar promotions: the promotion that may still take effect
    :ivar used_at: monotonic seconds of the latest statement for it
    :ivar led_term: highest term that an endpoint reported to lead
    :ivar stalled_since: monotonic seconds since which no replica has reached
        the primary's position, None when one has
    """

    def __init__(
        self,
        name: str,
        dialer: ports.Dialer,
        relay_options: options.RelayOptions,
        boot_clock: clock.Clock,
    ) -> None:
        """Start without endpoints."""
        super().__init__()
        self.name = name
        self.endpoints: dict[str, endpoint_states.EndpointState] = {}
        self.connections = 1
        self.replicated = True
        self.options = relay_options
        self.stalled_since: float | None = None
        self.used_at = -math.inf
        self.members = group_members.GroupMembers()
        self.events = events.GroupEvents(name)
        self.promotions = pending_promotions.PromotionTracker()
        self._awaited_position = positions.START
        self._awaited_at = -math.inf
        # Time of the latest position that a replica has reached.
        self._replicated_at = -math.inf
        self._leader = ""
        self._leader_has_left = False
        self.led_term = 0
        self._dialer = dialer
        self._clock = boot_clock
        self._known_since = boot_clock.now()
        self.leadership = leadership.LeadershipChecks(self, boot_clock)
        self.replication = replication.ReplicationChecks(self)

    def make_plan(self) -> plans.Plan:
        """Return the group's endpoints as a plan."""
        return plans.Plan(
            database=self.name,
            endpoints=tuple(
                plans.Endpoint(
                    name=endpoint.name,
                    zone=endpoint.entry.zone,
                    address=endpoint.entry.address,
                    slots=endpoint.entry.slots,
                    connections=endpoint.pool.cap,
                )
                for endpoint in self.endpoints.values()
            ),
            ranks=(),
            kinds=(),
        )

    def put_endpoint(
        self, entry: messages.EndpointEntry, cap: int
    ) -> endpoint_states.EndpointState:
        """Add an endpoint or apply the change of its entry.

        An endpoint with a new address or start is replaced.

        :param cap: connections that this daemon opens to it at most
        """
        known = self.endpoints.get(entry.id)
        if known is not None and (
            known.entry.address != entry.address
            or known.entry.started_at != entry.started_at
        ):
            self.remove_endpoint(entry.id)
            known = None
        if known is None:
            self.events.record_join(entry.id, self.list_reports())
            known = endpoint_states.EndpointState(
                entry, self._dialer, self.options, cap, self._clock
            )
            if entry.leaving:
                # Its mark may be as old as the group is known here: its
                # entry may have been lost meanwhile.
                known.leaving_since = self._known_since
            self.endpoints[entry.id] = known
            self.leadership.set_plan(self.make_plan())
        elif entry.claims_primary != known.entry.claims_primary:
            known.report = None
        known.put_entry(entry)
        known.dropped_at = None
        known.pool.cap = cap
        self.members.add(
            group_members.Member(entry.id, entry.started_at), time.monotonic()
        )
        self.notify()
        return known

    def remove_endpoint(self, name: str) -> None:
        """Remove an endpoint and close its connections."""
        self._end_promotion()
        endpoint = self.endpoints.pop(name, None)
        if endpoint is not None:
            endpoint.close()
            self.leadership.set_plan(self.make_plan())
            self.members.remove(name, time.monotonic(), endpoint.has_left)
            if endpoint.has_left and name == self._leader:
                self._leader_has_left = True
            self.notify()

    def release_members(self) -> None:
        """Release members that are gone and of which nothing is needed."""
        if self.members.absent:
            self.members.release(
                time.monotonic(),
                self._replicated_at,
                self.find_primary() is not None,
                self._leader_has_left,
            )

    def list_reports(self) -> list[messages.Report]:
        """Return the reports that are not too old."""
        oldest = time.monotonic() - REPORT_VALID_SECONDS
        return [
            endpoint.report
            for endpoint in self.endpoints.values()
            if endpoint.report is not None and endpoint.reported_at >= oldest
        ]

    @property
    def term(self) -> int:
        """Highest term that an endpoint reported."""
        reports = (e.report for e in self.endpoints.values() if e.report)
        return promotion.find_next_term(reports) - 1

    @property
    def followed_term(self) -> int:
        """Highest term that an endpoint leads or follows, fences left out."""
        return promotion.find_followed_term(
            e.report for e in self.endpoints.values() if e.report
        )

    @property
    def pending_promotion(self) -> str:
        """Endpoint whose promotion may still take effect, empty for none.

        An endpoint that only lacks its registry entry may still be promoted.
        """
        self._end_promotion()
        pending = self.promotions.find(time.monotonic())
        return "" if pending is None else pending.endpoint

    def _end_promotion(self) -> None:
        """End the promotion if the run of its endpoint has ended."""
        pending = self.promotions.find(time.monotonic())
        endpoint = pending and self.endpoints.get(pending.endpoint)
        if pending and endpoint and endpoint.has_ended(pending.started_at):
            self.promotions.end()

    def find_primary(self) -> endpoint_states.EndpointState | None:
        """Return the primary by the reports, or else by the registry."""
        report = promotion.find_primary(self.list_reports())
        if report is not None:
            return self.endpoints.get(report.endpoint)
        claimed = [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.entry.claims_primary
            and (
                endpoint.report is None or endpoint.report.role is Role.PRIMARY
            )
        ]
        return max(
            claimed,
            key=lambda endpoint: endpoint.entry.started_at,
            default=None,
        )

    def count_confirming(self) -> int:
        """Return how many members must follow a term to confirm it.

        See ``promotion.count_confirming``. Members that are not known here
        may lead and confirm a later term.
        """
        return promotion.count_confirming(
            self._count_known() + self.members.hidden
        )

    def count_known_confirming(self) -> int:
        """Return how many members would have to do so if none were hidden."""
        return promotion.count_confirming(self._count_known())

    def _count_known(self) -> int:
        """Count the endpoints; the log of one that has left is gone."""
        return sum(not each.has_left for each in self.endpoints.values())

    def has_unresponsive_endpoint(self, now: float) -> bool:
        """Return whether an endpoint is unresponsive for ``suspect_after``."""
        return any(
            endpoint.measure_unanswered(now) > self.options.suspect_after
            for endpoint in self.endpoints.values()
        )

    async def inspect(
        self,
        endpoint: endpoint_states.EndpointState,
        command: messages.Inspect | messages.Fence | messages.Unfence,
        seconds: float,
    ) -> messages.Report | None:
        """Send a command to an endpoint and return its report.

        :param seconds: longest wait
        :returns: None if no report arrived in time
        """
        requested_at = time.monotonic()
        try:
            async with asyncio.timeout(seconds):
                connection = await endpoint.pool.acquire(inspects=True)
                if isinstance(connection, messages.Outcome):
                    return None
                report: messages.Report | None = None
                endpoint.record_request()
                sent_at = time.monotonic()
                try:
                    report = await connection.inspect(command)
                    answered = True
                    endpoint.record_round_trip(
                        time.monotonic() - sent_at, report is not None
                    )
                except asyncio.CancelledError:
                    answered = False
                    raise
                finally:
                    if answered and not connection.closed:
                        was_unresponsive = (
                            endpoint.unanswered_since != requested_at
                        )
                        endpoint.record_answer()
                        if was_unresponsive:
                            self.notify()
                        endpoint.pool.release(connection)
                    else:
                        endpoint.pool.discard(connection)
        except TimeoutError:
            endpoint.record_failure()
            return None
        if report is not None:
            endpoint.run.record_report(connection, sent_at, report)
            self._apply_report(endpoint, report, requested_at)
        return report

    async def refresh(self, seconds: float) -> None:
        """Request reports from all endpoints.

        :param seconds: longest wait
        """
        queries = [
            asyncio.create_task(
                self.inspect(endpoint, messages.Inspect(), seconds)
            )
            for endpoint in self.endpoints.values()
        ]
        if queries:
            await asyncio.wait(queries, timeout=seconds)

    def _apply_report(
        self,
        endpoint: endpoint_states.EndpointState,
        report: messages.Report,
        requested_at: float,
    ) -> None:
        self.replication.record_position(endpoint, report.last)
        known = endpoint.report
        if known is not None and requested_at < endpoint.reported_at:
            return
        endpoint.report = report
        endpoint.reported_at = requested_at
        endpoint.record_connection_usage(
            report.connections / max(1, self.connections)
        )
        self.events.record_report(
            report, known, self.list_reports(), self.led_term
        )
        self._record_replication(report, requested_at)
        if (
            known is None
            or known.role is not report.role
            or known.term != report.term
        ):
            self.events.record_term(report, known)
            self.notify()
        self.replication.check_waiters()

    def _record_replication(
        self, report: messages.Report, requested_at: float
    ) -> None:
        """Record whether some replica receives what the primary writes."""
        if report.role is Role.PRIMARY:
            self.promotions.record_primary(report.endpoint, report.term)
            if report.term > self.led_term:
                # A new primary: its replicas get the full timeout to follow.
                self.stalled_since = None
                self.led_term = report.term
                self._leader = report.endpoint
                self._leader_has_left = False
            if self.stalled_since is None and len(self.endpoints) > 1:
                self._awaited_position = report.last
                self._awaited_at = requested_at
                self.stalled_since = time.monotonic()
        elif (
            report.endpoint != self._leader
            and report.last >= self._awaited_position
        ):
            self.stalled_since = None
            self._replicated_at = self._awaited_at

    def is_stalled(self, now: float, unpaused: float) -> bool:
        """Return whether no replica follows the primary.

        Only reports of replicas count that were requested well after the
        primary reported its position. A fenced one means that a promotion is
        under way, so the group is not stalled.

        :param now: monotonic seconds
        :param unpaused: seconds for which this daemon ran without a pause
        """
        since = self.stalled_since
        stall_seconds = self.options.replication_timeout
        if since is None or min(now - since, unpaused) < stall_seconds:
            return False
        later_reports = [
            endpoint.report
            for endpoint in self.endpoints.values()
            if endpoint.report is not None
            and endpoint.report.role is not Role.PRIMARY
            and endpoint.reported_at > since + stall_seconds / 2
        ]
        return bool(later_reports) and all(
            report.role is Role.REPLICA
            and report.last < self._awaited_position
            for report in later_reports
        )

    def clear_stall(self) -> None:
        """Restart the detection of stalled replication."""
        self.stalled_since = None

    def list_candidates(
        self,
    ) -> typing.Iterator[endpoint_states.EndpointState]:
        """Yield the endpoints that accept new work."""
        for endpoint in self.endpoints.values():
            if not endpoint.entry.leaving:
                yield endpoint

    def list_leaving(self) -> list[str]:
        """Return the names of the endpoints that are leaving."""
        return [e.name for e in self.endpoints.values() if e.entry.leaving]

    def close(self) -> None:
        """Cancel leadership checks and remove all endpoints."""
        self.leadership.close()
        self.replication.close()
        for name in list(self.endpoints):
            self.remove_endpoint(name)
