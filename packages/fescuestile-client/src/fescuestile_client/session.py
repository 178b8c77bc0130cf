"""A caller's session: requests, retries, roaming."""

import asyncio
import dataclasses
import itertools
import random
import types
import typing
import uuid

import expression

from fescuestile import clock as clocks
from fescuestile import errors
from fescuestile import requests
from fescuestile import retries
from fescuestile_client import connector
from fescuestile_client import frames
from fescuestile_client import options as client_options
from fescuestile_client import transactions

RESOLVE_STEP = "resolve"


class Session:
    """Session of one caller, connected to one daemon at a time.

    Several tasks may make requests concurrently; they are pipelined on one
    stream. The methods raise the errors of ``fescuestile.errors``.
    """

    def __init__(
        self,
        addresses: typing.Sequence[str],
        caller: str,
        token: bytes = b"",
        options: client_options.SessionOptions | None = None,
        clock: clocks.Clock | None = None,
        source: random.Random | None = None,
        budget: retries.RetryBudget | None = None,
    ) -> None:
        """Initialize an unconnected session; ``start`` connects it.

        :param addresses: ``IP:port`` of the load balancer or of daemons
        :param caller: name of the caller
        :param token: token of an earlier session to resume from
        :param source: random source for backoff and for the order of
            addresses
        :param budget: retry budget, which the sessions of a process may
            share
        """
        self._options = options or client_options.SessionOptions()
        self._clock = clock or clocks.SystemClock()
        source = source or random.Random()
        self._connector = connector.Connector(
            addresses, caller, token, self._options, self._clock, source
        )
        self._policy = retries.RetryPolicy(
            self._clock,
            source,
            budget
            or retries.RetryBudget(
                self._clock,
                window=self._options.retries_window,
                min_retries=self._options.retries_floor,
            ),
        )
        self._id = uuid.uuid4().hex
        self._request_numbers = itertools.count(1)

    async def start(self) -> None:
        """Connect to a daemon.

        :raises: NotRun, TokenRefused or InvalidInput
        """
        deadline = self._clock.now() + self._options.timeout
        opened = await self._connector.acquire(deadline)
        if opened.is_error():
            raise opened.error

    async def close(self) -> None:
        """Disconnect; ``token`` can be used to resume the session."""
        await self._connector.close()

    async def __aenter__(self) -> "Session":
        """Start the session."""
        await self.start()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Close the session."""
        await self.close()

    @property
    def token(self) -> bytes:
        """Latest session token, with which any process can resume."""
        return self._connector.token

    @property
    def daemon(self) -> str:
        """Id of the connected daemon, empty when there is none."""
        stream = self._connector.stream
        return stream.daemon if stream else ""

    @property
    def draining(self) -> bool:
        """Whether the daemon asked the session to roam."""
        stream = self._connector.stream
        return stream is not None and stream.draining

    def make_request_id(self) -> str:
        """Return a globally unique request id."""
        return f"{self._id}-{next(self._request_numbers)}"

    async def roam(self, address: str = "") -> None:
        """Roam to another daemon once open requests have ended.

        :param address: ``IP:port`` to try first
        :raises: NotRun when no daemon could be reached
        """
        self._connector.request_roam(address)
        await self.start()

    async def execute(
        self,
        database: str,
        kind: str,
        text: str,
        *,
        read_only: bool = False,
        repeatable: bool | None = None,
        rank: str = "",
        staleness: float | None = None,
        timeout: float | None = None,
        request_id: str = "",
    ) -> requests.Answer:
        """Run a statement and return its answer.

        :param kind: declared kind of work
        :param repeatable: the statement is idempotent and may be executed
            twice; by default true for reads only
        :param rank: less urgent rank to use instead of the kind's own
        :param staleness: bound in seconds, stricter than the kind's
        :param timeout: timeout in seconds, retries included
        :param request_id: globally unique id, with which ``resolve`` can
            find the outcome later
        :raises: NotRun, UnknownOutcome, StatementFailed, InvalidInput
        """
        call = frames.Call(
            request_id=request_id or self.make_request_id(),
            database=database,
            kind=kind,
            action=requests.Action.STATEMENT,
            deadline=self._compute_deadline(timeout),
            repeatable=read_only if repeatable is None else repeatable,
            text=text,
            read_only=read_only,
            rank=rank,
            staleness=staleness,
        )
        return unwrap(await self._run_and_resolve(call))

    async def resolve(
        self,
        request_id: str,
        database: str,
        kind: str,
        timeout: float | None = None,
    ) -> requests.Answer:
        """Resolve a request of unknown outcome.

        :returns: its answer if it ran, otherwise an answer with
            ``never_runs`` set; the request may then be made again with a
            new id
        :raises: NotRun, UnknownOutcome when it could not be resolved
        """
        call = frames.Call(
            request_id=request_id,
            database=database,
            kind=kind,
            action=requests.Action.RESOLVE,
            deadline=self._compute_deadline(timeout),
            repeatable=True,
        )
        return unwrap((await self.run_with_retries(call)).result)

    def transaction(
        self,
        database: str,
        kind: str,
        *,
        read_only: bool = False,
        rank: str = "",
        timeout: float | None = None,
    ) -> transactions.Transaction:
        """Return a transaction for use in ``async with``.

        :param timeout: timeout of the whole transaction in seconds
        """
        call = frames.Call(
            request_id=self.make_request_id(),
            database=database,
            kind=kind,
            action=requests.Action.BEGIN,
            deadline=self._compute_deadline(timeout),
            repeatable=True,
            read_only=read_only,
            rank=rank,
        )
        return transactions.Transaction(self, self._connector, call)

    def _compute_deadline(self, timeout: float | None) -> float:
        seconds = self._options.timeout if timeout is None else timeout
        return self._clock.now() + seconds

    async def _run_and_resolve(self, call: frames.Call) -> frames.AnswerResult:
        """Run a call, retry it where that is safe, and resolve its outcome.

        A non-repeatable call of unknown outcome is resolved before any
        retry. If it is known never to run, it is retried with a new
        request id, since endpoints refuse the old one.
        """
        attempt = 0
        while True:
            attempt += 1
            outcome = await self._attempt(call)
            if outcome.unknown and not call.repeatable:
                outcome = await self.resolve_outcome(call, outcome)
                call = self._renew_request_id(call, outcome.result)
            delay = self._compute_retry_delay(outcome, call, attempt)
            if delay is None:
                return outcome.result
            await asyncio.sleep(delay)

    async def resolve_outcome(
        self, call: frames.Call, unresolved: transactions.CallOutcome
    ) -> transactions.CallOutcome:
        """Resolve a call whose attempt ended with an unknown outcome.

        :param unresolved: outcome of the attempt, returned when the call
            could not be resolved within its deadline
        """
        if not self._options.settle_unknown:
            return unresolved
        resolve_call = dataclasses.replace(
            call,
            action=requests.Action.RESOLVE,
            repeatable=True,
            transaction="",
            text="",
        )
        resolved = await self.run_with_retries(resolve_call)
        if resolved.result.is_error():
            failed = isinstance(resolved.result.error, errors.StatementFailed)
            return resolved if failed else unresolved
        if not resolved.result.ok.never_runs:
            return resolved
        never_run = errors.NotRun(
            message="the request did not run and never will",
            step=RESOLVE_STEP,
            peer=resolved.result.ok.endpoint,
            field=call.request_id,
        )
        return transactions.CallOutcome(expression.Error(never_run), None)

    def _renew_request_id(
        self, call: frames.Call, result: frames.AnswerResult
    ) -> frames.Call:
        if result.is_ok() or not isinstance(result.error, errors.NotRun):
            return call
        return dataclasses.replace(call, request_id=self.make_request_id())

    async def run_with_retries(
        self, call: frames.Call
    ) -> transactions.CallOutcome:
        """Run a call, retrying where that is safe, without resolving it."""
        attempt = 0
        while True:
            attempt += 1
            outcome = await self._attempt(call)
            delay = self._compute_retry_delay(outcome, call, attempt)
            if delay is None:
                return outcome
            await asyncio.sleep(delay)

    async def _attempt(self, call: frames.Call) -> transactions.CallOutcome:
        acquired = await self._connector.acquire(call.deadline)
        if acquired.is_error():
            failure = expression.Error(acquired.error)
            return transactions.CallOutcome(failure, None)
        stream = acquired.ok
        return transactions.CallOutcome(await stream.request(call), stream)

    def _compute_retry_delay(
        self,
        outcome: transactions.CallOutcome,
        call: frames.Call,
        attempt_number: int,
    ) -> float | None:
        if outcome.result.is_ok():
            self._policy.record_success(call.kind)
            return None
        attempt = retries.Attempt(
            number=attempt_number,
            rank=call.kind,
            repeatable=call.repeatable,
            deadline=call.deadline,
            charged=outcome.stream is not None and not outcome.stream.closed,
        )
        return self._policy.next_delay(outcome.result.error, attempt)


def unwrap(result: frames.AnswerResult) -> requests.Answer:
    """Return the answer of a result or raise its error.

    :raises: the result's error
    """
    if result.is_error():
        raise result.error
    return result.ok
