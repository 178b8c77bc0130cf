import asyncio
import random

from fescuestile import failover_steps
from fescuestile import platform_messages
from fescuestile_daemon import audit
from fescuestile_daemon import platform_adapter
from fescuestile_daemon import primary_record
from fescuestile_standins import platform

DATABASE = "werkstatt-db"


async def test_primaries_are_recorded_after_a_lost_reply():
    server = platform.Platform()
    address = await server.start("127.0.0.1:0")
    hooks = platform.HookClient(address)
    adapter = platform_adapter.PlatformAdapter(
        (address,), "127.0.0.1", timeout=0.2, random_source=random.Random(1)
    )
    trail = audit.AuditTrail(adapter, random.Random(1))
    record = primary_record.PrimaryRecord(
        "d1", adapter, trail, random.Random(1)
    )
    await hooks.send(platform_messages.SetFaults(id=0, lose_replies=1))
    record.start()
    for term, name in ((3, "two"), (2, "one")):
        record.record_primary(DATABASE, failover_steps.Publish(term, name))
        known = await read_primary(adapter, term)
        assert known == primary_record.PrimaryObject(3, "two")
    entries = (await trail.list_entries(DATABASE, 0)).ok
    assert {(entry.action, entry.operator) for entry in entries} == {
        ("failover", "d1")
    }
    await record.close()
    await adapter.close()
    await server.close()


async def read_primary(adapter, term):
    """Wait until the platform holds this term or a later one."""
    async with asyncio.timeout(10):
        while True:
            stored = await adapter.read(f"primaries/{DATABASE}")
            if stored.is_ok() and stored.ok is not None:
                known = primary_record.decode_primary(stored.ok.value)
                if known is not None and known.term >= term:
                    return known
            await asyncio.sleep(0.05)


def test_a_malformed_object_is_not_a_primary():
    assert primary_record.decode_primary(b"\xff") is None
    assert primary_record.decode_primary(b"\x01") is None
