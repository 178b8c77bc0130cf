"""Seeded model of failovers whose commands take effect late.

It runs the real endpoints, drivers and tracker in simulated time. Commands
and answers take up to several seconds, also after their driver has given up
or died; drivers pause; endpoints restart without their state, one at a time;
primaries are suspected without a reason; switchovers run in between.
"""

import collections.abc
import dataclasses
import heapq
import random
import typing

from fescuestile import confirmation
from fescuestile import endpoint_messages
from fescuestile import failover
from fescuestile import failover_steps
from fescuestile import plans
from fescuestile import positions
from fescuestile_standins import endpoint_log
from fescuestile_standins import endpoint_state
from fescuestile_standins import rejoining
from tests import builders

Role = endpoint_messages.Role
Event = failover_steps.Event
END_SECONDS = 60.0
TICK_SECONDS = 0.1
MAX_DELAY_SECONDS = 12.0
DRIVERS = 2


class BrokenRule(Exception):
    """An acknowledged write is missing, or a term has two primaries."""


@dataclasses.dataclass(frozen=True)
class Build:
    """Code under check; each injected bug replaces a part of it."""

    endpoint: type[endpoint_state.EndpointState] = endpoint_state.EndpointState
    quarantine_seconds: float = rejoining.QUARANTINE_SECONDS
    drivers_keep_ids: bool = False


