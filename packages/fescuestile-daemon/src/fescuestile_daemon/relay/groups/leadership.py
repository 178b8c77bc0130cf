"""Checks that a group's primary still leads, and samples fresh positions."""

import asyncio
import dataclasses
import math
import time
import typing

from fescuestile import clock
from fescuestile import endpoint_messages
from fescuestile import freshness
from fescuestile import plans
from fescuestile import positions
from fescuestile import read_confirmation
from fescuestile_daemon.relay.core import messages
from fescuestile_daemon.relay.endpoints import endpoint_states

if typing.TYPE_CHECKING:
    from fescuestile_daemon.relay.groups import groups

Role = endpoint_messages.Role
# Fresh positions are sampled for this long after the last read that needed
# one.
SAMPLE_AFTER_READ_SECONDS = 2.0
# Interval of the samples, as a share of the staleness that reads may have: a
# replica needs the rest of it to receive what the sample shows.
SAMPLE_STALENESS_SHARE = 0.7
# Longest wait for a change before a pending check is evaluated again.
POLL_SECONDS = 0.1
# Likewise for the reading of a record that has to wait for another.
RECORD_POLL_SECONDS = 0.02


@dataclasses.dataclass(slots=True)
class Round:
    """One round of report requests.

    :ivar started_at: boot-time seconds before the first request
    :ivar ticket: what counts for a read that began with it
    :ivar log_ends: last position that each endpoint has shown that has
        responded
    :ivar followed: highest term that one of them follows or leads
    """

    number: int
    started_at: float
    ticket: read_confirmation.ReadTicket
    log_ends: dict[str, positions.Position] = dataclasses.field(
        default_factory=dict
    )
    followed: int = 0


