"""Choice of the endpoint for a read, from statistics of earlier requests."""

import dataclasses
import typing

# Factor of the primary's cost: reads are kept away from it, to leave capacity
# for the work that only the primary can do.
PRIMARY_COST_FACTOR = 2.0
# Cost added for each recent failure. It exceeds the usual time of a
# statement, so that the endpoint is used only if the others are much slower.
FAILURE_PENALTY_SECONDS = 0.2
# A request that stays unanswered for longer than this adds its age to the
# cost of its endpoint. Statements that wait for a slot take less.
USUAL_RESPONSE_SECONDS = 0.06
# Time for which a new connection occupies a slot of its endpoint.
CONNECT_SECONDS = 0.012
# Round-trip time to another availability zone.
ZONE_ROUND_TRIP_SECONDS = 0.003

# Recent failures, and the multiple of the least service time in the group,
# above which an endpoint gets no reads although it may have recovered.
MAX_FAILURES = 0.02
MAX_SLOWDOWN = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint that could serve a read.

    :ivar name: name of the endpoint
    :ivar service: recent service time of its statements, in seconds
    :ivar wait: seconds that new work is expected to wait for it at this
        daemon
    :ivar failures: decaying count of recent failures
    :ivar unanswered_seconds: age of the oldest request that it has not
        answered
    :ivar is_primary: whether it is the group's primary
    :ivar is_same_zone: whether it is in this daemon's availability zone
    :ivar in_time: whether the read is expected to end by its deadline
    :ivar lags: whether it is known to lack the position that the read must
        see
    :ivar is_connected: whether a connection to it is free at this daemon
    :ivar is_probe_due: whether it got no statement for so long that what is
        known of it may be out of date
    """

    name: str
    service: float
    wait: float
    failures: float = 0.0
    unanswered_seconds: float = 0.0
    is_primary: bool = False
    is_same_zone: bool = False
    in_time: bool = True
    lags: bool = False
    is_connected: bool = True
    is_probe_due: bool = False


def estimate_cost(candidate: Candidate) -> float:
    """Return the expected cost of a read at an endpoint, in seconds."""
    cost = candidate.service + candidate.wait
    if not candidate.is_connected:
        cost += CONNECT_SECONDS
    if candidate.unanswered_seconds > USUAL_RESPONSE_SECONDS:
        cost += candidate.unanswered_seconds
    if candidate.is_primary:
        cost *= PRIMARY_COST_FACTOR
    if not candidate.is_same_zone:
        cost += ZONE_ROUND_TRIP_SECONDS
    return cost + FAILURE_PENALTY_SECONDS * candidate.failures


def choose(candidates: typing.Iterable[Candidate]) -> str | None:
    """Return the name of the endpoint with the least cost.

    An endpoint that lags is returned only if all of them lag. One that was
    slow or failed and is due for a probe costs nothing but its wait.

    :param candidates: endpoints that may serve the read
    :returns: None without candidates
    """
    known = list(candidates)
    least = min((each.service for each in known), default=0.0)
    best = min(
        (_forget_past(each, least) for each in known),
        key=lambda candidate: (candidate.lags, estimate_cost(candidate)),
        default=None,
    )
    return best.name if best else None


def _forget_past(candidate: Candidate, least: float) -> Candidate:
    avoided = (
        candidate.failures > MAX_FAILURES
        or candidate.service > MAX_SLOWDOWN * least
    )
    if not (candidate.is_probe_due and avoided):
        return candidate
    return dataclasses.replace(candidate, service=0.0, failures=0.0)
