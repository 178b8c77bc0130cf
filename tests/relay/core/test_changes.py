"""Tests of the order in which tasks are woken."""

import asyncio

from fescuestile_daemon.relay.core import changes


async def test_tasks_are_woken_in_the_order_of_their_arrival():
    """Guards against an order that differs from process to process."""
    group = changes.Changes()
    woken = []

    async def wait(number):
        await group.wait_change(5.0)
        woken.append(number)

    tasks = [asyncio.create_task(wait(number)) for number in range(30)]
    await asyncio.sleep(0)
    group.notify()
    await asyncio.gather(*tasks)
    assert woken == list(range(30))
