"""What a stand-in endpoint holds: commits and what goes wrong."""

import dataclasses


@dataclasses.dataclass
class Entry:
    """One commit in a log."""

    term: int
    number: int
    writes: tuple[tuple[str, str], ...]
    ids: tuple[str, ...]


@dataclasses.dataclass
class Faults:
    """What goes wrong at an endpoint; tests set it.

    :ivar dark: it takes bytes and answers nothing
    :ivar lose_answers: it runs statements and drops the connection
    :ivar fail_reads: share of reads that fail, by turns
    :ivar slow: factor of the work's time
    :ivar deaf: it receives nothing from the primary
    """

    dark: bool = False
    lose_answers: bool = False
    fail_reads: bool = False
    slow: float = 1.0
    deaf: bool = False
