"""Rounds of takeovers in a simulated group that clients use meanwhile."""

import asyncio

from tests import changing_group

ROUNDS = 14


async def run_rounds(kind, seed, hides_unrecorded=False):
    """Return the world after some rounds.

    :param kind: class of the world
    :param hides_unrecorded: whether entries may be missing from the start,
        so that a member confirms writes before anybody knows it
    :raises BrokenPromise: a write was lost or a read was stale
    """
    world = kind(seed, hides_unrecorded)
    failures = []
    asyncio.get_running_loop().set_exception_handler(
        lambda loop, context: failures.append(context.get("exception"))
    )
    await world.start()
    background = [asyncio.create_task(_write_forever(world))]
    for number in range(changing_group.DAEMONS):
        for read in (world.read, world.read_bounded):
            background.append(
                asyncio.create_task(_repeat(world, read, number))
            )
    for _ in range(ROUNDS):
        await world.change()
        await world.replace(world.random.choice(world.daemons))
        await world.pass_time()
        if any(map(_is_broken_promise, failures)):
            break
    for task in background:
        task.cancel()
    results = await asyncio.gather(*background, return_exceptions=True)
    for failure in [*failures, *results]:
        if isinstance(failure, Exception):
            raise failure
    await world.close()
    await asyncio.sleep(1.0)
    return world


def _is_broken_promise(failure):
    return isinstance(failure, changing_group.BrokenPromise)


async def _write_forever(world):
    while True:
        world.write()
        await asyncio.sleep(world.write_interval)


async def _repeat(world, read, number):
    while True:
        await read(world.daemons[number].group)
        await asyncio.sleep(world.read_interval)
