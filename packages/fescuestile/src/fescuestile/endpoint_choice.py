"""Which endpoint a read goes to, by what earlier requests showed."""

import dataclasses
import typing

# A read elsewhere than at the primary leaves room there for the work that
# only the primary can do, so the primary counts as this much slower.
PRIMARY_FACTOR = 2.0
# Added for an endpoint that failed lately, in seconds; above the usual time
# of a statement, so that it is tried when the others are much slower.
FAILURE_SECONDS = 0.2
# An endpoint that leaves a question open for longer counts as slower by that
# time, in seconds; statements that wait for their turn take less.
USUAL_SILENCE_SECONDS = 0.06
# Round trip to another availability zone, in seconds.
ZONE_SECONDS = 0.003


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint that could serve a read.

    :ivar name: endpoint
    :ivar service: seconds that its statements take lately
    :ivar wait: seconds that new work is expected to wait for it here
    :ivar failures: recent failures, decaying
    :ivar silence: seconds for which it has left a question open
    :ivar is_primary: it is the group's primary
    :ivar is_near: it stands in this daemon's availability zone
    :ivar in_time: the read's turn would come in time
    :ivar lags: it is known to lack the position that the read must see
    """

    name: str
    service: float
    wait: float
    failures: float = 0.0
    silence: float = 0.0
    is_primary: bool = False
    is_near: bool = False
    in_time: bool = True
    lags: bool = False


def estimate_cost(candidate: Candidate) -> float:
    """Return the seconds that a read is expected to cost there."""
    cost = candidate.service + candidate.wait
    if candidate.silence > USUAL_SILENCE_SECONDS:
        cost += candidate.silence
    if candidate.is_primary:
        cost *= PRIMARY_FACTOR
    if not candidate.is_near:
        cost += ZONE_SECONDS
    return cost + FAILURE_SECONDS * candidate.failures


def choose(candidates: typing.Iterable[Candidate]) -> str | None:
    """Return the endpoint of least cost, one that does not lag if any.

    :param candidates: endpoints that may serve the read
    :returns: None when there are none
    """
    best = min(
        candidates,
        key=lambda candidate: (candidate.lags, estimate_cost(candidate)),
        default=None,
    )
    return best.name if best else None
