"""Discrete-event simulation of admission to endpoints.

No process, connection or protocol is modelled: an endpoint is a number of
slots with a FIFO queue, and a network hop is a delay.
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

Callback = collections.abc.Callable[[], None]
CreateQueue = collections.abc.Callable[[int], admission_queues.Queue]


@dataclasses.dataclass(frozen=True, slots=True)
class Window:
    """Interval in which work is counted, in seconds from the start."""

    start: float
    end: float

    @property
    def seconds(self) -> float:
        """Length of the window."""
        return self.end - self.start

    def contains(self, at: float) -> bool:
        """Return whether a time lies in the window."""
        return self.start <= at < self.end


class Timeline:
    """Event queue ordered by virtual time."""

    def __init__(self) -> None:
        """Initialize an empty queue at 0 seconds."""
        self.now = 0.0
        self._events: list[tuple[float, int, Callback]] = []
        self._sequence = itertools.count()

    def call_in(self, delay: float, callback: Callback) -> None:
        """Call a function after a delay in seconds."""
        entry = (self.now + delay, next(self._sequence), callback)
        heapq.heappush(self._events, entry)

    def run(self, until: float) -> None:
        """Run all events up to a time in seconds."""
        while self._events and self._events[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        self.now = until


class EndpointModel:
    """Slots of one endpoint, with a FIFO queue for work above them.

    :ivar connections: connections in use
    :ivar max_connections: maximum of ``connections`` so far
    :ivar slowdown: factor of all service times
    """

    def __init__(self, timeline: Timeline, slots: int) -> None:
        """Initialize an idle endpoint."""
        self.connections = 0
        self.max_connections = 0
        self.slowdown = 1.0
        self._timeline = timeline
        self._free = slots
        self._queue: collections.deque[tuple[float, Callback]] = (
            collections.deque()
        )

    def connect(self) -> None:
        """Count a connection as in use."""
        self.connections += 1
        self.max_connections = max(self.max_connections, self.connections)

    def run(self, service: float, done: Callback) -> None:
        """Run a statement; ``done`` is called when it ends."""
        self._queue.append((service, done))
        self._start()

    def _start(self) -> None:
        while self._free and self._queue:
            service, done = self._queue.popleft()
            self._free -= 1
            delay = service * self.slowdown
            self._timeline.call_in(delay, functools.partial(self._end, done))

    def _end(self, done: Callback) -> None:
        self._free += 1
        done()
        self._start()


@dataclasses.dataclass
class Tally:
    """Counts of the statements of one kind in the window.

    :ivar offered: statements that arrived
    :ivar served: those of them that were answered within their deadline
    :ivar seconds: service seconds of statements answered in the window
        within their deadline
    :ivar unreachable: statements that arrived at a daemon that a network
        partition separates from the endpoint
    :ivar durations: seconds from arrival to answer of those served
    """

    offered: int = 0
    served: int = 0
    seconds: float = 0.0
    unreachable: int = 0
    durations: latencies.Latencies = dataclasses.field(
        default_factory=latencies.Latencies
    )


class AdmissionController:
    """Admission of statements to one endpoint, on one daemon."""

    def __init__(
        self,
        timeline: Timeline,
        queue: admission_queues.Queue,
        endpoint: EndpointModel,
        hop: float,
    ) -> None:
        """Initialize with a queue and an endpoint.

        :param hop: one-way delay from the daemon to the endpoint, in seconds
        """
        self.queue = queue
        self.alive = True
        self._timeline = timeline
        self._endpoint = endpoint
        self._hop = hop
        self._arrivals: dict[
            admission.Ticket, tuple[flood_work.Arrival, Callback]
        ] = {}

    @property
    def demand(self) -> int:
        """Number of statements that wait or run."""
        return len(self._arrivals)

    def offer(self, arrival: flood_work.Arrival, done: Callback) -> None:
        """Queue a statement; ``done`` is called when its answer arrives."""
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
        """Start the work that the queue releases."""
        batch = self.queue.dequeue(self._timeline.now)
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
    """Which daemons admit work, and how statements are forwarded to them."""

    def __init__(
        self,
        timeline: Timeline,
        site: flood_work.Site,
        create_queue: CreateQueue,
    ) -> None:
        """Create the endpoints; subclasses create the controllers.

        Set ``window`` before the first arrival.

        :param create_queue: function that returns a queue for a number of
            slots
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
        self.isolated_zone = ""

    @abc.abstractmethod
    def admit(
        self, arrival: flood_work.Arrival, daemon: int, done: Callback
    ) -> None:
        """Admit a statement that a daemon received."""

    @abc.abstractmethod
    def kill(self, daemon: int) -> None:
        """Kill a daemon; its callers reconnect to the next one at once."""

    def receive(self, arrival: flood_work.Arrival) -> None:
        """Receive a statement from a caller."""
        key = (arrival.kind, arrival.overload)
        tally = self.tallies[key]
        daemon = arrival.daemon
        while daemon in self.dead:
            daemon = (daemon + 1) % len(self.site.zones)
        in_window = self.window.contains(arrival.at)
        zone = self.site.endpoints[arrival.endpoint].zone
        if self.is_partitioned(self.site.zones[daemon], zone):
            tally.unreachable += in_window
            return
        tally.offered += in_window
        self.admit(arrival, daemon, lambda: self._record(arrival, tally))

    def _record(self, arrival: flood_work.Arrival, tally: Tally) -> None:
        now = self.timeline.now
        if now > arrival.deadline:
            return
        if self.window.contains(arrival.at):
            tally.served += 1
            tally.durations.record(now - arrival.at)
        if self.window.contains(now):
            tally.seconds += arrival.service

    def create_controller(
        self, daemon: int, endpoint: int, slots: int
    ) -> AdmissionController:
        """Return a controller on a daemon for an endpoint."""
        hop = self.get_hop_seconds(
            self.site.zones[daemon], self.site.endpoints[endpoint].zone
        )
        return AdmissionController(
            self.timeline,
            self.create_queue(slots),
            self.endpoints[endpoint],
            hop,
        )

    def get_hop_seconds(self, one: str, other: str) -> float:
        """Return the one-way delay between two zones in seconds."""
        return LOCAL_HOP_SECONDS if one == other else self.site.hop

    def is_partitioned(self, one: str, other: str) -> bool:
        """Return whether a network partition separates two zones."""
        return one != other and self.isolated_zone in (one, other)


CreatePlacement = typing.Callable[
    [Timeline, flood_work.Site, CreateQueue], Placement
]
