"""Checks that a recorded member holds a write before it is acknowledged.

A takeover stops the members that the record of a group names. A primary that
its driver does not reach may go on with a replica that nobody has recorded
yet: what only these two hold is lost with the takeover.
"""

import asyncio
import dataclasses
import time
import typing

from fescuestile import group_members
from fescuestile import positions
from fescuestile_daemon.relay import endpoint_states
from fescuestile_daemon.relay import messages

if typing.TYPE_CHECKING:
    from fescuestile_daemon.relay import groups

# Pause before members that did not hold a write are queried again.
POLL_SECONDS = 0.02


@dataclasses.dataclass(slots=True, eq=False)
class _Waiter:
    """A write that waits until a member holds it.

    :ivar primary: endpoint that acknowledged it
    :ivar missed: whether a member was queried for it without finding it
    """

    primary: str
    position: positions.Position
    found: asyncio.Future[None]
    missed: bool = False


class ReplicationChecks:
    """Queries of one group's members for the writes that wait.

    Writes that wait at the same time share the queries.
    """

    def __init__(self, group: "groups.Group") -> None:
        """Start without queries."""
        self._group = group
        self._waiters: set[_Waiter] = set()
        self._queries: dict[str, asyncio.Task[None]] = {}
        self._task: asyncio.Task[None] | None = None

    def list_members(
        self, primary: str
    ) -> list[endpoint_states.EndpointState]:
        """Return the members that may hold a write beside the primary.

        An endpoint that has started again since the record was written is
        another member.

        :returns: those that respond best first
        """
        group = self._group
        recorded = group.members.recorded or frozenset()
        members = [
            endpoint
            for endpoint in group.endpoints.values()
            if endpoint.name != primary
            and group_members.Member(endpoint.name, endpoint.entry.started_at)
            in recorded
        ]
        return sorted(
            members,
            key=lambda endpoint: (
                endpoint.estimate_failures(),
                not endpoint.pool.has_idle,
            ),
        )

    def is_possible(self, primary: str) -> bool:
        """Return whether a member that could hold a write responds."""
        if not self._group.replicated:
            return True
        now = time.monotonic()
        return any(
            endpoint.has_answered
            and endpoint.measure_unanswered(now)
            < self._group.options.isolated_after
            for endpoint in self.list_members(primary)
        )

    async def wait_replicated(
        self, primary: str, position: positions.Position, deadline: float
    ) -> bool:
        """Wait until a member other than the primary holds a write.

        :param primary: endpoint that acknowledged the write
        :param position: end of its log after the write
        :param deadline: monotonic seconds
        :returns: False if none was seen to hold it in time
        """
        if not self._group.replicated or self._is_held(primary, position):
            return True
        waiter = _Waiter(
            primary, position, asyncio.get_running_loop().create_future()
        )
        self._waiters.add(waiter)
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._query_members())
        try:
            async with asyncio.timeout(max(deadline - time.monotonic(), 0.0)):
                await waiter.found
        except TimeoutError:
            return False
        finally:
            self._waiters.discard(waiter)
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
        """Record that an endpoint's log holds a position."""
        if position is None or position <= endpoint.held:
            return
        endpoint.held = position
        for waiter in self._waiters:
            if not waiter.found.done() and self._is_held(
                waiter.primary, waiter.position
            ):
                waiter.found.set_result(None)

    def _is_held(self, primary: str, position: positions.Position) -> bool:
        """Return whether a member was seen to hold a position.

        The log of a later term may lack the end of an earlier one. Once a
        later primary is known, it may also lack what a replica received from
        the former one since then.
        """
        return self._group.followed_term <= position.term and any(
            endpoint.held.term == position.term
            and endpoint.held.index >= position.index
            for endpoint in self.list_members(primary)
        )

    def _list_waiting(self) -> list[_Waiter]:
        return [each for each in self._waiters if not each.found.done()]

    async def _query_members(self) -> None:
        """Query one member first, and all if it lacks a write."""
        while waiting := self._list_waiting():
            has_missed = any(waiter.missed for waiter in waiting)
            members = self.list_members(waiting[0].primary)
            for endpoint in members if has_missed else members[:1]:
                self._query(endpoint)
            for waiter in waiting:
                waiter.missed = True
            if self._queries:
                await asyncio.wait(
                    self._queries.values(),
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

    def close(self) -> None:
        """Cancel the queries."""
        if self._task is not None:
            self._task.cancel()
        for task in list(self._queries.values()):
            task.cancel()
