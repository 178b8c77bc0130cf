"""Endpoints that are leaving, as callers and operators observe them."""

import asyncio
import secrets

import pytest
import pytest_asyncio
import structlog.testing

from fescuestile_platform import boot
from soak import world as soak_world
from tests.platform.standins import line_server
from tests.platform.standins import world as worlds

get_row = line_server.get_row
get_error = line_server.get_error

# Time within which an endpoint gets no new work after its mark is accepted,
# and a mark is known to daemons.
DRAIN_SECONDS = 2.0
KNOWN_SECONDS = 1.0
# What cannot be served is refused within this time.
REFUSAL_SECONDS = 0.1


@pytest.fixture
def daemon(world):
    return world.daemons[0]


async def mark_leaving(world, endpoint):
    """Mark an endpoint as leaving; return once all daemons know it."""
    world.store.register(endpoint, state="draining")
    known = [
        each.node.directory.groups[endpoint.group.name].endpoints[
            endpoint.name
        ]
        for each in world.daemons
    ]
    async with asyncio.timeout(2.0):
        while not all(state.entry.leaving for state in known):
            await asyncio.sleep(0.005)


def find_lines(lines, event):
    return [line for line in lines if line["event"] == event]


async def test_work_at_a_leaving_primary_is_logged_and_counted(world, daemon):
    """The store grants no lease, so the primary is not replaced."""
    primary = world.groups["g0"].primary
    client = await world.connect("primary")
    await mark_leaving(world, primary)
    world.store.faults.status = 503
    with structlog.testing.capture_logs() as lines:
        assert get_error(await client.query("WRITE item a", id_="f0")) is None
    (sent,) = find_lines(lines, "new work sent to leaving endpoint")
    assert (sent["request"], sent["endpoint"]) == ("f0", primary.name)
    assert 0.0 < sent["leaving_seconds"] < 1.0
    counters = daemon.node.recorder.counters
    assert counters["attempts_leaving", primary.name] == 1


async def test_an_answered_statement_names_its_endpoint(world):
    client = await world.connect("primary")
    await client.query("READ item")
    world.groups["g0"].primary.faults.lose_answers = True
    with structlog.testing.capture_logs() as lines:
        await client.query("WRITE item a", id_="f1")
    (line,) = find_lines(lines, "statement answered")
    assert line["endpoint"] == world.groups["g0"].primary.name


async def test_a_leaving_primary_without_replacement_is_logged_once(world):
    group = world.groups["g0"]
    primary = group.primary
    replicas = [e for e in group.endpoints.values() if e is not primary]
    with structlog.testing.capture_logs() as lines:
        for each in (*replicas, primary):
            await mark_leaving(world, each)
        await asyncio.sleep(0.7)
    found = find_lines(lines, "leaving primary has no replacement")
    assert len(found) == len(world.daemons)
    assert found[0]["primary"] == primary.name
    assert sorted(found[0]["leaving"]) == sorted(group.endpoints)


async def test_a_switchover_that_changes_nothing_is_logged(world):
    group = world.groups["g0"]
    primary = group.primary
    primary.faults.refuse_fences = True
    with structlog.testing.capture_logs() as lines:
        await mark_leaving(world, primary)
        await asyncio.sleep(1.0)
    assert find_lines(lines, "switchover changed nothing")


class StrandedPrimary:
    """A group whose primary is leaving and is not replaced.

    Another daemon holds the lease and does nothing with it.

    :ivar primary: the endpoint
    """

    def __init__(self, world):
        self.world = world
        self.primary = world.groups["g0"].primary
        self._accepted_at = 0.0
        self._holder = asyncio.create_task(self._hold_lease())

    async def _hold_lease(self):
        while True:
            self._put_lease("other")
            await asyncio.sleep(0.5)

    def _put_lease(self, holder):
        claim = secrets.token_hex(4)
        record = {
            "holder": holder,
            "token": 1,
            "claim": claim,
            "era": self.world.store.era,
        }
        self.world.store.put("leases", "promotion", record)

    def free_lease(self):
        """Let the daemon replace the primary."""
        self._holder.cancel()
        self._put_lease("")

    async def mark(self):
        """Mark the primary as leaving."""
        self._accepted_at = asyncio.get_running_loop().time()
        await mark_leaving(self.world, self.primary)

    async def wait(self, seconds):
        """Wait until so many seconds after the mark."""
        now = asyncio.get_running_loop().time()
        await asyncio.sleep(self._accepted_at + seconds - now)

    def list_late(self):
        """Return the work that reached the primary after its drain time."""
        latest = self._accepted_at + DRAIN_SECONDS
        return [id_ for at, id_ in self.primary.begun if at > latest]


