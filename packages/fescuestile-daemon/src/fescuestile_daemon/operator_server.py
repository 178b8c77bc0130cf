"""gRPC service for operators, called by the command line.

An error is returned as a Failure in the trailing metadata, so that clients
get its step, peer and field.
"""

import collections.abc
import datetime
import typing

import expression
import grpc

from fescuestile import configuration
from fescuestile import errors
from fescuestile import plans
from fescuestile_api import fescuestile_pb2 as pb
from fescuestile_api import fescuestile_pb2_grpc as pb_grpc
from fescuestile_api import models
from fescuestile_daemon import audit
from fescuestile_daemon import caller_frames
from fescuestile_daemon import fleet_status
from fescuestile_daemon import plan_changes
from fescuestile_daemon import security

FAILURE_KEY = "fescuestile-failure-bin"
STATUS_BY_ERROR: typing.Mapping[
    type[errors.FescuestileError], grpc.StatusCode
] = {
    errors.InvalidInput: grpc.StatusCode.INVALID_ARGUMENT,
    errors.VersionConflict: grpc.StatusCode.FAILED_PRECONDITION,
    errors.NotRun: grpc.StatusCode.UNAVAILABLE,
    errors.PlatformUnavailable: grpc.StatusCode.UNAVAILABLE,
    errors.ConnectionLost: grpc.StatusCode.UNAVAILABLE,
}

Context = typing.Any
T = typing.TypeVar("T")


class SwitchoverResult(typing.NamedTuple):
    """Result of a planned switchover."""

    term: int
    primary: str


Switchover = collections.abc.Callable[
    [str, str, str],
    collections.abc.Awaitable[
        expression.Result[SwitchoverResult, errors.FescuestileError]
    ],
]
ChangeListener = collections.abc.Callable[[plans.PlanRevision], None]


async def refuse_switchover(
    database: str, target: str, change_id: str
) -> expression.Result[SwitchoverResult, errors.FescuestileError]:
    """Refuse a switchover: used where no failover runner is available."""
    return expression.Error(
        errors.NotRun("this daemon does not support switchovers", "switchover")
    )


class OperatorService(pb_grpc.OperatorServiceServicer):
    """Serves operators' calls and records each change in the audit trail."""

    def __init__(
        self,
        changes: plan_changes.PlanChanges,
        trail: audit.AuditTrail,
        status: fleet_status.FleetStatus,
        on_changed: ChangeListener,
        switchover: Switchover = refuse_switchover,
    ) -> None:
        """Initialize with the components that carry out the calls.

        :param on_changed: called with the revision in force after a change
        :param switchover: called with (database, target, change id)
        """
        self._changes = changes
        self._trail = trail
        self._status = status
        self._on_changed = on_changed
        self._switchover = switchover

    async def Declare(  # noqa: N802
        self, request: pb.DeclareRequest, context: Context
    ) -> pb.ChangeReply:
        """Create the first revision of a database's plan."""
        plan = await _unwrap_or_abort(
            models.decode_plan(request.plan), context
        )
        change = _make_change(request.change_id, request.operator)
        outcome = await self._changes.declare(plan, change)
        await self._record("declare", plan.database, change, outcome, 0)
        return await self._reply(outcome, context)

    async def Apply(  # noqa: N802
        self, request: pb.ApplyRequest, context: Context
    ) -> pb.ChangeReply:
        """Create a new revision of a plan."""
        plan = await _unwrap_or_abort(
            models.decode_plan(request.plan), context
        )
        change = _make_change(request.change_id, request.operator)
        before = request.expected_revision
        outcome = await self._changes.apply(plan, before, change)
        await self._record("apply", plan.database, change, outcome, before)
        return await self._reply(outcome, context)

    async def Revert(  # noqa: N802
        self, request: pb.RevertRequest, context: Context
    ) -> pb.ChangeReply:
        """Create a new revision with the content of an earlier one."""
        change = _make_change(request.change_id, request.operator)
        before = request.expected_revision
        outcome = await self._changes.revert(
            request.database, request.to_revision, before, change
        )
        await self._record(
            "revert",
            request.database,
            change,
            outcome,
            before,
            f"to revision {request.to_revision}",
        )
        return await self._reply(outcome, context)

    async def History(  # noqa: N802
        self, request: pb.HistoryRequest, context: Context
    ) -> pb.HistoryReply:
        """Return the stored revisions, oldest first."""
        listed = await self._changes.list_history(request.database)
        revisions = await _unwrap_or_abort(listed, context)
        if not revisions:
            unknown = errors.InvalidInput(
                f"database {request.database!r} is not declared",
                "history",
                field="database",
            )
            await _abort(unknown, context)
        return pb.HistoryReply(
            revisions=[
                pb.Revision(
                    revision=revision.revision,
                    plan=models.encode_plan(revision.plan),
                    change_id=revision.change_id,
                    operator=revision.operator,
                    changed_at=revision.changed_at,
                )
                for revision in revisions
            ]
        )

    async def Status(  # noqa: N802
        self, request: pb.StatusRequest, context: Context
    ) -> pb.StatusReply:
        """Return all daemons, and the endpoint states known to this daemon."""
        return pb.StatusReply(
            daemons=await self._status.list_daemons(request.database),
            endpoints=self._status.list_endpoints(request.database),
        )

    async def Drain(  # noqa: N802
        self, request: pb.DrainRequest, context: Context
    ) -> pb.DrainReply:
        """Start draining a daemon."""
        change = _make_change("", request.operator)
        outcome = await self._status.drain(request.daemon, request.operator)
        await self._trail.record(
            _make_audit_entry(
                "drain",
                audit.FLEET_KEY,
                change,
                _format_outcome(outcome),
                detail=request.daemon or "this daemon",
            )
        )
        return pb.DrainReply(state=await _unwrap_or_abort(outcome, context))

    async def Switchover(  # noqa: N802
        self, request: pb.SwitchoverRequest, context: Context
    ) -> pb.SwitchoverReply:
        """Move a group's primary to another endpoint."""
        change = _make_change(request.change_id, request.operator)
        outcome = await self._switchover(
            request.database, request.target, request.change_id
        )
        await self._trail.record(
            _make_audit_entry(
                "switchover",
                request.database,
                change,
                _format_outcome(outcome),
                detail=f"to {request.target}",
            )
        )
        done = await _unwrap_or_abort(outcome, context)
        return pb.SwitchoverReply(term=done.term, primary=done.primary)

    async def Audit(  # noqa: N802
        self, request: pb.AuditRequest, context: Context
    ) -> pb.AuditReply:
        """Return the most recent audit entries, newest first."""
        listed = await self._trail.list_entries(
            request.database, request.limit
        )
        entries = await _unwrap_or_abort(listed, context)
        return pb.AuditReply(
            entries=[
                pb.AuditEntry(
                    change_id=entry.change_id,
                    operator=entry.operator,
                    at=entry.at,
                    action=entry.action,
                    database=entry.database,
                    outcome=entry.outcome,
                    before_revision=entry.before_revision,
                    after_revision=entry.after_revision,
                    detail=entry.detail,
                )
                for entry in entries
            ]
        )

    async def _record(
        self,
        action: str,
        database: str,
        change: configuration.Change,
        outcome: plan_changes.ChangeResult,
        before: int,
        detail: str = "",
    ) -> None:
        if outcome.is_error():
            detail = str(outcome.error)
        else:
            self._on_changed(outcome.ok.current)
        await self._trail.record(
            _make_audit_entry(
                action,
                database,
                change,
                _format_outcome(outcome),
                before,
                outcome.ok.revision if outcome.is_ok() else 0,
                detail,
            )
        )

    async def _reply(
        self, outcome: plan_changes.ChangeResult, context: Context
    ) -> pb.ChangeReply:
        done = await _unwrap_or_abort(outcome, context)
        return pb.ChangeReply(revision=done.revision, repeated=done.repeated)


