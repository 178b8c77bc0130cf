"""Statements of scenarios, on the world's database."""

from tests.scenarios import worlds


def execute(session, text, kind="fault-report", **options):
    """Run a statement."""
    return session.execute(worlds.DATABASE, kind, text, **options)


def read(session, key, kind="history", **options):
    """Read a key; the kind may be stale unless told otherwise."""
    return execute(session, f"GET {key}", kind, read_only=True, **options)


async def look_at(session, key):
    """Return the current value of a key."""
    return (await read(session, key, "dispatch")).payload
