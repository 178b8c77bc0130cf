"""Stream of pipelined requests to one daemon."""

import asyncio
import collections
import dataclasses
import itertools
import typing

import expression
import grpc

from fescuestile import clock as clocks
from fescuestile import errors
from fescuestile_api import fescuestile_pb2 as pb
from fescuestile_api import fescuestile_pb2_grpc as pb_grpc
from fescuestile_client import frames
from fescuestile_client import options as client_options

OPEN_STEP = "open stream"
SEND_STEP = "send request"
WAIT_STEP = "wait for answer"
# Sequence number of a failure that answers the Open frame.
OPEN_SEQUENCE = 0


@dataclasses.dataclass(eq=False)
class _Pending:
    """Request whose answer is outstanding.

    :ivar sent_at: monotonic seconds, None while it waits to be sent
    """

    frame: pb.CallerFrame
    assembler: frames.Assembler
    answer: asyncio.Future[frames.AnswerResult]
    sent_at: float | None = None


class Stream:
    """Sends pipelined requests and matches answers by sequence number."""

    def __init__(
        self,
        address: str,
        options: client_options.SessionOptions,
        clock: clocks.Clock,
        on_drain: typing.Callable[[], None],
    ) -> None:
        """Initialize an unopened stream; ``start`` opens it.

        :param address: ``IP:port`` of the daemon
        :param on_drain: called once when the daemon requests roaming
        """
        self.address = address
        self.daemon = ""
        self.alternatives: tuple[str, ...] = ()
        self.token = b""
        self.draining = False
        self._on_drain = on_drain
        self._options = options
        self._clock = clock
        self._sequences = itertools.count(OPEN_SEQUENCE + 1)
        self._pending: dict[int, _Pending] = {}
        self._unsent: collections.deque[_Pending] = collections.deque()
        self._unsent_added = asyncio.Event()
        self._request_ended = asyncio.Event()
        self._pin_count = 0
        self._opened: asyncio.Future[None] | None = None
        self._error: errors.FescuestileError | None = None
        self._received_at = 0.0
        self._tasks: list[asyncio.Task[None]] = []
        self._channel: grpc.aio.Channel | None = None
        self._call: typing.Any = None

    @property
    def closed(self) -> bool:
        """Whether the stream failed or was closed."""
        return self._error is not None

    @property
    def pinned(self) -> bool:
        """Whether an open transaction keeps the session on this stream."""
        return self._pin_count > 0

    def pin(self) -> None:
        """Keep the session on this stream until ``unpin``."""
        self._pin_count += 1

    def unpin(self) -> None:
        """Undo one call of ``pin``."""
        self._pin_count -= 1

    @property
    def busy(self) -> bool:
        """Whether answers are outstanding."""
        return bool(self._pending)

    async def wait_for_request_end(self) -> None:
        """Wait until the next request ends, with or without an answer."""
        self._request_ended.clear()
        await self._request_ended.wait()

    async def start(
        self, caller: str, token: bytes
    ) -> expression.Result[None, errors.FescuestileError]:
        """Open the stream and wait until the daemon opened the session.

        :param token: token to resume from, empty for a new session
        """
        self.token = token
        self._opened = asyncio.get_running_loop().create_future()
        self._channel = self._build_channel()
        self._call = pb_grpc.CallerServiceStub(self._channel).Session()
        self._tasks = [
            asyncio.create_task(self._read_frames()),
            asyncio.create_task(self._write_frames(caller, token)),
        ]
        try:
            async with asyncio.timeout(self._options.connect_timeout):
                await self._opened
        except TimeoutError:
            self._abort(
                self._build_connection_lost(
                    "the daemon did not open a session"
                )
            )
        except asyncio.CancelledError:
            await self.close()
            raise
        if self._error is not None:
            await self.close()
            return expression.Error(self._error)
        return expression.Ok(None)

    def _build_channel(self) -> grpc.aio.Channel:
        settings = [("grpc.max_receive_message_length", -1)]
        if self._options.credentials is None:
            return grpc.aio.insecure_channel(self.address, options=settings)
        return grpc.aio.secure_channel(
            self.address, self._options.credentials, options=settings
        )

    async def close(self) -> None:
        """Close the stream and fail the outstanding requests.

        Unsent requests end as NotRun, sent ones as UnknownOutcome.
        """
        self._abort(
            self._build_connection_lost("the session closed the stream")
        )
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._call is not None:
            self._call.cancel()
        if self._channel is not None:
            await self._channel.close(None)

    async def request(self, call: frames.Call) -> frames.AnswerResult:
        """Send a request and return its answer.

        :returns: the answer; NotRun when the request provably was not
            sent, UnknownOutcome when it was sent and no answer arrived
        """
        if self._error is not None:
            return self._fail_unsent(self._error.message)
        sequence = next(self._sequences)
        pending = self._enqueue(call, sequence)
        remaining = (
            call.deadline - self._clock.now() + self._options.answer_grace
        )
        try:
            async with asyncio.timeout(max(0.0, remaining)):
                return await pending.answer
        except TimeoutError:
            return self._expire(pending)
        finally:
            self._pending.pop(sequence, None)
            # Keeps an unsent request that was cancelled or expired from
            # being sent.
            pending.answer.cancel()
            self._request_ended.set()

    def _enqueue(self, call: frames.Call, sequence: int) -> _Pending:
        pending = _Pending(
            frame=frames.build_request(call, sequence, self._clock.now()),
            assembler=frames.Assembler(
                self.daemon or self.address, self._options.max_answer_bytes
            ),
            answer=asyncio.get_running_loop().create_future(),
        )
        self._pending[sequence] = pending
        self._unsent.append(pending)
        self._unsent_added.set()
        return pending

    def _expire(self, pending: _Pending) -> frames.AnswerResult:
        if pending.sent_at is None:
            return self._fail_unsent(
                "the deadline passed before the request was sent"
            )
        if self._received_at < pending.sent_at:
            self._abort(
                self._build_connection_lost(
                    "no response on the stream since the request was sent"
                )
            )
        return self._fail_unknown("no answer before the deadline")

    async def _write_frames(self, caller: str, token: bytes) -> None:
        try:
            await self._call.write(frames.build_open(caller, token))
            while True:
                while self._unsent:
                    await self._send(self._unsent.popleft())
                self._unsent_added.clear()
                await self._unsent_added.wait()
        except (grpc.RpcError, asyncio.InvalidStateError) as error:
            self._abort(self._build_connection_lost(_describe(error)))

    async def _send(self, pending: _Pending) -> None:
        if pending.answer.done():
            return
        pending.sent_at = self._clock.now()
        await self._call.write(pending.frame)

    async def _read_frames(self) -> None:
        try:
            async for frame in self._call:
                self._received_at = self._clock.now()
                self._handle_frame(frame)
            self._abort(
                self._build_connection_lost("the daemon ended the stream")
            )
        except grpc.RpcError as error:
            self._abort(self._convert_rpc_error(error))

    def _handle_frame(self, frame: pb.DaemonFrame) -> None:
        match frame.WhichOneof("frame"):
            case "opened":
                self._handle_opened(frame.opened)
            case "answer":
                self._handle_chunk(frame.answer)
            case "roam":
                self._handle_roam()

    def _handle_opened(self, opened: pb.Opened) -> None:
        self.daemon = opened.daemon
        self.alternatives = tuple(opened.alternatives)
        if self._opened is not None and not self._opened.done():
            self._opened.set_result(None)

    def _handle_roam(self) -> None:
        if self._opened is not None and not self._opened.done():
            self._abort(
                self._build_connection_lost(
                    "the daemon drains and accepts no new sessions"
                )
            )
        elif not self.draining:
            self.draining = True
            self._on_drain()

    def _handle_chunk(self, chunk: pb.AnswerChunk) -> None:
        if chunk.last and chunk.token:
            self.token = chunk.token
        if chunk.sequence == OPEN_SEQUENCE and chunk.HasField("failure"):
            self._abort(frames.decode_failure(chunk.failure, self.address))
            return
        pending = self._pending.get(chunk.sequence)
        if pending is None or pending.answer.done():
            # A late or repeated answer: the request has ended already.
            return
        result = pending.assembler.add(chunk)
        if result is not None:
            pending.answer.set_result(result)

    def _abort(self, error: errors.FescuestileError) -> None:
        if self._error is not None:
            return
        self._error = error
        if self._opened is not None and not self._opened.done():
            self._opened.set_result(None)
        for pending in tuple(self._pending.values()):
            if pending.answer.done():
                continue
            unsent = pending.sent_at is None
            fail = self._fail_unsent if unsent else self._fail_unknown
            pending.answer.set_result(fail(error.message))

    def _build_connection_lost(self, message: str) -> errors.ConnectionLost:
        return errors.ConnectionLost(
            message=message, step=OPEN_STEP, peer=self.address
        )

    def _convert_rpc_error(
        self, error: grpc.RpcError
    ) -> errors.FescuestileError:
        code = error.code()
        if code == grpc.StatusCode.UNAUTHENTICATED:
            error_class: type[errors.FescuestileError] = errors.TokenRefused
        elif code == grpc.StatusCode.INVALID_ARGUMENT:
            error_class = errors.InvalidInput
        else:
            error_class = errors.ConnectionLost
        return error_class(
            message=_describe(error), step=OPEN_STEP, peer=self.address
        )

    def _fail_unsent(self, message: str) -> frames.AnswerResult:
        return expression.Error(
            errors.NotRun(message=message, step=SEND_STEP, peer=self.address)
        )

    def _fail_unknown(self, message: str) -> frames.AnswerResult:
        return expression.Error(
            errors.UnknownOutcome(
                message=message, step=WAIT_STEP, peer=self.address
            )
        )


def _describe(error: Exception) -> str:
    details = getattr(error, "details", None)
    return (details() if callable(details) else None) or str(error)
