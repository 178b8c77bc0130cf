"""Simulation of many daemons that share one endpoint.

It measures which share of the callers' requests is served, and how soon.
"""

import asyncio
import collections
import dataclasses
import random

from fescuestile import admission
from fescuestile import errors
from fescuestile_daemon.relay.endpoints import admission_controller

DAEMONS = 35
SLOTS = 4
QUEUE_LIMIT = 32
# By rank, as are the other tuples: mean service time, the time after which
# an attempt is not repeated by the daemon, and the target response time.
SERVICE_SECONDS = (0.0045, 0.014, 0.022)
TIMEOUT_SECONDS = (0.8, 0.8, 1.5)
TARGET_SECONDS = (0.15, 0.25, 0.8)
# Retries of a caller whose work was refused, and the delay before each.
RETRIES = 2
RETRY_SECONDS = 0.06
# No retry is made later than this after the request arrived.
RETRY_WINDOW_SECONDS = (1.2, 1.2, 4.0)
QUEUE_TIMEOUT_SECONDS = (0.15, 0.125, 0.4)
# Value of a request served within its target, and of one served later.
VALUES = (3.4, 1.8, 0.45)
LATE_VALUES = (0.41, 0.27, 0.2)
# Share of the requests.
RANK_SHARES = (0.15, 0.7, 0.15)
# A statement without a response for this long is abandoned and sent again,
# while the endpoint continues to execute it.
RESPONSE_TIMEOUT_SECONDS = (0.075, 0.125, 0.4)
ONE_WAY_SECONDS = 0.001
REPORT_INTERVAL_SECONDS = 0.3
REPORT_SERVICE_SECONDS = 0.0005


def make_work(level, arrived_at):
    """Return a work item that arrived at a time."""
    deadline = arrived_at + QUEUE_TIMEOUT_SECONDS[level]
    return admission_controller.Work(
        level, f"kind-{level}", str(arrived_at), deadline
    )


class Endpoint:
    """Runs SLOTS statements at a time and queues QUEUE_LIMIT in order.

    It refuses any further statements.
    """

    def __init__(self):
        self._slots = asyncio.Semaphore(SLOTS)
        self.in_flight = 0
        self.refused = 0
        self.arrivals = 0

    async def run(self, seconds):
        """Run a statement; return False if it was refused."""
        await asyncio.sleep(ONE_WAY_SECONDS)
        self.arrivals += 1
        if self.in_flight >= SLOTS + QUEUE_LIMIT:
            self.refused += 1
            return False
        self.in_flight += 1
        try:
            async with self._slots:
                await asyncio.sleep(seconds)
        finally:
            self.in_flight -= 1
        await asyncio.sleep(ONE_WAY_SECONDS)
        return True


@dataclasses.dataclass
class Outcome:
    """Outcome of one request; ``at`` counts from the start of the load."""

    at: float
    level: int
    seconds: float
    served: bool


class DaemonFleet:
    """Daemons that share one endpoint without knowing of each other."""

    def __init__(self, seed=1):
        self.endpoint = Endpoint()
        self.outcomes: list[Outcome] = []
        self._source = random.Random(seed)
        self._tasks: set[asyncio.Task[None]] = set()
        self.controllers = [self._make_controller() for _ in range(DAEMONS)]

    def _make_controller(self):
        options = admission.AdmissionOptions(
            slots=SLOTS, floors=(0.1, 0.1, 0.1), initial_service=0.01
        )
        return admission_controller.AdmissionController(
            admission.AdmissionQueue(options),
            random.Random(self._source.random()),
        )

    async def apply_load(self, phases):
        """Send requests at random times and wait until all have ended.

        :param phases: pairs of a duration in seconds and a load, relative
            to the capacity of the endpoint
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        mean = sum(
            share * work
            for share, work in zip(RANK_SHARES, SERVICE_SECONDS, strict=True)
        )
        reports = [
            asyncio.create_task(self._request_reports(controller))
            for controller in self.controllers
        ]
        for seconds, load in phases:
            until = loop.time() + seconds
            rate = load * SLOTS / mean
            while loop.time() < until:
                await asyncio.sleep(self._source.expovariate(rate))
                self._start_request(started_at)
        for report in reports:
            report.cancel()
        await asyncio.gather(*self._tasks)

    def _start_request(self, started_at):
        level = self._source.choices(range(3), RANK_SHARES)[0]
        seconds = SERVICE_SECONDS[level] * self._source.lognormvariate(
            -0.25, 0.7
        )
        controller = self._source.choice(self.controllers)
        task = asyncio.create_task(
            self._serve(controller, level, seconds, started_at)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, controller, level, seconds, started_at):
        loop = asyncio.get_running_loop()
        arrived_at = loop.time()
        served = await self._attempt(controller, level, seconds)
        for _ in range(RETRIES):
            if (
                served
                or loop.time() - arrived_at > RETRY_WINDOW_SECONDS[level]
            ):
                break
            await asyncio.sleep(RETRY_SECONDS)
            controller = self._source.choice(self.controllers)
            served = await self._attempt(controller, level, seconds)
        now = loop.time()
        self.outcomes.append(
            Outcome(now - started_at, level, now - arrived_at, served)
        )

    async def _attempt(self, controller, level, seconds):
        loop = asyncio.get_running_loop()
        arrived_at = loop.time()
        deadline = arrived_at + TIMEOUT_SECONDS[level]
        work = make_work(level, arrived_at)
        while loop.time() < deadline:
            try:
                ticket = await controller.acquire(work)
            except errors.NotRun:
                return False
            served, ran = await self._run(controller, ticket, level, seconds)
            if served:
                return True
            if not ran:
                await asyncio.sleep(0.02)
        return False

    async def _run(self, controller, ticket, level, seconds):
        run = asyncio.ensure_future(self.endpoint.run(seconds))
        done, _ = await asyncio.wait(
            [run], timeout=RESPONSE_TIMEOUT_SECONDS[level]
        )
        served = bool(done) and run.result()
        refused = bool(done) and not served
        controller.release(ticket, measured=not refused, refused=refused)
        return served, not refused

    async def _request_reports(self, controller):
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self._source.uniform(0, REPORT_INTERVAL_SECONDS))
        while True:
            requested_at = loop.time()
            if await self.endpoint.run(REPORT_SERVICE_SECONDS):
                controller.record_round_trip(loop.time() - requested_at)
            else:
                controller.record_refusal()
            await asyncio.sleep(REPORT_INTERVAL_SECONDS)

    def measure_value(self, start, end):
        """Return the value served as a share of the value requested.

        :param start: seconds since the load began
        :param end: seconds since the load began
        """
        earned = possible = 0.0
        for each in self.outcomes:
            if not start <= each.at < end:
                continue
            possible += VALUES[each.level]
            on_time = each.seconds <= TARGET_SECONDS[each.level]
            if each.served:
                values = VALUES if on_time else LATE_VALUES
                earned += values[each.level]
        return earned / possible

    def measure(self, start, end):
        """Return shares served and 90th percentiles of seconds, by rank.

        :param start: seconds since the load began
        :param end: seconds since the load began
        """
        rows = collections.defaultdict(list)
        for each in self.outcomes:
            if start <= each.at < end:
                rows[each.level].append(each)
        shares = {}
        slow = {}
        for level, found in rows.items():
            served = sorted(each.seconds for each in found if each.served)
            shares[level] = len(served) / len(found)
            slow[level] = served[int(len(served) * 0.9)] if served else 9.9
        return shares, slow