class OperatorServer:
    """gRPC server for operators."""

    def __init__(
        self,
        service: OperatorService,
        transport_security: security.TransportSecurity,
    ) -> None:
        """Initialize with the service to serve and its transport security."""
        self._service = service
        self._security = transport_security
        self._server: grpc.aio.Server | None = None

    async def start(self, address: str) -> None:
        """Listen on ``IP:port``.

        :raises: ConnectionLost when the address cannot be bound
        """
        self._server = grpc.aio.server(options=(("grpc.so_reuseport", 0),))
        pb_grpc.add_OperatorServiceServicer_to_server(
            self._service, self._server
        )
        self._security.add_operator_port(self._server, address)
        await self._server.start()

    async def close(self) -> None:
        """Stop the server; calls in flight get 0.2 s to finish."""
        if self._server is not None:
            await self._server.stop(grace=0.2)


def _make_change(change_id: str, operator: str) -> configuration.Change:
    now = datetime.datetime.now(datetime.UTC)
    text = now.isoformat(timespec="milliseconds").replace("+00:00", "Z")
    return configuration.Change(change_id, operator, text)


def _make_audit_entry(
    action: str,
    database: str,
    change: configuration.Change,
    outcome: str,
    before: int = 0,
    after: int = 0,
    detail: str = "",
) -> audit.AuditEntry:
    return audit.AuditEntry(
        change_id=change.change_id,
        operator=change.operator,
        at=change.changed_at,
        action=action,
        database=database,
        outcome=outcome,
        before_revision=before,
        after_revision=after,
        detail=detail,
    )


def _format_outcome(
    outcome: expression.Result[typing.Any, errors.FescuestileError],
) -> str:
    if outcome.is_error():
        return type(outcome.error).__name__
    return "repeated" if getattr(outcome.ok, "repeated", False) else "done"


async def _unwrap_or_abort(
    result: expression.Result[T, typing.Any], context: Context
) -> T:
    """Return the value, or abort the call with the error."""
    if result.is_error():
        await _abort(result.error, context)
    return result.ok


async def _abort(error: errors.FescuestileError, context: Context) -> None:
    code = grpc.StatusCode.UNKNOWN
    for cls, status in STATUS_BY_ERROR.items():
        if isinstance(error, cls):
            code = status
            break
    failure = caller_frames.encode_failure(0, error).answer.failure
    if isinstance(error, errors.VersionConflict | errors.PlatformUnavailable):
        failure.code = pb.NOT_RUN
    await context.abort(
        code,
        str(error),
        trailing_metadata=((FAILURE_KEY, failure.SerializeToString()),),
    )
