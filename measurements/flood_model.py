"""Virtual time for admission queues before endpoints.

No process, connection or protocol is modelled: an endpoint is a number of
slots with a line before them, and a hop is a delay.
"""

import abc
import collections
import collections.abc
import dataclasses
import functools
import heapq
import itertools
import math
import typing

from fescuestile import admission
from measurements import admission_queues
from measurements import flood_work
from measurements import latencies

LOCAL_HOP_SECONDS = 0.0001

Done = collections.abc.Callable[[], None]
CreateQueue = collections.abc.Callable[[int], admission_queues.Queue]


@dataclasses.dataclass(frozen=True, slots=True)
class Window:
    """Time in which work is counted, in seconds from the start."""

    start: float
    end: float

    @property
    def seconds(self) -> float:
        """Length of the window."""
        return self.end - self.start

    def holds(self, at: float) -> bool:
        """Tell whether a time lies in it."""
        return self.start <= at < self.end


class Timeline:
    """Events in order of their virtual time."""

    def __init__(self) -> None:
        """Start at 0 seconds."""
        self.now = 0.0
        self._events: list[tuple[float, int, Done]] = []
        self._order = itertools.count()

    def call_in(self, delay: float, done: Done) -> None:
        """Call a function after a delay in seconds."""
        entry = (self.now + delay, next(self._order), done)
        heapq.heappush(self._events, entry)

    def run(self, until: float) -> None:
        """Run all events up to a time in seconds."""
        while self._events and self._events[0][0] <= until:
            self.now, _, done = heapq.heappop(self._events)
            done()
        self.now = until


class EndpointModel:
    """Slots of one endpoint; what exceeds them waits in order of arrival.

    :ivar connections: connections in use
    :ivar most: most connections that were in use at a time
    """

    def __init__(self, timeline: Timeline, slots: int) -> None:
        """Start idle."""
        self.connections = 0
        self.most = 0
        self.slowdown = 1.0
        self._timeline = timeline
        self._free = slots
        self._line: collections.deque[tuple[float, Done]] = collections.deque()

    def connect(self) -> None:
        """Note a connection in use."""
        self.connections += 1
        self.most = max(self.most, self.connections)

    def run(self, service: float, done: Done) -> None:
        """Run a statement; ``done`` is called at its end."""
        self._line.append((service, done))
        self._start()

    def _start(self) -> None:
        while self._free and self._line:
            service, done = self._line.popleft()
            self._free -= 1
            delay = service * self.slowdown
            self._timeline.call_in(delay, functools.partial(self._end, done))

    def _end(self, done: Done) -> None:
        self._free += 1
        done()
        self._start()


@dataclasses.dataclass
class Tally:
    """What became of the work of one kind, in the window.

    :ivar offered: statements that came
    :ivar served: those of them answered within their deadline
    :ivar seconds: service seconds of statements answered in the window
        within their deadline
    :ivar cut_off: statements that came and whose endpoint was cut off
    """

    offered: int = 0
    served: int = 0
    seconds: float = 0.0
    cut_off: int = 0
    durations: latencies.Latencies = dataclasses.field(
        default_factory=latencies.Latencies
    )


