"""Model of a failover while the group's plan changes.

The driver and the daemon that confirms writes hold a revision of the plan
each, and learn the following one at any time. An endpoint replicates before
any of them knows that it belongs to the group, and after it was removed.
"""

import copy
import dataclasses
import random
import typing

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
    :ivar driven: index of the driver's plan
    :ivar counted: index of the plan that the daemon confirms writes by
    """

    revisions: tuple[plans.Plan, ...] = ()
    driven: int = 0
    counted: int = 0

    def make_key(self) -> typing.Hashable:
        return super().make_key(), self.driven, self.counted

    def list_steps(
        self,
    ) -> typing.Iterator[tuple[str, failover_world.World]]:
        yield from super().list_steps()
        if self.driven + 1 < len(self.revisions):
            yield f"driver learns plan {self.driven + 2}", self._drive_next()
        if self.counted + 1 < len(self.revisions):
            yield f"daemon learns plan {self.counted + 2}", self._count_next()

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


def build_plans(*groups: str) -> tuple[plans.Plan, ...]:
    """Return a plan for each group of endpoints with one-letter names."""
    return tuple(
        builders.build_plan(
            endpoints=tuple(
                builders.build_endpoint(number, name=name)
                for number, name in enumerate(group, start=1)
            )
        )
        for group in groups
    )


def make_world(
    scope: failover_parts.Scope,
    *groups: str,
    build: failover_parts.Build | None = None,
    target: str = "",
) -> PlanWorld:
    """Return endpoints that hold the first entry of the first primary.

    :param groups: endpoints of each plan, in the order of the revisions
    :param target: endpoint that a switchover prefers
    """
    driver = failover_steps.Driver(DRIVER, highest=1, target=target)
    build = build or failover_parts.Build()
    names = sorted(set("".join(groups)))
    endpoints = {name: build.endpoint(name) for name in names}
    for endpoint in endpoints.values():
        endpoint.bootstrap(FIRST_PRIMARY)
        endpoint.accept(1, 0, endpoints[FIRST_PRIMARY].log.list_after(0))
    revisions = build_plans(*groups)
    return PlanWorld(
        build=build,
        remaining=scope,
        rules=build.rules(revisions[0], random.Random(1)),
        endpoints=endpoints,
        drivers={DRIVER: driver},
        sends={DRIVER: frozenset()},
        trackers={},
        revisions=revisions,
    )
