"""Immutable state of groups, published by actors and read by filters."""

import dataclasses
import types
import typing

from fescuestile import endpoint_messages
from fescuestile import plans
from fescuestile import positions


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointView:
    """State of one endpoint as known to a daemon.

    :ivar endpoint: its entry in the plan
    :ivar role: role that it reported
    :ivar term: term that it promised
    :ivar history: terms of its log with its last position
    :ivar revision: revision of the group's endpoints that its log holds
    :ivar reported_at: monotonic seconds of this daemon's clock at the last
        report
    :ivar current_at: monotonic seconds at which it last held all that
        the primary had reported
    :ivar owner: id of the daemon that owns its connections, or empty
    :ivar expected_wait: seconds that new work is expected to wait at the
        owner
    :ivar leaving: whether it accepts no new work
    """

    endpoint: plans.Endpoint
    role: endpoint_messages.Role = endpoint_messages.Role.REPLICA
    term: int = 0
    history: positions.TermHistory = positions.EMPTY_HISTORY
    reported_at: float = float("-inf")
    current_at: float = float("-inf")
    owner: str = ""
    expected_wait: float = 0.0
    leaving: bool = False
    revision: int = 0


@dataclasses.dataclass(frozen=True)
class GroupSnapshot:
    """State of one database group as known to a daemon.

    :ivar revision: plan revision in force
    :ivar term: highest term known
    :ivar primary: name of that term's primary, empty while unknown
    :ivar endpoints: views by endpoint name
    """

    revision: plans.PlanRevision
    term: int = 0
    primary: str = ""
    endpoints: typing.Mapping[str, EndpointView] = dataclasses.field(
        default_factory=lambda: types.MappingProxyType({})
    )

    @property
    def plan(self) -> plans.Plan:
        """Plan in force."""
        return self.revision.plan
