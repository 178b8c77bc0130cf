"""Waiting work of one tenant, fair among kinds of work and callers."""

import collections
import collections.abc
import dataclasses
import typing

from fescuestile import requests

# Returns the mean service time of a kind, in seconds.
GetService: typing.TypeAlias = collections.abc.Callable[[str], float]


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """The part of a request that admission decides by.

    :ivar level: index of the rank, 0 for the most urgent
    :ivar kind: kind of work
    :ivar caller: caller that sent the request
    :ivar deadline: monotonic seconds after which the caller has no use for
        an answer
    :ivar continues: whether the request belongs to a transaction that is
        already open
    :ivar tenant: tenant that the caller belongs to
    :ivar weight: the tenant's share of the service time relative to others
    """

    level: int
    kind: str
    caller: str
    deadline: float
    continues: bool = False
    tenant: str = ""
    weight: int = 1


@dataclasses.dataclass(eq=False, slots=True)
class Ticket:
    """One work item in a queue or in a slot.

    :ivar work: the work
    :ivar offered_at: monotonic seconds
    :ivar started_at: monotonic seconds, None while it holds no slot
    :ivar cost: seconds of service charged at the start
    :ivar uses_floor: whether it started before more urgent work, out of its
        rank's guaranteed share
    """

    work: Work
    offered_at: float
    started_at: float | None = None
    cost: float = 0.0
    uses_floor: bool = False


_Flow: typing.TypeAlias = "collections.OrderedDict[Ticket, None]"


class _KindQueue:
    """Work of one kind: a flow for each caller, served round-robin."""

    def __init__(self) -> None:
        self.length = 0
        self.finish_tag = 0.0
        self._flows: collections.OrderedDict[str, _Flow] = (
            collections.OrderedDict()
        )
        # Callers by the length of their flows, to find the longest.
        self._callers_by_length: dict[int, dict[str, None]] = {}
        self._longest = 0

    def push(self, ticket: Ticket) -> None:
        caller = ticket.work.caller
        flow = self._flows.get(caller)
        if flow is None:
            flow = self._flows[caller] = collections.OrderedDict()
        flow[ticket] = None
        if ticket.work.continues:
            flow.move_to_end(ticket, last=False)
            self._flows.move_to_end(caller, last=False)
        self.length += 1
        self._record_length(caller, len(flow) - 1, len(flow))

    def pop(self) -> Ticket:
        caller, flow = next(iter(self._flows.items()))
        ticket = next(iter(flow))
        self.remove(ticket)
        if flow:
            self._flows.move_to_end(caller)
        return ticket

    def remove(self, ticket: Ticket) -> bool:
        caller = ticket.work.caller
        flow = self._flows.get(caller)
        if flow is None or ticket not in flow:
            return False
        del flow[ticket]
        if not flow:
            del self._flows[caller]
        self.length -= 1
        self._record_length(caller, len(flow) + 1, len(flow))
        return True

    def __contains__(self, ticket: Ticket) -> bool:
        return ticket in self._flows.get(ticket.work.caller, ())

    def list_tickets(self) -> typing.Iterator[Ticket]:
        for flow in self._flows.values():
            yield from flow

    def find_newest(self) -> Ticket:
        """Return the newest ticket of the caller with the longest flow."""
        caller = next(reversed(self._callers_by_length[self._longest]))
        return next(reversed(self._flows[caller]))

    def count_ahead(self, caller: str) -> int:
        """Return how many tickets are served before new work of a caller."""
        flow = self._flows.get(caller)
        rounds = len(flow) + 1 if flow else 1
        return min(self.length, rounds * len(self._flows))

    def _record_length(self, caller: str, before: int, after: int) -> None:
        lengths = self._callers_by_length
        if before:
            del lengths[before][caller]
            if not lengths[before]:
                del lengths[before]
        if after:
            lengths.setdefault(after, {})[caller] = None
        if after > self._longest or self._longest not in lengths:
            self._longest = after


