"""Planned switchovers, on operators' wish."""

import asyncio
import typing

import expression
import structlog

from fescuestile import errors
from fescuestile import failover_messages
from fescuestile import failover_steps
from fescuestile import failures
from fescuestile import members
from fescuestile_daemon import failover_runner
from fescuestile_daemon import group_board
from fescuestile_daemon import links
from fescuestile_daemon import operator_server
from fescuestile_daemon import published
from fescuestile_daemon import tasks

log = structlog.get_logger()

SWITCHOVER_TIMEOUT_SECONDS = 8.0
# Times that an operator's switchover is tried: writes under way at the fence
# may leave another endpoint ahead of the target, which then has to catch up.
SWITCHOVER_TRIES = 3
STEP_SWITCHOVER = "switchover"

SwitchoverResult = expression.Result[
    failover_steps.Publish, errors.FescuestileError
]


class Switchovers:
    """Carries out switchovers here, or asks a daemon that watches the group.

    At most one runs in a group at a time.
    """

    def __init__(
        self,
        runner: failover_runner.FailoverRunner,
        board: group_board.GroupBoard,
        link_pool: links.Links,
        membership: published.Published[members.MembershipSnapshot],
    ) -> None:
        """Work through a runner."""
        self._runner = runner
        self._board = board
        self._links = link_pool
        self._membership = membership
        self._tasks = tasks.TaskSet()
        self._waiting: dict[str, asyncio.Future[SwitchoverResult]] = {}
        runner.on_published.append(self._take_published)
        runner.on_abandoned.append(self._take_abandoned)
        link_pool.add_handler(
            failover_messages.SwitchoverRequest, self._take_request
        )
        link_pool.add_handler(
            failover_messages.SwitchoverReply, self._take_reply
        )

    async def close(self) -> None:
        """End all work."""
        await self._tasks.close()

    async def carry_out(
        self, database: str, target: str, change_id: str
    ) -> expression.Result[
        operator_server.SwitchoverDone, errors.FescuestileError
    ]:
        """Move the primary for an operator.

        :param change_id: id of the change; a repeat finds it done
        """
        others = []
        for _ in range(SWITCHOVER_TRIES):
            outcome = await self.switch_over(database, target)
            if outcome.is_error():
                return expression.Error(outcome.error)
            done = outcome.ok
            if done.primary == target:
                return expression.Ok(
                    operator_server.SwitchoverDone(done.term, done.primary)
                )
            log.info(
                "switchover promoted another endpoint",
                database=database,
                target=target,
                promoted=done.primary,
                term=done.term,
                change=change_id,
            )
            others.append(done.primary)
        names = ", ".join(others)
        message = f"promoted instead, with longer logs: {names}"
        return expression.Error(
            errors.NotRun(message, STEP_SWITCHOVER, target, "target")
        )

    def _take_published(
        self, database: str, action: failover_steps.Publish
    ) -> None:
        waiting = self._waiting.get(database)
        if waiting is not None and not waiting.done():
            waiting.set_result(expression.Ok(action))

    def _take_abandoned(
        self, database: str, action: failover_steps.Abandon
    ) -> None:
        waiting = self._waiting.get(database)
        if waiting is not None and not waiting.done():
            waiting.set_result(_refuse(action.reason, "target"))

    async def switch_over(
        self, database: str, target: str
    ) -> SwitchoverResult:
        """Move the primary to a chosen endpoint.

        :returns: the new primary; NotRun when nothing was changed
        """
        snapshot = self._board.get(database)
        if snapshot is None:
            return _refuse("the database is not known", "database")
        if target not in snapshot.plan.endpoint_by_name:
            return _refuse("the plan names no such endpoint", "target")
        if snapshot.primary == target:
            return expression.Ok(failover_steps.Publish(snapshot.term, target))
        if self._runner.is_watching(database):
            return await self._switch_here(database, target)
        return await self._ask_owner(database, target)

    async def _switch_here(
        self, database: str, target: str
    ) -> SwitchoverResult:
        if database in self._waiting:
            return _refuse("another switchover is under way", "database")
        future: asyncio.Future[SwitchoverResult] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting[database] = future
        self._runner.ask_switchover(database, target)
        try:
            async with asyncio.timeout(SWITCHOVER_TIMEOUT_SECONDS):
                return await future
        except TimeoutError:
            return expression.Error(
                errors.UnknownOutcome(
                    message="the switchover did not end in time",
                    step=STEP_SWITCHOVER,
                    peer=database,
                )
            )
        finally:
            del self._waiting[database]

    async def _ask_owner(self, database: str, target: str) -> SwitchoverResult:
        snapshot = self._board.get(database)
        views = snapshot.endpoints.values() if snapshot else ()
        owners = {view.owner for view in views}
        for member in self._membership.get().list_serving():
            if member.id not in owners:
                continue
            reply = await self._links.request(
                member,
                lambda number: failover_messages.SwitchoverRequest(
                    number, database, target
                ),
                SWITCHOVER_TIMEOUT_SECONDS,
            )
            return _read_reply(reply)
        return _refuse("no daemon watches the group", "database")

    async def _take_request(
        self, peer: str, message: failover_messages.SwitchoverRequest
    ) -> None:
        self._tasks.spawn(self._serve_request(peer, message))

    async def _serve_request(
        self, peer: str, message: failover_messages.SwitchoverRequest
    ) -> None:
        if self._runner.is_watching(message.database):
            outcome = await self._switch_here(message.database, message.target)
        else:
            outcome = _refuse("this daemon does not watch it", "database")
        if outcome.is_ok():
            reply = failover_messages.SwitchoverReply(
                message.id, outcome.ok.term, outcome.ok.primary
            )
        else:
            failure = failures.describe_error(outcome.error)
            reply = failover_messages.SwitchoverReply(
                message.id, failure=failure
            )
        await self._links.reply(peer, reply)

    async def _take_reply(
        self, peer: str, message: failover_messages.SwitchoverReply
    ) -> None:
        self._links.resolve(message.id, message)


def _refuse(message: str, field: str) -> SwitchoverResult:
    return expression.Error(
        errors.NotRun(message=message, step=STEP_SWITCHOVER, field=field)
    )


def _read_reply(
    reply: expression.Result[typing.Any, errors.FescuestileError],
) -> SwitchoverResult:
    if reply.is_error():
        return expression.Error(reply.error)
    message = reply.ok
    if message.failure is not None:
        return expression.Error(failures.restore_error(message.failure))
    return expression.Ok(failover_steps.Publish(message.term, message.primary))
