"""Endpoints, daemons, callers and writes of the session model."""

import dataclasses

from fescuestile import endpoint_messages
from fescuestile import groups
from fescuestile import plans
from fescuestile import positions
from fescuestile import sessions

Role = endpoint_messages.Role


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A log entry, identified by its position."""

    position: positions.Position


@dataclasses.dataclass
class Endpoint:
    """An endpoint with its log.

    :ivar follows: name of the primary that it replicates from
    """

    plan: plans.Endpoint
    role: Role
    term: int = 1
    log: list[Entry] = dataclasses.field(default_factory=list)
    follows: str = ""

    @property
    def last(self) -> positions.Position:
        """Last position in the log, ``START`` when it is empty."""
        return self.log[-1].position if self.log else positions.START

    def report(self) -> endpoint_messages.Report:
        """Return the endpoint's current status report."""
        starts: dict[int, positions.TermStart] = {}
        for entry in self.log:
            position = entry.position
            start = positions.TermStart(position.term, position.index)
            starts.setdefault(position.term, start)
        return endpoint_messages.Report(
            id=0,
            endpoint=self.plan.name,
            verdict=endpoint_messages.Verdict.DONE,
            role=self.role,
            term=self.term,
            driver="",
            primary=self.follows,
            last=self.last,
            starts=tuple(starts.values()),
        )


@dataclasses.dataclass
class Daemon:
    """An entry daemon.

    :ivar inbox: reports in transit, each with its arrival time
    """

    tracker: groups.GroupTracker
    zone: str
    inbox: list[tuple[float, endpoint_messages.Report]] = dataclasses.field(
        default_factory=list
    )


@dataclasses.dataclass
class Caller:
    """A caller with one session.

    :ivar daemon: index of the daemon that the session is connected to
    :ivar token: session token that was issued last, empty before the first
    :ivar observed: entries that later reads must include once confirmed: the
        last entry of each read, the entry of each acknowledged write
    """

    name: str
    daemon: int
    tracker: sessions.SessionTracker
    token: bytes = b""
    observed: list[Entry] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class PendingWrite:
    """A write that a majority does not hold yet.

    :ivar daemon: index of the daemon that the caller sent the write to
    """

    caller: Caller
    daemon: int
    entry: Entry
