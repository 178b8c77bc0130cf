"""Log entries and injected faults of a stand-in endpoint."""

import dataclasses


@dataclasses.dataclass
class Entry:
    """A commit in the replication log.

    :ivar number: index in the log
    :ivar writes: items with their new values
    :ivar ids: ids of the statements
    """

    term: int
    number: int
    writes: tuple[tuple[str, str], ...]
    ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Succession:
    """A promotion that has taken effect.

    :ivar at: loop time
    :ivar endpoint: name of the promoted endpoint
    :ivar items: items whose writes its log held
    """

    at: float
    endpoint: str
    items: frozenset[str]


@dataclasses.dataclass
class Faults:
    """Injected faults of an endpoint.

    :ivar dark: the endpoint is unresponsive: it accepts connections, but
        executes and answers nothing
    :ivar lose_answers: statements are executed, but the connection is closed
        instead of the answer
    :ivar fail_reads: all reads fail
    :ivar slow: factor of the service time
    :ivar deaf: the endpoint does not replicate
    :ivar refuse_fences: the endpoint has no free slot for fences
    :ivar refuse_reports: the endpoint has no free slot for reports
    """

    dark: bool = False
    lose_answers: bool = False
    fail_reads: bool = False
    slow: float = 1.0
    deaf: bool = False
    refuse_fences: bool = False
    refuse_reports: bool = False
