"""Requests that wait for a connection of a pool."""

import asyncio

from fescuestile_daemon.relay.endpoints import connection_requests


async def test_a_release_does_not_rate_each_waiting_transaction():
    """Guards against work for each statement that grows with sessions.

    With 1,000 transactions waiting a release took 4 ms.
    """
    queue = connection_requests.RequestQueue(lambda: None)
    waiting = [
        connection_requests.Request(f"t{n % 2}", 0, False, True, 1000.0 - n)
        for n in range(200)
    ]
    tasks = [asyncio.create_task(queue.wait(each, None)) for each in waiting]
    await asyncio.sleep(0)
    rated = []

    def rate(request):
        rated.append(request)
        return (request.since,) if request.tenant == "t0" else None

    assert queue.wake(rate)
    assert len(rated) == 2
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    assert [n for n, task in enumerate(tasks) if task.done()] == [198]
    queue.wake_all()
    await asyncio.gather(*tasks)
