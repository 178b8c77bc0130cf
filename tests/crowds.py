"""Many daemons before one endpoint: what their callers get."""

import asyncio
import collections
import dataclasses
import random

from fescuestile import admission
from fescuestile import errors
from fescuestile_daemon.relay import gate

DAEMONS = 35
SLOTS = 4
QUEUE = 32
# Mean seconds of work and of the time allowed, by rank.
WORK_SECONDS = (0.0045, 0.014, 0.022)
ALLOWED_SECONDS = (0.8, 0.8, 1.5)
TARGET_SECONDS = (0.15, 0.25, 0.8)
# A caller whose work was refused comes back so many times, after this time.
RETRIES = 2
RETRY_SECONDS = 0.06
GIVE_UP_SECONDS = (1.2, 1.2, 4.0)
PATIENCE = (0.15, 0.125, 0.4)
WORTH = (3.4, 1.8, 0.45)
LATE_WORTH = (0.41, 0.27, 0.2)
# Share of the pieces of work, by rank.
MIX = (0.15, 0.7, 0.15)
# A statement that stays longer at the endpoint is given up and tried again,
# while the endpoint still works on it.
SILENCE_SECONDS = (0.075, 0.125, 0.4)
TRIP_SECONDS = 0.001
REPORT_SECONDS = 0.3
REPORT_WORK_SECONDS = 0.0005


def make_work(level, arrived):
    """Return a piece of work that arrived then."""
    deadline = arrived + PATIENCE[level]
    return gate.Work(level, f"kind-{level}", str(arrived), deadline)


class Endpoint:
    """Runs so many at a time, queues some in order, refuses the rest."""

    def __init__(self):
        self._slots = asyncio.Semaphore(SLOTS)
        self.present = 0
        self.refused = 0
        self.arrivals = 0

    async def run(self, seconds):
        """Tell whether there was room for it."""
        await asyncio.sleep(TRIP_SECONDS)
        self.arrivals += 1
        if self.present >= SLOTS + QUEUE:
            self.refused += 1
            return False
        self.present += 1
        try:
            async with self._slots:
                await asyncio.sleep(seconds)
        finally:
            self.present -= 1
        await asyncio.sleep(TRIP_SECONDS)
        return True


@dataclasses.dataclass
class Ended:
    """How one piece of work ended; seconds since the crowd began."""

    at: float
    level: int
    seconds: float
    served: bool


class Crowd:
    """Daemons that share one endpoint and know nothing of each other."""

    def __init__(self, seed=1):
        self.endpoint = Endpoint()
        self.ended: list[Ended] = []
        self._source = random.Random(seed)
        self._tasks: set[asyncio.Task[None]] = set()
        self.gates = [self._make_gate() for _ in range(DAEMONS)]

    def _make_gate(self):
        options = admission.AdmissionOptions(
            slots=SLOTS, floors=(0.1, 0.1, 0.1), initial_service=0.01
        )
        return gate.Gate(
            admission.AdmissionQueue(options),
            random.Random(self._source.random()),
        )

    async def press(self, phases):
        """Offer work.

        :param phases: pairs of seconds and of the load, 1 for what the
            endpoint can serve
        """
        loop = asyncio.get_running_loop()
        began = loop.time()
        mean = sum(
            share * work for share, work in zip(MIX, WORK_SECONDS, strict=True)
        )
        reports = [
            asyncio.create_task(self._ask_reports(entrance))
            for entrance in self.gates
        ]
        for seconds, load in phases:
            until = loop.time() + seconds
            rate = load * SLOTS / mean
            while loop.time() < until:
                await asyncio.sleep(self._source.expovariate(rate))
                self._offer(began)
        for report in reports:
            report.cancel()
        await asyncio.gather(*self._tasks)

    def _offer(self, began):
        level = self._source.choices(range(3), MIX)[0]
        seconds = WORK_SECONDS[level] * self._source.lognormvariate(-0.25, 0.7)
        entrance = self._source.choice(self.gates)
        task = asyncio.create_task(
            self._serve(entrance, level, seconds, began)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, entrance, level, seconds, began):
        loop = asyncio.get_running_loop()
        arrived = loop.time()
        served = await self._attempt(entrance, level, seconds)
        for _ in range(RETRIES):
            if served or loop.time() - arrived > GIVE_UP_SECONDS[level]:
                break
            await asyncio.sleep(RETRY_SECONDS)
            entrance = self._source.choice(self.gates)
            served = await self._attempt(entrance, level, seconds)
        now = loop.time()
        self.ended.append(Ended(now - began, level, now - arrived, served))

    async def _attempt(self, entrance, level, seconds):
        loop = asyncio.get_running_loop()
        arrived = loop.time()
        deadline = arrived + ALLOWED_SECONDS[level]
        work = make_work(level, arrived)
        while loop.time() < deadline:
            try:
                ticket = await entrance.enter(work)
            except errors.NotRun:
                return False
            served, ran = await self._run(entrance, ticket, level, seconds)
            if served:
                return True
            if not ran:
                await asyncio.sleep(0.02)
        return False

    async def _run(self, entrance, ticket, level, seconds):
        run = asyncio.ensure_future(self.endpoint.run(seconds))
        done, _ = await asyncio.wait([run], timeout=SILENCE_SECONDS[level])
        served = bool(done) and run.result()
        refused = bool(done) and not served
        entrance.leave(ticket, measured=not refused, refused=refused)
        return served, not refused

    async def _ask_reports(self, entrance):
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self._source.uniform(0, REPORT_SECONDS))
        while True:
            asked = loop.time()
            if await self.endpoint.run(REPORT_WORK_SECONDS):
                entrance.note_trip(loop.time() - asked)
            else:
                entrance.note_full()
            await asyncio.sleep(REPORT_SECONDS)

    def weigh(self, start, end):
        """Return the share of the worth that callers got."""
        got = owed = 0.0
        for each in self.ended:
            if not start <= each.at < end:
                continue
            owed += WORTH[each.level]
            on_time = each.seconds <= TARGET_SECONDS[each.level]
            if each.served:
                worth = WORTH if on_time else LATE_WORTH
                got += worth[each.level]
        return got / owed

    def measure(self, start, end):
        """Return shares served and 90th percentiles of seconds, by rank."""
        rows = collections.defaultdict(list)
        for each in self.ended:
            if start <= each.at < end:
                rows[each.level].append(each)
        shares = {}
        slow = {}
        for level, found in rows.items():
            served = sorted(each.seconds for each in found if each.served)
            shares[level] = len(served) / len(found)
            slow[level] = served[int(len(served) * 0.9)] if served else 9.9
        return shares, slow
