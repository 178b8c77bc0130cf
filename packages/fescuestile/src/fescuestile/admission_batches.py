"""Work that leaves an admission queue."""

import dataclasses

from fescuestile import errors
from fescuestile import fair_queue


@dataclasses.dataclass(frozen=True, slots=True)
class Drop:
    """Queued work that was dropped and will not run."""

    ticket: fair_queue.Ticket
    error: errors.NotRun


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Work that leaves the queue at one moment.

    :ivar started: work to run now
    :ivar dropped: work that will not run, with the errors for its callers
    """

    started: tuple[fair_queue.Ticket, ...]
    dropped: tuple[Drop, ...]
