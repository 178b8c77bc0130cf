"""Entries of another writer among those of the endpoints."""

import asyncio
import collections.abc

from tests.platform.standins import group as wire_group
from tests.platform.standins import store as stores

# Fields that an entry lacks.
MISSING = (("born",), ("version", "warmup_left_ms", "seq", "born"), ("zone",))
# Texts of a field that cannot be read; the last one has no end.
TEXTS = ('"\x01"', '"\\x"', '"\\ud800"', '"\udcff"', '"open')
# Until an endpoint that finds another entry in its place writes its own.
HEARTBEAT_SECONDS = 1.2


async def write(
    store: stores.Store,
    endpoint: wire_group.Endpoint,
    pick: int,
    register: collections.abc.Callable[[wire_group.Endpoint], None],
) -> None:
    """Write a stranger's entry, or one in the place of an endpoint's own.

    :param pick: selects the kind of entry
    :param register: writes the endpoint's own entry again
    """
    known = store.objects.get(("servers", endpoint.name))
    number, is_stranger = divmod(pick, 2)
    if known is None:
        return
    name = f"i-odd-{pick}" if is_stranger else endpoint.name
    spec = {**known["spec"], "db_role": "replica"}
    kind = number % (len(MISSING) + len(TEXTS))
    if kind < len(MISSING):
        spec = {k: v for k, v in spec.items() if k not in MISSING[kind]}
        store.put("servers", name, spec)
    else:
        text = TEXTS[kind - len(MISSING)]
        store.put_raw("servers", name, spec, "zone", text)
    if not is_stranger:
        await asyncio.sleep(HEARTBEAT_SECONDS)
        register(endpoint)
