"""Admission queues as the measurements drive them, and ours."""

import abc

import expression

from fescuestile import admission
from fescuestile import errors


class Queue(abc.ABC):
    """What a comparison needs of an admission queue."""

    @abc.abstractmethod
    def offer(
        self, work: admission.Work, now: float
    ) -> expression.Result[admission.Ticket, errors.NotRun]:
        """Queue work or refuse it."""

    @abc.abstractmethod
    def take(self, now: float) -> admission.Batch:
        """Hand out work that may start and work that is dropped."""

    @abc.abstractmethod
    def release(self, ticket: admission.Ticket, now: float) -> None:
        """Give back the slot of work that ended."""

    @abc.abstractmethod
    def set_slots(self, slots: int, now: float) -> None:
        """Change how much runs at a time, 0 for nothing."""


class OwnQueue(Queue):
    """The queue that the daemons use."""

    def __init__(self, options: admission.AdmissionOptions) -> None:
        """Start empty."""
        self._queue = admission.AdmissionQueue(options)
        self._paused = False

    def offer(
        self, work: admission.Work, now: float
    ) -> expression.Result[admission.Ticket, errors.NotRun]:
        """Queue work or refuse it."""
        return self._queue.offer(work, now)

    def take(self, now: float) -> admission.Batch:
        """Hand out work that may start and work that is dropped."""
        if self._paused:
            return admission.Batch((), ())
        return self._queue.dequeue(now)

    def release(self, ticket: admission.Ticket, now: float) -> None:
        """Give back the slot of work that ended."""
        self._queue.release(ticket, now)

    def set_slots(self, slots: int, now: float) -> None:
        """Change how much runs at a time, 0 for nothing."""
        self._paused = slots == 0
        self._queue.set_slots(max(1, slots))
