"""Bounds of a replica's staleness between its reports.

A report is dated when the daemon that watches the endpoint receives it, so
its content may be older than its date by the time it was in transit. That
time is bounded, since a control connection that answers no heartbeat is
closed. The bound is added to every estimate.
"""

from fescuestile import positions
from fescuestile import snapshots

# Sum of the heartbeat interval and timeout of a control connection and the
# time of one state push.
REPORT_DELAY_SECONDS = 0.8
MIN_CATCH_UP_SECONDS = 0.01


def bound_staleness(
    view: snapshots.EndpointView,
    now: float,
    report_delay: float = REPORT_DELAY_SECONDS,
) -> float:
    """Return an upper bound of a replica's staleness, in seconds.

    It grows with the time since the replica last held everything that the
    primary had reported, and is never an underestimate.

    :param view: the replica as last reported
    :param now: monotonic seconds
    :param report_delay: longest time that a report is in transit, in seconds
    """
    return max(0.0, now - view.current_at) + report_delay


def estimate_catch_up(view: snapshots.EndpointView) -> float:
    """Return the expected seconds until a replica holds new entries.

    This is an estimate, not a bound: the lag at its last report.

    :param view: the replica as last reported
    """
    return max(MIN_CATCH_UP_SECONDS, view.reported_at - view.current_at)


def covers(
    position: positions.Position,
    minimum: positions.Position,
    history: positions.TermHistory,
) -> bool:
    """Return whether data at a position holds all that a session depends on.

    :param position: position that was read at
    :param minimum: position that the session depends on
    :param history: term history of a log that reaches the position's term
    """
    if minimum.index == 0:
        return True
    if position.term < minimum.term:
        return False
    if position.term == minimum.term:
        return position.index >= minimum.index
    return position.index >= history.clamp(minimum).index