class Gate:
    """One admission queue before one endpoint, on one daemon."""

    def __init__(
        self,
        timeline: Timeline,
        queue: admission_queues.Queue,
        endpoint: EndpointModel,
        hop: float,
    ) -> None:
        """Join a queue and an endpoint.

        :param hop: seconds from the daemon to the endpoint
        """
        self.queue = queue
        self.alive = True
        self._timeline = timeline
        self._endpoint = endpoint
        self._hop = hop
        self._arrivals: dict[
            admission.Ticket, tuple[flood_work.Arrival, Done]
        ] = {}

    @property
    def demand(self) -> int:
        """Statements that wait or run."""
        return len(self._arrivals)

    def offer(self, arrival: flood_work.Arrival, done: Done) -> None:
        """Admit a statement; ``done`` is called when it was executed."""
        if not self.alive:
            return
        work = admission.Work(
            arrival.level, arrival.kind, arrival.caller, arrival.deadline
        )
        offered = self.queue.offer(work, self._timeline.now)
        if offered.is_ok():
            self._arrivals[offered.ok] = (arrival, done)
        self.advance()

    def advance(self) -> None:
        """Start what the queue hands out."""
        batch = self.queue.take(self._timeline.now)
        for drop in batch.dropped:
            del self._arrivals[drop.ticket]
        for ticket in batch.started:
            self._endpoint.connect()
            execute = functools.partial(self._execute, ticket)
            self._timeline.call_in(self._hop, execute)

    def _execute(self, ticket: admission.Ticket) -> None:
        service = self._arrivals[ticket][0].service
        self._endpoint.run(
            service,
            lambda: self._timeline.call_in(
                self._hop, lambda: self._end(ticket)
            ),
        )

    def _end(self, ticket: admission.Ticket) -> None:
        _, done = self._arrivals.pop(ticket)
        self._endpoint.connections -= 1
        if not self.alive:
            return
        done()
        self.queue.release(ticket, self._timeline.now)
        self.advance()


class Placement(abc.ABC):
    """Where the queues of endpoints stand and how work gets to them."""

    def __init__(
        self,
        timeline: Timeline,
        site: flood_work.Site,
        create_queue: CreateQueue,
    ) -> None:
        """Build the endpoints; subclasses build the gates.

        The window is to be set before the first arrival.

        :param create_queue: returns a queue for a number of slots
        """
        self.timeline = timeline
        self.site = site
        self.endpoints = [
            EndpointModel(timeline, endpoint.slots)
            for endpoint in site.endpoints
        ]
        self.create_queue = create_queue
        self.tallies: collections.defaultdict[tuple[str, bool], Tally] = (
            collections.defaultdict(Tally)
        )
        self.window = Window(0.0, math.inf)
        self.dead: set[int] = set()
        self.cut_zone = ""

    @abc.abstractmethod
    def admit(
        self, arrival: flood_work.Arrival, daemon: int, done: Done
    ) -> None:
        """Admit a statement that came to a daemon."""

    @abc.abstractmethod
    def kill(self, daemon: int) -> None:
        """Kill a daemon; its callers go to the next one at once."""

    def arrive(self, arrival: flood_work.Arrival) -> None:
        """Take a statement of a caller."""
        key = (arrival.kind, arrival.flood)
        tally = self.tallies[key]
        daemon = arrival.daemon
        while daemon in self.dead:
            daemon = (daemon + 1) % len(self.site.zones)
        counted = self.window.holds(arrival.at)
        zone = self.site.endpoints[arrival.endpoint].zone
        if self.is_cut(self.site.zones[daemon], zone):
            tally.cut_off += counted
            return
        tally.offered += counted
        self.admit(arrival, daemon, lambda: self._note(arrival, tally))

    def _note(self, arrival: flood_work.Arrival, tally: Tally) -> None:
        now = self.timeline.now
        if now > arrival.deadline:
            return
        if self.window.holds(arrival.at):
            tally.served += 1
            tally.durations.record(now - arrival.at)
        if self.window.holds(now):
            tally.seconds += arrival.service

    def create_gate(self, daemon: int, endpoint: int, slots: int) -> Gate:
        """Return a gate on a daemon before an endpoint."""
        hop = self.measure_hop(
            self.site.zones[daemon], self.site.endpoints[endpoint].zone
        )
        return Gate(
            self.timeline,
            self.create_queue(slots),
            self.endpoints[endpoint],
            hop,
        )

    def measure_hop(self, one: str, other: str) -> float:
        """Return the seconds between two zones, one way."""
        return LOCAL_HOP_SECONDS if one == other else self.site.hop

    def is_cut(self, one: str, other: str) -> bool:
        """Tell whether a cut lies between two zones."""
        return one != other and self.cut_zone in (one, other)


CreatePlacement = typing.Callable[
    [Timeline, flood_work.Site, CreateQueue], Placement
]
