"""Model of a failover while the group's plan changes.

The driver and the daemon that confirms writes hold a revision of the plan
each, and learn the following one at any time after it was accepted. Some
daemon knows each accepted revision and has any primary record it. An endpoint
replicates before any of them knows that it belongs to the group, and after it
was removed.
"""

import copy
import dataclasses
import itertools
import random
import typing

from fescuestile import endpoint_messages
from fescuestile import failover_steps
from fescuestile import plans
from tests import builders
from tests.model_check import failover_parts
from tests.model_check import failover_world

FIRST_PRIMARY = "a"
DRIVER = "d1"


@dataclasses.dataclass
class PlanWorld(failover_world.World):
    """State of the model with one driver.

    :ivar revisions: plans in the order in which they came into force
    :ivar recorded: index of the last plan that primaries record
    :ivar accepted: index of the plan that was accepted last
    :ivar driven: index of the driver's plan
    :ivar counted: index of the plan that the daemon confirms writes by
    """

    revisions: tuple[plans.Plan, ...] = ()
    recorded: int = 0
    accepted: int = 0
    driven: int = 0
    counted: int = 0

    def make_key(self) -> typing.Hashable:
        return super().make_key(), self.accepted, self.driven, self.counted

    def list_steps(
        self,
    ) -> typing.Iterator[tuple[str, failover_world.World]]:
        if self._is_over():
            return
        steps = itertools.chain(super().list_steps(), self._list_records())
        for label, world in steps:
            assert isinstance(world, PlanWorld)
            world.accept_plans()
            yield label, world
        if self.driven < self.accepted and self._is_fencing():
            yield f"driver learns plan {self.driven + 2}", self._drive_next()
        if self.counted < self.accepted and self._may_count():
            yield f"daemon learns plan {self.counted + 2}", self._count_next()

    def accept_plans(self) -> None:
        """Accept each plan as soon as the one before it is recorded.

        It is learnt at any time later.
        """
        while self.accepted + 1 < len(self.revisions) and self._is_recorded():
            self.accepted += 1

    def _list_starts(
        self,
    ) -> typing.Iterator[tuple[str, failover_world.World]]:
        """Start an attempt with any accepted plan that the driver may know."""
        world = self
        while True:
            for label, started in super(PlanWorld, world)._list_starts():
                yield f"{label} by plan {world.driven + 1}", started
            if world.driven == world.accepted or world._is_fencing():
                return
            world = world._drive_next()

    def _is_fencing(self) -> bool:
        fencing = failover_steps.Step.FENCING
        return self.drivers[DRIVER].step is fencing

    def _may_count(self) -> bool:
        undecided = set(self.written) - self.acknowledged - self.replaced
        return bool(self.remaining.writes or undecided)

    def _is_over(self) -> bool:
        """Return whether no further step can lead to a violation."""
        return not self._may_count() and self._has_failed_over()

    def _has_failed_over(self) -> bool:
        promoting = failover_steps.Step.PROMOTING
        driving = self._is_fencing() or (
            self.drivers[DRIVER].step is promoting
        )
        return not self.remaining.attempts and not driving

    def _is_recorded(self) -> bool:
        reports = {name: e.report() for name, e in self.endpoints.items()}
        return self.build.is_recorded(self.revisions[self.accepted], reports)

    def _list_records(
        self,
    ) -> typing.Iterator[tuple[str, failover_world.World]]:
        """Record plans at any primary, until the last failover has ended."""
        if self._has_failed_over():
            return
        for name, endpoint in self.endpoints.items():
            if endpoint.role is not endpoint_messages.Role.PRIMARY:
                continue
            last = min(self.accepted, self.recorded)
            for number in range(endpoint.store.revision + 1, last + 1):
                world = self.copy(name)
                world.endpoints[name].record_revision(endpoint.term, number)
                world.sample(name)
                yield f"{name} records plan {number + 1}", world

    def _drive_next(self) -> "PlanWorld":
        world = self.copy()
        world.driven += 1
        world.rules = copy.copy(self.rules)
        world.rules.plan = world.revisions[world.driven]
        driver = world.drivers[DRIVER]
        if driver.step is failover_steps.Step.FENCING:
            commands = world.rules._list_commands(driver)
            world.sends[DRIVER] |= frozenset(commands)
        return world

    def _count_next(self) -> "PlanWorld":
        world = self.copy()
        world.counted += 1
        plan = world.revisions[world.counted]
        for term, tracker in self.trackers.items():
            world.trackers[term] = copy.copy(tracker)
            world.trackers[term].set_plan(plan)
        for name in world.endpoints:
            world.sample(name)
        return world

    def make_tracker(self):
        return self.build.tracker(self.revisions[self.counted])


def advance(world: PlanWorld, *labels: str) -> PlanWorld:
    """Return the world after steps whose labels begin with the given ones."""
    for label in labels:
        following = next(
            reached
            for name, reached in world.list_steps()
            if name.startswith(label)
        )
        assert isinstance(following, PlanWorld)
        world = following
    return world


def build_plans(*groups: str) -> tuple[plans.Plan, ...]:
    """Return a plan for each group of endpoints with one-letter names."""
    return tuple(
        builders.build_plan(
            endpoints=tuple(
                builders.build_endpoint(number, name=name)
                for number, name in enumerate(group, start=1)
            ),
            endpoints_revision=revision,
        )
        for revision, group in enumerate(groups)
    )


def make_world(
    scope: failover_parts.Scope,
    *groups: str,
    build: failover_parts.Build | None = None,
    target: str = "",
    recorded: int | None = None,
) -> PlanWorld:
    """Return endpoints that hold the first entry of the first primary.

    :param groups: endpoints of each plan, in the order of the revisions
    :param target: endpoint that a switchover prefers
    :param recorded: index of the last plan that primaries record; by default
        that before the last, since no further change waits for the last
    """
    driver = failover_steps.Driver(DRIVER, highest=1, target=target)
    build = build or failover_parts.Build()
    names = sorted(set("".join(groups)))
    endpoints = {name: build.endpoint(name) for name in names}
    for endpoint in endpoints.values():
        endpoint.bootstrap(FIRST_PRIMARY)
        endpoint.accept(1, 0, endpoints[FIRST_PRIMARY].log.list_after(0))
    revisions = build_plans(*groups)
    world = PlanWorld(
        build=build,
        remaining=scope,
        rules=build.rules(revisions[0], random.Random(1)),
        endpoints=endpoints,
        drivers={DRIVER: driver},
        sends={DRIVER: frozenset()},
        trackers={},
        revisions=revisions,
        recorded=len(revisions) - 2 if recorded is None else recorded,
    )
    world.accept_plans()
    return world
