"""Admission queues that the daemons' queue is compared with."""

import abc
import collections

import expression

from fescuestile import admission
from fescuestile import errors
from measurements import admission_queues

STEP = "admit"


class MultiLevelQueue(admission_queues.Queue):
    """Bounded FIFO queues, of which the lowest level is served first.

    Work whose deadline has passed is dropped when it reaches the head.
    """

    def __init__(self, slots: int, length: int, levels: int) -> None:
        """Initialize empty queues.

        :param slots: statements that run at a time
        :param length: maximum number of statements in one queue
        :param levels: number of queues
        """
        self._slots = slots
        self._length = length
        self._running = 0
        self._queues: list[collections.deque[admission.Ticket]] = [
            collections.deque() for _ in range(levels)
        ]

    @abc.abstractmethod
    def choose_level(self, work: admission.Work) -> int:
        """Return the level of the queue that work waits in."""

    def offer(
        self, work: admission.Work, now: float
    ) -> expression.Result[admission.Ticket, errors.NotRun]:
        """Queue work, or refuse it when its queue is full."""
        queue = self._queues[self.choose_level(work)]
        if len(queue) >= self._length:
            return expression.Error(_refuse("the queue is full"))
        ticket = admission.Ticket(work=work, offered_at=now)
        queue.append(ticket)
        return expression.Ok(ticket)

    def dequeue(self, now: float) -> admission.Batch:
        """Start work from the lowest level on while slots are free."""
        started = []
        dropped = []
        for queue in self._queues:
            while queue and self._running < self._slots:
                ticket = queue.popleft()
                if ticket.work.deadline <= now:
                    error = _refuse("the deadline passed in the queue")
                    dropped.append(admission.Drop(ticket, error))
                    continue
                ticket.started_at = now
                self._running += 1
                started.append(ticket)
        return admission.Batch(tuple(started), tuple(dropped))

    def release(self, ticket: admission.Ticket, now: float) -> None:
        """Release the slot of work that ended."""
        self._running -= 1

    def set_slots(self, slots: int, now: float) -> None:
        """Set how many statements run at a time."""
        self._slots = slots


class FifoQueue(MultiLevelQueue):
    """One queue, first in, first out."""

    def choose_level(self, work: admission.Work) -> int:
        """Return the only level."""
        return 0


class StrictQueue(MultiLevelQueue):
    """Strict priority: a rank waits while a more urgent one has work."""

    def choose_level(self, work: admission.Work) -> int:
        """Return the level of the work's rank."""
        return work.level


def _refuse(message: str) -> errors.NotRun:
    return errors.NotRun(message=message, step=STEP)
