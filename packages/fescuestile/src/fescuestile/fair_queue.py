"""Queue of one rank, fair among kinds of work and among callers.

Kinds share by service time (start-time fair queueing), the callers of a
kind take turns, and one caller's work stays in order. So a flood of one
kind, or of one caller, lengthens only its own line.
"""

import collections
import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """What admission needs to know of a request.

    :ivar level: urgency, 0 for the most urgent
    :ivar kind: kind of work
    :ivar caller: who asks
    :ivar deadline: monotonic seconds at which the caller gives up
    :ivar continues: part of a transaction that is already open
    """

    level: int
    kind: str
    caller: str
    deadline: float
    continues: bool = False


@dataclasses.dataclass(eq=False, slots=True)
class Ticket:
    """One piece of work on its way through a queue.

    :ivar offered_at: monotonic seconds
    :ivar started_at: monotonic seconds, None while it waits
    :ivar cost: seconds of service charged at the start
    :ivar owed: it started before more urgent work, on its rank's floor
    """

    work: Work
    offered_at: float
    started_at: float | None = None
    cost: float = 0.0
    owed: bool = False


_Line: typing.TypeAlias = "collections.OrderedDict[Ticket, None]"


class _KindQueue:
    """Work of one kind: a line for each caller, taken in turns."""

    def __init__(self) -> None:
        self.length = 0
        self.finish = 0.0
        self._lines: collections.OrderedDict[str, _Line] = (
            collections.OrderedDict()
        )
        # Callers by the length of their lines, to find the longest.
        self._callers_by_length: dict[int, dict[str, None]] = {}
        self._longest = 0

    def push(self, ticket: Ticket) -> None:
        caller = ticket.work.caller
        line = self._lines.get(caller)
        if line is None:
            line = self._lines[caller] = collections.OrderedDict()
        line[ticket] = None
        if ticket.work.continues:
            line.move_to_end(ticket, last=False)
            self._lines.move_to_end(caller, last=False)
        self.length += 1
        self._note_length(caller, len(line) - 1, len(line))

    def pop(self) -> Ticket:
        caller, line = next(iter(self._lines.items()))
        ticket = next(iter(line))
        self.remove(ticket)
        if line:
            self._lines.move_to_end(caller)
        return ticket

    def remove(self, ticket: Ticket) -> bool:
        caller = ticket.work.caller
        line = self._lines.get(caller)
        if line is None or ticket not in line:
            return False
        del line[ticket]
        if not line:
            del self._lines[caller]
        self.length -= 1
        self._note_length(caller, len(line) + 1, len(line))
        return True

    def __contains__(self, ticket: Ticket) -> bool:
        return ticket in self._lines.get(ticket.work.caller, ())

    def list_tickets(self) -> typing.Iterator[Ticket]:
        for line in self._lines.values():
            yield from line

    def find_newest(self) -> Ticket:
        """Return the newest ticket of the caller with the longest line."""
        caller = next(reversed(self._callers_by_length[self._longest]))
        return next(reversed(self._lines[caller]))

    def count_ahead(self, caller: str) -> int:
        """Return how many go before new work of a caller."""
        line = self._lines.get(caller)
        turns = len(line) + 1 if line else 1
        return min(self.length, turns * len(self._lines))

    def _note_length(self, caller: str, before: int, after: int) -> None:
        lengths = self._callers_by_length
        if before:
            del lengths[before][caller]
            if not lengths[before]:
                del lengths[before]
        if after:
            lengths.setdefault(after, {})[caller] = None
        if after > self._longest or self._longest not in lengths:
            self._longest = after


class FairQueue:
    """Work of one rank that waits."""

    def __init__(self) -> None:
        """Start empty."""
        self._length = 0
        self._virtual_time = 0.0
        self._kinds: dict[str, _KindQueue] = {}
        self._waiting: dict[str, _KindQueue] = {}

    def __len__(self) -> int:
        """Return how many wait."""
        return self._length

    @property
    def next_kind(self) -> str:
        """Kind whose turn it is; something must wait."""
        return min(self._waiting, key=self._get_finish)

    def push(self, ticket: Ticket) -> None:
        """Add a ticket."""
        name = ticket.work.kind
        kind = self._kinds.get(name)
        if kind is None:
            kind = self._kinds[name] = _KindQueue()
        if not kind.length:
            kind.finish = max(kind.finish, self._virtual_time)
            self._waiting[name] = kind
        kind.push(ticket)
        self._length += 1

    def pop(self) -> Ticket:
        """Take the next ticket in turn.

        :raises IndexError: nothing waits
        """
        if not self._waiting:
            raise IndexError("nothing waits")
        name = self.next_kind
        kind = self._waiting[name]
        self._virtual_time = kind.finish
        ticket = kind.pop()
        self._note_removed(name, kind)
        return ticket

    def charge(self, kind: str, seconds: float) -> None:
        """Charge service time to a kind; negative to give back."""
        queue = self._kinds.get(kind)
        if queue is not None:
            queue.finish += seconds

    def remove(self, ticket: Ticket) -> bool:
        """Remove a ticket; tell whether it waited here."""
        kind = self._kinds.get(ticket.work.kind)
        if kind is None or not kind.remove(ticket):
            return False
        self._note_removed(ticket.work.kind, kind)
        return True

    def __contains__(self, ticket: Ticket) -> bool:
        """Tell whether a ticket waits here."""
        kind = self._waiting.get(ticket.work.kind)
        return kind is not None and ticket in kind

    def find_newest_of_longest(self) -> Ticket:
        """Return the newest ticket of the kind that waits most.

        :raises ValueError: nothing waits
        """
        longest = max(self._waiting.values(), key=lambda kind: kind.length)
        return longest.find_newest()

    def list_ahead(
        self, kind: str, caller: str
    ) -> typing.Iterator[tuple[str, int]]:
        """Yield kinds and how many of each go before new work.

        :param kind: kind of the new work
        :param caller: caller of the new work
        """
        own = self._waiting.get(kind)
        ahead = own.count_ahead(caller) if own else 0
        for name, other in self._waiting.items():
            if other is own:
                yield name, ahead
            else:
                yield name, min(other.length, ahead + 1)

    def list_waiting(self) -> typing.Iterator[tuple[str, int]]:
        """Yield kinds and how many of each wait."""
        for name, kind in self._waiting.items():
            yield name, kind.length

    def list_tickets(self) -> typing.Iterator[Ticket]:
        """Yield what waits, the oldest of each kind and caller first."""
        for kind in self._waiting.values():
            yield from kind.list_tickets()

    def _get_finish(self, name: str) -> float:
        return self._waiting[name].finish

    def _note_removed(self, name: str, kind: _KindQueue) -> None:
        self._length -= 1
        if not kind.length:
            del self._waiting[name]
