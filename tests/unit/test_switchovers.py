"""Planned switchovers that another endpoint gets ahead of."""

import types
import typing

import expression

from fescuestile import failover_steps
from fescuestile_daemon import switchovers


class ScriptedSwitchovers(switchovers.Switchovers):
    """Ends each try as told."""

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


async def test_a_switchover_is_tried_again_while_writes_outrun_its_target():
    moves = ScriptedSwitchovers("other", "target")
    outcome = await moves.carry_out("db", "target", "change-1")
    assert outcome.ok.primary == "target"


async def test_a_switchover_that_always_misses_names_who_was_promoted():
    moves = ScriptedSwitchovers("a", "b", "a")
    outcome = await moves.carry_out("db", "target", "change-1")
    assert outcome.is_error()
    assert "a, b, a" in outcome.error.message
