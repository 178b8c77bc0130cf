"""Messages between a daemon and an endpoint.

Each command carries an id, which its reply repeats, so that late and
out-of-order replies can be matched. Positions refer to the endpoint's own
log.
"""

import dataclasses
import enum

from fescuestile import positions


class Role(enum.StrEnum):
    """What an endpoint does in its group."""

    PRIMARY = "primary"
    REPLICA = "replica"
    FENCED = "fenced"
    # It lost its log and its promises; it grants no terms and confirms no
    # writes.
    REJOINING = "rejoining"


class Verdict(enum.StrEnum):
    """Result of a command at the endpoint."""

    DONE = "done"
    # The command provably had no effect.
    NOT_RUN = "not_run"
    # The command's term is lower than the one the endpoint promised.
    TERM_REFUSED = "term_refused"
    # The statement ran and failed; its transaction has no effect.
    FAILED = "failed"
    # The request id has not run and will be refused from now on.
    NEVER_RUNS = "never_runs"


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """First frame of a connection.

    :ivar daemon: id of the daemon that connects
    :ivar control: whether the connection carries no statements and is not
        counted against the endpoint's limit
    """

    daemon: str
    control: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Execute:
    """Run a statement, within the connection's transaction if any.

    :ivar request_id: unique id or empty; it is recorded with the write, and
        the same id again returns the answer of the first run
    :ivar minimum: position that a replica must cover, else it answers
        NOT_RUN
    """

    id: int
    term: int
    text: str
    read_only: bool
    request_id: str = ""
    minimum: positions.Position | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Begin:
    """Open a transaction on this connection."""

    id: int
    term: int
    read_only: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Commit:
    """Commit the connection's transaction."""

    id: int
    term: int
    request_id: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Rollback:
    """Roll the connection's transaction back."""

    id: int


@dataclasses.dataclass(frozen=True, slots=True)
class Resolve:
    """Return the answer to a request id, or prevent it from ever running."""

    id: int
    term: int
    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """Reply to a command that runs or ends statements.

    :ivar position: position that was written, or at which was read
    :ivar repeated: whether the answer is that of an earlier run
    """

    id: int
    verdict: Verdict
    payload: bytes = b""
    position: positions.Position = positions.START
    repeated: bool = False
    message: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Check that the endpoint and the connection respond."""

    id: int


@dataclasses.dataclass(frozen=True, slots=True)
class Inspect:
    """Request a report."""

    id: int


@dataclasses.dataclass(frozen=True, slots=True)
class Subscribe:
    """Request a report now and whenever the last position changes.

    :ivar interval: least seconds between two reports
    """

    id: int
    interval: float


@dataclasses.dataclass(frozen=True, slots=True)
class AwaitPosition:
    """Request a report once the log holds a position.

    The report is sent earlier when the endpoint works under another term,
    and at the latest after ``timeout`` seconds.
    """

    id: int
    position: positions.Position
    timeout: float


@dataclasses.dataclass(frozen=True, slots=True)
class Fence:
    """Request the promise of a term to one driver.

    It is granted for a term above the one promised before, or for the same
    term and driver again, unless the endpoint's log holds a later revision
    of the group's endpoints than the driver knows. A fenced endpoint refuses
    all commands of lower terms.

    :ivar revision: revision of the plan that the driver's endpoints are from
    """

    id: int
    term: int
    driver: str
    revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Promote:
    """Make the endpoint the primary of a term that it promised.

    The endpoint appends the first entry of the term to its log.
    """

    id: int
    term: int
    driver: str


@dataclasses.dataclass(frozen=True, slots=True)
class Follow:
    """Replicate from a primary and drop entries that it does not hold."""

    id: int
    term: int
    primary: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class RecordRevision:
    """Append a revision of the group's endpoints to the primary's log.

    The primary of the term appends it once, and none below the one that its
    log holds. It replicates like a write.
    """

    id: int
    term: int
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Status report of an endpoint.

    :ivar id: id of the command it replies to, also on pushed reports
    :ivar verdict: DONE, or TERM_REFUSED for a refused Fence, Promote or
        RecordRevision
    :ivar term: term that it promised and works under
    :ivar driver: driver that it promised the term to
    :ivar primary: name of the primary that it follows or is, or empty
    :ivar last: last entry of its log
    :ivar starts: first entry of each term in its log
    :ivar primary_silence: seconds since a replica last received something
        from its primary, 0 on the primary
    :ivar connections: number of open connections that count against its
        limit
    :ivar running: number of statements that run now
    :ivar followed: term of the primary that it follows, also while it is
        fenced; 0 when not reported
    :ivar revision: latest revision of the group's endpoints that its log
        holds, 0 for none
    """

    id: int
    endpoint: str
    verdict: Verdict
    role: Role
    term: int
    driver: str
    primary: str
    last: positions.Position
    starts: tuple[positions.TermStart, ...] = ()
    primary_silence: float = 0.0
    connections: int = 0
    running: int = 0
    followed: int = 0
    revision: int = 0

    @property
    def history(self) -> positions.TermHistory:
        """Terms of the endpoint's log with its last position."""
        return positions.TermHistory(self.starts, self.last)
