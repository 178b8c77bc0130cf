"""Failures of endpoints, the store and daemons, as callers observe them."""

import asyncio

import pytest
import structlog.testing

from fescuestile import errors
from tests.platform.standins import line_server

get_row = line_server.get_row
get_error = line_server.get_error


async def wait_primary(group, other_than, seconds=6.0):
    async with asyncio.timeout(seconds):
        while group.primary in (None, other_than):
            await asyncio.sleep(0.02)
    return group.primary


async def write_until_done(world, text, seconds=6.0):
    """Write over new sessions until one succeeds; return all answers."""
    answers = []
    async with asyncio.timeout(seconds):
        while True:
            client = await world.connect("primary")
            answer = await client.query(text)
            answers.append(answer)
            if get_error(answer) is None:
                return answers
            await asyncio.sleep(0.05)


@pytest.mark.parametrize("how", ["dark", "ended"])
async def test_failed_primary_is_replaced_without_loss(world, how):
    group = world.groups["g0"]
    old = group.primary
    client = await world.connect("primary")
    for number in range(10):
        await client.query(f"WRITE item-{number} value")
    if how == "dark":
        old.faults.dark = True
    else:
        await old.server.close()
    await wait_primary(group, old)
    await write_until_done(world, "WRITE after value")
    assert group.lost == []
    reader = await world.connect("primary")
    for number in range(10):
        assert get_row(await reader.query(f"READ item-{number}")) == "value"
    tokens = [request[3] for request in world.store.promotion_requests]
    assert tokens == sorted(tokens)


