"""Checks that no takeover loses a write before it is acknowledged.

A takeover stops the members that the record of a group names, and promotes
the longest of their logs. In two cases a primary acknowledges a write that is
lost: a replica that nobody has recorded yet receives it, or one whose fence a
promotion has lifted before it learns the new term. So a recorded member has to
hold the write, and then no other endpoint may be a later primary. A member
that starts again has lost its fence before its registry entry says so, so its
connection has to be known, see ``endpoint_runs``.
"""

import asyncio
import dataclasses
import math
import time
import typing

from fescuestile import group_members
from fescuestile import positions
from fescuestile_daemon.relay.core import messages
from fescuestile_daemon.relay.endpoints import endpoint_states
from fescuestile_daemon.relay.groups import record_readers
from fescuestile_daemon.relay.groups import run_checks

if typing.TYPE_CHECKING:
    from fescuestile_daemon.relay.groups import groups

# Pause before endpoints that did not settle a write are queried again.
POLL_SECONDS = 0.02
# Shortest interval between two readings of the record.
READ_INTERVAL_SECONDS = 0.1
# A write that a member holds is settled by reports within this time, or else
# by the record.
REPORT_SECONDS = 0.1
# A group without a write for this time needs no members that confirm one.
UNWRITTEN_SECONDS = 3.0


@dataclasses.dataclass(slots=True, eq=False)
class _Waiter:
    """A write that waits until nothing can lose it.

    :ivar primary: endpoint that acknowledged it
    :ivar position: end of the primary's log after it
    :ivar settled: done once no takeover can lose it
    :ivar held_at: monotonic seconds at which a member was first seen to hold
        it, infinite before
    :ivar missed: whether endpoints were queried for it in vain
    """

    primary: str
    position: positions.Position
    settled: asyncio.Future[None]
    held_at: float = math.inf
    missed: bool = False


