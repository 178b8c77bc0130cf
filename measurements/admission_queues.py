"""Interface of the admission queues under comparison, and an adapter."""

import abc

import expression

from fescuestile import admission
from fescuestile import errors


class Queue(abc.ABC):
    """Admission queue that a comparison can run."""

    @abc.abstractmethod
    def offer(
        self, work: admission.Work, now: float
    ) -> expression.Result[admission.Ticket, errors.NotRun]:
        """Queue work, or refuse it."""

    @abc.abstractmethod
    def dequeue(self, now: float) -> admission.Batch:
        """Remove and return the work that may start and that is dropped."""

    @abc.abstractmethod
    def release(self, ticket: admission.Ticket, now: float) -> None:
        """Release the slot of work that ended."""

    @abc.abstractmethod
    def set_slots(self, slots: int, now: float) -> None:
        """Set how many statements run at a time; 0 pauses the queue."""


class DaemonQueue(Queue):
    """Adapter of the queue that the daemons use."""

    def __init__(self, options: admission.AdmissionOptions) -> None:
        """Initialize an empty queue."""
        self._queue = admission.AdmissionQueue(options)
        self._paused = False

    def offer(
        self, work: admission.Work, now: float
    ) -> expression.Result[admission.Ticket, errors.NotRun]:
        """Queue work, or refuse it."""
        return self._queue.offer(work, now)

    def dequeue(self, now: float) -> admission.Batch:
        """Remove and return the work that may start and that is dropped."""
        if self._paused:
            return admission.Batch((), ())
        return self._queue.dequeue(now)

    def release(self, ticket: admission.Ticket, now: float) -> None:
        """Release the slot of work that ended."""
        self._queue.release(ticket, now)

    def set_slots(self, slots: int, now: float) -> None:
        """Set how many statements run at a time; 0 pauses the queue."""
        self._paused = slots == 0
        self._queue.set_slots(max(1, slots))
