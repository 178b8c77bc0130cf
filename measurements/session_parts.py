"""What the model of sessions is built of: endpoints, daemons, callers."""

import dataclasses

from fescuestile import endpoint_messages
from fescuestile import groups
from fescuestile import plans
from fescuestile import positions
from fescuestile import sessions

Role = endpoint_messages.Role


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """An entry of a log; equal entries are the same entry."""

    position: positions.Position


@dataclasses.dataclass
class Endpoint:
    """An endpoint with its log.

    :ivar follows: name of the primary it copies from
    """

    plan: plans.Endpoint
    role: Role
    term: int = 1
    log: list[Entry] = dataclasses.field(default_factory=list)
    follows: str = ""

    @property
    def last(self) -> positions.Position:
        """Last position of the log."""
        return self.log[-1].position if self.log else positions.START

    def report(self) -> endpoint_messages.Report:
        """Return its report."""
        starts: dict[int, positions.TermStart] = {}
        for entry in self.log:
            place = entry.position
            start = positions.TermStart(place.term, place.index)
            starts.setdefault(place.term, start)
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
    """An entry daemon: what it knows and what is under way to it."""

    tracker: groups.GroupTracker
    zone: str
    inbox: list[tuple[float, endpoint_messages.Report]] = dataclasses.field(
        default_factory=list
    )


@dataclasses.dataclass
class Caller:
    """A session, and what it may rely on.

    :ivar seen: last entry of each read or acknowledged write
    """

    name: str
    daemon: int
    tracker: sessions.SessionTracker
    token: bytes = b""
    seen: list[Entry] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class PendingWrite:
    """A write that waits for its majority.

    :ivar daemon: daemon that the caller was at when it wrote
    """

    caller: Caller
    daemon: int
    entry: Entry
