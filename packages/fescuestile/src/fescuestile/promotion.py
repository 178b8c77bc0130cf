"""Decides whether a promotion is safe and which endpoint to promote.

A write is acknowledged once the primary and one replica hold it. So no more
writes are acknowledged in a term once its primary has stopped or none of
its replicas receives entries any more. From then on, every acknowledged
write is in the primary's log and in the longest of all replicas' logs. A
replica that has not followed the primary's term may lack writes of earlier
terms, which the primary held when it was promoted.
"""

import dataclasses
import typing

from fescuestile import endpoint_messages
from fescuestile import plans
from fescuestile import promotion_order

Report = endpoint_messages.Report
Role = endpoint_messages.Role
# Replicas without a fence that show that none is fenced for a promotion: one
# of them may be the promotion's endpoint.
UNFENCED_REPLICAS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """Right to request promotions, held by one daemon at a time.

    :ivar holder: daemon that holds it
    :ivar token: fencing token, grows with each change of holder
    :ivar expires_at: seconds since boot after which no request is sent
        under it
    :ivar era: era of the platform's store in which it was acquired, 0 for
        none; it ends with that
    """

    holder: str
    token: int
    expires_at: float
    era: int = 0


def covers_call(lease: Lease, now: float, timeout: float) -> bool:
    """Return whether a call would end before the lease expires.

    :param now: seconds since boot
    :param timeout: seconds that the call may take
    """
    return now + timeout < lease.expires_at


def counts_as_fenced(report: Report, term: int, led_term: int = 0) -> bool:
    """Return whether a reply to a fence shows that its endpoint has stopped.

    A replica that knows of the term, or of a later one, is not fenced and
    goes on to replicate: another driver was faster. A former primary that
    has come to follow a later primary does not show that the later one has
    stopped.

    :param report: the endpoint's reply
    :param term: term of the fence
    :param led_term: term in which the endpoint was to stop as primary, 0 for a
        replica
    """
    if report.role is Role.FENCED:
        return report.term == term
    return report.role is Role.REPLICA and report.term == led_term


def count_confirming(size: int) -> int:
    """Return how many endpoints must follow a term to show that it goes on.

    A promotion lifts all fences, also those of replicas that do not learn of
    the new term and follow the old one again. But a later primary and the
    replica that holds its writes are not among them, so a later term has
    acknowledged nothing if all endpoints but one follow the old one.

    :param size: number of endpoints of the group
    """
    return max(2, size - 1)


def choose_promotion(
    plan: plans.Plan,
    fenced: typing.Mapping[str, Report],
    failed_primary: str = "",
    absent: int = 0,
    ended: int = 0,
    leaving: typing.Collection[str] = (),
    pending: str = "",
) -> str | None:
    """Return the endpoint to promote, None while that would not be safe.

    A fenced primary counts only together with so many others that one of
    them took part in a later term, if there was one. While a promotion may
    still take effect, no other endpoint is promoted: its writes would be lost
    then.

    :param plan: names the group's endpoints
    :param fenced: replies of endpoints that no longer take part in the old
        term, each with the end of its log, read under the fence
    :param failed_primary: primary of the old term, promoted again only when no
        replica qualifies
    :param absent: members of the group that are not in the plan, but may
        hold acknowledged writes
    :param ended: how many of those have ended, so that they can neither lead
        nor confirm a later term
    :param leaving: endpoints that accept no new work; one of them is chosen
        only when no other replica has as long a log
    :param pending: endpoint of a promotion that may still take effect, empty
        for none
    """
    chosen = _choose_longest(
        plan, fenced, failed_primary, absent, ended, leaving
    )
    if chosen is None or not pending or chosen == pending:
        return chosen
    if pending in fenced and promotion_order.make_log_key(
        fenced[pending]
    ) >= promotion_order.make_log_key(fenced[chosen]):
        return pending
    return None


def may_choose(
    plan: plans.Plan, failed_primary: str = "", absent: int = 0, ended: int = 0
) -> bool:
    """Return whether a choice is safe if every endpoint can be fenced.

    The parameters are those of ``choose_promotion``.
    """
    count = len(plan.endpoints)
    size = count + absent
    has_primary = failed_primary in plan.endpoint_by_name
    return size >= 2 and (
        count - has_primary >= size - 1
        or (has_primary and count >= count_confirming(size - ended))
    )


def _choose_longest(
    plan: plans.Plan,
    fenced: typing.Mapping[str, Report],
    failed_primary: str,
    absent: int,
    ended: int,
    leaving: typing.Collection[str],
) -> str | None:
    """Return the endpoint with the longest log, None while it is not known."""
    known = {
        name: report
        for name, report in fenced.items()
        if name in plan.endpoint_by_name
    }
    replicas = {name: known[name] for name in known if name != failed_primary}
    size = len(plan.endpoints) + absent
    if size < 2:
        return None
    has_all_replicas = len(replicas) >= size - 1
    best = max(
        replicas,
        key=lambda name: promotion_order.make_promotion_key(
            replicas[name], leaving
        ),
        default=None,
    )
    fenced_primary = known.get(failed_primary)
    if (
        best is not None
        and has_all_replicas
        and (
            fenced_primary is None
            or _may_replace(replicas[best], fenced_primary)
        )
    ):
        return best
    if fenced_primary is None or len(known) < count_confirming(size - ended):
        return None
    if any(
        report.followed > fenced_primary.followed for report in known.values()
    ):
        # Its term had ended before: a later primary may still serve writes.
        return None
    if best is not None and promotion_order.make_log_key(
        replicas[best]
    ) >= promotion_order.make_log_key(fenced_primary):
        return best
    return failed_primary


def _may_replace(replica: Report, fenced_primary: Report) -> bool:
    """Return whether the best replica holds all that its primary must hold.

    It does if it followed the primary's term, or has as long a log.
    """
    return (
        replica.followed >= fenced_primary.followed
        or promotion_order.make_log_key(replica)
        >= promotion_order.make_log_key(fenced_primary)
    )


def find_next_term(reports: typing.Iterable[Report]) -> int:
    """Return a term above all terms that the endpoints reported."""
    return max((report.term for report in reports), default=0) + 1


def find_followed_term(reports: typing.Iterable[Report]) -> int:
    """Return the highest term that an endpoint leads or follows.

    The term of a fence does not count: nobody leads it yet.
    """
    return max(
        (
            report.followed if report.role is Role.FENCED else report.term
            for report in reports
        ),
        default=0,
    )


def find_primary(reports: typing.Iterable[Report]) -> Report | None:
    """Return the report of the primary with the highest term, if any."""
    primaries = [r for r in reports if r.role is Role.PRIMARY]
    return max(primaries, key=lambda r: r.term, default=None)
