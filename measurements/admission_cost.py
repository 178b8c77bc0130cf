"""Processor time of admission."""

import dataclasses
import random
import time

from fescuestile import admission
from measurements import frame

OFFERS = 50_000
SERVICE_SECONDS = 0.002
TARGET_MICROSECONDS = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class CostRow:
    """Cost at one load.

    :ivar load: offered work over what the slots can serve
    :ivar statement: microseconds for one offer with what follows it
    :ivar operation: microseconds for one offer, take or release
    :ivar waiting: pieces of work that waited at the end
    """

    load: float
    callers: int
    statement: float
    operation: float
    waiting: int


class AdmissionCost(frame.Measurement):
    """Cost of an offer, with its release and take, by load."""

    name = "admission_cost"
    description = "Processor time of one offer, take and release."

    def run(self, seed: int) -> frame.Report:
        """Offer work of three ranks and four kinds at several loads."""
        rows = tuple(
            _measure(seed, load, callers)
            for load in (0.5, 1.0, 5.0, 20.0)
            for callers in (10, 1000)
        )
        worst = max(row.operation for row in rows)
        target = frame.require_at_most(
            "worst cost of an operation, µs", worst, TARGET_MICROSECONDS
        )
        return frame.Report(self.name, seed, rows, (target,))


def create_measurements() -> tuple[frame.Measurement, ...]:
    """Return the measurements of this module."""
    return (AdmissionCost(),)


def _measure(seed: int, load: float, callers: int) -> CostRow:
    source = random.Random(seed)
    options = admission.AdmissionOptions(slots=2, floors=(0.0, 0.1, 0.1))
    queue = admission.AdmissionQueue(options)
    step = SERVICE_SECONDS / options.slots / load
    works = [
        admission.Work(
            source.randrange(3),
            source.choice("abcd"),
            f"caller-{source.randrange(callers)}",
            number * step + source.uniform(0.05, 1.0),
        )
        for number in range(OFFERS)
    ]
    running: list[admission.Ticket] = []
    operations = 2 * OFFERS
    began = time.process_time()
    for number, work in enumerate(works):
        now = number * step
        while running and _find_end(running[0]) <= now:
            end = _find_end(running[0])
            queue.release(running.pop(0), end)
            operations += 2
            running.extend(queue.dequeue(end).started)
        queue.offer(work, now)
        running.extend(queue.dequeue(now).started)
    spent = time.process_time() - began
    return CostRow(
        load=load,
        callers=callers,
        statement=spent / OFFERS * 1e6,
        operation=spent / operations * 1e6,
        waiting=queue.waiting,
    )


def _find_end(ticket: admission.Ticket) -> float:
    assert ticket.started_at is not None
    return ticket.started_at + SERVICE_SECONDS
