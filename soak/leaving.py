"""Endpoints that are leaving, and the work that still began at them."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import math

# Settings of the daemons: an endpoint gets no new work this long after its
# mark, and a mark is known to a daemon within the second time.
DRAIN_SECONDS = 3.0
KNOWN_SECONDS = 1.5
# Time for which an endpoint leaves before it stays again; the fault's own
# duration is added.
LEAVING_SECONDS = 4.0


@dataclasses.dataclass(slots=True)
class Interval:
    """A time of the event loop from start to end, in seconds."""

    start: float
    end: float = math.inf


class Disturbances:
    """Times in which a daemon may not learn of a mark.

    :ivar learning: times in which the store fails or a daemon is paused
    :ivar restarts: times in which a daemon is stopped and not ready yet
    :ivar drills: times in which the store goes back to an older copy
    """

    def __init__(self) -> None:
        """Start without disturbances."""
        self.learning: list[Interval] = []
        self.restarts: list[Interval] = []
        self.drills: list[Interval] = []

    @contextlib.contextmanager
    def record_store_fault(
        self, goes_back: bool, seconds_after: float
    ) -> collections.abc.Iterator[None]:
        """Record the time of the context as one in which the store fails.

        :param goes_back: whether it comes back from an older copy
        :param seconds_after: how much longer daemons may not learn
        """
        drills = self.drills if goes_back else []
        with record(self.learning, seconds_after), record(drills):
            yield

    def find_known_at(self, marked_at: float) -> float:
        """Return from when all daemons could learn of a mark.

        A disturbance that begins while they learn delays that to its end.
        """
        known_at = marked_at
        for interval in sorted(self.learning, key=lambda each: each.start):
            if interval.start < known_at + KNOWN_SECONDS:
                known_at = max(known_at, interval.end)
        return known_at

    def find_last_restart(self, before: float) -> float:
        """Return when the last daemon became ready again before a time."""
        ends = [each.end for each in self.restarts if each.start < before]
        return min(max(ends, default=-math.inf), before)


@contextlib.contextmanager
def record(
    intervals: list[Interval], seconds_after: float = 0.0
) -> collections.abc.Iterator[None]:
    """Record the time of the context.

    :param seconds_after: how much longer it lasts
    """
    loop = asyncio.get_running_loop()
    interval = Interval(loop.time())
    intervals.append(interval)
    try:
        yield
    finally:
        interval.end = loop.time() + seconds_after


def list_late_work(
    begun: collections.abc.Iterable[tuple[float, str]],
    marked: Interval,
    disturbances: Disturbances,
) -> list[str]:
    """Return the ids of the work that began too late at an endpoint.

    :param begun: time and id of each piece of work that began there
    :param marked: from when the store accepted the mark until its removal
    """
    known_at = disturbances.find_known_at(marked.start)
    return [
        id_
        for at, id_ in begun
        if marked.start < at < marked.end
        and at - max(known_at, disturbances.find_last_restart(at))
        > DRAIN_SECONDS
    ]
