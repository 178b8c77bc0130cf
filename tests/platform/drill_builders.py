"""Builders of what the tests of the store's drills start from."""

import asyncio
import contextlib
import itertools

from tests.platform.standins import drills
from tests.platform.standins import group as wire_group
from tests.platform.standins import readers as wire_readers
from tests.platform.standins import world as worlds

# The platform's bound for a configuration.
APPLY_SECONDS = 3.0
# Until a change of the members is in their record.
RECORD_SECONDS = 10.0
POLL_SECONDS = 0.01
# The operator and the endpoints write again after this time.
REWRITE_SECONDS = 1.5
MAX_FAILED_SHARE = 0.01
READ_GAP_SECONDS = 1.0
ONE_GROUP = (1, 2)


def make_drill(way: drills.Way = drills.Way.RESET, **fields) -> drills.Drill:
    """Return a drill with a short outage.

    :param fields: fields that replace the usual ones
    """
    usual = {
        "away_seconds": 0.5,
        "operator_seconds": REWRITE_SECONDS,
        "endpoint_seconds": REWRITE_SECONDS,
    }
    return drills.Drill(way=way, **{**usual, **fields})


def put_configuration(
    world: worlds.World, version: int, *extra: str, dropped: str = ""
) -> None:
    """Write a configuration as the operator.

    :param extra: names of databases that are routed to the first group
    :param dropped: name of a database that has no route
    """
    content = worlds.make_configuration(world.groups, version)
    content["routes"] = [
        route for route in content["routes"] if route["host"] != dropped
    ]
    content["routes"] += [
        {**content["routes"][0], "name": f"r-{name}", "host": name}
        for name in extra
    ]
    world.store.put("config", "main", content)


async def wait_version(
    world: worlds.World, version: int, seconds: float = APPLY_SECONDS
) -> None:
    """Wait until a version is in force in all daemons."""
    async with asyncio.timeout(seconds):
        while any(
            each.node.directory.table.version != version
            for each in world.daemons
        ):
            await asyncio.sleep(POLL_SECONDS)


def list_recorded(world: worlds.World, group: str = "g0") -> set[str]:
    """Return the names of a group's recorded members."""
    record = world.store.objects["members", group]["spec"]
    return {member["id"] for member in record["members"]}


async def wait_recorded(
    world: worlds.World, names: set[str], seconds: float = RECORD_SECONDS
) -> None:
    """Wait until the record of the first group names exactly these."""
    async with asyncio.timeout(seconds):
        while list_recorded(world) != names:
            await asyncio.sleep(POLL_SECONDS)


async def join(
    world: worlds.World, group: wire_group.Group
) -> wire_group.Endpoint:
    """Start a replica; return once it is recorded."""
    joined = await group.add_endpoint(f"i-{group.name}-joined", "a")
    world.store.register(joined)
    await wait_recorded(world, set(group.endpoints))
    return joined


def cut_off(world: worlds.World, *daemons: int) -> None:
    """Hold all that these daemons and the store send each other."""
    for number in daemons:
        faults = world.store_proxies[number].faults
        faults.forward = faults.backward = False


def rejoin(world: worlds.World, *daemons: int) -> None:
    """Let these daemons reach the store again, by new connections too."""
    for number in daemons:
        faults = world.store_proxies[number].faults
        faults.forward = faults.backward = True


def find_longest_gap(times: list[float], since: float, until: float) -> float:
    """Return the longest time without an event."""
    inside = [at for at in sorted(times) if since < at < until]
    bounds = [since, *inside, until]
    return max(later - at for at, later in itertools.pairwise(bounds))


def check_served(
    readers: wire_readers.Readers, since: float, until: float
) -> None:
    """Check that reads go on without a pause, and that hardly one fails.

    Beside load, a single process that runs everything answers some late.
    """
    failed = [text for at, text in readers.failed if since < at < until]
    served = [at for at in readers.served if since < at < until]
    assert len(failed) <= MAX_FAILED_SHARE * len(served), failed
    assert find_longest_gap(served, since, until) < READ_GAP_SECONDS


async def wait_requested(world: worlds.World, seconds: float = 8.0) -> None:
    """Wait until a promotion has been requested."""
    async with asyncio.timeout(seconds):
        while not world.store.promotion_requests:
            await asyncio.sleep(0.002)


async def wait_promoted(
    group: wire_group.Group, seconds: float, count: int = 1
) -> None:
    """Wait until so many promotions have taken effect."""
    async with asyncio.timeout(seconds):
        while len(group.successions) < count:
            await asyncio.sleep(POLL_SECONDS)


def check_tokens(world: worlds.World) -> None:
    """Check that tokens name one holder each and never fall.

    The stand-in's promotion service keeps the requests in order.
    """
    requests = world.store.promotion_requests
    tokens = [token for _, _, _, token in requests]
    assert tokens == sorted(tokens)
    holders: dict[int, str] = {}
    for _, _, holder, token in requests:
        assert holders.setdefault(token, holder) == holder, requests


@contextlib.asynccontextmanager
async def running(*clients):
    """Close clients at the end, also after a failure."""
    try:
        yield
    finally:
        for each in clients:
            await each.close()
