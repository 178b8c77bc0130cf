"""Log positions of database groups and the history of their terms."""

import bisect
import dataclasses


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class Position:
    """Position of an entry in a group's log, ordered by term, then index.

    :ivar term: term of the primary that wrote the entry
    :ivar index: number of the entry in the log, from 1; 0 is before the
        first entry
    """

    term: int = 0
    index: int = 0


START = Position()


@dataclasses.dataclass(frozen=True, slots=True)
class TermStart:
    """First entry of a term in a log.

    :ivar term: the term
    :ivar index: index of its first entry
    """

    term: int
    index: int


@dataclasses.dataclass(frozen=True)
class TermHistory:
    """Terms of the log that one endpoint holds.

    :ivar starts: first entry of each term, ascending
    :ivar last: last entry of the log
    """

    starts: tuple[TermStart, ...] = ()
    last: Position = START

    def find_term(self, index: int) -> int:
        """Return the term of the entry at an index.

        :param index: index from 1 to the last entry's
        :returns: the term, 0 when the index is before the first entry
        """
        count = bisect.bisect_right(
            self.starts, index, key=lambda start: start.index
        )
        return self.starts[count - 1].term if count else 0

    def contains(self, position: Position) -> bool:
        """Return whether the log has the entry with this term and index.

        Every log contains the position before the first entry.
        """
        if not 0 < position.index <= self.last.index:
            return position.index == 0
        return self.find_term(position.index) == position.term

    def find_end(self, term: int) -> int:
        """Return the index of the last entry of this or an earlier term."""
        for start in self.starts:
            if start.term > term:
                return start.index - 1
        return self.last.index

    def clamp(self, position: Position) -> Position:
        """Limit a position to the end of its term.

        Entries beyond the end of their term were never confirmed and have
        been dropped.

        :param position: position from a session token
        :returns: the latest position that the session can depend on
        """
        if position.term >= self.last.term:
            return position
        end = self.find_end(position.term)
        return Position(position.term, min(position.index, end))

    def covers(self, position: Position) -> bool:
        """Return whether the log holds all that a position depends on.

        These are the confirmed entries up to the position.
        """
        if position.term > self.last.term:
            return position.index == 0
        return self.clamp(position).index <= self.last.index


EMPTY_HISTORY = TermHistory()
