"""Replication log of an endpoint, kept in memory."""

import dataclasses
import typing

from fescuestile import positions


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """New value of a key."""

    key: str
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class RequestRow:
    """Record of a request id, replicated with the request's write.

    :ivar payload: answer of the first execution
    :ivar barred: whether the request must never run
    """

    request_id: str
    payload: bytes = b""
    barred: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """Log entry with all changes of one transaction.

    :ivar revision: revision of the group's endpoints that it records, 0 for
        none
    """

    position: positions.Position
    changes: tuple[Change, ...] = ()
    rows: tuple[RequestRow, ...] = ()
    revision: int = 0


class Log:
    """Sequence of entries; the first one has index 1."""

    def __init__(self) -> None:
        """Initialize without entries."""
        self._entries: list[Entry] = []
        self._starts: list[positions.TermStart] = []
        self._history: positions.TermHistory | None = None

    @property
    def last(self) -> positions.Position:
        """Position of the last entry."""
        if not self._entries:
            return positions.START
        return self._entries[-1].position

    @property
    def history(self) -> positions.TermHistory:
        """Terms of the log and where each starts."""
        if self._history is None:
            starts = tuple(self._starts)
            self._history = positions.TermHistory(starts, self.last)
        return self._history

    def copy(self) -> "Log":
        """Return an independent copy."""
        other = Log()
        other._entries = self._entries.copy()
        other._starts = self._starts.copy()
        other._history = self._history
        return other

    def append(self, entry: Entry) -> None:
        """Append the next entry.

        :raises ValueError: the entry does not follow the last one
        """
        position = entry.position
        if position.index != self.last.index + 1:
            raise ValueError(
                f"expected an entry at index {self.last.index + 1},"
                f" got index {position.index}"
            )
        if position.term < self.last.term:
            raise ValueError(
                f"expected an entry of term {self.last.term} or later,"
                f" got term {position.term}"
            )
        if position.term > self.last.term:
            start = positions.TermStart(position.term, position.index)
            self._starts.append(start)
        self._entries.append(entry)
        self._history = None

    def truncate(self, index: int) -> None:
        """Drop all entries after an index."""
        del self._entries[index:]
        self._history = None
        self._starts = [
            start for start in self._starts if start.index <= index
        ]

    def list_after(
        self, index: int, limit: int | None = None
    ) -> tuple[Entry, ...]:
        """Return the entries after an index, at most ``limit`` of them."""
        end = None if limit is None else index + limit
        return tuple(self._entries[index:end])

    def __iter__(self) -> typing.Iterator[Entry]:
        """Iterate over all entries."""
        return iter(self._entries)


def find_common_index(
    left: positions.TermHistory, right: positions.TermHistory
) -> int:
    """Return the index up to which two logs hold the same entries.

    If two entries have the same term and index, they and all entries before
    them are the same.
    """
    index = min(left.last.index, right.last.index)
    while index and left.find_term(index) != right.find_term(index):
        index -= 1
    return index
