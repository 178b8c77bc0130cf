"""Immutable views that actors publish and filters read."""

import dataclasses
import types
import typing

from fescuestile import endpoint_messages
from fescuestile import plans
from fescuestile import positions


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointView:
    """One endpoint as a daemon sees it.

    :ivar endpoint: the endpoint's plan
    :ivar role: role it reported
    :ivar term: term it promised
    :ivar history: terms of its log with its last position
    :ivar reported_at: monotonic seconds of the last report, here
    :ivar current_at: monotonic seconds at which it last held all that
        the primary had reported
    :ivar owner: id of the daemon that owns its connections, or empty
    :ivar expected_wait: seconds that new work waits at the owner
    :ivar leaving: takes no new work
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


@dataclasses.dataclass(frozen=True)
class GroupSnapshot:
    """One database group as a daemon sees it.

    :ivar revision: plan revision in force
    :ivar term: highest term known
    :ivar primary: name of that term's primary, or empty while unknown
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
