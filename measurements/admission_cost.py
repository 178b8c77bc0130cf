"""Processor time of the admission queue."""

import dataclasses
import random
import time

from fescuestile import admission
from measurements import base

OFFERS = 50_000
SERVICE_SECONDS = 0.002
TARGET_MICROSECONDS = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class CostRow:
    """Cost at one load.

    :ivar load: offered work relative to the capacity of the slots
    :ivar statement: microseconds per statement, from offer to release
    :ivar operation: microseconds per offer, dequeue or release
    :ivar waiting: statements still queued at the end
    """

    load: float
    callers: int
    statement: float
    operation: float
    waiting: int


class AdmissionCost(base.Measurement):
    """Cost of an offer with its dequeue and release, by load."""

    name = "admission_cost"
    description = "Processor time of one offer, dequeue and release."

    def run(self, seed: int) -> base.Report:
        """Offer statements of three ranks and four kinds at several loads."""
        rows = tuple(
            _measure(seed, load, callers)
            for load in (0.5, 1.0, 5.0, 20.0)
            for callers in (10, 1000)
        )
        worst = max(row.operation for row in rows)
        target = base.require_at_most(
            "worst cost of an operation, µs", worst, TARGET_MICROSECONDS
        )
        return base.Report(self.name, seed, rows, (target,))


def create_measurements() -> tuple[base.Measurement, ...]:
    """Return the measurements of this module."""
    return (AdmissionCost(),)


def _measure(seed: int, load: float, callers: int) -> CostRow:
    rng = random.Random(seed)
    options = admission.AdmissionOptions(slots=2, floors=(0.0, 0.1, 0.1))
    queue = admission.AdmissionQueue(options)
    interval = SERVICE_SECONDS / options.slots / load
    works = [
        admission.Work(
            rng.randrange(3),
            rng.choice("abcd"),
            f"caller-{rng.randrange(callers)}",
            number * interval + rng.uniform(0.05, 1.0),
        )
        for number in range(OFFERS)
    ]
    running: list[admission.Ticket] = []
    operations = 2 * OFFERS
    began = time.process_time()
    for number, work in enumerate(works):
        now = number * interval
        while running and _find_end(running[0]) <= now:
            end = _find_end(running[0])
            queue.release(running.pop(0), end)
            operations += 2
            running.extend(queue.dequeue(end).started)
        queue.offer(work, now)
        running.extend(queue.dequeue(now).started)
    elapsed = time.process_time() - began
    return CostRow(
        load=load,
        callers=callers,
        statement=elapsed / OFFERS * 1e6,
        operation=elapsed / operations * 1e6,
        waiting=queue.waiting,
    )


def _find_end(ticket: admission.Ticket) -> float:
    assert ticket.started_at is not None
    return ticket.started_at + SERVICE_SECONDS
