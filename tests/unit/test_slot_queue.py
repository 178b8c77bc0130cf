import asyncio

from fescuestile import admission
from fescuestile import clock
from fescuestile_daemon import slot_queue

DEADLINE_SECONDS = 0.05
IDLE_SECONDS = 0.2
MAX_CLOCK_READS = 20


class CountingClock(clock.SystemClock):
    """Counts how often it is read."""

    def __init__(self) -> None:
        self.reads = 0

    def now(self) -> float:
        self.reads += 1
        return super().now()


async def test_a_queue_at_rest_costs_nothing_after_a_deadline():
    source = CountingClock()
    options = admission.AdmissionOptions(slots=1, floors=(0.1,))
    queue = slot_queue.SlotQueue(admission.AdmissionQueue(options), source)
    work = admission.Work(0, "kind", "caller", source.now() + DEADLINE_SECONDS)
    ticket = (await queue.acquire(work)).ok
    queue.release(ticket)
    await asyncio.sleep(DEADLINE_SECONDS)
    source.reads = 0
    await asyncio.sleep(IDLE_SECONDS)
    queue.close()
    assert source.reads < MAX_CLOCK_READS
