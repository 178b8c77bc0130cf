"""A caller's session: requests, repeats, roaming."""

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
    """One caller's session, on whichever daemon serves it.

    Requests may be made from several tasks at once; they are pipelined.
    All methods raise the classes of ``fescuestile.errors``.
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
        """Prepare a session; ``start`` connects it.

        :param addresses: ``IP:port`` of the balancer or of daemons
        :param caller: name of the caller
        :param token: token of an earlier session to go on from
        :param budget: retry budget, to share among a process's sessions
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
        self._name = uuid.uuid4().hex
        self._numbers = itertools.count(1)

    async def start(self) -> None:
        """Connect to a daemon.

        :raises: NotRun, TokenRefused or InvalidInput
        """
        deadline = self._clock.now() + self._options.timeout
        opened = await self._connector.acquire(deadline)
        if opened.is_error():
            raise opened.error

    async def close(self) -> None:
        """Disconnect; the token can open another session."""
        await self._connector.close()

    async def __aenter__(self) -> "Session":
        """Start the session."""
        await self.start()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Close the session."""
        await self.close()

    @property
    def token(self) -> bytes:
        """Newest token, all that another process needs to go on."""
        return self._connector.token

    @property
    def daemon(self) -> str:
        """Id of the daemon in use, empty while there is none."""
        stream = self._connector.stream
        return stream.daemon if stream else ""

    @property
    def draining(self) -> bool:
        """Whether the daemon asked the session to roam."""
        stream = self._connector.stream
        return stream is not None and stream.draining

    def make_request_id(self) -> str:
        """Return a globally unique request id."""
        return f"{self._name}-{next(self._numbers)}"

    async def roam(self, address: str = "") -> None:
        """Move to another daemon once open requests have ended.

        :param address: ``IP:port`` to try first
        :raises: NotRun when no daemon could be reached
        """
        self._connector.prefer(address)
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
        :param repeatable: running it twice does no harm; by default true
            of reads only
        :param rank: rank to lower the urgency to
        :param staleness: seconds to tighten the kind's bound to
        :param timeout: seconds it may take, repeats included
        :param request_id: unique id, to settle the request by later
        :raises: NotRun, UnknownOutcome, StatementFailed, InvalidInput
        """
        call = frames.Call(
            request_id=request_id or self.make_request_id(),
            database=database,
            kind=kind,
            action=requests.Action.STATEMENT,
            deadline=self._find_deadline(timeout),
            repeatable=read_only if repeatable is None else repeatable,
            text=text,
            read_only=read_only,
            rank=rank,
            staleness=staleness,
        )
        return unwrap(await self._run(call))

    async def resolve(
        self,
        request_id: str,
        database: str,
        kind: str,
        timeout: float | None = None,
    ) -> requests.Answer:
        """Settle a request of unknown outcome.

        :returns: its answer when it ran, else an answer with
            ``never_runs`` set: it may be made again under a new id
        :raises: NotRun, UnknownOutcome when it could not be settled
        """
        call = frames.Call(
            request_id=request_id,
            database=database,
            kind=kind,
            action=requests.Action.RESOLVE,
            deadline=self._find_deadline(timeout),
            repeatable=True,
        )
        return unwrap((await self.repeat(call)).result)

    def transaction(
        self,
        database: str,
        kind: str,
        *,
        read_only: bool = False,
        rank: str = "",
        timeout: float | None = None,
    ) -> transactions.Transaction:
        """Return a transaction, to be used in ``async with``.

        :param timeout: seconds that the whole transaction may take
        """
        call = frames.Call(
            request_id=self.make_request_id(),
            database=database,
            kind=kind,
            action=requests.Action.BEGIN,
            deadline=self._find_deadline(timeout),
            repeatable=True,
            read_only=read_only,
            rank=rank,
        )
        return transactions.Transaction(self, self._connector, call)

    def _find_deadline(self, timeout: float | None) -> float:
        seconds = self._options.timeout if timeout is None else timeout
        return self._clock.now() + seconds

    async def _run(self, call: frames.Call) -> frames.AnswerResult:
        """Run a call to its end, with repeats where they are safe.

        A non-repeatable call of unknown outcome is settled first; when
        it never runs, it is made again under a new id.
        """
        number = 0
        while True:
            number += 1
            tried = await self._attempt(call)
            if tried.unclear and not call.repeatable:
                tried = await self.settle(call, tried)
                call = self._rename_barred(call, tried.result)
            delay = self._plan(tried, call, number)
            if delay is None:
                return tried.result
            await asyncio.sleep(delay)

    async def settle(
        self, call: frames.Call, unclear: transactions.Attempted
    ) -> transactions.Attempted:
        """Return the outcome of a call after an unclear attempt.

        :param unclear: the attempt, returned when the call could not be
            settled within its deadline
        """
        if not self._options.settle_unknown:
            return unclear
        question = dataclasses.replace(
            call,
            action=requests.Action.RESOLVE,
            repeatable=True,
            transaction="",
            text="",
        )
        settled = await self.repeat(question)
        if settled.result.is_error():
            failed = isinstance(settled.result.error, errors.StatementFailed)
            return settled if failed else unclear
        if not settled.result.ok.never_runs:
            return settled
        barred = errors.NotRun(
            message="the request never ran",
            step=RESOLVE_STEP,
            peer=settled.result.ok.endpoint,
            field=call.request_id,
        )
        return transactions.Attempted(expression.Error(barred), None)

    def _rename_barred(
        self, call: frames.Call, result: frames.AnswerResult
    ) -> frames.Call:
        if result.is_ok() or not isinstance(result.error, errors.NotRun):
            return call
        return dataclasses.replace(call, request_id=self.make_request_id())

    async def repeat(self, call: frames.Call) -> transactions.Attempted:
        """Run a call, with repeats where they are safe; settle nothing."""
        number = 0
        while True:
            number += 1
            tried = await self._attempt(call)
            delay = self._plan(tried, call, number)
            if delay is None:
                return tried
            await asyncio.sleep(delay)

    async def _attempt(self, call: frames.Call) -> transactions.Attempted:
        acquired = await self._connector.acquire(call.deadline)
        if acquired.is_error():
            refused = expression.Error(acquired.error)
            return transactions.Attempted(refused, None)
        stream = acquired.ok
        return transactions.Attempted(await stream.ask(call), stream)

    def _plan(
        self, tried: transactions.Attempted, call: frames.Call, number: int
    ) -> float | None:
        if tried.result.is_ok():
            self._policy.record_success(call.kind)
            return None
        attempt = retries.Attempt(
            number=number,
            rank=call.kind,
            repeatable=call.repeatable,
            deadline=call.deadline,
            charged=tried.stream is not None and not tried.stream.lost,
        )
        return self._policy.next_delay(tried.result.error, attempt)


def unwrap(result: frames.AnswerResult) -> requests.Answer:
    """Return the answer of a result.

    :raises: the result's error
    """
    if result.is_error():
        raise result.error
    return result.ok
