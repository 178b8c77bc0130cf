"""Rows that the overload measurements report."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class FloodRow:
    """One run. The shares of the ranks exclude the overloaded kind.

    :ivar way: name of the placement and queue
    :ivar flood: rank that is overloaded
    :ivar fault: name of the injected fault, or empty
    :ivar load: offered work relative to the capacity of the slots
    :ivar urgent: share of the rank's statements served within their
        deadline, divided by the same share at normal load; ``usual`` and
        ``late`` likewise
    :ivar urgent_slots: share of the slots' time that the rank's work got;
        ``usual_slots`` and ``late_slots`` likewise
    :ivar urgent_p99: 99th percentile of the urgent rank's response time,
        in milliseconds
    :ivar flooding: share of the overloaded kind served within its deadline
    :ivar goodput: share of the slots' time spent on work that met its
        deadline
    :ivar score: mean of the ranks' shares, weighted by importance
    :ivar in_flight: maximum number of connections in use at an endpoint, one
        per statement
    """

    site: str
    way: str
    flood: str
    fault: str
    load: float
    urgent: float
    usual: float
    late: float
    urgent_slots: float
    usual_slots: float
    late_slots: float
    urgent_p99: float
    flooding: float
    goodput: float
    score: float
    in_flight: int
