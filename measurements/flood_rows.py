"""Rows that the flood measurements report."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class FloodRow:
    """One run. Shares leave the flooding kind itself out.

    :ivar flood: rank that floods
    :ivar fault: what happened, or empty
    :ivar load: offered work over what the slots serve
    :ivar urgent: share of the rank's work served within its deadline,
        over the same without a flood; so for the other ranks
    :ivar urgent_slots: share of the slots' time the rank's work got; so
        for the other ranks
    :ivar urgent_p99: milliseconds to an answer at the urgent rank's 99th
        percentile
    :ivar flooding: share of the flooding kind served in time
    :ivar goodput: share of the slots' time spent on work served in time
    :ivar score: service of the ranks by their worth
    :ivar in_flight: most statements, so connections, in use at an endpoint
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
