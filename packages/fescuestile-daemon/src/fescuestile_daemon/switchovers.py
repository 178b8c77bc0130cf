"""Planned switchovers, for operators and for leaving endpoints."""

import asyncio
import dataclasses
import typing

import expression
import structlog

from fescuestile import errors
from fescuestile import failover_messages
from fescuestile import failover_steps
from fescuestile import failures
from fescuestile import members
from fescuestile_daemon import failover_runner
from fescuestile_daemon import links
from fescuestile_daemon import operator_server
from fescuestile_daemon import published
from fescuestile_daemon import snapshot_store
from fescuestile_daemon import tasks

log = structlog.get_logger()

SWITCHOVER_TIMEOUT_SECONDS = 8.0
# Writes in flight when the primary is fenced may reach another endpoint but
# not the target. The other one is then promoted, as its log is longer, and the
# switchover is attempted again once the target has caught up.
MAX_SWITCHOVER_ATTEMPTS = 3
STEP_SWITCHOVER = "switchover"

SwitchoverResult = expression.Result[
    failover_steps.Publish, errors.FescuestileError
]


@dataclasses.dataclass(frozen=True)
class _Waiting:
    """Switchover that was requested from the local driver."""

    target: str
    future: asyncio.Future[SwitchoverResult]


class Switchovers:
    """Carries out switchovers, or requests them from a watching daemon.

    At most one switchover of a group runs at a time.
    """

    def __init__(
        self,
        runner: failover_runner.FailoverRunner,
        group_snapshots: snapshot_store.SnapshotStore,
        link_pool: links.Links,
        membership: published.Published[members.MembershipSnapshot],
    ) -> None:
        """Subscribe to the runner's results and to messages over links."""
        self._runner = runner
        self._group_snapshots = group_snapshots
        self._links = link_pool
        self._membership = membership
        self._tasks = tasks.TaskSet()
        self._waiting: dict[str, _Waiting] = {}
        runner.on_published.append(self._on_published)
        runner.on_abandoned.append(self._on_abandoned)
        link_pool.add_handler(
            failover_messages.SwitchoverRequest, self._receive_request
        )
        link_pool.add_handler(
            failover_messages.SwitchoverReply, self._receive_reply
        )

    async def close(self) -> None:
        """Cancel the switchovers that other daemons requested."""
        await self._tasks.close()

    async def switch_over_with_retries(
        self, database: str, target: str, change_id: str
    ) -> expression.Result[
        operator_server.SwitchoverResult, errors.FescuestileError
    ]:
        """Make the target primary, with retries when another one overtakes it.

        :param change_id: id of the operator's change, for the log; a repeated
            change finds the target to be primary and does nothing
        :returns: the new primary; NotRun when other endpoints were promoted
            in all attempts
        """
        promoted = []
        for _ in range(MAX_SWITCHOVER_ATTEMPTS):
            outcome = await self.switch_over(database, target)
            if outcome.is_error():
                return expression.Error(outcome.error)
            done = outcome.ok
            if done.primary == target:
                return expression.Ok(
                    operator_server.SwitchoverResult(done.term, done.primary)
                )
            log.info(
                "switchover promoted another endpoint",
                database=database,
                target=target,
                promoted=done.primary,
                term=done.term,
                change=change_id,
            )
            promoted.append(done.primary)
        names = ", ".join(promoted)
        message = f"other endpoints with longer logs were promoted: {names}"
        return expression.Error(
            errors.NotRun(message, STEP_SWITCHOVER, target, "target")
        )

    def _on_published(
        self, database: str, action: failover_steps.Publish
    ) -> None:
        self._finish(database, action.target, expression.Ok(action))

    def _on_abandoned(
        self, database: str, action: failover_steps.Abandon
    ) -> None:
        if action.in_doubt:
            outcome = _make_unknown(action.reason, database)
        else:
            outcome = _make_not_run(action.reason, "target")
        self._finish(database, action.target, outcome)

    def _finish(
        self, database: str, target: str, outcome: SwitchoverResult
    ) -> None:
        """End the wait for a switchover to a target.

        The end of a failover may be reported while the request is under way.
        """
        waiting = self._waiting.get(database)
        if waiting is None or waiting.target != target:
            return
        if not waiting.future.done():
            waiting.future.set_result(outcome)

    async def switch_over(
        self, database: str, target: str
    ) -> SwitchoverResult:
        """Attempt once to make the target primary.

        :returns: the new primary, which may be another endpoint with a longer
            log; NotRun when nobody was promoted; UnknownOutcome when a
            promotion was ordered that may still take effect, or when the
            switchover did not finish in time
        """
        snapshot = self._group_snapshots.get(database)
        if snapshot is None:
            return _make_not_run(
                "no plan of the database is in force here", "database"
            )
        if target not in snapshot.plan.endpoint_by_name:
            return _make_not_run(
                "the plan of the database has no such endpoint", "target"
            )
        if snapshot.primary == target:
            return expression.Ok(failover_steps.Publish(snapshot.term, target))
        if self._runner.is_watching(database):
            return await self._switch_over_locally(database, target)
        return await self._request_from_owner(database, target)

    async def _switch_over_locally(
        self, database: str, target: str
    ) -> SwitchoverResult:
        if database in self._waiting:
            return _make_not_run(
                "another switchover of the group is in progress", "database"
            )
        future: asyncio.Future[SwitchoverResult] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting[database] = _Waiting(target, future)
        self._runner.request_switchover(database, target)
        try:
            async with asyncio.timeout(SWITCHOVER_TIMEOUT_SECONDS):
                return await future
        except TimeoutError:
            return _make_unknown(
                "the switchover did not finish in time", database
            )
        finally:
            del self._waiting[database]

    async def _request_from_owner(
        self, database: str, target: str
    ) -> SwitchoverResult:
        snapshot = self._group_snapshots.get(database)
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
        return _make_not_run("no daemon watches the group", "database")

    async def _receive_request(
        self, peer: str, message: failover_messages.SwitchoverRequest
    ) -> None:
        self._tasks.spawn(self._serve_request(peer, message))

    async def _serve_request(
        self, peer: str, message: failover_messages.SwitchoverRequest
    ) -> None:
        if self._runner.is_watching(message.database):
            outcome = await self._switch_over_locally(
                message.database, message.target
            )
        else:
            outcome = _make_not_run(
                "this daemon does not watch the group", "database"
            )
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

    async def _receive_reply(
        self, peer: str, message: failover_messages.SwitchoverReply
    ) -> None:
        self._links.resolve(message.id, message)


def _make_not_run(message: str, field: str) -> SwitchoverResult:
    return expression.Error(
        errors.NotRun(message=message, step=STEP_SWITCHOVER, field=field)
    )


def _make_unknown(message: str, database: str) -> SwitchoverResult:
    return expression.Error(
        errors.UnknownOutcome(
            message=message, step=STEP_SWITCHOVER, peer=database
        )
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
