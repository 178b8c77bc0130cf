"""Checks that an endpoint may confirm writes after it may have restarted."""

import asyncio
import math
import time
import typing

import structlog

from fescuestile import endpoint_messages
from fescuestile import promotion
from fescuestile_daemon.relay.core import ports
from fescuestile_daemon.relay.endpoints import endpoint_states
from fescuestile_daemon.relay.groups import record_readers

if typing.TYPE_CHECKING:
    from fescuestile_daemon.relay.groups import groups

log = structlog.get_logger()

# Delay before a check: connections to several endpoints are often opened at
# the same time, and an answer on a known one may vouch for them meanwhile.
DELAY_SECONDS = 0.02
# Shortest interval between two checks while no write waits for one.
INTERVAL_SECONDS = 1.0


class RunChecks:
    """Makes connections of one group's endpoints known, see endpoint_runs.

    Whoever has stopped an endpoint for a promotion before it started again
    holds the lease, or the promotion is pending in the record.

    :ivar promoter: knows whether the lease is held, None without one
    """

    def __init__(self, group: "groups.Group") -> None:
        """Start without a check."""
        self.promoter: ports.Promoter | None = None
        self._group = group
        self._task: asyncio.Task[None] | None = None
        # Monotonic seconds at which the latest checks began.
        self._passed_at = self._failed_at = -math.inf

    @property
    def has_failed(self) -> bool:
        """Whether the latest check has failed."""
        return self._failed_at > self._passed_at

    def list_running(self) -> list[asyncio.Task[None]]:
        """Return the check that is running, if one is."""
        task = self._task
        return [] if task is None or task.done() else [task]

    def request(
        self,
        reader: record_readers.RecordReader,
        interval: float = INTERVAL_SECONDS,
    ) -> None:
        """Start a check if an endpoint has answered on an unknown connection.

        :param reader: reads the group's record
        :param interval: shortest time since the latest check, in seconds
        """
        latest = max(self._passed_at, self._failed_at)
        if (
            self._group.members.is_loaded
            and self._list_unknown()
            and not self.list_running()
            and time.monotonic() - latest > interval
        ):
            self._task = asyncio.create_task(self._check(reader))

    def _list_unknown(self) -> list[endpoint_states.EndpointState]:
        """Return the endpoints to check; a primary confirms no writes."""
        return [
            endpoint
            for endpoint in self._group.endpoints.values()
            if endpoint.run.is_unknown
            and not (
                endpoint.report is not None
                and endpoint.report.role is endpoint_messages.Role.PRIMARY
            )
        ]

    async def _check(self, reader: record_readers.RecordReader) -> None:
        await asyncio.sleep(DELAY_SECONDS)
        unknown = self._list_unknown()
        if not unknown:
            return
        began_at = time.monotonic()
        had_failed, self._failed_at = self.has_failed, began_at
        if await self._is_undisturbed() and await reader.load(self._group):
            self.trust(began_at)
        if self.has_failed and had_failed:
            return
        log.info(
            "connections to endpoints may show other runs"
            if self.has_failed
            else "connections to endpoints known",
            group=self._group.name,
            endpoints=[endpoint.name for endpoint in unknown],
            seconds=round(time.monotonic() - began_at, 3),
        )

    def trust(self, opened_until: float) -> None:
        """Make connections known unless a promotion is pending.

        :param opened_until: monotonic seconds; those opened until then are,
            if the group was undisturbed and its record read after that
        """
        if self._group.pending_promotion:
            return
        self._passed_at = time.monotonic()
        for endpoint in self._group.endpoints.values():
            endpoint.run.trust(opened_until)

    async def _is_undisturbed(self) -> bool:
        """Return whether no driver holds an endpoint of the group stopped.

        At endpoints that are new to this daemon it suffices that none is
        fenced: a takeover of another group must not stop their writes.
        """
        is_first = not any(
            endpoint.run.has_been_known for endpoint in self._list_unknown()
        )
        if is_first and await self.is_unfenced():
            return True
        return self.promoter is None or await self.promoter.is_idle()

    async def is_unfenced(self) -> bool:
        """Request reports; return whether no replica is fenced.

        :returns: False also when one has not answered, or too few are known
        """
        group = self._group
        began_at = time.monotonic()
        await group.refresh(group.options.inspect_timeout)
        primary = group.find_primary()
        replicas = [e for e in group.endpoints.values() if e is not primary]
        return len(replicas) >= promotion.UNFENCED_REPLICAS and all(
            replica.report is not None
            and replica.reported_at >= began_at
            and replica.report.role is endpoint_messages.Role.REPLICA
            for replica in replicas
        )

    def close(self) -> None:
        """Cancel the check."""
        for task in self.list_running():
            task.cancel()
