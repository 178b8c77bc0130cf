"""Planned switchovers in which another endpoint overtakes the target."""

import asyncio
import random
import types
import typing

import expression
import pytest

from fescuestile import endpoint_messages
from fescuestile import errors
from fescuestile import failover
from fescuestile import failover_steps
from fescuestile_daemon import switchovers
from tests import builders

PLAN = builders.build_plan()
NAMES = tuple(PLAN.endpoint_by_name)


class ScriptedSwitchovers(switchovers.Switchovers):
    """Ends each attempt with the next primary of a list."""

    def __init__(self, *promoted):
        runner: typing.Any = types.SimpleNamespace(
            on_published=[], on_abandoned=[]
        )
        links: typing.Any = types.SimpleNamespace(
            add_handler=lambda kind, handler: None
        )
        unused: typing.Any = None
        super().__init__(runner, unused, links, unused)
        self._promoted = list(promoted)

    async def switch_over(self, database, target):
        primary = self._promoted.pop(0)
        return expression.Ok(failover_steps.Publish(2, primary))


async def test_a_switchover_is_retried_while_writes_overtake_its_target():
    service = ScriptedSwitchovers("other", "target")
    outcome = await service.switch_over_with_retries(
        "db", "target", "change-1"
    )
    assert outcome.ok.primary == "target"


async def test_a_switchover_that_always_fails_names_the_promoted_endpoints():
    service = ScriptedSwitchovers("a", "b", "a")
    outcome = await service.switch_over_with_retries(
        "db", "target", "change-1"
    )
    assert outcome.is_error()
    assert "a, b, a" in outcome.error.message


def build_service(runner: typing.Any) -> switchovers.Switchovers:
    """Return a service that watches the group by a runner."""
    links: typing.Any = types.SimpleNamespace(
        add_handler=lambda kind, handler: None
    )
    snapshot = types.SimpleNamespace(plan=PLAN, primary=NAMES[0], term=1)
    snapshots: typing.Any = {PLAN.database: snapshot}
    unused: typing.Any = None
    return switchovers.Switchovers(runner, snapshots, links, unused)


class DriverRunner:
    """Runs the rules of one driver and hands its results to the service."""

    def __init__(self):
        self.on_published = []
        self.on_abandoned = []
        self.rules = failover.FailoverRules(PLAN, random.Random(1))
        self.driver = failover_steps.Driver("d1", highest=1)

    def is_watching(self, database):
        return True

    def request_switchover(self, database, target):
        event = failover_steps.SwitchoverRequested(target)
        asyncio.get_running_loop().call_soon(self.advance, event, 0.0)

    def advance(self, event, now):
        """Apply an event and report how an attempt ended."""
        self.driver, actions = self.rules.advance(self.driver, event, now)
        for action in actions:
            listeners = []
            if isinstance(action, failover_steps.Publish):
                listeners = self.on_published
            elif isinstance(action, failover_steps.Abandon):
                listeners = self.on_abandoned
            for listener in listeners:
                listener(PLAN.database, action)

    def grant(self, term, now):
        """Let all endpoints promise a term with equal logs."""
        for number in (1, 2, 3):
            report = builders.build_report(number, term=term)
            self.advance(failover_steps.FenceReplied(term, report), now)


async def settle():
    for _ in range(5):
        await asyncio.sleep(0)


@pytest.mark.parametrize("refused", [False, True])
async def test_a_switchover_that_may_take_effect_late_is_in_doubt(refused):
    """Guards against "not run" for a promotion that was ordered.

    Its command is under way, or a copy of it took effect before a later term.
    """
    runner = DriverRunner()
    service = build_service(runner)
    task = asyncio.create_task(service.switch_over(PLAN.database, NAMES[2]))
    await settle()
    runner.advance(failover_steps.TargetCaughtUp(), 0.1)
    runner.grant(2, 0.2)
    assert runner.driver.step is failover_steps.Step.PROMOTING
    event: failover_steps.Event = failover_steps.Ticked()
    if refused:
        report = builders.build_report(
            3, term=3, verdict=endpoint_messages.Verdict.TERM_REFUSED
        )
        event = failover_steps.PromoteReplied(2, report)
    runner.advance(event, 1.0)
    outcome = await task
    assert isinstance(outcome.error, errors.UnknownOutcome)


async def test_an_earlier_attempt_does_not_end_a_switchover():
    """Guards against "not run" for a switchover that then goes on.

    The end of a failover is reported while the request is under way.
    """
    runner = DriverRunner()
    service = build_service(runner)
    task = asyncio.create_task(service.switch_over(PLAN.database, NAMES[2]))
    await asyncio.sleep(0)
    runner.driver, _ = runner.rules.start_fencing(runner.driver, 0.0)
    runner.advance(failover_steps.Ticked(), 1.0)
    await settle()
    assert runner.driver.step is failover_steps.Step.CATCHING_UP
    assert not task.done()
    runner.advance(failover_steps.TargetCaughtUp(), 1.1)
    runner.grant(3, 1.2)
    report = builders.build_report(3, term=3)
    runner.advance(failover_steps.PromoteReplied(3, report), 1.3)
    outcome = await task
    assert (outcome.ok.term, outcome.ok.primary) == (3, NAMES[2])
