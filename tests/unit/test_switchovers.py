"""Planned switchovers in which another endpoint overtakes the target."""

import types
import typing

import expression

from fescuestile import failover_steps
from fescuestile_daemon import switchovers


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