def describe_work(request: requests.Request) -> Work:
    """Return the part of a request that admission decides by."""
    return Work(
        level=request.level,
        kind=request.kind,
        caller=request.caller,
        deadline=request.deadline,
        continues=bool(request.transaction),
    )


class TenantQueue:
    """Work of one tenant: kinds share by service time.

    :ivar length: number of waiting tickets
    :ivar finish_tag: service time received, divided by the weight
    :ivar weight: weight of the latest work
    """

    def __init__(self) -> None:
        """Initialize an empty queue."""
        self.length = 0
        self.finish_tag = 0.0
        self.weight = 1
        self._virtual_time = 0.0
        self._kinds: dict[str, _KindQueue] = {}
        self._waiting: dict[str, _KindQueue] = {}

    @property
    def next_kind(self) -> str:
        """Kind that is served next; the queue must not be empty."""
        return min(self._waiting, key=self._get_finish_tag)

    def push(self, ticket: Ticket) -> None:
        """Enqueue a ticket."""
        name = ticket.work.kind
        kind = self._kinds.get(name)
        if kind is None:
            kind = self._kinds[name] = _KindQueue()
        if not kind.length:
            kind.finish_tag = max(kind.finish_tag, self._virtual_time)
            self._waiting[name] = kind
        kind.push(ticket)
        self.length += 1
        self.weight = ticket.work.weight

    def pop(self) -> Ticket:
        """Remove and return the next ticket; there must be one."""
        name = self.next_kind
        kind = self._waiting[name]
        self._virtual_time = kind.finish_tag
        ticket = kind.pop()
        self._on_removed(name, kind)
        return ticket

    def charge(self, work: Work, seconds: float) -> None:
        """Charge service time to work; a negative amount is a refund."""
        self.finish_tag += seconds / work.weight
        queue = self._kinds.get(work.kind)
        if queue is not None:
            queue.finish_tag += seconds

    def remove(self, ticket: Ticket) -> bool:
        """Remove a ticket; return whether it waited here."""
        kind = self._kinds.get(ticket.work.kind)
        if kind is None or not kind.remove(ticket):
            return False
        self._on_removed(ticket.work.kind, kind)
        return True

    def __contains__(self, ticket: Ticket) -> bool:
        """Return whether a ticket waits here."""
        kind = self._waiting.get(ticket.work.kind)
        return kind is not None and ticket in kind

    def find_newest(self) -> Ticket:
        """Return the newest ticket of the longest flow of the longest kind."""
        longest = max(self._waiting.values(), key=lambda kind: kind.length)
        return longest.find_newest()

    def list_ahead(
        self, kind: str, caller: str
    ) -> typing.Iterator[tuple[str, int]]:
        """Yield kinds and how many tickets of each go before new work."""
        own = self._waiting.get(kind)
        ahead = own.count_ahead(caller) if own else 0
        for name, other in self._waiting.items():
            if other is own:
                yield name, ahead
            else:
                yield name, min(other.length, ahead + 1)

    def measure_waiting(self, get_service: GetService) -> float:
        """Return the seconds of service that all waiting tickets take."""
        seconds = 0.0
        for name, kind in self._waiting.items():
            seconds += get_service(name) * kind.length
        return seconds

    def list_waiting(self) -> typing.Iterator[tuple[str, int]]:
        """Yield kinds and how many tickets of each wait."""
        for name, kind in self._waiting.items():
            yield name, kind.length

    def list_tickets(self) -> typing.Iterator[Ticket]:
        """Yield waiting tickets, oldest first within a kind and caller."""
        for kind in self._waiting.values():
            yield from kind.list_tickets()

    def _get_finish_tag(self, name: str) -> float:
        return self._waiting[name].finish_tag

    def _on_removed(self, name: str, kind: _KindQueue) -> None:
        self.length -= 1
        if not kind.length:
            del self._waiting[name]
