"""Whether a promotion is safe and which endpoint it goes to.

A write is acknowledged once the primary and one more endpoint hold it. So
any two majorities of a group share an endpoint that holds each acknowledged
write, and a majority that takes no more part in the old term ends it.
"""

import dataclasses
import typing

from fescuestile import endpoint_messages
from fescuestile import failover
from fescuestile import plans

Report = endpoint_messages.Report
Role = endpoint_messages.Role


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """Right to order promotions, of one daemon at a time.

    :ivar holder: daemon that holds it
    :ivar token: fencing token, grows with each change of holder
    :ivar expires_at: boot-time seconds after which nothing is sent under it
    """

    holder: str
    token: int
    expires_at: float


def covers_call(lease: Lease, now: float, timeout: float) -> bool:
    """Tell whether a call that may take ``timeout`` ends within the lease."""
    return now + timeout < lease.expires_at


def choose_promotion(
    plan: plans.Plan,
    fenced: typing.Mapping[str, Report],
    failed: str = "",
) -> str | None:
    """Return the endpoint to promote, None while that would not be safe.

    :param plan: names the group's endpoints
    :param fenced: replies of endpoints that take no more part in the old
        term, each with its log's end read under the fence
    :param failed: primary that has failed, promoted again only when no
        other endpoint may be
    """
    known = {
        name: report
        for name, report in fenced.items()
        if name in plan.endpoint_by_name
    }
    if len(known) < plan.majority:
        return None
    best = failover.choose_endpoint(plan, known)
    others = {name: known[name] for name in known if name != failed}
    if best != failed or not others:
        return best
    other = max(
        others, key=lambda name: (failover.rank_log(others[name]), name)
    )
    # What only the failed primary holds was acknowledged to nobody once
    # all other endpoints are fenced.
    if len(others) == len(plan.endpoints) - 1:
        return other
    if failover.rank_log(others[other]) == failover.rank_log(known[failed]):
        return other
    return None


def find_next_term(reports: typing.Iterable[Report]) -> int:
    """Return a term above all that the endpoints work under or promised."""
    return max((report.term for report in reports), default=0) + 1


def find_primary(reports: typing.Iterable[Report]) -> Report | None:
    """Return the report of the primary of the highest term."""
    primaries = [r for r in reports if r.role is Role.PRIMARY]
    return max(primaries, key=lambda r: r.term, default=None)


def find_left_fenced(
    reports: typing.Iterable[Report],
) -> tuple[str, ...]:
    """Return endpoints that a driver left fenced, in a group with a primary.

    :param reports: latest report of each endpoint
    """
    return tuple(
        report.endpoint for report in reports if report.role is Role.FENCED
    )
