"""Replicated log of an endpoint, in memory."""

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
    """Record of a request id, replicated with the write that it names.

    :ivar payload: answer of the first run
    :ivar barred: the request will never run
    """

    request_id: str
    payload: bytes = b""
    barred: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One entry: all changes of one transaction."""

    position: positions.Position
    changes: tuple[Change, ...] = ()
    rows: tuple[RequestRow, ...] = ()


class Log:
    """Entries from index 1 on."""

    def __init__(self) -> None:
        """Start empty."""
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
        """Terms of the log."""
        if self._history is None:
            starts = tuple(self._starts)
            self._history = positions.TermHistory(starts, self.last)
        return self._history

    def copy(self) -> "Log":
        """Return a log that changes apart from this one."""
        other = Log()
        other._entries = self._entries.copy()
        other._starts = self._starts.copy()
        other._history = self._history
        return other

    def append(self, entry: Entry) -> None:
        """Append the entry that comes next.

        :raises ValueError: when the entry's position does not follow
        """
        position = entry.position
        if position.index != self.last.index + 1:
            raise ValueError("the entry leaves a gap")
        if position.term < self.last.term:
            raise ValueError("the entry is of an older term")
        if position.term > self.last.term:
            start = positions.TermStart(position.term, position.index)
            self._starts.append(start)
        self._entries.append(entry)
        self._history = None

    def truncate(self, index: int) -> None:
        """Drop all entries after an index."""
        del self._entries[index:]
        self._history = None
        self._starts = [s for s in self._starts if s.index <= index]

    def list_after(
        self, index: int, limit: int | None = None
    ) -> tuple[Entry, ...]:
        """Return entries after an index, at most ``limit``."""
        end = None if limit is None else index + limit
        return tuple(self._entries[index:end])

    def __iter__(self) -> typing.Iterator[Entry]:
        """Iterate over all entries."""
        return iter(self._entries)


def find_common_index(
    left: positions.TermHistory, right: positions.TermHistory
) -> int:
    """Return the index up to which two logs hold the same entries.

    Two entries with the same term and index are the same, and so is all
    that comes before them.
    """
    index = min(left.last.index, right.last.index)
    while index and left.find_term(index) != right.find_term(index):
        index -= 1
    return index
