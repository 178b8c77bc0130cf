import asyncio

from fescuestile import admission
from fescuestile import clock
from fescuestile_daemon import slot_queue

DEADLINE_SECONDS = 0.05
QUIET_SECONDS = 0.2
FEW_LOOKS = 20


class CountingClock(clock.SystemClock):
    """Counts how often it is looked at."""

    def __init__(self) -> None:
        self.looks = 0

    def now(self) -> float:
        self.looks += 1
        return super().now()


async def test_a_queue_at_rest_costs_nothing_after_a_deadline():
    source = CountingClock()
    options = admission.AdmissionOptions(slots=1, floors=(0.1,))
    queue = slot_queue.SlotQueue(admission.AdmissionQueue(options), source)
    work = admission.Work(0, "kind", "caller", source.now() + DEADLINE_SECONDS)
    ticket = (await queue.acquire(work)).ok
    queue.release(ticket)
    await asyncio.sleep(DEADLINE_SECONDS)
    source.looks = 0
    await asyncio.sleep(QUIET_SECONDS)
    queue.close()
    assert source.looks < FEW_LOOKS
