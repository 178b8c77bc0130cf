"""Rules of an endpoint: terms, roles, replication and statements.

Pure: takes the time and does no I/O, so that tests and the model check
drive it.
"""

import typing

from fescuestile import endpoint_messages
from fescuestile import positions
from fescuestile_standins import endpoint_log
from fescuestile_standins import endpoint_store

Role = endpoint_messages.Role
Verdict = endpoint_messages.Verdict
FIRST_TERM = 1
PROMOTION_WINDOW_SECONDS = 5.0


class EndpointState:
    """Log, values, promised term and role of one endpoint."""

    def __init__(self, name: str) -> None:
        """Start empty, as an endpoint that lost its state."""
        self.name = name
        self.log = endpoint_log.Log()
        self.store = endpoint_store.Store()
        self.role = Role.REJOINING
        self.term = 0
        self.driver = ""
        self.primary = ""
        self._promised_at = 0.0

    def copy(self) -> "EndpointState":
        """Return a state that changes apart from this one."""
        other = type(self)(self.name)
        other.role = self.role
        other.term = self.term
        other.driver = self.driver
        other.primary = self.primary
        other._promised_at = self._promised_at
        other.log = self.log.copy()
        other.store = self.store.copy()
        return other

    def bootstrap(self, primary: str) -> None:
        """Take part in a new group whose first primary is given."""
        self.term = FIRST_TERM
        self.primary = primary
        if primary == self.name:
            self.role = Role.PRIMARY
            self._append()
        else:
            self.role = Role.REPLICA

    def report(
        self, id_: int = 0, verdict: Verdict = Verdict.DONE
    ) -> endpoint_messages.Report:
        """Return the state for others to see."""
        return endpoint_messages.Report(
            id=id_,
            endpoint=self.name,
            verdict=verdict,
            role=self.role,
            term=self.term,
            driver=self.driver,
            primary=self.primary,
            last=self.log.last,
            starts=self.log.history.starts,
        )

    def fence(self, term: int, driver: str, now: float = 0.0) -> Verdict:
        """Promise a term to one driver.

        :param now: monotonic seconds
        """
        if self.role is Role.REJOINING:
            return Verdict.TERM_REFUSED
        if (term, driver) == (self.term, self.driver):
            return Verdict.DONE
        if term <= self.term:
            return Verdict.TERM_REFUSED
        self.term = term
        self.driver = driver
        self.role = Role.FENCED
        self.primary = ""
        self._promised_at = now
        return Verdict.DONE

    def promote(self, term: int, driver: str, now: float = 0.0) -> Verdict:
        """Become primary of a promised term.

        A promotion that comes long after the promise is refused: another
        endpoint that promised the term may have lost its state since.

        :param now: monotonic seconds
        """
        if self.role is Role.REJOINING:
            return Verdict.TERM_REFUSED
        if (term, driver) != (self.term, self.driver):
            return Verdict.TERM_REFUSED
        if self.role is Role.PRIMARY:
            return Verdict.DONE
        late = now - self._promised_at > PROMOTION_WINDOW_SECONDS
        if self.primary or late:
            return Verdict.TERM_REFUSED
        self.role = Role.PRIMARY
        self.primary = self.name
        self._append()
        return Verdict.DONE

    def follow(self, term: int, primary: str) -> Verdict:
        """Replicate from the primary of a term.

        The endpoint stays fenced until its log is a prefix of the
        primary's.
        """
        if term < self.term or primary == self.name:
            return Verdict.TERM_REFUSED
        if term == self.term:
            if self.role is Role.PRIMARY:
                return Verdict.TERM_REFUSED
            if self.primary == primary:
                return Verdict.DONE
        if term > self.term:
            self.driver = ""
        self.term = term
        self.primary = primary
        if self.role is Role.REJOINING:
            self.truncate(0)
        else:
            self.role = Role.FENCED
        return Verdict.DONE

    def rejoin(self) -> None:
        """Count again, after the lost log was copied from the primary."""
        if self.role is Role.REJOINING and self.primary:
            self.role = Role.REPLICA

    def serves_replica(self, term: int) -> bool:
        """Tell whether a replica of a term may pull from here."""
        return self.role is Role.PRIMARY and term == self.term

    def accept(
        self,
        term: int,
        after: int,
        entries: typing.Sequence[endpoint_log.Entry],
    ) -> bool:
        """Take entries of the primary's log, dropping a tail it lacks.

        :param term: term of the primary that sent them
        :param after: index before the first entry; the logs agree to it
        :returns: whether they were taken
        """
        if term != self.term or not self.primary:
            return False
        if self.role is Role.PRIMARY or after > self.log.last.index:
            return False
        self._drop_divergent(after, entries)
        known = self.log.last.index - after
        for entry in entries[known:]:
            self._take(entry)
        if self.role is Role.FENCED:
            self.role = Role.REPLICA
        return True

    def _drop_divergent(
        self, after: int, entries: typing.Sequence[endpoint_log.Entry]
    ) -> None:
        held = self.log.list_after(after)
        same = 0
        for mine, other in zip(held, entries, strict=False):
            if mine.position != other.position:
                break
            same += 1
        if self.role is not Role.FENCED and same == len(entries):
            return
        if same < len(held):
            self.truncate(after + same)

    def truncate(self, index: int) -> None:
        """Drop all after an index and rebuild the values."""
        self.log.truncate(index)
        self.store = endpoint_store.Store()
        for entry in self.log:
            self.store.apply(entry)

    def write(
        self,
        changes: dict[str, str],
        rows: typing.Sequence[endpoint_log.RequestRow],
    ) -> positions.Position:
        """Append one entry as the primary and return its position."""
        listed = tuple(
            endpoint_log.Change(key, value) for key, value in changes.items()
        )
        return self._append(listed, tuple(rows))

    def _append(
        self,
        changes: tuple[endpoint_log.Change, ...] = (),
        rows: tuple[endpoint_log.RequestRow, ...] = (),
    ) -> positions.Position:
        position = positions.Position(self.term, self.log.last.index + 1)
        self._take(endpoint_log.Entry(position, changes, rows))
        return position

    def _take(self, entry: endpoint_log.Entry) -> None:
        self.log.append(entry)
        self.store.apply(entry)
