"""Order in which endpoints are chosen for a promotion."""

import typing

from fescuestile import endpoint_messages
from fescuestile import plans

Report = endpoint_messages.Report


def make_log_key(report: Report) -> tuple[int, int]:
    """Return the key by which logs are compared; the highest is preferred.

    The last entry's term decides before the length: a longer log that ends
    in an older term has a tail that was never confirmed.
    """
    return (report.last.term, report.last.index)


def make_promotion_key(
    report: Report, leaving: typing.Collection[str]
) -> tuple[tuple[int, int], bool, str]:
    """Return the key by which endpoints are chosen; the highest is promoted.

    Among equal logs an endpoint that stays goes before one that is leaving.

    :param leaving: names of the endpoints that accept no new work
    """
    name = report.endpoint
    return make_log_key(report), name not in leaving, name


def choose_endpoint(
    plan: plans.Plan,
    grants: typing.Mapping[str, Report],
    target: str = "",
    failed_primary: str = "",
    leaving: typing.Collection[str] = (),
) -> str:
    """Return the endpoint to promote among those that granted the term.

    :param grants: reports of at least a majority, by endpoint name; those
        of endpoints outside the plan are ignored
    :param target: endpoint to prefer
    :param failed_primary: endpoint to leave out when the others are a
        majority: entries that only it holds were never confirmed
    :param leaving: endpoints that accept no new work
    :returns: the target, if its log is as advanced as those of a majority,
        else the endpoint with the most advanced log; among equal logs one
        that stays, then the last by name
    """
    known = plan.endpoint_by_name
    # The plan may have changed since the fence.
    grants = {name: grants[name] for name in grants if name in known}
    others = {name: grants[name] for name in grants if name != failed_primary}
    if len(others) >= plan.majority:
        grants = others
    target_report = grants.get(target)
    if target_report is not None:
        behind = [
            report
            for report in grants.values()
            if make_log_key(report) <= make_log_key(target_report)
        ]
        if len(behind) >= plan.majority:
            return target
    return max(
        grants, key=lambda name: make_promotion_key(grants[name], leaving)
    )
