"""Filters at an endpoint's owner that reserve a slot and execute."""

import dataclasses

import expression

from fescuestile import admission
from fescuestile import clock
from fescuestile import endpoint_messages
from fescuestile import errors
from fescuestile import plans
from fescuestile import ports
from fescuestile import requests
from fescuestile import results
from fescuestile_daemon import endpoint_pool
from fescuestile_daemon import filters

STEP = "execute"
DEADLINE_PASSED = "the deadline passed before the statement was sent"


@dataclasses.dataclass
class OwnerExchange:
    """A request on its way through the owner of its endpoint.

    :ivar plan: plan of the group that is in force at the owner
    :ivar endpoint: name of the endpoint
    :ivar replica: whether the endpoint is a replica
    :ivar term: term that the command is sent with
    :ivar peer: id of the entry daemon
    :ivar reservation: connection and slot, once reserved
    """

    request: requests.Request
    plan: plans.Plan
    endpoint: str
    replica: bool
    term: int
    pool: endpoint_pool.EndpointPool
    peer: str
    reservation: endpoint_pool.Reservation | None = None


class ReserveFilter(filters.Filter[OwnerExchange]):
    """Reserves a slot and a connection while the next filters run.

    The exchange of an open transaction has a reservation already and only
    waits for the slot.
    """

    async def handle(
        self,
        exchange: OwnerExchange,
        proceed: filters.Proceed[OwnerExchange],
    ) -> filters.Outcome:
        """Run the next filters with a reservation."""
        work = admission.describe_work(exchange.request)
        if exchange.reservation is not None:
            admitted = await exchange.reservation.acquire_slot(work)
            if admitted.is_error():
                return expression.Error(admitted.error)
            try:
                return await proceed(exchange)
            finally:
                exchange.reservation.release_slot()
        begins = exchange.request.action is requests.Action.BEGIN
        reserved = await exchange.pool.reserve(work, transaction=begins)
        if reserved.is_error():
            return expression.Error(reserved.error)
        exchange.reservation = reserved.ok
        healthy = False
        try:
            outcome = await proceed(exchange)
            healthy = outcome.is_ok() or isinstance(
                outcome.error, (errors.NotRun, errors.StatementFailed)
            )
        finally:
            if begins and healthy and outcome.is_ok():
                exchange.reservation.release_slot()
            else:
                exchange.reservation.release(healthy=healthy)
        return outcome


class ExecuteFilter(filters.Filter[OwnerExchange]):
    """Sends the command to the endpoint and reads the reply."""

    def __init__(self, time_source: clock.Clock) -> None:
        """Initialize with the clock that deadlines refer to."""
        self._clock = time_source

    async def handle(
        self,
        exchange: OwnerExchange,
        proceed: filters.Proceed[OwnerExchange],
    ) -> filters.Outcome:
        """Execute on the reserved connection."""
        assert exchange.reservation is not None
        remaining = exchange.request.deadline - self._clock.now()
        if remaining <= 0:
            return expression.Error(_make_not_run(exchange, DEADLINE_PASSED))
        reply = await _send(
            exchange, exchange.reservation.connection, remaining
        )
        if reply.is_error():
            return expression.Error(_convert_error(exchange, reply.error))
        return read_verdict(exchange, reply.ok)


async def _send(
    exchange: OwnerExchange,
    connection: ports.EndpointConnection,
    timeout: float,
) -> ports.Reply:
    request = exchange.request
    command_id = connection.next_id()
    minimum = request.minimum if request.minimum.index else None
    match request.action:
        case requests.Action.STATEMENT:
            return await connection.execute(
                endpoint_messages.Execute(
                    id=command_id,
                    term=exchange.term,
                    text=request.text,
                    read_only=request.read_only,
                    request_id="" if request.read_only else request.request_id,
                    minimum=minimum,
                ),
                timeout,
            )
        case requests.Action.BEGIN:
            return await connection.begin(
                endpoint_messages.Begin(
                    command_id, exchange.term, request.read_only
                ),
                timeout,
            )
        case requests.Action.COMMIT:
            return await connection.commit(
                endpoint_messages.Commit(
                    command_id, exchange.term, request.request_id
                ),
                timeout,
            )
        case requests.Action.ROLLBACK:
            return await connection.rollback(
                endpoint_messages.Rollback(command_id), timeout
            )
        case requests.Action.RESOLVE:
            return await connection.resolve(
                endpoint_messages.Resolve(
                    command_id, exchange.term, request.request_id
                ),
                timeout,
            )


def read_verdict(
    exchange: OwnerExchange, reply: endpoint_messages.Answered
) -> filters.Outcome:
    """Convert an endpoint's reply to an answer or an error."""
    is_resolve = exchange.request.action is requests.Action.RESOLVE
    match reply.verdict:
        case endpoint_messages.Verdict.DONE:
            return results.succeed(_make_answer(exchange, reply))
        case endpoint_messages.Verdict.NEVER_RUNS if is_resolve:
            return results.succeed(
                dataclasses.replace(
                    _make_answer(exchange, reply), never_runs=True
                )
            )
        case endpoint_messages.Verdict.NEVER_RUNS:
            return expression.Error(
                errors.InvalidInput(
                    message="the request id was resolved before as never run",
                    step=STEP,
                    peer=exchange.endpoint,
                    field="request_id",
                )
            )
        case endpoint_messages.Verdict.TERM_REFUSED:
            return expression.Error(
                errors.TermRefused(
                    message=reply.message
                    or "the endpoint is fenced against this term",
                    step=STEP,
                    peer=exchange.endpoint,
                )
            )
        case endpoint_messages.Verdict.NOT_RUN:
            return expression.Error(_make_not_run(exchange, reply.message))
        case endpoint_messages.Verdict.FAILED:
            return expression.Error(
                errors.StatementFailed(
                    message=reply.message, step=STEP, peer=exchange.endpoint
                )
            )


def _make_answer(
    exchange: OwnerExchange, reply: endpoint_messages.Answered
) -> requests.Answer:
    return requests.Answer(
        payload=reply.payload,
        endpoint=exchange.endpoint,
        position=reply.position,
        replica=exchange.replica,
        repeated=reply.repeated,
        transaction=exchange.request.transaction,
    )


def _make_not_run(exchange: OwnerExchange, message: str) -> errors.NotRun:
    return errors.NotRun(message=message, step=STEP, peer=exchange.endpoint)


def _convert_error(
    exchange: OwnerExchange, error: errors.FescuestileError
) -> errors.FescuestileError:
    """Return the error of a command without a reply."""
    if isinstance(error, errors.NotRun):
        return error
    return errors.UnknownOutcome(
        message=error.message, step=STEP, peer=exchange.endpoint
    )