class ReplicationChecks:
    """Queries of one group's endpoints for the writes that wait.

    Writes that wait at the same time share the queries.

    :ivar read_at: monotonic seconds at which the latest reading of the record
        that succeeded began
    :ivar record_reader: reads the group's record, None without a store
    :ivar runs: checks of members that may have started again
    """

    def __init__(self, group: "groups.Group") -> None:
        """Start without queries."""
        self.record_reader: record_readers.RecordReader | None = None
        self.runs = run_checks.RunChecks(group)
        self._group = group
        # Keys in order of their arrival, in which they are settled.
        self._waiters: dict[_Waiter, None] = {}
        self._queries: dict[str, asyncio.Task[None]] = {}
        self._reading: asyncio.Task[None] | None = None
        self._task: asyncio.Task[None] | None = None
        # Monotonic seconds at which a write was last to be confirmed.
        self._wanted_at = -math.inf
        # Monotonic seconds at which the latest readings began.
        self.read_at = self._unread_at = -math.inf

    def list_members(
        self, primary: str
    ) -> list[endpoint_states.EndpointState]:
        """Return the members that may hold a write beside the primary.

        An endpoint that has started again since the record was written is
        another member. After a long time without the registry others may have
        released members that this daemon still knows.
        """
        group = self._group
        reader = self.record_reader
        if reader is not None and (
            time.monotonic() - reader.heard_at > group_members.MISSING_SECONDS
        ):
            return []
        recorded = group.members.recorded or frozenset()
        return [
            endpoint
            for endpoint in group.endpoints.values()
            if endpoint.name != primary
            and group_members.Member(endpoint.name, endpoint.entry.started_at)
            in recorded
        ]

    def is_possible(self, primary: str) -> bool:
        """Return whether a write could be acknowledged now."""
        group = self._group
        if not group.replicated:
            return True
        self._wanted_at = time.monotonic()
        members = [
            member
            for member in self.list_members(primary)
            if self._responds(member)
        ]
        if not members:
            return False
        if self.runs.has_failed and all(m.run.is_unknown for m in members):
            self._check_runs()
            return False
        pending = group.pending_promotion
        if pending not in ("", primary):
            chosen = group.endpoints.get(pending)
            return chosen is not None and self._responds(chosen)
        if not self._needs_record(primary) or self.read_at >= self._unread_at:
            return True
        self.read_record()
        return False

    def _responds(self, endpoint: endpoint_states.EndpointState) -> bool:
        return endpoint.has_answered and (
            endpoint.measure_unanswered(time.monotonic())
            < self._group.options.isolated_after
        )

    def _needs_record(self, primary: str) -> bool:
        """Return whether an endpoint that may lead does not respond."""
        return self._group.members.absent > 0 or not all(
            self._responds(endpoint)
            for endpoint in self._group.endpoints.values()
            if endpoint.name != primary
        )

    async def wait_replicated(
        self, primary: str, position: positions.Position, deadline: float
    ) -> bool:
        """Wait until no takeover can lose a write.

        :param primary: endpoint that acknowledged the write
        :param position: end of its log after the write
        :param deadline: monotonic seconds
        :returns: False if that was not seen in time
        """
        if not self._group.replicated:
            return True
        waiter = _Waiter(
            primary, position, asyncio.get_running_loop().create_future()
        )
        if self._is_settled(waiter):
            return True
        self._waiters[waiter] = None
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._query_endpoints())
        try:
            async with asyncio.timeout(max(deadline - time.monotonic(), 0.0)):
                await waiter.settled
        except TimeoutError:
            return False
        finally:
            self._waiters.pop(waiter, None)
        return True

    def describe(self, primary: str) -> str:
        """Return the positions of the members, for a log event."""
        return ", ".join(
            f"{endpoint.name} {endpoint.held}"
            for endpoint in self.list_members(primary)
        )

    def record_position(
        self,
        endpoint: endpoint_states.EndpointState,
        position: positions.Position | None,
    ) -> None:
        """Record that an endpoint's log holds a position.

        The log of a run that may not be the recorded one does not count.
        """
        if position is not None:
            endpoint.run.record_position(position)
        if endpoint.run.is_unknown and self.record_reader is not None:
            if time.monotonic() - self._wanted_at < UNWRITTEN_SECONDS:
                self.runs.request(self.record_reader)
            return
        if position is not None and position > endpoint.held:
            endpoint.held = position
            self.check_waiters()

    def check_waiters(self) -> None:
        """Wake the writes that have been settled."""
        for waiter in self._waiters:
            if not waiter.settled.done() and self._is_settled(waiter):
                waiter.settled.set_result(None)

    def _is_settled(self, waiter: _Waiter) -> bool:
        """Return whether no takeover can lose a write.

        That is so once a member holds it and nobody was promoted before: each
        endpoint that lacks it has reported since then that it follows the
        write's term, or the record, read since then, names no promotion.
        """
        group = self._group
        if group.followed_term > waiter.position.term or not any(
            _holds(member, waiter.position)
            for member in self.list_members(waiter.primary)
        ):
            return False
        waiter.held_at = min(waiter.held_at, time.monotonic())
        if not group.members.absent and not self._list_unsure(waiter):
            return True
        return self.read_at >= waiter.held_at and self._allows(waiter.position)

    def _allows(self, position: positions.Position) -> bool:
        """Return whether no promotion in the record can lose a write."""
        tracker = self._group.promotions
        if tracker.find_replaced_term(time.monotonic()) >= position.term:
            return False
        pending = self._group.pending_promotion
        endpoint = self._group.endpoints.get(pending)
        return not pending or (
            endpoint is not None and _holds(endpoint, position)
        )

    def _list_unsure(
        self, waiter: _Waiter
    ) -> list[endpoint_states.EndpointState]:
        """Return the endpoints that may lead a later term without a write."""
        return [
            endpoint
            for endpoint in self._group.endpoints.values()
            if endpoint.name != waiter.primary
            and not _holds(endpoint, waiter.position)
            and (
                endpoint.report is None
                or endpoint.reported_at < waiter.held_at
            )
        ]

    def _list_waiting(self) -> list[_Waiter]:
        return [each for each in self._waiters if not each.settled.done()]

    async def _query_endpoints(self) -> None:
        """Query the endpoints, and the record if some do not respond."""
        while waiting := self._list_waiting():
            has_missed = any(waiter.missed for waiter in waiting)
            for waiter in waiting:
                for endpoint in self._list_unsure(waiter):
                    self._query(endpoint)
                held_seconds = time.monotonic() - waiter.held_at
                if held_seconds > REPORT_SECONDS or (
                    held_seconds >= 0 and self._needs_record(waiter.primary)
                ):
                    self.read_record()
                waiter.missed = True
            self._check_runs()
            pending = {
                *self._queries.values(),
                *self._list_reading(),
                *self.runs.list_running(),
            }
            if pending:
                await asyncio.wait(
                    pending,
                    timeout=self._group.options.second_replica_delay,
                    return_when=asyncio.FIRST_COMPLETED,
                )
            if has_missed:
                # The holder may be an endpoint that is not recorded yet.
                self._group.members.is_awaited = True
                await asyncio.sleep(POLL_SECONDS)

    def _query(self, endpoint: endpoint_states.EndpointState) -> None:
        if endpoint.name in self._queries:
            return
        task = asyncio.create_task(self._inspect(endpoint))
        self._queries[endpoint.name] = task
        task.add_done_callback(lambda _: self._queries.pop(endpoint.name))

    async def _inspect(self, endpoint: endpoint_states.EndpointState) -> None:
        """Request a report; it is recorded when it arrives."""
        await self._group.inspect(
            endpoint, messages.Inspect(), self._group.options.inspect_timeout
        )

    def _check_runs(self) -> None:
        """Check soon whether all members may confirm writes."""
        if self.record_reader is not None:
            self.runs.request(self.record_reader, READ_INTERVAL_SECONDS)

    def is_latest(self, primary: str, term: int, began_at: float) -> bool:
        """Return whether a primary's term was the latest at a time.

        Each promotion is recorded before it is requested, so it was if the
        record has been read since then and holds no promotion that ends the
        term or may do so. One of the primary itself changes no log.

        :param primary: endpoint that leads the term
        :param began_at: monotonic seconds
        """
        group = self._group
        return (
            self.read_at >= began_at
            and group.promotions.find_replaced_term(time.monotonic()) < term
            and group.pending_promotion in ("", primary)
        )

    def read_record(self) -> asyncio.Task[None] | None:
        """Begin to read the record; readings do not follow at once.

        :returns: the reading under way, None until the next may begin
        """
        latest = max(self.read_at, self._unread_at)
        if not self._list_reading() and (
            time.monotonic() - latest > READ_INTERVAL_SECONDS
        ):
            self._reading = asyncio.create_task(self._load())
        return next(iter(self._list_reading()), None)

    def _list_reading(self) -> list[asyncio.Task[None]]:
        reading = self._reading
        return [] if reading is None or reading.done() else [reading]

    async def _load(self) -> None:
        began_at = time.monotonic()
        reader = self.record_reader
        if reader is not None and await reader.load(self._group):
            self.read_at = began_at
            self.check_waiters()
        else:
            self._unread_at = began_at

    def close(self) -> None:
        """Cancel the queries."""
        self.runs.close()
        for task in (self._task, self._reading, *self._queries.values()):
            if task is not None:
                task.cancel()


def _holds(
    endpoint: endpoint_states.EndpointState, position: positions.Position
) -> bool:
    """Return whether an endpoint was seen to hold a position.

    The log of a later term may lack the end of an earlier one.
    """
    return (
        endpoint.held.term == position.term
        and endpoint.held.index >= position.index
    )
