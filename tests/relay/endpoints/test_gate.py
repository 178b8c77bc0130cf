"""Admission control of many daemons that share one saturated endpoint.

The load is that of many daemons on one primary whose replicas lag.
"""

import asyncio
import collections
import random
import time

import pytest

from fescuestile import admission
from fescuestile import errors
from fescuestile_daemon.relay.endpoints import admission_controller
from tests import virtual_time

SLOTS = 4
QUEUE = 16
SERVICE_SECONDS = 0.02
DAEMONS = 35
SECONDS = 3.0


class SaturatedEndpoint:
    """Runs SLOTS statements at a time, queues QUEUE, refuses the rest."""

    def __init__(self):
        self._slots = asyncio.Semaphore(SLOTS)
        self._present = 0
        self.arrivals = 0
        self.refused = 0

    async def run(self):
        self.arrivals += 1
        await asyncio.sleep(0.001)
        if self._present >= SLOTS + QUEUE:
            self.refused += 1
            return False
        self._present += 1
        try:
            async with self._slots:
                await asyncio.sleep(SERVICE_SECONDS)
        finally:
            self._present -= 1
        return True


def make_controller():
    options = admission.AdmissionOptions(
        slots=SLOTS, floors=(0.1, 0.1, 0.1), initial_service=0.02
    )
    return admission_controller.AdmissionController(
        admission.AdmissionQueue(options), random.Random(5)
    )


async def serve(controller, endpoint, level, ended):
    deadline = time.monotonic() + 0.8
    work = admission_controller.Work(
        level, f"kind-{level}", "caller", deadline
    )
    while True:
        try:
            ticket = await controller.acquire(work)
        except errors.NotRun:
            ended[level, "refused"] += 1
            return
        ran = await endpoint.run()
        controller.release(ticket, measured=ran, refused=not ran)
        if ran:
            ended[level, "served"] += 1
            return


async def overload(endpoint):
    """Return how many statements ended how, by level.

    400 statements a second, 30 of them urgent; 200 can be served.
    """
    ended: collections.Counter[tuple[int, str]] = collections.Counter()
    source = random.Random(5)
    controllers = [make_controller() for _ in range(DAEMONS)]
    tasks = []
    until = time.monotonic() + SECONDS
    while time.monotonic() < until:
        await asyncio.sleep(0.01)
        for _ in range(4):
            level = 0 if source.random() < 0.075 else source.choice((1, 2))
            controller = source.choice(controllers)
            tasks.append(
                asyncio.create_task(serve(controller, endpoint, level, ended))
            )
    await asyncio.gather(*tasks)
    return ended


def test_urgent_work_is_served_while_many_daemons_overload_one_primary(
    monkeypatch,
):
    """In virtual time: a busy machine serves less, whoever admits."""
    endpoint = SaturatedEndpoint()
    ended = virtual_time.run(overload(endpoint), monkeypatch)
    urgent = ended[0, "served"] / (ended[0, "served"] + ended[0, "refused"])
    served = sum(n for (_, how), n in ended.items() if how == "served")
    capacity = SLOTS / SERVICE_SECONDS * SECONDS
    assert urgent >= 0.95
    assert served >= 0.85 * capacity
    assert endpoint.refused <= 0.5 * served


async def test_pacing_follows_refusals_and_successes():
    controller = make_controller()
    far = time.monotonic() + 60
    for refused in (True, True, True):
        ticket = await controller.acquire(
            admission_controller.Work(0, "k", "c", far)
        )
        controller.release(ticket, measured=False, refused=refused)
    slow = controller.pacer.mean_pause
    assert slow > 0.03
    for _ in range(40):
        ticket = await controller.acquire(
            admission_controller.Work(0, "k", "c", far)
        )
        controller.release(ticket)
    assert controller.pacer.mean_pause < slow / 8


async def test_work_that_pacing_makes_late_is_refused_at_once():
    controller = make_controller()
    controller.pacer.mean_pause = 0.3
    now = time.monotonic()
    waiting = [
        asyncio.create_task(
            controller.acquire(
                admission_controller.Work(1, "k", f"c{n}", now + 5.0)
            )
        )
        for n in range(4)
    ]
    await asyncio.sleep(0)
    try:
        await controller.acquire(
            admission_controller.Work(1, "late", "c", now + 0.5)
        )
        raise AssertionError("it would wait for a second")
    except errors.NotRun:
        assert time.monotonic() - now < 0.1
    for task in waiting:
        task.cancel()
    await asyncio.gather(*waiting, return_exceptions=True)


class DroppingQueue(admission.AdmissionQueue):
    """Drops work at the moment at which it is offered."""

    def dequeue(self, now, levels=None):
        batch = super().dequeue(now, ())
        waiting = [entry[2] for entry in self._expiries]
        error = errors.NotRun("too late", step="admit")
        drops = tuple(
            admission.Drop(ticket, error)
            for ticket in waiting
            if self.withdraw(ticket)
        )
        return admission.Batch(batch.started, drops)


async def test_work_that_is_dropped_at_once_is_refused():
    options = admission.AdmissionOptions(slots=1, floors=(0.1,))
    controller = admission_controller.AdmissionController(
        DroppingQueue(options), random.Random(5)
    )
    work = admission_controller.Work(0, "k", "c", time.monotonic() + 5.0)
    async with asyncio.timeout(1.0):
        with pytest.raises(errors.NotRun):
            await controller.acquire(work)


async def test_work_that_refused_reports_make_late_is_refused_at_once():
    controller = make_controller()
    now = time.monotonic()
    controller.pacer.mean_pause = 0.2
    controller.pacer.record_start(1, now)
    waiting = [
        asyncio.create_task(
            controller.acquire(
                admission_controller.Work(1, "k", f"c{n}", now + 0.6)
            )
        )
        for n in range(2)
    ]
    await asyncio.sleep(0)
    controller.record_refusal()
    controller.record_refusal()
    ended = await asyncio.gather(*waiting, return_exceptions=True)
    assert isinstance(ended[-1], errors.NotRun)
    assert time.monotonic() - now < 0.1
