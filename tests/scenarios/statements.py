"""Statements on the database of a scenario."""

from tests.scenarios import worlds


def execute(session, text, kind="fault-report", **options):
    """Return the coroutine that runs a statement."""
    return session.execute(worlds.DATABASE, kind, text, **options)


def read(session, key, kind="history", **options):
    """Read a key; the default kind allows stale reads."""
    return execute(session, f"GET {key}", kind, read_only=True, **options)


async def read_current(session, key):
    """Return the current value of a key, by a kind without staleness."""
    return (await read(session, key, "dispatch")).payload
