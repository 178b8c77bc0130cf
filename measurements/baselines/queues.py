"""Admission queues that ours is compared with."""

import abc
import collections

import expression

from fescuestile import admission
from fescuestile import errors
from measurements import admission_queues

STEP = "admit"


class PlainQueue(admission_queues.Queue):
    """Bounded lines, served in the order of their levels.

    Work whose deadline passed is dropped when its turn comes.
    """

    def __init__(self, slots: int, length: int, levels: int) -> None:
        """Start empty.

        :param slots: pieces of work that run at a time
        :param length: pieces of work that wait in one line at most
        :param levels: number of lines
        """
        self._slots = slots
        self._length = length
        self._running = 0
        self._lines: list[collections.deque[admission.Ticket]] = [
            collections.deque() for _ in range(levels)
        ]

    @abc.abstractmethod
    def choose_line(self, work: admission.Work) -> int:
        """Return the line that work waits in."""

    def offer(
        self, work: admission.Work, now: float
    ) -> expression.Result[admission.Ticket, errors.NotRun]:
        """Queue work, or refuse it when its line is full."""
        line = self._lines[self.choose_line(work)]
        if len(line) >= self._length:
            return expression.Error(_refuse("the line is full"))
        ticket = admission.Ticket(work=work, offered_at=now)
        line.append(ticket)
        return expression.Ok(ticket)

    def take(self, now: float) -> admission.Batch:
        """Hand out work in turn."""
        started = []
        dropped = []
        for line in self._lines:
            while line and self._running < self._slots:
                ticket = line.popleft()
                if ticket.work.deadline <= now:
                    error = _refuse("the deadline passed in the line")
                    dropped.append(admission.Drop(ticket, error))
                    continue
                ticket.started_at = now
                self._running += 1
                started.append(ticket)
        return admission.Batch(tuple(started), tuple(dropped))

    def release(self, ticket: admission.Ticket, now: float) -> None:
        """Give back the slot of work that ended."""
        self._running -= 1

    def set_slots(self, slots: int, now: float) -> None:
        """Change how much runs at a time."""
        self._slots = slots


class FifoQueue(PlainQueue):
    """First in first out."""

    def choose_line(self, work: admission.Work) -> int:
        """Return the only line."""
        return 0


class StrictQueue(PlainQueue):
    """Strict priority: a rank waits while a more urgent one does."""

    def choose_line(self, work: admission.Work) -> int:
        """Return the line of the work's rank."""
        return work.level


def _refuse(message: str) -> errors.NotRun:
    return errors.NotRun(message=message, step=STEP)