@pytest_asyncio.fixture
async def stranded():
    """Yield a primary that cannot be replaced, behind one daemon.

    Statements may wait for longer than the primary's drain time.
    """
    bounds = boot.Bounds(
        drain_ms=DRAIN_SECONDS * 1000, config_apply_ms=KNOWN_SECONDS * 1000
    )
    world = worlds.World(bounds=bounds)
    await world.start()
    configuration = worlds.make_configuration(
        world.groups, version=2, timeout_ms=5000
    )
    world.store.put("config", "main", configuration)
    directory = world.daemons[0].node.directory
    async with asyncio.timeout(2.0):
        while directory.table.version < 2:
            await asyncio.sleep(0.01)
    primary = StrandedPrimary(world)
    yield primary
    primary.free_lease()
    await world.close()


async def query_timed(client, text):
    """Return the error of a statement and the seconds that it took."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    answer = await client.query(text)
    return get_error(answer), loop.time() - began


@pytest.mark.parametrize("text", ["READ item", "WRITE item a"])
async def test_no_statement_is_sent_to_a_primary_that_left_unreplaced(
    stranded, text
):
    """Guards against work at a leaving primary whose switchover never comes.

    While it may still get work it serves it; then callers are refused at
    once.
    """
    client = await stranded.world.connect("primary")
    await stranded.mark()
    assert get_error(await client.query(text)) is None
    with structlog.testing.capture_logs() as lines:
        await stranded.wait(DRAIN_SECONDS)
    (line,) = find_lines(lines, "leaving endpoint gets no more work")
    assert line["endpoint"] == stranded.primary.name
    error, seconds = await query_timed(client, text)
    assert error == "BUSY"
    assert seconds < REFUSAL_SECONDS
    assert stranded.list_late() == []


async def test_no_transaction_begins_at_a_primary_that_left_unreplaced(
    stranded,
):
    """Guards against first statements of transactions, likewise."""
    client = await stranded.world.connect("primary")
    await stranded.mark()
    await client.query("BEGIN")
    await stranded.wait(DRAIN_SECONDS)
    error, seconds = await query_timed(client, "WRITE item a")
    assert error == "BUSY"
    assert seconds < REFUSAL_SECONDS
    assert stranded.list_late() == []


async def test_an_open_transaction_ends_at_a_primary_that_left(stranded):
    """Guards against cutting transactions that began in time."""
    client = await stranded.world.connect("primary")
    await client.query("BEGIN")
    await client.query("WRITE item a")
    await stranded.mark()
    await stranded.wait(DRAIN_SECONDS)
    assert get_error(await client.query("WRITE other b")) is None
    assert get_error(await client.query("COMMIT")) is None
    assert stranded.list_late() == []


async def test_no_read_falls_back_to_a_primary_that_left_unreplaced(stranded):
    """Guards against reads that no replica is fresh enough for, likewise."""
    world = stranded.world
    world.groups["g0"].lag_seconds = 60.0
    writer = await world.connect("primary")
    reader = await world.connect("read_your_writes")
    await writer.query("WRITE item a")
    await stranded.mark()
    assert get_row(await reader.query("READ item")) == "a"
    await stranded.wait(DRAIN_SECONDS)
    error, _ = await query_timed(reader, "READ item")
    assert error == "BUSY"
    assert stranded.list_late() == []


async def test_no_queued_write_is_sent_to_a_primary_that_left_unreplaced(
    stranded,
):
    """Guards against work that waits for a slot when the drain time ends."""
    world = stranded.world
    world.groups["g0"].service_seconds = 0.4
    clients = [await world.connect("primary") for _ in range(14)]
    await asyncio.gather(*(c.query("WRITE item a") for c in clients[:4]))
    await stranded.mark()
    await stranded.wait(KNOWN_SECONDS / 2)
    errors = await asyncio.gather(
        *(query_timed(c, "WRITE item b") for c in clients)
    )
    assert [error for error, _ in errors].count("BUSY") > len(clients) / 2
    longest = KNOWN_SECONDS / 2 + REFUSAL_SECONDS + DRAIN_SECONDS / 2
    assert max(seconds for _, seconds in errors) < longest
    assert stranded.list_late() == []


async def test_no_write_waits_for_a_primary_that_left_unresponsive(stranded):
    """Guards against work parked for a primary when the drain time ends."""
    client = await stranded.world.connect("primary")
    await client.query("READ item")
    await stranded.mark()
    stranded.primary.faults.dark = True
    await stranded.wait(KNOWN_SECONDS / 2)
    writing = asyncio.create_task(query_timed(client, "WRITE item a"))
    await stranded.wait(DRAIN_SECONDS + 0.1)
    stranded.primary.faults.dark = False
    error, seconds = await writing
    assert error == "BUSY"
    assert seconds < DRAIN_SECONDS
    assert stranded.list_late() == []


async def test_no_write_is_retried_at_a_primary_that_left_unreplaced(stranded):
    """Guards against attempts that go on after the drain time.

    The primary first refuses connections, then accepts them again.
    """
    world = stranded.world
    client = await world.connect("primary")
    await client.query("READ item")
    await stranded.mark()
    world.groups["g0"].max_connections = 0
    for connection in list(stranded.primary.connections):
        connection.transport.abort()
    writing = asyncio.create_task(query_timed(client, "WRITE item a"))
    await stranded.wait(DRAIN_SECONDS + 0.1)
    world.groups["g0"].max_connections = 16
    error, seconds = await writing
    assert error == "BUSY"
    assert seconds < DRAIN_SECONDS
    assert stranded.list_late() == []


async def test_work_goes_on_at_the_successor_of_a_stranded_primary(stranded):
    client = await stranded.world.connect("primary")
    await stranded.mark()
    await stranded.wait(DRAIN_SECONDS)
    assert get_error(await client.query("WRITE item a")) == "BUSY"
    stranded.free_lease()
    async with asyncio.timeout(5.0):
        while get_error(await client.query("WRITE item a")):
            await asyncio.sleep(0.05)
    assert stranded.world.groups["g0"].primary is not stranded.primary
    assert stranded.list_late() == []


@pytest.mark.parametrize("route_type", worlds.ROUTE_TYPES)
async def test_reads_of_a_group_that_leaves_as_a_whole(stranded, route_type):
    """Guards against reads that wait for an endpoint that stays.

    The primary serves them while it may; then they are refused at once.
    """
    world = stranded.world
    reader = await world.connect(route_type)
    await reader.query("READ item")
    await stranded.mark()
    for endpoint in world.groups["g0"].endpoints.values():
        await mark_leaving(world, endpoint)
    error, seconds = await query_timed(reader, "READ item")
    assert (error, seconds < REFUSAL_SECONDS) == (None, True)
    await stranded.wait(DRAIN_SECONDS)
    error, seconds = await query_timed(reader, "READ item")
    assert (error, seconds < REFUSAL_SECONDS) == ("BUSY", True)
    assert stranded.list_late() == []


async def test_a_switchover_takes_a_target_that_reports(world):
    """Guards against a leaving primary that keeps its work.

    Both replicas hold the same log; the first one refuses all reports.
    """
    group = world.groups["g0"]
    primary, refusing, other = group.endpoints.values()
    client = await world.connect("primary")
    await client.query("WRITE item a")
    await asyncio.sleep(2.0)
    refusing.faults.refuse_reports = True
    await mark_leaving(world, primary)
    # Until then the primary still gets new work.
    async with asyncio.timeout(boot.Bounds().leaving_limit):
        while group.primary in (None, primary):
            await asyncio.sleep(0.02)
    assert group.primary is other
    assert group.lost == []


async def test_failover_promotes_no_leaving_endpoint_of_equal_log(world):
    """Guards against work at an endpoint that was promoted while leaving.

    Of two replicas that hold the same log, the one that comes last by name
    is leaving.
    """
    group = world.groups["g0"]
    old, _, leaving = group.endpoints.values()
    client = await world.connect("primary")
    await client.query("WRITE item a")
    await mark_leaving(world, leaving)
    marked = len(leaving.begun)
    old.faults.dark = True
    async with asyncio.timeout(6.0):
        while group.primary in (None, old):
            await asyncio.sleep(0.02)
    assert group.primary is not leaving
    assert group.lost == []
    assert len(leaving.begun) == marked


async def test_a_group_whose_primary_left_for_good_is_served_again(stranded):
    """Guards against a group that waits for endpoints that have exited.

    The primary and a replica leave and exit before another is primary.
    """
    world = stranded.world
    group = world.groups["g0"]
    left = [stranded.primary, list(group.endpoints.values())[1]]
    for name in ("i-g0-3", "i-g0-4"):
        world.store.register(await group.add_endpoint(name, "b"))
    writer = await world.connect("primary")
    await writer.query("WRITE item a")
    await stranded.mark()
    await mark_leaving(world, left[1])
    await stranded.wait(DRAIN_SECONDS)
    for endpoint in left:
        world.store.remove("servers", endpoint.name)
        await group.remove_endpoint(endpoint.name)
    stranded.free_lease()
    async with asyncio.timeout(soak_world.SETTLE_TIMEOUT_SECONDS):
        while group.primary is None:
            await asyncio.sleep(0.1)
    assert group.lost == []