class LateWorld:
    """Endpoints, drivers and messages of one group.

    :ivar slow: endpoints whose messages mostly take seconds
    :ivar promoted: promoted endpoint, by term
    :ivar late: promotions that took effect after their driver's attempt
    :ivar restarts: losses of state
    """

    def __init__(self, seed: int, size: int, build: Build) -> None:
        self.random = random.Random(seed)
        self.build = build
        endpoints = tuple(
            builders.build_endpoint(number) for number in range(1, size + 1)
        )
        self.plan: plans.Plan = builders.build_plan(endpoints=endpoints)
        self.names = tuple(self.plan.endpoint_by_name)
        self.rules = failover.FailoverRules(self.plan, self.random)
        self.slow: list[str] = []
        self.now = 0.0
        self.endpoints = {name: build.endpoint(name) for name in self.names}
        for endpoint in self.endpoints.values():
            endpoint.bootstrap(self.names[0])
        self.drivers = [
            failover_steps.Driver(f"d{number}") for number in range(DRIVERS)
        ]
        self.started = DRIVERS
        self.paused_until: dict[str, float] = {}
        self.trackers: dict[int, confirmation.ConfirmationTracker] = {}
        self.pending: set[positions.Position] = set()
        self.acknowledged: set[positions.Position] = set()
        self.promoted = {1: self.names[0]}
        self.late = 0
        self.restarts = 0
        self._queue: list[
            tuple[float, int, collections.abc.Callable[[], None]]
        ] = []
        self._sent = 0

    def run(self) -> None:
        """Run until the end of the simulated time."""
        while self.now < END_SECONDS:
            self._after(TICK_SECONDS, lambda: None)
            due = self.now + TICK_SECONDS
            while self._queue and self._queue[0][0] <= due:
                self.now, _, act = heapq.heappop(self._queue)
                act()
            self.now = due
            self._work()
            for index in range(DRIVERS):
                self._drive(index)
            self._restart()

    def _after(
        self, seconds: float, act: collections.abc.Callable[[], None]
    ) -> None:
        self._sent += 1
        heapq.heappush(self._queue, (self.now + seconds, self._sent, act))

    def _choose_delay(self, name: str) -> float:
        share = 0.9 if name in self.slow else 0.05
        if self.random.random() > share:
            return self.random.uniform(0.001, 0.05)
        return self.random.uniform(0.05, MAX_DELAY_SECONDS)

    def _work(self) -> None:
        """Write, replicate and confirm."""
        if self.random.random() < 0.05:
            count = self.random.randrange(len(self.names))
            self.slow = self.random.sample(self.names, count)
        for name in self.random.sample(self.names, len(self.names)):
            endpoint = self.endpoints[name]
            if endpoint.role is Role.PRIMARY and self.random.random() < 0.3:
                self.pending.add(endpoint.write({}, []))
            elif endpoint.primary and self.random.random() < 0.5:
                self._replicate(endpoint)
            self._sample(endpoint)

    def _replicate(self, replica: endpoint_state.EndpointState) -> None:
        primary = self.endpoints[replica.primary]
        if not primary.serves_replica(replica.term):
            return
        after = endpoint_log.find_common_index(
            primary.log.history, replica.log.history
        )
        replica.accept(primary.term, after, primary.log.list_after(after, 5))

    def _sample(self, endpoint: endpoint_state.EndpointState) -> None:
        report = endpoint.report()
        tracker = self.trackers.setdefault(
            report.term, confirmation.ConfirmationTracker(self.plan)
        )
        if not tracker.observe(report):
            return
        newest = max(self.promoted)
        held = _list_positions(self.endpoints[self.promoted[newest]])
        for position in sorted(self.pending):
            state = tracker.find_state(position)
            if state is not confirmation.WriteState.CONFIRMED:
                continue
            self.pending.discard(position)
            self.acknowledged.add(position)
            if position.term < newest and position not in held:
                raise BrokenRule(f"a former primary confirmed {position}")

    def _drive(self, index: int) -> None:
        driver = self.drivers[index]
        if self.now < self.paused_until.get(driver.id, 0.0):
            return
        if self.random.random() < self._find_pause_share(driver):
            pause = self.random.uniform(0.1, MAX_DELAY_SECONDS)
            self.paused_until[driver.id] = self.now + pause
            return
        for name in self.names:
            if self.random.random() < 0.3:
                report = self.endpoints[name].report()
                self._advance(driver.id, failover_steps.ReportReceived(report))
        if self.random.random() < 0.01:
            # The process is started again, its messages are under way.
            id_ = f"d{self.started}"
            if self.build.drivers_keep_ids:
                id_ = driver.id
            self.drivers[index] = failover_steps.Driver(id_)
            self.started += 1
            return
        newest = max(self.promoted)
        primary = self.endpoints[self.promoted[newest]]
        serves = primary.role is Role.PRIMARY and primary.term == newest
        if self.random.random() < (0.02 if serves else 0.2):
            self._advance(
                driver.id,
                failover_steps.PrimarySuspected(index, primary.name),
            )
        elif serves and self.random.random() < 0.01:
            target = self.random.choice(self.names)
            self._advance(
                driver.id, failover_steps.SwitchoverRequested(target)
            )
        self._check_target(driver.id, primary)
        self._advance(driver.id, failover_steps.Ticked())
        if driver.step is failover_steps.Step.IDLE:
            reports = {n: e.report() for n, e in self.endpoints.items()}
            for action in failover.find_missing_follows(self.plan, reports):
                self._send(driver.id, action)

    def _find_pause_share(self, driver: failover_steps.Driver) -> float:
        """Return how often a driver pauses; a pause in a fence tells most."""
        fences = driver.step is failover_steps.Step.FENCING
        return 0.1 if fences else 0.005

    def _check_target(
        self, id_: str, primary: endpoint_state.EndpointState
    ) -> None:
        driver = next(each for each in self.drivers if each.id == id_)
        target = self.endpoints.get(driver.target)
        if target is not None and failover.has_caught_up(
            primary.report(), target.report()
        ):
            self._advance(id_, failover_steps.TargetCaughtUp())

    def _advance(self, id_: str, event: Event) -> None:
        paused_until = self.paused_until.get(id_, 0.0)
        if self.now < paused_until:
            # Messages of a paused process wait in its buffers.
            self._after(
                paused_until - self.now, lambda: self._advance(id_, event)
            )
            return
        for index, driver in enumerate(self.drivers):
            if driver.id != id_:
                continue
            self.drivers[index], actions = self.rules.advance(
                driver, event, self.now
            )
            for action in actions:
                self._send(id_, action)

    def _send(self, id_: str, action: failover_steps.Action) -> None:
        if isinstance(action, failover_steps.Publish | failover_steps.Abandon):
            return
        delay = self._choose_delay(action.endpoint)
        self._after(delay, lambda: self._deliver(id_, action))

    def _deliver(self, id_: str, action: typing.Any) -> None:
        endpoint = self.endpoints[action.endpoint]
        event: Event
        match action:
            case failover_steps.SendFence():
                verdict = endpoint.fence(action.term, id_, self.now)
                report = endpoint.report(0, verdict)
                event = failover_steps.FenceReplied(action.term, report)
            case failover_steps.SendPromote():
                before = endpoint.role
                verdict = endpoint.promote(action.term, id_, self.now)
                report = endpoint.report(0, verdict)
                event = failover_steps.PromoteReplied(action.term, report)
                if (before, endpoint.role) == (Role.FENCED, Role.PRIMARY):
                    self._record_promotion(id_, endpoint)
            case _:
                verdict = endpoint.follow(action.term, action.primary)
                report = endpoint.report(0, verdict)
                event = failover_steps.FollowReplied(action.term, report)
        delay = self._choose_delay(endpoint.name)
        self._after(delay, lambda: self._advance(id_, event))

    def _record_promotion(
        self, id_: str, endpoint: endpoint_state.EndpointState
    ) -> None:
        term = endpoint.term
        if term in self.promoted:
            raise BrokenRule(f"{endpoint.name} is a second primary of {term}")
        newest = max(self.promoted)
        self.promoted[term] = endpoint.name
        self.late += not any(
            (driver.id, driver.term) == (id_, term)
            and driver.step is failover_steps.Step.PROMOTING
            for driver in self.drivers
        )
        missing = {
            position for position in self.acknowledged if position.term < term
        } - _list_positions(endpoint)
        if term > newest and missing:
            raise BrokenRule(f"{endpoint.name} lacks {sorted(missing)}")

    def _restart(self) -> None:
        """Let an endpoint lose its state while all others have theirs."""
        roles = {endpoint.role for endpoint in self.endpoints.values()}
        name = self.random.choice(self.names)
        # A promise that is forgotten tells most.
        share = 0.2 if self.endpoints[name].role is Role.FENCED else 0.01
        if Role.REJOINING in roles or self.random.random() > share:
            return
        self.restarts += 1
        self.endpoints[name] = self.build.endpoint(name)
        self._after(self.build.quarantine_seconds, lambda: self._rejoin(name))

    def _rejoin(self, name: str) -> None:
        """Ask the others, some of whom answer, and look at the own log."""
        others = [each for each in self.names if each != name]
        count = self.random.randint(len(others) // 2, len(others))
        reports = [
            self.endpoints[each].report()
            for each in self.random.sample(others, count)
        ]
        self._after(
            self.random.uniform(0, 0.5), lambda: self._finish(name, reports)
        )

    def _finish(
        self, name: str, reports: list[endpoint_messages.Report]
    ) -> None:
        endpoint = self.endpoints[name]
        if rejoining.may_rejoin(endpoint.report(), reports, len(self.names)):
            endpoint.rejoin()
        else:
            self._after(0.2, lambda: self._rejoin(name))


def _list_positions(
    endpoint: endpoint_state.EndpointState,
) -> set[positions.Position]:
    return {entry.position for entry in endpoint.log}


def play(seed: int, size: int = 3, build: Build | None = None) -> LateWorld:
    """Return the world at the end of a run.

    :raises BrokenRule: an acknowledged write was lost
    """
    world = LateWorld(seed, size, build or Build())
    world.run()
    return world