async def test_stale_reads_go_on_while_there_is_no_primary(world):
    group = world.groups["g0"]
    client = await world.connect("read_your_writes")
    await client.query("WRITE item value")
    world.store.faults.silent = True
    group.primary.faults.dark = True
    # Without the store no daemon may request a promotion.
    loop = asyncio.get_running_loop()
    until = loop.time() + 3.0
    errors = []
    while loop.time() < until:
        reader = await world.connect("bounded_staleness")
        errors.append(get_error(await reader.query("READ item")))
        await asyncio.sleep(0.05)
    late = errors[len(errors) // 2 :]
    assert late.count(None) >= 0.95 * len(late)


async def test_short_unresponsiveness_is_no_failure(world):
    old = world.groups["g0"].primary
    old.faults.dark = True
    await asyncio.sleep(0.5)
    old.faults.dark = False
    await asyncio.sleep(1.5)
    assert world.groups["g0"].primary is old
    assert world.store.promotion_requests == []


async def test_primary_cut_from_its_replicas_is_replaced(world):
    group = world.groups["g0"]
    old = group.primary
    for endpoint in group.endpoints.values():
        endpoint.faults.deaf = endpoint is not old
    client = await world.connect("primary")
    answer = await client.query("WRITE item lost")
    assert get_error(answer) in ("INDOUBT", "TIMEOUT")
    await wait_primary(group, old)
    for endpoint in group.endpoints.values():
        endpoint.faults.deaf = False
    answers = await write_until_done(world, "WRITE item kept")
    assert group.lost == []
    assert answers


async def test_leaving_primary_is_replaced(world):
    group = world.groups["g0"]
    old = group.primary
    world.store.register(old, state="draining")
    new = await wait_primary(group, old)
    assert new is not old
    assert group.lost == []
    await write_until_done(world, "WRITE item after")


async def test_lost_answer_of_a_write_is_in_doubt(world):
    group = world.groups["g0"]
    client = await world.connect("primary")
    await client.query("READ item")
    group.primary.faults.lose_answers = True
    answer = await client.query("WRITE item once", id_="feed01")
    assert get_error(answer) == "INDOUBT"
    group.primary.faults.lose_answers = False
    served = [s for s in group.primary.served if s[0] == "feed01"]
    assert len(served) == 1


async def test_failed_read_is_tried_at_another_endpoint(world):
    group = world.groups["g0"]
    for endpoint in group.endpoints.values():
        endpoint.faults.fail_reads = endpoint is not group.primary
    for _ in range(5):
        client = await world.connect("bounded_staleness")
        assert get_row(await client.query("READ item")) == "none"


async def test_current_read_is_refused_by_a_replaced_primary(world):
    """Guards against current reads at a primary that was replaced.

    The daemon is cut off from the other endpoints of the group, among them
    the new primary.
    """
    group = world.groups["g0"]
    old = group.primary
    world.store.faults.silent = True
    for endpoint in group.endpoints.values():
        if endpoint is not old:
            endpoint.faults.dark = True
    others = [e for e in group.endpoints.values() if e is not old]
    others[0].role = "primary"
    others[0].term = 2
    client = await world.connect("primary")
    answer = await client.query("READ item")
    assert get_error(answer) in ("BUSY", "TIMEOUT")


@pytest.mark.parametrize("fault", ["silent", "refused", "lost answers"])
async def test_lease_survives_store_failures(world, fault):
    group = world.groups["g0"]
    old = group.primary
    faults = world.store.faults
    faults.silent = fault == "silent"
    faults.status = 503 if fault == "refused" else 0
    faults.lose_writes = fault == "lost answers"
    old.faults.dark = True
    await asyncio.sleep(2.0)
    faults.silent = faults.lose_writes = False
    faults.status = 0
    await wait_primary(group, old, seconds=12.0)
    assert group.lost == []
    tokens = [request[3] for request in world.store.promotion_requests]
    assert tokens == sorted(tokens)


async def test_a_delayed_lease_write_grants_no_lease(world):
    group = world.groups["g0"]
    old = group.primary
    world.store.faults.late_writes = 1.5
    old.faults.dark = True
    await asyncio.sleep(3.0)
    world.store.faults.late_writes = 0.0
    await wait_primary(group, old, seconds=15.0)
    by_token: dict[int, str] = {}
    for _, _, holder, token in world.store.promotion_requests:
        assert by_token.setdefault(token, holder) == holder
    assert group.lost == []


async def test_fence_left_by_a_dead_driver_is_lifted(world):
    group = world.groups["g0"]
    for endpoint in group.endpoints.values():
        if endpoint.role == "replica":
            endpoint.pause_term = 7
    answers = await write_until_done(world, "WRITE item after", seconds=10.0)
    assert answers
    assert group.lost == []


async def test_stop_is_graceful(world):
    daemon = world.daemons[0]
    client = await world.connect("primary")
    await client.query("BEGIN")
    await client.query("WRITE item open")
    stop = asyncio.create_task(daemon.close())
    await asyncio.sleep(0.5)
    assert not daemon.node.is_ready()
    assert (await client.query("COMMIT"))[0].startswith("COMPLETE i-")
    await stop
    other = await world.connect("primary", number=1)
    assert get_row(await other.query("READ item")) == "open"


async def connect_by_unresponsive_connections(world):
    """Return a caller after the primary's connections stopped answering."""
    client = await world.connect("primary")
    await client.query("READ item")
    for connection in world.groups["g0"].primary.connections:
        connection.receive = lambda line: None
    return client


async def test_unresponsive_connection_delays_no_read(world):
    client = await connect_by_unresponsive_connections(world)
    loop = asyncio.get_running_loop()
    began = loop.time()
    assert get_row(await client.query("READ item")) == "none"
    # The route's target is 0.2 s.
    assert loop.time() - began < 0.2


async def test_unresponsive_connection_delays_no_transaction(world):
    client = await connect_by_unresponsive_connections(world)
    loop = asyncio.get_running_loop()
    began = loop.time()
    await client.query("BEGIN")
    assert get_row(await client.query("READ item")) == "none"
    assert loop.time() - began < 0.3
    assert (await client.query("COMMIT"))[0].startswith("COMPLETE i-")


async def test_endpoint_at_capacity_fails_no_reads(world):
    group = world.groups["g0"]
    replica = next(e for e in group.endpoints.values() if e.role == "replica")
    replica.queued = 100
    for _ in range(5):
        client = await world.connect("bounded_staleness")
        assert get_row(await client.query("READ item")) == "none"


async def test_overload_is_refused_at_once_and_nothing_of_it_runs(world):
    """Guards against slow refusals and against running refused statements.

    A burst of reads arrives at one group, ten times what it can serve.
    """
    group = world.groups["g0"]
    group.service_seconds = 0.1
    clients = [await world.connect("bounded_staleness") for _ in range(120)]
    loop = asyncio.get_running_loop()
    # The daemon has measured the service time before the burst comes.
    for client in clients[:12]:
        await client.query("READ item")
    before = sum(len(each.served) for each in group.endpoints.values())

    async def read(number):
        began = loop.time()
        answer = await clients[number].query("READ item", id_=f"bead{number}")
        return get_error(answer), loop.time() - began

    ended = await asyncio.gather(*map(read, range(120)))
    refused = [seconds for error, seconds in ended if error == "BUSY"]
    served = [seconds for error, seconds in ended if error is None]
    assert len(refused) + len(served) == 120
    assert len(served) >= 20
    assert sorted(refused)[len(refused) // 2] < 0.1
    runs = sum(len(endpoint.served) for endpoint in group.endpoints.values())
    assert runs - before <= len(served) * 1.2


async def test_a_daemon_that_is_cut_off_moves_its_callers(world):
    """Guards against callers that stay with a daemon of an isolated zone.

    The zone is cut off, and its daemons reach one endpoint of each group.
    """
    loop = asyncio.get_running_loop()
    clients = [await world.connect("primary", name) for name in world.groups]

    async def read_on(client):
        while True:
            await client.query("READ item")

    readers = [asyncio.create_task(read_on(client)) for client in clients]
    await asyncio.sleep(0.5)
    for group in world.groups.values():
        for endpoint in group.endpoints.values():
            endpoint.faults.dark = endpoint.zone != "a"
    node = world.daemons[0].node
    cut_at = loop.time()
    while node.is_ready():
        await asyncio.sleep(0.01)
    assert loop.time() - cut_at < 0.8
    for reader in readers:
        reader.cancel()
    node.answer_probe()
    await asyncio.sleep(1.0)
    assert len(node.sessions) == len(clients)
    node.answer_probe()
    await asyncio.sleep(0.5)
    assert not node.sessions


def slow_down(endpoint):
    """Make pacing before an endpoint pause for longer than reads wait."""
    endpoint.admission.pacer.mean_pause = 0.6
    for level in range(3):
        endpoint.admission.pacer.record_start(
            level, asyncio.get_running_loop().time()
        )


async def count_attempts(client):
    """Return the number of attempts of a read that is refused."""
    with structlog.testing.capture_logs() as lines:
        answer = await client.query("READ item", id_="f00d")
    assert get_error(answer) == "BUSY"
    found = [line for line in lines if line.get("request") == "f00d"]
    return found[0]["attempts"]


async def test_a_refused_read_is_not_retried_endlessly(world):
    """Guards against retrying until the deadline in a saturated group.

    One endpoint of the group is leaving.
    """
    group = world.groups["g0"]
    replica = next(e for e in group.endpoints.values() if e.role == "replica")
    client = await world.connect("bounded_staleness")
    await client.query("READ item")
    world.store.register(replica, state="draining")
    members = world.daemons[0].node.directory.groups["g0"].endpoints
    async with asyncio.timeout(2.0):
        while not members[replica.name].entry.leaving:
            await asyncio.sleep(0.01)
    for endpoint in members.values():
        slow_down(endpoint)
    assert await count_attempts(client) <= 3


async def test_a_read_is_refused_where_only_a_late_endpoint_is_left(
    world, monkeypatch
):
    """Guards against retrying until the deadline where no endpoint is in time.

    The queue of one endpoint has just filled, and the others are late.
    """
    client = await world.connect("bounded_staleness")
    await client.query("READ item")
    found = world.daemons[0].node.directory.groups["g0"].endpoints
    filled, *others = found.values()

    async def refuse(work):
        raise errors.NotRun("just filled", step="admit")

    monkeypatch.setattr(filled.admission, "acquire", refuse)
    for endpoint in others:
        slow_down(endpoint)
    assert await count_attempts(client) <= 3
