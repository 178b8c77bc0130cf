"""Endpoints whose concurrency a gateway limits, and the reads they get."""

import asyncio
import collections
import random
import time
import typing

import pytest
import structlog.testing

from fescuestile import clock
from fescuestile import errors
from fescuestile_daemon.relay.core import events
from fescuestile_daemon.relay.core import messages
from fescuestile_daemon.relay.core import options
from fescuestile_daemon.relay.core import ports
from fescuestile_daemon.relay.endpoints import admission_controller
from fescuestile_daemon.relay.endpoints import endpoint_states
from fescuestile_daemon.relay.endpoints import pool
from fescuestile_daemon.relay.statements import choice
from tests import virtual_time

SLOTS = 4
SERVICE_SECONDS = 0.012
READS_PER_SECOND = 100


class NoDialer(ports.Dialer):
    async def dial(self, entry, tenant=""):
        raise NotImplementedError


@pytest.fixture(autouse=True)
def idle_connections(monkeypatch):
    """Let each pool have a free connection."""
    monkeypatch.setattr(
        pool.ConnectionPool, "has_idle_for", lambda self, tenant: True
    )


def build_endpoint(name="r1", retaining=True):
    endpoint = endpoint_states.EndpointState(
        messages.EndpointEntry(
            name, "g", "127.0.0.1:1", "a", SLOTS, False, False, 0
        ),
        NoDialer(),
        options.RelayOptions(),
        4,
        clock.BootClock(),
    )
    endpoint.pool.is_retaining = retaining
    endpoint.record_connection_usage(0.1)
    return endpoint


class Pending:
    """Read of one rank at a group."""

    def __init__(self, group, level):
        self.group = group
        self.tried = set()
        self.work = admission_controller.Work(
            level, "kind", "caller", time.monotonic() + 0.25
        )

    def describe_work(self, endpoint):
        return self.work


class Group:
    """Two replicas beside a primary; some are slow or fail."""

    def __init__(self):
        self.endpoints = {
            name: build_endpoint(name) for name in ("p", "r1", "r2")
        }
        self.running: collections.Counter[str] = collections.Counter()
        self.served: collections.Counter[str] = collections.Counter()
        self.seconds = {}
        self.good_slots = {}
        self.fails = {}
        self.waits = collections.defaultdict(list)
        self._chooser = choice.EndpointChooser(options.RelayOptions(), "a")
        self._source = random.Random(1)

    def find_primary(self):
        return self.endpoints["p"]

    def list_candidates(self):
        return list(self.endpoints.values())

    async def read(self, level):
        pending: typing.Any = Pending(self, level)
        endpoint = self._chooser.choose(pending, None)
        if endpoint is None:
            return
        began = time.monotonic()
        try:
            ticket = await endpoint.admission.acquire(pending.work)
        except errors.NotRun:
            return
        self.waits[endpoint.name, level].append(time.monotonic() - began)
        name = endpoint.name
        self.served[name] += 1
        self.running[name] += 1
        slots = self.good_slots.get(name, SLOTS)
        seconds = self.seconds.get(name, SERVICE_SECONDS)
        started = time.monotonic()
        failed = self._source.random() < self.fails.get(name, 0.0)
        slowdown = max(1.0, self.running[name] / slots) ** 2
        await asyncio.sleep(0.001 if failed else seconds * slowdown)
        self.running[name] -= 1
        endpoint.admission.release(ticket, measured=not failed, ok=not failed)
        if failed:
            endpoint.record_answer()
            endpoint.record_failure()
        else:
            endpoint.record_answer(time.monotonic() - started)

    async def read_for(self, seconds, rate=READS_PER_SECOND):
        """Return the reads that each endpoint got meanwhile."""
        before = self.served.copy()
        tasks = []
        for turn in range(int(seconds * rate)):
            tasks.append(asyncio.create_task(self.read(turn % 3)))
            await asyncio.sleep(1 / rate)
        await asyncio.gather(*tasks)
        return self.served - before


