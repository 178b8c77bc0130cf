"""Whether a group has recorded the latest change of its endpoints.

A change that adds or removes an endpoint is appended to the group's log.
Endpoints whose log holds it refuse fences by an earlier revision, and their
reports count for nobody who knows an earlier one only. Majorities of two
successive revisions overlap, those of a revision and the one after the next
need not: so the next change waits until a majority holds the record.
"""

import typing

from fescuestile import endpoint_messages
from fescuestile import plans
from fescuestile import positions

_COUNTING_ROLES = (
    endpoint_messages.Role.PRIMARY,
    endpoint_messages.Role.REPLICA,
)


class EndpointStatus(typing.Protocol):
    """What one report of an endpoint says, see ``Report``."""

    @property
    def role(self) -> endpoint_messages.Role:
        """Role in the group."""

    @property
    def term(self) -> int:
        """Term that it promised and works under."""

    @property
    def history(self) -> positions.TermHistory:
        """Terms of its log with the last position."""

    @property
    def revision(self) -> int:
        """Latest revision of the endpoints that its log holds."""


def is_recorded(
    plan: plans.Plan, statuses: typing.Mapping[str, EndpointStatus]
) -> bool:
    """Return whether no failover can lose the record of a plan's endpoints.

    As with writes, a record of an earlier term counts only together with an
    entry of the term that a majority works under.

    :param plan: plan in force
    :param statuses: of endpoints, by name; each may be of another time
    """
    if not plan.endpoints_revision:
        return True
    terms = [
        status.term
        for name, status in statuses.items()
        if name in plan.endpoint_by_name
        and status.role in _COUNTING_ROLES
        and status.history.last.term == status.term
        and status.revision >= plan.endpoints_revision
    ]
    return any(terms.count(term) >= plan.majority for term in set(terms))
