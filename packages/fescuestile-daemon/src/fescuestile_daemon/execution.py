"""Filters at an endpoint's owner that run a request: lease, execute."""

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
EXPIRED = "the deadline passed before the statement was sent"


@dataclasses.dataclass
class WorkExchange:
    """A request on its way through the owner of its endpoint.

    :ivar plan: plan of the group in force at the owner
    :ivar endpoint: name of the endpoint
    :ivar replica: the endpoint is a replica
    :ivar term: term that the command names
    :ivar peer: daemon that the request came through
    :ivar lease: connection and slot, once leased
    """

    request: requests.Request
    plan: plans.Plan
    endpoint: str
    replica: bool
    term: int
    pool: endpoint_pool.EndpointPool
    peer: str
    lease: endpoint_pool.Lease | None = None


class LeaseFilter(filters.Filter[WorkExchange]):
    """Waits for a slot and a connection, and gives both back.

    An exchange that brings a lease of its own (a transaction's) only waits
    for the slot.
    """

    async def handle(
        self,
        exchange: WorkExchange,
        proceed: filters.Proceed[WorkExchange],
    ) -> filters.Outcome:
        """Run the rest with a lease."""
        work = admission.describe_work(exchange.request)
        if exchange.lease is not None:
            resumed = await exchange.lease.resume(work)
            if resumed.is_error():
                return expression.Error(resumed.error)
            try:
                return await proceed(exchange)
            finally:
                exchange.lease.pause()
        begins = exchange.request.action is requests.Action.BEGIN
        leased = await exchange.pool.lease(work, transaction=begins)
        if leased.is_error():
            return expression.Error(leased.error)
        exchange.lease = leased.ok
        done = False
        try:
            outcome = await proceed(exchange)
            done = outcome.is_ok() or isinstance(
                outcome.error, (errors.NotRun, errors.StatementFailed)
            )
        finally:
            if begins and done and outcome.is_ok():
                exchange.lease.pause()
            else:
                exchange.lease.release(healthy=done)
        return outcome


class ExecuteFilter(filters.Filter[WorkExchange]):
    """Sends the command and reads its verdict."""

    def __init__(self, time_source: clock.Clock) -> None:
        """Measure deadlines by a clock."""
        self._clock = time_source

    async def handle(
        self,
        exchange: WorkExchange,
        proceed: filters.Proceed[WorkExchange],
    ) -> filters.Outcome:
        """Execute on the leased connection."""
        assert exchange.lease is not None
        remaining = exchange.request.deadline - self._clock.now()
        if remaining <= 0:
            return expression.Error(_refuse(exchange, EXPIRED))
        reply = await _send(exchange, exchange.lease.connection, remaining)
        if reply.is_error():
            return expression.Error(_lose(exchange, reply.error))
        return read_verdict(exchange, reply.ok)


async def _send(
    exchange: WorkExchange,
    connection: ports.EndpointConnection,
    timeout: float,
) -> ports.Reply:
    request = exchange.request
    number = connection.next_id()
    minimum = request.minimum if request.minimum.index else None
    match request.action:
        case requests.Action.STATEMENT:
            return await connection.execute(
                endpoint_messages.Execute(
                    id=number,
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
                    number, exchange.term, request.read_only
                ),
                timeout,
            )
        case requests.Action.COMMIT:
            return await connection.commit(
                endpoint_messages.Commit(
                    number, exchange.term, request.request_id
                ),
                timeout,
            )
        case requests.Action.ROLLBACK:
            return await connection.rollback(
                endpoint_messages.Rollback(number), timeout
            )
        case requests.Action.RESOLVE:
            return await connection.resolve(
                endpoint_messages.Resolve(
                    number, exchange.term, request.request_id
                ),
                timeout,
            )


def read_verdict(
    exchange: WorkExchange, reply: endpoint_messages.Answered
) -> filters.Outcome:
    """Return the answer or the error of an endpoint's reply."""
    resolves = exchange.request.action is requests.Action.RESOLVE
    match reply.verdict:
        case endpoint_messages.Verdict.DONE:
            return results.succeed(_make_answer(exchange, reply))
        case endpoint_messages.Verdict.NEVER_RUNS if resolves:
            return results.succeed(
                dataclasses.replace(
                    _make_answer(exchange, reply), never_runs=True
                )
            )
        case endpoint_messages.Verdict.NEVER_RUNS:
            return expression.Error(
                errors.InvalidInput(
                    message="the request was settled as never running",
                    step=STEP,
                    peer=exchange.endpoint,
                    field="request_id",
                )
            )
        case endpoint_messages.Verdict.TERM_REFUSED:
            return expression.Error(
                errors.TermRefused(
                    message=reply.message or "the term has ended",
                    step=STEP,
                    peer=exchange.endpoint,
                )
            )
        case endpoint_messages.Verdict.NOT_RUN:
            return expression.Error(_refuse(exchange, reply.message))
        case endpoint_messages.Verdict.FAILED:
            return expression.Error(
                errors.StatementFailed(
                    message=reply.message, step=STEP, peer=exchange.endpoint
                )
            )


def _make_answer(
    exchange: WorkExchange, reply: endpoint_messages.Answered
) -> requests.Answer:
    return requests.Answer(
        payload=reply.payload,
        endpoint=exchange.endpoint,
        position=reply.position,
        replica=exchange.replica,
        repeated=reply.repeated,
        transaction=exchange.request.transaction,
    )


def _refuse(exchange: WorkExchange, message: str) -> errors.NotRun:
    return errors.NotRun(message=message, step=STEP, peer=exchange.endpoint)


def _lose(
    exchange: WorkExchange, error: errors.FescuestileError
) -> errors.FescuestileError:
    """Return the error of a command whose reply did not come."""
    if isinstance(error, errors.NotRun):
        return error
    return errors.UnknownOutcome(
        message=error.message, step=STEP, peer=exchange.endpoint
    )
