"""Daemons are killed after a failover while a replica lags behind."""

import asyncio

from rig import scene as scenes

DEAF_SECONDS = 6.5
CRASH_AFTER_SECONDS = 0.3
# The dead primary's last heartbeat came so long before its crash.
LAST_BEAT_BEFORE_SECONDS = 0.9
RESTART_SECONDS = 0.7
DARK_SECONDS = 7.0


async def play(scene: scenes.Scene) -> bool:
    """Return whether no acknowledged write is lost by a promotion."""
    primary, lagging, _ = scene.backends
    acknowledged = []
    await scene.registrar.wait_beat(
        primary.name, LAST_BEAT_BEFORE_SECONDS - CRASH_AFTER_SECONDS
    )
    began_at = scene.record.now
    if scene.trouble:
        scene.record.write("receives nothing", backend=lagging.name)
        lagging.stop_receiving()
    for number in range(10):
        if await scene.write(0, f"item-{number}", "kept"):
            acknowledged.append(f"item-{number}")
    await scene.sleep_until(began_at + CRASH_AFTER_SECONDS)
    scene.describe()
    if scene.trouble:
        scene.record.write("crashes, dark", backend=primary.name)
        primary.crash_dark()
        await scene.wait_lease_released()
        scene.describe()
        for daemon in scene.daemons:
            scene.record.write("killed", daemon=daemon.name)
            await daemon.kill()
        await asyncio.sleep(RESTART_SECONDS)
        for daemon in scene.daemons:
            scene.record.write("starts", daemon=daemon.name)
            await daemon.start()
        await scene.sleep_until(began_at + DEAF_SECONDS)
        scene.describe()
        scene.record.write("receives again", backend=lagging.name)
        lagging.receive_again()
        await scene.sleep_until(began_at + CRASH_AFTER_SECONDS + DARK_SECONDS)
        await primary.return_with_log()
        scene.record.write("returns with its log", backend=primary.name)
    await asyncio.sleep(5.0)
    scene.describe()
    return await scene.check_kept(acknowledged, 10)


if __name__ == "__main__":
    scenes.main(play, __file__)
