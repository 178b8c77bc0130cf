"""Requests of reports: when a daemon asks an endpoint for its state."""

import asyncio

from fescuestile_daemon.relay.core import messages
from fescuestile_daemon.relay.core import options
from fescuestile_daemon.relay.endpoints import endpoint_states
from fescuestile_daemon.relay.groups import groups

# Longest intervals between reports, in multiples of those of few daemons;
# reports must not become too old for decisions.
MAX_WATCHERS_FACTOR = 1.8
SCARCE_FACTOR = 4.0
# A group without a statement for this time has no work here.
UNUSED_SECONDS = 3.0
# An endpoint that leaves a request unanswered for this time counts as
# unreachable; slow statements take a part of it.
UNREACHABLE_SECONDS = 0.6


class ReportRequests:
    """Asks endpoints for reports, each for one at a time."""

    def __init__(self, relay_options: options.RelayOptions) -> None:
        """Start without requests under way.

        :param relay_options: intervals between reports
        """
        self._options = relay_options
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def close(self) -> None:
        """Cancel the requests under way."""
        for task in self._tasks.values():
            task.cancel()

    def send_due(
        self,
        group: groups.Group,
        endpoint: endpoint_states.EndpointState,
        now: float,
    ) -> None:
        """Request a report from an endpoint if one is due."""
        if endpoint.name in self._tasks or not self.is_due(
            group, endpoint, now
        ):
            return
        if endpoint.measure_unanswered(now) > UNREACHABLE_SECONDS:
            # Its connections may be unresponsive while new ones work.
            endpoint.pool.drop_idle()
        task = asyncio.create_task(self._inspect(group, endpoint))
        self._tasks[endpoint.name] = task

    def is_due(
        self,
        group: groups.Group,
        endpoint: endpoint_states.EndpointState,
        now: float,
    ) -> bool:
        """Return whether a report is to be requested from an endpoint."""
        relay_options = self._options
        report_age = now - endpoint.reported_at
        if (
            endpoint.admission.is_pacing_work
            or group.has_unresponsive_endpoint(now)
        ):
            return report_age > relay_options.saturated_inspect_interval
        factor = (
            1.0
            if group.list_leaving()
            else self._compare_watchers(group, endpoint, now)
        )
        if group.find_primary() is endpoint:
            idle = now - max(endpoint.answered_at, endpoint.reported_at)
            return (
                idle > factor * relay_options.idle_inspect_interval
                or report_age > factor * relay_options.replica_inspect_interval
            )
        stalled = group.stalled_since
        if (
            stalled is not None
            and now - stalled > factor * relay_options.idle_inspect_interval
        ):
            return report_age > relay_options.replication_timeout / 4
        return report_age > factor * relay_options.replica_inspect_interval

    def _compare_watchers(
        self,
        group: groups.Group,
        endpoint: endpoint_states.EndpointState,
        now: float,
    ) -> float:
        """Return how many times more daemons than a few watch an endpoint.

        Each has some connections to it and asks for reports; the more do so,
        the less often each needs to, least of all one without work there.
        Where connections are scarce, one that is opened for a report only is
        one less for work.
        """
        if endpoint.pool.is_retaining:
            # A gateway: the connections are those of few daemons, which are
            # the only ones that notice a failure while there is no work.
            return 1.0
        report = endpoint.report
        connections = report.connections if report is not None else 0
        factor = connections / self._options.few_connections
        is_unused = now - group.used_at > UNUSED_SECONDS
        if factor > 1 and (
            is_unused
            or (endpoint.pool.is_scarce and not endpoint.pool.has_idle)
        ):
            return SCARCE_FACTOR
        return min(max(1.0, factor), MAX_WATCHERS_FACTOR)

    async def _inspect(
        self, group: groups.Group, endpoint: endpoint_states.EndpointState
    ) -> None:
        try:
            await group.inspect(
                endpoint, messages.Inspect(), self._options.inspect_timeout
            )
        finally:
            self._tasks.pop(endpoint.name, None)
