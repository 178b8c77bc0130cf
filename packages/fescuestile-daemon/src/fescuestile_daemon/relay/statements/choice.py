"""Selects the endpoint of a statement."""

import asyncio
import time

from fescuestile import endpoint_choice
from fescuestile import positions
from fescuestile_daemon.relay.core import messages
from fescuestile_daemon.relay.core import options
from fescuestile_daemon.relay.endpoints import endpoint_states
from fescuestile_daemon.relay.groups import reachability
from fescuestile_daemon.relay.statements import attempts

Kind = messages.Kind

# Longest wait for a change of the group before its primary is checked again.
POLL_SECONDS = 0.1


class EndpointChooser:
    """Selects the endpoint of a group that runs a statement."""

    def __init__(self, relay_options: options.RelayOptions, zone: str) -> None:
        """Initialize with the limits and this daemon's availability zone."""
        self._options = relay_options
        self._zone = zone

    def choose(
        self,
        pending: attempts.PendingStatement,
        minimum: positions.Position | None,
    ) -> endpoint_states.EndpointState | None:
        """Return the endpoint of least cost for a read, None without one.

        Endpoints that are not expected to serve it by its deadline, or that
        lag persistently, are added to the endpoints already tried. Among the
        rest, one not tried yet is preferred.

        :param minimum: position that the endpoint's log must hold
        """
        group = pending.group
        primary = group.find_primary()
        able = [
            endpoint.make_candidate(
                pending.describe_work(endpoint),
                minimum,
                self._zone,
                endpoint is primary,
            )
            for endpoint in group.list_candidates()
        ]
        in_time = [c for c in able if c.in_time]
        pending.tried.update(c.name for c in able if not c.in_time)
        pending.tried.update(
            c.name
            for c in able
            if group.endpoints[c.name].lags_persistently(minimum)
        )
        fresh = [c for c in in_time if c.name not in pending.tried]
        name = endpoint_choice.choose(fresh or in_time)
        if name is None:
            return None
        group.endpoints[name].record_choice()
        return group.endpoints[name]

    async def find_primary(
        self, pending: attempts.PendingStatement
    ) -> endpoint_states.EndpointState | messages.Outcome:
        """Return the primary, waiting for one until the deadline.

        An unresponsive primary is not returned: a statement that was not
        sent to it can still run at its successor, whereas a write that was
        sent would be in doubt.

        :returns: the primary, or why there is none: it is leaving for too
            long, none that responds appeared in time, or too few endpoints
            respond for one to be confirmed
        """
        while True:
            endpoint = pending.group.find_primary()
            if endpoint is not None and not endpoint.accepts_work:
                return messages.Outcome(
                    Kind.LEAVING, detail="the primary is leaving"
                )
            if endpoint is not None:
                unanswered = endpoint.measure_unanswered(time.monotonic())
                if unanswered < self._options.hold_after:
                    return endpoint
            left = pending.remaining
            if (
                left < attempts.MIN_REMAINING_SECONDS
                or reachability.is_unreachable(pending.group)
            ):
                return messages.Outcome(Kind.BUSY, detail="no primary")
            await pending.group.wait_change(min(left, POLL_SECONDS))

    async def handle_refusal(
        self,
        pending: attempts.PendingStatement,
        endpoint: endpoint_states.EndpointState,
        outcome: messages.Outcome,
    ) -> None:
        """Wait before the next attempt after an endpoint refused one.

        After "not primary" the endpoint's report is requested first, because
        the primary known here may be out of date.
        """
        if outcome.kind is Kind.NOT_PRIMARY:
            await pending.group.inspect(
                endpoint, messages.Inspect(), self._options.inspect_timeout
            )
            if pending.group.find_primary() is endpoint:
                await pending.group.wait_change(
                    min(max(pending.remaining, 0.0), self._options.busy_delay)
                )
        else:
            await asyncio.sleep(
                min(max(pending.remaining, 0.0), self._options.busy_delay)
            )
