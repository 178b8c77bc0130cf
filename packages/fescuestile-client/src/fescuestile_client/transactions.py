"""Transactions on a session's stream."""

import dataclasses
import types
import typing

from fescuestile import errors
from fescuestile import requests
from fescuestile_client import connector
from fescuestile_client import frames
from fescuestile_client import stream as streams

STEP = "transaction"


@dataclasses.dataclass(frozen=True, slots=True)
class CallOutcome:
    """Result of a call and the stream that it was sent on.

    :ivar stream: None when no stream was available
    """

    result: frames.AnswerResult
    stream: streams.Stream | None

    @property
    def unknown(self) -> bool:
        """Whether the call may or may not have run."""
        return self.result.is_error() and isinstance(
            self.result.error, errors.UnknownOutcome
        )


class CallRunner(typing.Protocol):
    """Operations of the session that a transaction uses."""

    def make_request_id(self) -> str:
        """Return a globally unique request id."""

    async def run_with_retries(self, call: frames.Call) -> CallOutcome:
        """Run a call, retrying where that is safe."""

    async def resolve_outcome(
        self, call: frames.Call, unresolved: CallOutcome
    ) -> CallOutcome:
        """Resolve a call whose attempt ended with an unknown outcome."""


class Transaction:
    """Transaction on the stream on which it began.

    It commits at the end of the ``async with`` block and rolls back when
    the block raises. When the stream is lost before the commit is sent,
    the transaction has no effect and ends as NotRun.
    """

    def __init__(
        self,
        runner: CallRunner,
        session_connector: connector.Connector,
        begin: frames.Call,
    ) -> None:
        """Initialize; entering the ``async with`` block begins it.

        :param begin: call that begins the transaction
        """
        self._runner = runner
        self._connector = session_connector
        self._call_template = begin
        self._stream: streams.Stream | None = None
        self.answer: requests.Answer | None = None

    async def __aenter__(self) -> "Transaction":
        """Begin the transaction.

        :raises: NotRun, UnknownOutcome, InvalidInput
        """
        outcome = await self._runner.run_with_retries(self._call_template)
        if outcome.result.is_error():
            raise outcome.result.error
        stream = outcome.stream
        if stream is None:
            raise self._build_not_open()
        stream.pin()
        self._stream = stream
        self._call_template = dataclasses.replace(
            self._call_template,
            transaction=outcome.result.ok.transaction,
            repeatable=False,
        )
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Commit, or roll back after an error.

        :raises: NotRun, UnknownOutcome, StatementFailed
        """
        stream = self._detach_stream()
        try:
            if exc is not None:
                await stream.request(
                    self._build_call(requests.Action.ROLLBACK)
                )
                return
            commit = self._build_call(requests.Action.COMMIT)
            outcome = CallOutcome(await stream.request(commit), stream)
        finally:
            self._connector.unpin(stream)
        if outcome.unknown:
            outcome = await self._runner.resolve_outcome(commit, outcome)
        if outcome.result.is_error():
            raise outcome.result.error
        self.answer = outcome.result.ok

    async def execute(
        self, text: str, *, read_only: bool = False
    ) -> requests.Answer:
        """Run a statement within the transaction.

        :raises: NotRun when the transaction was lost, StatementFailed
        """
        if self._stream is None:
            raise self._build_not_open()
        call = self._build_call(
            requests.Action.STATEMENT, text=text, read_only=read_only
        )
        result = await self._stream.request(call)
        if result.is_error():
            unknown = isinstance(result.error, errors.UnknownOutcome)
            if unknown or self._stream.closed:
                raise self._build_not_open() from result.error
            raise result.error
        return result.ok

    def _detach_stream(self) -> streams.Stream:
        stream = self._stream
        if stream is None:
            raise self._build_not_open()
        self._stream = None
        return stream

    def _build_call(
        self, action: requests.Action, **changes: typing.Any
    ) -> frames.Call:
        return dataclasses.replace(
            self._call_template,
            action=action,
            request_id=self._runner.make_request_id(),
            **changes,
        )

    def _build_not_open(self) -> errors.NotRun:
        return errors.NotRun(
            message="the transaction is not open and has no effect",
            step=STEP,
            peer=self._stream.address if self._stream else "",
        )
