"""Routes requests to the primary or to a sufficiently fresh replica."""

import dataclasses
import random

import expression

from fescuestile import endpoint_messages
from fescuestile import errors
from fescuestile import lag
from fescuestile import requests
from fescuestile import results
from fescuestile import snapshots

STEP = "route"


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingOptions:
    """Costs and limits of routing, in seconds where not said otherwise.

    :ivar zone_cost: round-trip time to another availability zone
    :ivar report_delay: longest time between making and receiving a report
    :ivar catch_up_limit: longest wait for a replica to catch up
    :ivar no_primary_delay: delay until a retry while there is no primary
    :ivar jitter: fraction by which expected waits are varied, so that
        daemons with the same snapshot don't all choose the same replica
    """

    zone_cost: float = 0.003
    report_delay: float = lag.REPORT_DELAY_SECONDS
    catch_up_limit: float = 0.1
    no_primary_delay: float = 0.2
    jitter: float = 0.25


DEFAULTS = RoutingOptions()


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingDecision:
    """Endpoint that a request is sent to.

    :ivar view: the endpoint's state when it was chosen
    :ivar term: term to send with the request
    :ivar replica: whether the endpoint is a replica
    :ivar diverted: whether this is a read that may be stale but goes to the
        primary, since no replica can serve it
    :ivar catch_up: longest wait in seconds for the replica to cover the
        session's minimum; after it the request is routed again with
        ``waited`` set
    """

    view: snapshots.EndpointView
    term: int
    replica: bool = False
    diverted: bool = False
    catch_up: float = 0.0


RoutingResult = expression.Result[RoutingDecision, errors.FescuestileError]


def may_be_stale(request: requests.Request) -> bool:
    """Return whether a replica may serve a request."""
    return (
        request.action is requests.Action.STATEMENT
        and request.read_only
        and request.staleness > 0
        and not request.transaction
    )


def route(
    request: requests.Request,
    group: snapshots.GroupSnapshot,
    zone: str,
    now: float,
    source: random.Random,
    waited: bool = False,
    excluded: frozenset[str] = frozenset(),
    options: RoutingOptions = DEFAULTS,
) -> RoutingResult:
    """Choose the endpoint that a request is sent to.

    :param group: the group's state as known to this daemon
    :param zone: this daemon's availability zone
    :param now: monotonic seconds
    :param source: randomness for the jitter
    :param waited: whether the request has waited for a replica before
    :param excluded: names of replicas that already failed the request
    :returns: the route, or NotRun when it needs a primary and there is none
    """
    if not may_be_stale(request):
        return _route_to_primary(request, group, False, options)
    fresh = [
        view
        for view in group.endpoints.values()
        if view.endpoint.name not in excluded
        and is_fresh(view, request, group, now, options)
    ]
    ready = [view for view in fresh if view.history.covers(request.minimum)]
    if ready:
        chosen = _choose(ready, zone, source, options)
        return results.succeed(
            RoutingDecision(chosen, group.term, replica=True)
        )
    primary = _route_to_primary(request, group, True, options)
    if fresh and not waited:
        return _choose_with_catch_up(
            fresh, primary, request, zone, now, options
        )
    return primary


def is_fresh(
    view: snapshots.EndpointView,
    request: requests.Request,
    group: snapshots.GroupSnapshot,
    now: float,
    options: RoutingOptions = DEFAULTS,
) -> bool:
    """Return whether a replica accepts reads and meets the staleness bound."""
    if view.role is not endpoint_messages.Role.REPLICA:
        return False
    if not view.endpoint.readable or view.leaving or not view.owner:
        return False
    if view.term != group.term:
        return False
    oldest = lag.bound_staleness(view, now, options.report_delay)
    return oldest <= request.staleness


def _choose(
    views: list[snapshots.EndpointView],
    zone: str,
    source: random.Random,
    options: RoutingOptions,
) -> snapshots.EndpointView:
    def draw_cost(view: snapshots.EndpointView) -> float:
        cost = _estimate_wait(view, zone, options)
        return cost * source.uniform(1 - options.jitter, 1 + options.jitter)

    return min(views, key=draw_cost)


def _estimate_wait(
    view: snapshots.EndpointView, zone: str, options: RoutingOptions
) -> float:
    away = options.zone_cost if view.endpoint.zone != zone else 0.0
    return view.expected_wait + away


def _choose_with_catch_up(
    fresh: list[snapshots.EndpointView],
    primary: RoutingResult,
    request: requests.Request,
    zone: str,
    now: float,
    options: RoutingOptions,
) -> RoutingResult:
    """Choose between waiting for a replica and reading from the primary.

    The primary is chosen when it is expected to answer sooner.
    """

    def estimate(view: snapshots.EndpointView) -> float:
        wait = _estimate_wait(view, zone, options)
        return wait + lag.estimate_catch_up(view)

    replica = min(fresh, key=estimate)
    expected = lag.estimate_catch_up(replica)
    longest = min(options.catch_up_limit, request.deadline - now)
    if expected > longest:
        return primary
    if primary.is_ok():
        direct = _estimate_wait(primary.ok.view, zone, options)
        if direct <= estimate(replica):
            return primary
    return results.succeed(
        RoutingDecision(
            replica,
            primary.ok.term if primary.is_ok() else replica.term,
            replica=True,
            catch_up=longest,
        )
    )


def _route_to_primary(
    request: requests.Request,
    group: snapshots.GroupSnapshot,
    diverted: bool,
    options: RoutingOptions,
) -> RoutingResult:
    view = group.endpoints.get(group.primary)
    if view is None or view.leaving or not view.owner:
        return expression.Error(
            errors.NotRun(
                message="the group has no primary at the moment",
                step=STEP,
                peer=request.database,
                retry_after=options.no_primary_delay,
            )
        )
    return results.succeed(
        RoutingDecision(view, group.term, diverted=diverted)
    )


def check_answer(
    request: requests.Request,
    answer: requests.Answer,
    routed: RoutingDecision,
    group: snapshots.GroupSnapshot,
    now: float,
    options: RoutingOptions = DEFAULTS,
) -> expression.Result[requests.Answer, errors.UnknownOutcome]:
    """Check a replica's answer against the bounds of the read.

    Within a term a replica's log only grows, so an answer is at least as
    fresh as the latest report whose last entry its position covers.

    :param routed: route of the read
    :param group: the group's state when the answer was received
    :param now: monotonic seconds
    :returns: the answer, or an error when the read has to run again
    """
    if not routed.replica:
        return results.succeed(answer)
    latest = group.endpoints.get(answer.endpoint, routed.view)
    if not lag.covers(answer.position, request.minimum, latest.history):
        return _reject_answer(
            "the answer's position is behind the session's", answer
        )
    known = [
        view.current_at
        for view in (routed.view, latest)
        if view.history.last <= answer.position
    ]
    oldest = now - max(known, default=float("-inf"))
    if oldest + options.report_delay > request.staleness:
        return _reject_answer(
            "the answer is older than the staleness bound of its kind", answer
        )
    return results.succeed(answer)


def _reject_answer(
    message: str, answer: requests.Answer
) -> expression.Result[requests.Answer, errors.UnknownOutcome]:
    return expression.Error(
        errors.UnknownOutcome(
            message=message, step="check answer", peer=answer.endpoint
        )
    )
