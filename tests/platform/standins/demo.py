"""Demo of sessions and a failover through daemons and stand-ins."""

import asyncio
import os
import time

import structlog

from tests.platform.standins import world as worlds


async def show(client, text):
    """Send a statement and print it with its answer."""
    answer = await client.query(text)
    print(f"  {text:<24} -> {' | '.join(answer)}")
    return answer


async def show_sessions(world):
    """Show a session, a transaction and a prepared statement."""
    print("two daemons, one group of three endpoints; a caller's session:")
    client = await world.connect("primary")
    await show(client, "WRITE pump-7 broken")
    await show(client, "READ pump-7")
    await show(client, "PREPARE find READ q1")
    await show(client, "EXECUTE find pump-7")
    print("a transaction:")
    for text in ("BEGIN", "WRITE pump-7 mended", "COMMIT"):
        await show(client, text)
    print("another daemon, a read of its own writes:")
    other = await world.connect("read_your_writes", number=1)
    await show(other, "WRITE bill-1 paid")
    await show(other, "READ bill-1")


async def show_failover(world):
    """Show a failover after the primary is killed, without lost writes."""
    group = world.groups["g0"]
    old = group.primary
    print(f"primary {old.name} is killed; writes until one succeeds:")
    await old.server.close()
    began = time.monotonic()
    while True:
        client = await world.connect("primary")
        answer = await client.query("WRITE pump-8 broken")
        if not answer[0].startswith("ERROR"):
            break
        await asyncio.sleep(0.05)
    print(f"  after {time.monotonic() - began:.2f} s: {answer[0]}")
    await show(client, "READ pump-7")


async def run():
    """Run the demo with one group and two daemons."""
    world = worlds.World(groups=1, daemons=2)
    await world.start()
    try:
        await show_sessions(world)
        await show_failover(world)
    finally:
        await world.close()


def main():
    """Run the demo without the daemons' log output."""
    with open(os.devnull, "w", encoding="utf-8") as nowhere:
        structlog.configure(
            logger_factory=structlog.PrintLoggerFactory(nowhere)
        )
        asyncio.run(run())


if __name__ == "__main__":
    main()
