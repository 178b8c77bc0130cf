"""A daemon starts while the registry is filling again after an outage."""

import asyncio

from rig import scene as scenes

OUTAGE_SECONDS = 4.4
DEAF_SECONDS = 6.0
RESTART_SECONDS = 0.5
# Entries are back within about two seconds of the store's return.
LAST_BEAT_AFTER_SECONDS = 1.9


async def write_all(
    scene: scenes.Scene, acknowledged: list[str], until: float
) -> None:
    """Write items one after the other over the daemon that goes on."""
    while scene.record.now < until:
        item = f"item-{len(acknowledged)}"
        if await scene.write(0, item, "kept"):
            acknowledged.append(item)
        await asyncio.sleep(0.2)


async def play(scene: scenes.Scene) -> bool:
    """Return whether no acknowledged write is lost by a promotion."""
    _, lagging, other = scene.backends
    acknowledged: list[str] = []
    began_at = scene.record.now
    writing = asyncio.create_task(
        write_all(scene, acknowledged, began_at + OUTAGE_SECONDS + 7.0)
    )
    if scene.trouble:
        scene.registrar.first_beat_after[other.name] = LAST_BEAT_AFTER_SECONDS
        scene.registrar.take_store_down()
        await asyncio.sleep(1.0)
        scene.record.write("killed", daemon=scene.daemons[1].name)
        await scene.daemons[1].kill()
        await asyncio.sleep(RESTART_SECONDS)
        await scene.daemons[1].start()
        scene.record.write("receives nothing", backend=lagging.name)
        lagging.stop_receiving()
        deaf_until = scene.record.now + DEAF_SECONDS
        await asyncio.sleep(began_at + OUTAGE_SECONDS - scene.record.now)
        scene.describe()
        scene.registrar.bring_store_back()
        await asyncio.sleep(deaf_until - scene.record.now)
        scene.record.write("receives again", backend=lagging.name)
        lagging.receive_again()
    await writing
    await asyncio.sleep(2.0)
    scene.describe()
    return await scene.check_kept(acknowledged, 10)


if __name__ == "__main__":
    scenes.main(play, __file__)
