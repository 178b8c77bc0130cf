"""One entry of another writer that can't be read hides all the others."""

import asyncio
import contextlib
import os
import pathlib
import sys
import tempfile

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import world2  # noqa: E402

SECONDS = 40.0
# A control character, which stands unescaped in a string of the entry.
UNREADABLE = b"\x01"


async def send(
    daemon: world2.Daemon, record: world2.Record, served: list[str]
) -> None:
    """Send reads and writes to a daemon; a refused session comes again."""
    number = 0
    while True:
        client = world2.Client(daemon.front, "db-primary")
        with contextlib.suppress(OSError):
            opened = await client.open()
            if not number:
                record.note(f"{daemon.name} answered CONNECT: {opened}")
            while opened.startswith("READY"):
                number += 1
                text = "WRITE 1a4 x" if number % 2 else "READ 1a4"
                lines = await client.query(text)
                record.note(f"{daemon.name} {number} {text}: {lines}")
                if any(line.startswith("COMPLETE") for line in lines):
                    served.append(daemon.name)
                if not lines[-1]:
                    break
                await asyncio.sleep(0.2)
        client.close()
        await asyncio.sleep(0.2)


async def play(record: world2.Record, has_trouble: bool) -> int:
    """Play the case; return its exit status."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
    store = world2.Store()
    await store.start()
    group = world2.Group("huvo11a", ("a", "b", "c"))
    await group.start(store)
    configuration = world2.make_configuration(group.name, world2.TIMEOUTS)
    store.put("config", "main", configuration)
    if has_trouble:
        store.unreadable = UNREADABLE
        store.put("servers", "i-other", {"zone": world2.UNREADABLE})
        record.write(f"another writer's entry has the bytes {UNREADABLE!r}")
    daemons = [
        world2.Daemon(number, zone, store, folder)
        for number, zone in enumerate("ab")
    ]
    tasks: list[asyncio.Task[None]] = []
    served: list[str] = []
    try:
        for daemon in daemons:
            await daemon.start()
        await asyncio.sleep(12.0)
        for daemon in daemons:
            ready = await daemon.is_ready()
            record.write(f"{daemon.name} is ready after 12 s: {ready}")
        tasks = [
            asyncio.create_task(send(daemon, record, served))
            for daemon in daemons
        ]
        await asyncio.sleep(SECONDS)
        for daemon in daemons:
            ready = await daemon.is_ready()
            record.write(
                f"{daemon.name} is ready: {ready}, still runs:"
                f" {daemon.returncode is None},"
                f" requests served: {served.count(daemon.name)}"
            )
    finally:
        for task in tasks:
            task.cancel()
        for daemon in daemons:
            await daemon.close()
        if os.environ.get("SHOW_LOGS"):
            for daemon in daemons:
                print(daemon.read_log()[-3000:])
        group.close()
    return int(not served)


if __name__ == "__main__":
    world2.run(FOLDER, play)
