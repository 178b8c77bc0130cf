"""How old the data of a replica may be, between its reports.

A report is dated when the daemon that watches the endpoint receives it, so
what it says may be older than its date by the time it was under way. That
time is bounded, since a control connection that answers no heartbeat is
closed; the bound is added to every estimate.
"""

from fescuestile import positions
from fescuestile import snapshots

# Heartbeat interval and timeout of a control connection, and one push.
REPORT_DELAY_SECONDS = 0.8
CATCH_UP_FLOOR_SECONDS = 0.01


def bound_staleness(
    view: snapshots.EndpointView,
    now: float,
    report_delay: float = REPORT_DELAY_SECONDS,
) -> float:
    """Return the seconds that a replica's data is old at most.

    Grows with the time since the replica last held all that the primary
    had reported; never an underestimate.

    :param view: the replica as last reported
    :param now: monotonic seconds
    :param report_delay: longest time that a report is under way, seconds
    """
    return max(0.0, now - view.current_at) + report_delay


def estimate_catch_up(view: snapshots.EndpointView) -> float:
    """Return the seconds that a replica is expected to need for new entries.

    An estimate, not a bound: how far it was behind at its last report.
    """
    return max(CATCH_UP_FLOOR_SECONDS, view.reported_at - view.current_at)


def covers(
    position: positions.Position,
    minimum: positions.Position,
    history: positions.TermHistory,
) -> bool:
    """Tell whether data at a position holds all that a session depends on.

    :param position: position that was read at
    :param minimum: position that the session depends on
    :param history: terms of a log that reaches the position's term
    """
    if minimum.index == 0:
        return True
    if position.term < minimum.term:
        return False
    if position.term == minimum.term:
        return position.index >= minimum.index
    return position.index >= history.clamp(minimum).index