@pytest.fixture
def run(monkeypatch):
    """Run a coroutine function with a group in virtual time."""

    def run_group(play):
        async def main():
            group = Group()
            return group, await play(group)

        return virtual_time.run(main(), monkeypatch)

    return run_group


def test_an_endpoint_with_a_lowered_limit_gets_less(run):
    """Guards against equal shares for unequal limits."""

    async def play(group):
        for _ in range(SLOTS):
            group.endpoints["r1"].admission.queue.record_congestion()
        await asyncio.gather(*(group.read(1) for _ in range(SLOTS + 1)))

    group, _ = run(play)
    assert group.served["r1"] == 1
    assert group.served["r2"] == SLOTS


def test_urgent_reads_are_first_at_endpoints_that_slow_down(run):
    """Guards against urgent reads that wait where others already run."""

    async def play(group):
        group.good_slots = {"r1": 1, "r2": 2, "p": 1}
        await group.read_for(4.0, rate=300)
        return await group.read_for(4.0, rate=300)

    group, served = run(play)
    assert served["r1"] < 0.8 * served["r2"]
    urgent, late = (
        sum(sum(group.waits[name, level]) for name in group.endpoints)
        / sum(len(group.waits[name, level]) for name in group.endpoints)
        for level in (0, 2)
    )
    assert urgent < 0.3 * late


def test_a_failing_endpoint_gets_little(run):
    """Guards against quick failures that attract reads."""

    async def play(group):
        group.fails["r1"] = 0.4
        await group.read_for(2.0)
        return await group.read_for(10.0)

    _, served = run(play)
    assert served["r1"] < 0.1 * sum(served.values())


@pytest.mark.parametrize("fault", ["slow", "fails"])
def test_a_recovered_endpoint_is_back_within_two_seconds(run, fault):
    """Guards against an endpoint that is avoided for what it once did."""

    async def play(group):
        group.seconds["r2"] = 2 * SERVICE_SECONDS
        group.seconds["r1"] = 8 * SERVICE_SECONDS
        group.fails["r1"] = 0.9 * (fault == "fails")
        await group.read_for(6.0)
        group.seconds["r1"] = SERVICE_SECONDS
        group.fails["r1"] = 0.0
        await group.read_for(2.0)
        return await group.read_for(2.0)

    _, served = run(play)
    assert served["r1"] > 0.3 * sum(served.values())


def test_refusals_and_late_reports_lower_the_limit_before_they_pace():
    """Guards against two mechanisms that each answer the same refusal."""

    async def main():
        endpoint = build_endpoint()
        admission = endpoint.admission
        endpoint.record_round_trip(0.002, True)
        endpoint.record_round_trip(0.1, True)
        endpoint.record_round_trip(0.1, False)
        admission.record_refusal()
        assert (admission.queue.limit, admission.pacer.mean_pause) == (1, 0.0)
        admission.record_refusal()
        assert admission.queue.limit == 1
        assert admission.pacer.mean_pause > 0

    asyncio.run(main())


def test_elsewhere_refusals_pace_as_before():
    """Guards against a daemon without a gateway's part that is limited."""

    async def main():
        endpoint = build_endpoint(retaining=False)
        endpoint.admission.record_refusal()
        assert endpoint.admission.queue.limit == SLOTS
        assert endpoint.admission.pacer.mean_pause > 0
        endpoint.pool.is_retaining = True
        endpoint.record_connection_usage(0.1)
        endpoint.admission.record_refusal()
        assert endpoint.admission.queue.limit == SLOTS - 1

    asyncio.run(main())


def test_large_changes_are_logged_once_a_second():
    """Guards against a line for each probe."""
    limits = events.LimitEvents("r1")
    with structlog.testing.capture_logs() as lines:
        for at, limit in ((0, 3), (1, 2), (1.5, 4), (2.1, 4), (9, 3)):
            limits.record(limit, SLOTS, at)
    assert [(line["before"], line["limit"]) for line in lines] == [
        (4, 2),
        (2, 4),
    ]