class LeadershipChecks:
    """Rounds of report requests to the endpoints of one group.

    One round serves all reads that began before it.
    """

    def __init__(self, group: "groups.Group", boot_clock: clock.Clock) -> None:
        """Start before the first round."""
        self._group = group
        self._clock = boot_clock
        self._rounds = read_confirmation.LeadershipRounds(group.make_plan())
        self._freshness = freshness.FreshnessLog()
        # Keys in order of their start.
        self._tasks: dict[asyncio.Task[None], None] = {}
        self._failed_rounds_since: float | None = None
        self._last_read_at = 0.0
        self._staleness = math.inf

    def set_plan(self, plan: plans.Plan) -> None:
        """Query the endpoints of another plan from now on."""
        self._rounds.set_plan(plan)

    def begin_check(self) -> read_confirmation.ReadTicket:
        """Begin a leadership check; ``wait_confirmed`` returns its result."""
        ticket = self._rounds.begin_read(time.monotonic())
        asyncio.get_running_loop().call_soon(self._start_round)
        return ticket

    def _start_round(self) -> None:
        number = self._rounds.begin_round()
        if number is None:
            return
        task = asyncio.create_task(self._run_round(number))
        self._tasks[task] = None
        task.add_done_callback(self._tasks.pop)

    async def _run_round(self, number: int) -> None:
        ticket = read_confirmation.ReadTicket(number, time.monotonic())
        round_ = Round(number, self._clock.now(), ticket)
        first, others = self._list_for_round()
        queries = [
            asyncio.create_task(self._query(round_, endpoint))
            for endpoint in first
        ]
        if self._group.members.hidden:
            queries.append(asyncio.create_task(self._read_record(round_)))
        try:
            await asyncio.wait(
                queries, timeout=self._group.options.second_replica_delay
            )
            if not self.is_confirmed(ticket):
                queries.extend(
                    asyncio.create_task(self._query(round_, endpoint))
                    for endpoint in others
                )
            await asyncio.gather(*queries)
        finally:
            for query in queries:
                query.cancel()
        if not self.is_confirmed(ticket) and self._failed_rounds_since is None:
            self._failed_rounds_since = time.monotonic()
        self._group.notify()

    def _list_for_round(
        self,
    ) -> tuple[
        list[endpoint_states.EndpointState],
        list[endpoint_states.EndpointState],
    ]:
        """Return the endpoints to query at once, and those to query later.

        The later ones are queried if the first do not confirm in time.
        """
        primary = self._group.find_primary()
        if primary is None:
            return list(self._group.endpoints.values()), []
        replicas = sorted(
            (e for e in self._group.endpoints.values() if e is not primary),
            key=lambda endpoint: (
                endpoint.estimate_failures(),
                not endpoint.pool.has_idle,
            ),
        )
        first = self._group.count_confirming() - 1
        return [primary, *replicas[:first]], replicas[first:]

    def _sample_replicas(self, round_: Round) -> None:
        """Add a fresh position once all replicas have responded.

        A write is acknowledged once one replica has it, so the longest of
        all replicas' logs holds every write that was acknowledged before
        the round. This works without the primary, but not if there are
        replicas that this daemon does not know, as when the registry has
        changed unseen and they follow a primary that never reported here, or
        as long as the members have not been read.
        """
        if round_.followed > self._group.led_term:
            return
        primary = self._group.find_primary()
        replicas = {
            endpoint.name
            for endpoint in self._group.endpoints.values()
            if endpoint is not primary
        }
        members = self._group.members
        if not members.is_loaded or len(replicas) < max(
            1, members.count() - 1
        ):
            return
        if replicas <= round_.log_ends.keys():
            longest = max(round_.log_ends[name] for name in replicas)
            self._freshness.add(freshness.Sample(round_.started_at, longest))
            self._group.notify()

    async def _query(
        self, round_: Round, endpoint: endpoint_states.EndpointState
    ) -> None:
        report = await self._group.inspect(
            endpoint, messages.Inspect(), self._group.options.inspect_timeout
        )
        if report is None:
            return
        # One that has started again without its log may have confirmed writes
        # before: the end of its former log counts until its entry is replaced.
        round_.log_ends[endpoint.name] = endpoint.run.log_end
        round_.followed = max(round_.followed, report.followed)
        self._sample_replicas(round_)
        if report.role is Role.FENCED:
            # It follows its primary's term until it learns another.
            report = dataclasses.replace(
                report, role=Role.REPLICA, term=report.followed
            )
        self._rounds.observe(round_.number, report)
        self._record_confirmation(round_)

    async def _read_record(self, round_: Round) -> None:
        """Read the record where hidden members keep the others from deciding.

        It counts only if it is read after the round began, so that it names
        each promotion that was requested before.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + self._group.options.inspect_timeout
        group, replication = self._group, self._group.replication
        if group.count_confirming() <= len(group.endpoints):
            await asyncio.sleep(group.options.second_replica_delay)
        while loop.time() < until and not self.is_confirmed(round_.ticket):
            if replication.read_at >= round_.ticket.began_at:
                # The round has its reading.
                break
            reading = (
                replication.read_record()
                if self._is_followed(
                    round_.ticket, group.count_known_confirming()
                )
                else None
            )
            if reading is None:
                await asyncio.sleep(RECORD_POLL_SECONDS)
            else:
                await asyncio.wait([reading], timeout=until - loop.time())
        self._record_confirmation(round_)

    def _record_confirmation(self, round_: Round) -> None:
        primary = self._group.find_primary()
        if (
            primary is not None
            and primary.report is not None
            and self.is_confirmed(round_.ticket)
        ):
            self._failed_rounds_since = None
            self._freshness.add(
                freshness.Sample(round_.started_at, primary.report.last)
            )
            self._group.notify()

    def is_confirmed(self, ticket: read_confirmation.ReadTicket) -> bool:
        """Return whether the primary still led when the check began.

        That is so if no other two members can lead and confirm a later term,
        or if no later term has been requested: those that are not known here
        need not be asked then. While the members have not been read, more of
        them may be hidden than is known.
        """
        group = self._group
        if not group.members.is_loaded:
            return False
        if self._is_followed(ticket, group.count_confirming()):
            return True
        primary = group.find_primary()
        return (
            primary is not None
            and primary.report is not None
            and group.members.hidden > 0
            and group.replication.is_latest(
                primary.name, primary.report.term, ticket.began_at
            )
            and self._is_followed(ticket, group.count_known_confirming())
        )

    def _is_followed(
        self, ticket: read_confirmation.ReadTicket, quorum: int
    ) -> bool:
        """Return whether so many endpoints follow the primary's term."""
        primary = self._group.find_primary()
        if primary is None or primary.report is None:
            return False
        if primary.report.role is not Role.PRIMARY:
            return False
        return self._rounds.is_confirmed(
            ticket,
            primary.report.term,
            primary.name,
            endpoints_check_term=False,
            quorum=quorum,
        )

    def is_superseded(
        self, ticket: read_confirmation.ReadTicket, term: int
    ) -> bool:
        """Return whether a later term has begun or is being prepared."""
        return self._rounds.is_superseded(ticket, term)

    def lacks_majority(self) -> bool:
        """Return whether no round has reached a majority for a while.

        The time is the option ``refuse_after``.
        """
        since = self._failed_rounds_since
        return (
            since is not None
            and time.monotonic() - since > self._group.options.refuse_after
        )

    def _lacks_samples(self, arrived: float) -> bool:
        """Return whether no fresh position has been found for a while."""
        latest = self._freshness.latest
        if latest is None:
            return self.lacks_majority()
        age = arrived - latest.requested_at
        return self.lacks_majority() and age > self._group.options.refuse_after

    async def wait_confirmed(
        self,
        ticket: read_confirmation.ReadTicket,
        endpoint: endpoint_states.EndpointState,
        deadline: float,
    ) -> bool:
        """Wait until an endpoint is confirmed to have been the primary.

        :param ticket: from ``begin_check``
        :param deadline: monotonic seconds
        :returns: False when it was not the primary, when no majority
            responds or when the deadline has passed
        """
        while not self.is_confirmed(ticket):
            now = time.monotonic()
            term = endpoint.report.term if endpoint.report else 0
            if now >= deadline or self.is_superseded(ticket, term):
                return False
            if self.lacks_majority():
                return False
            await self._group.wait_change(min(deadline - now, POLL_SECONDS))
            if not self.is_confirmed(ticket) and not self._tasks:
                ticket = self.begin_check()
                await self._group.wait_change(
                    min(deadline - now, POLL_SECONDS)
                )
        return self._group.find_primary() is endpoint

    async def find_minimum(
        self, arrived: float, staleness: float, deadline: float
    ) -> positions.Position | None:
        """Return a position fresh enough for a read; sample one if needed.

        :param arrived: boot-time seconds at which the read arrived
        :param staleness: seconds that the read may be stale
        :param deadline: monotonic seconds
        :returns: None when none was found in time
        """
        self._record_staleness(staleness)
        while True:
            minimum = self._freshness.find_minimum(arrived, staleness)
            if minimum is not None:
                return minimum
            now = time.monotonic()
            if now >= deadline or self._lacks_samples(arrived):
                return None
            if not self._tasks:
                self.begin_check()
            await self._group.wait_change(min(deadline - now, POLL_SECONDS))

    def _record_staleness(self, staleness: float) -> None:
        """Record the staleness of a read; the least of recent ones counts."""
        now = time.monotonic()
        if now - self._last_read_at > SAMPLE_AFTER_READ_SECONDS:
            self._staleness = math.inf
        self._last_read_at = now
        self._staleness = min(self._staleness, staleness)

    def add_sample(self, sample: freshness.Sample) -> None:
        """Add a fresh position that another daemon has found."""
        self._freshness.add(sample)
        self._group.notify()

    async def find_sample(
        self, max_age: float, seconds: float
    ) -> freshness.Sample | None:
        """Return a recent fresh position; sample one if there is none.

        :param max_age: seconds since which it may have been requested
        :param seconds: longest wait
        :returns: None when none was found in time
        """
        until = time.monotonic() + seconds
        while True:
            latest = self._freshness.latest
            oldest = self._clock.now() - max_age
            if latest is not None and latest.requested_at >= oldest:
                return latest
            now = time.monotonic()
            if now >= until:
                return None
            if not self._tasks:
                self.begin_check()
            await self._group.wait_change(until - now)

    def needs_sample(self) -> bool:
        """Return whether reads will soon need a fresh position."""
        now = time.monotonic()
        latest = self._freshness.latest
        age = self._clock.now() - latest.requested_at if latest else now
        recently_read = now - self._last_read_at < SAMPLE_AFTER_READ_SECONDS
        interval = max(
            self._group.options.sample_interval,
            self._staleness * SAMPLE_STALENESS_SHARE,
        )
        return recently_read and age > interval

    def close(self) -> None:
        """Cancel the rounds under way."""
        for task in self._tasks:
            task.cancel()
