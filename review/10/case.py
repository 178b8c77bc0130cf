"""Two entries of another writer, with fields missing, stop all reads."""

import asyncio
import contextlib
import pathlib
import secrets
import signal
import sys
import tempfile
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import world2  # noqa: E402

RECOVERY_SECONDS = world2.BOUNDS["recovery_s"]
ENTRIES = 2
# Seconds of traffic before the final fault, from the entries to the fault,
# until the killed processes start again, and from recovery_s on.
BEFORE = 8.0
ENTRY_AT = 0.5
DOWN = 1.0
AFTER = 10.0
INTERVAL = 0.1
DATABASES = ("db-primary", "db-read_your_writes", "db-bounded_staleness")


class Requests:
    """Requests with the time at which they were sent.

    :ivar sent: monotonic seconds, and whether it was served
    """

    def __init__(self, record: world2.Record) -> None:
        self._record = record
        self.sent: list[tuple[float, bool]] = []

    async def send(self, daemon: world2.Daemon, database: str) -> None:
        """Send requests, one after the other; connect again after a close."""
        while True:
            client = world2.Client(daemon.front, database)
            with contextlib.suppress(OSError):
                if (await client.open()).startswith("READY"):
                    while await self._request(client, daemon, database):
                        await asyncio.sleep(INTERVAL)
            client.close()
            await asyncio.sleep(INTERVAL)

    async def _request(
        self, client: world2.Client, daemon: world2.Daemon, database: str
    ) -> bool:
        writes = len(self.sent) % 8 == 0 and "bounded" not in database
        text = "WRITE 1a4 x" if writes else "READ 1a4"
        at = time.monotonic()
        number = len(self.sent)
        self.sent.append((at, False))
        lines = [""]
        with contextlib.suppress(OSError):
            lines = await client.query(text)
        is_served = any(line.startswith("COMPLETE") for line in lines)
        self.sent[number] = at, is_served
        self._record.note(f"{daemon.name} {database} {text}: {lines}")
        return bool(lines[-1])

    def count(self, since: float, until: float) -> tuple[int, int]:
        """Return how many requests of a time were sent, and served."""
        found = [served for at, served in self.sent if since <= at < until]
        return len(found), sum(found)


async def play(record: world2.Record, has_trouble: bool) -> int:
    """Play the case; return its exit status."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
    store = world2.Store()
    await store.start()
    group = world2.Group("huvo11a", ("a", "b", "c"))
    await group.start(store)
    configuration = world2.make_configuration(group.name, world2.TIMEOUTS)
    store.put("config", "main", configuration)
    daemons = [
        world2.Daemon(number, zone, store, folder)
        for number, zone in enumerate("ab")
    ]
    requests = Requests(record)
    tasks: list[asyncio.Task[None]] = []
    try:
        for daemon in daemons:
            await daemon.start()
        for daemon in daemons:
            if not await daemon.wait_ready():
                record.write(f"{daemon.name} does not get ready")
                return 2
        # The members of the group are recorded in this time.
        await asyncio.sleep(6.0)
        tasks = [
            asyncio.create_task(requests.send(daemon, database))
            for daemon in daemons
            for database in DATABASES
        ]
        began_at = time.monotonic()
        await asyncio.sleep(BEFORE)
        if has_trouble:
            for _ in range(ENTRIES):
                name = f"i-{secrets.token_hex(4)}"
                entry = {
                    "service": group.name,
                    "address": f"127.0.0.1:{world2.find_port('127.0.0.1')}",
                    "zone": "a",
                    "slots": 2,
                    "state": "ready",
                    "db_role": "replica",
                }
                store.put("servers", name, entry)
                record.write(f"another writer's entry {name}: {entry}")
        await asyncio.sleep(ENTRY_AT)
        fault_at = time.monotonic()
        record.write("final fault: both daemons are killed")
        for daemon in daemons:
            daemon.send(signal.SIGKILL)
        for daemon in daemons:
            await daemon.wait()
        await asyncio.sleep(DOWN)
        for daemon in daemons:
            await daemon.start()
        back_at = time.monotonic()
        record.write("both daemons are started again")
        await asyncio.sleep(RECOVERY_SECONDS + AFTER)
        for daemon in daemons:
            ready = await daemon.is_ready()
            record.write(f"{daemon.name} is ready: {ready}")
    finally:
        for task in tasks:
            task.cancel()
        for daemon in daemons:
            await daemon.close()
        group.close()
    before = requests.count(began_at, fault_at)
    # The last ones have no answer because the play has ended.
    after = requests.count(
        back_at + RECOVERY_SECONDS, back_at + RECOVERY_SECONDS + AFTER - 1.5
    )
    record.write(f"before the final fault: {before[1]} of {before[0]} served")
    record.write(f"later than recovery_s: {after[1]} of {after[0]} served")
    if before[1] * 4 < before[0] or not after[0]:
        return 2
    return int(after[1] * 4 < after[0])


if __name__ == "__main__":
    world2.run(FOLDER, play)
