"""Transactions of a session."""

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
class Attempted:
    """How a call ended.

    :ivar stream: stream that carried it, None when none did
    """

    result: frames.AnswerResult
    stream: streams.Stream | None

    @property
    def unclear(self) -> bool:
        """Whether the call may or may not have run."""
        return self.result.is_error() and isinstance(
            self.result.error, errors.UnknownOutcome
        )


class Runner(typing.Protocol):
    """What a transaction needs of its session."""

    def make_request_id(self) -> str:
        """Return a globally unique request id."""

    async def repeat(self, call: frames.Call) -> Attempted:
        """Run a call, with repeats where they are safe."""

    async def settle(self, call: frames.Call, unclear: Attempted) -> Attempted:
        """Return the outcome of a call after an unclear attempt."""


class Transaction:
    """A transaction on the daemon that began it.

    Commits at the end of the ``async with`` block, rolls back when the
    block raises. Lost before its commit, it has no effect: NotRun.
    """

    def __init__(
        self,
        runner: Runner,
        connections: connector.Connector,
        begin: frames.Call,
    ) -> None:
        """Prepare a transaction; entering the block begins it."""
        self._runner = runner
        self._connector = connections
        self._call = begin
        self._stream: streams.Stream | None = None
        self.answer: requests.Answer | None = None

    async def __aenter__(self) -> "Transaction":
        """Begin the transaction.

        :raises: NotRun, UnknownOutcome, InvalidInput
        """
        began = await self._runner.repeat(self._call)
        if began.result.is_error():
            raise began.result.error
        stream = began.stream
        if stream is None:
            raise self._build_lost()
        stream.hold()
        self._stream = stream
        self._call = dataclasses.replace(
            self._call,
            transaction=began.result.ok.transaction,
            repeatable=False,
        )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Commit, or roll back after an error.

        :raises: NotRun, UnknownOutcome, StatementFailed
        """
        stream = self._take_stream()
        try:
            if error is not None:
                await stream.ask(self._build(requests.Action.ROLLBACK))
                return
            commit = self._build(requests.Action.COMMIT)
            ended = Attempted(await stream.ask(commit), stream)
        finally:
            self._connector.release(stream)
        if ended.unclear:
            ended = await self._runner.settle(commit, ended)
        if ended.result.is_error():
            raise ended.result.error
        self.answer = ended.result.ok

    async def execute(
        self, text: str, *, read_only: bool = False
    ) -> requests.Answer:
        """Run a statement within the transaction.

        :raises: NotRun when the transaction was lost, StatementFailed
        """
        if self._stream is None:
            raise self._build_lost()
        call = self._build(
            requests.Action.STATEMENT, text=text, read_only=read_only
        )
        result = await self._stream.ask(call)
        if result.is_error():
            unclear = isinstance(result.error, errors.UnknownOutcome)
            if unclear or self._stream.lost:
                raise self._build_lost() from result.error
            raise result.error
        return result.ok

    def _take_stream(self) -> streams.Stream:
        stream = self._stream
        if stream is None:
            raise self._build_lost()
        self._stream = None
        return stream

    def _build(
        self, action: requests.Action, **changes: typing.Any
    ) -> frames.Call:
        return dataclasses.replace(
            self._call,
            action=action,
            request_id=self._runner.make_request_id(),
            **changes,
        )

    def _build_lost(self) -> errors.NotRun:
        return errors.NotRun(
            message="the transaction is not open; it has no effect",
            step=STEP,
            peer=self._stream.address if self._stream else "",
        )
