"""Stream of a caller: one session of requests and answers."""

import asyncio
import dataclasses
import random

import grpc
import structlog

from fescuestile import clock
from fescuestile import errors
from fescuestile import members
from fescuestile import requests
from fescuestile import sessions
from fescuestile_api import fescuestile_pb2 as pb
from fescuestile_api import models
from fescuestile_daemon import caller_budget
from fescuestile_daemon import caller_frames
from fescuestile_daemon import caller_handler
from fescuestile_daemon import entry
from fescuestile_daemon import filters
from fescuestile_daemon import published
from fescuestile_daemon import security
from fescuestile_daemon import settings
from fescuestile_daemon import snapshot_store
from fescuestile_daemon import tasks

log = structlog.get_logger(__name__)

STEP = "session"
STREAM_SEQUENCE = 0
MAX_ALTERNATIVES = 8
OPEN_RETRY_SECONDS = 0.2


@dataclasses.dataclass(frozen=True)
class CallerParts:
    """What the server depends on.

    :ivar run: filter chain of the entry daemon
    :ivar keys: signing keys of session tokens, None until they are known
    """

    run: filters.Proceed[entry.EntryExchange]
    group_snapshots: snapshot_store.SnapshotStore
    keys: published.Published[sessions.KeyRing | None]
    membership: published.Published[members.MembershipSnapshot]
    limits: settings.LimitsOptions
    time_source: clock.Clock
    transport_security: security.TransportSecurity


class ServerState:
    """What the streams of a server share.

    :ivar draining: whether new sessions are refused
    :ivar budget: bytes held for all streams
    :ivar streams: open streams
    """

    def __init__(self, parts: CallerParts) -> None:
        """Initialize without streams."""
        self.parts = parts
        self.draining = False
        self.random = random.Random()
        self.budget = caller_budget.CallerBudget(parts.limits.total_bytes)
        self.streams: set[CallerStream] = set()


class CallerStream:
    """Stream of one session."""

    def __init__(
        self,
        state: ServerState,
        context: "grpc.aio.ServicerContext[bytes, bytes]",
    ) -> None:
        """Initialize with an open stream."""
        self._state = state
        self._parts = state.parts
        self._context = context
        self._frames: asyncio.Queue[pb.DaemonFrame | None] = asyncio.Queue()
        self._share = caller_budget.Share(
            state.budget, state.parts.limits.session_bytes, self._end
        )
        self._open_deadline: asyncio.Timeout | None = None
        self._serving: asyncio.Task[None] | None = None
        self._tasks = tasks.TaskSet()
        self._in_flight = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._caller = ""
        self._tracker: sessions.SessionTracker | None = None
        self._transactions: dict[str, requests.Request] = {}

    async def serve(self, frames: caller_handler.Frames) -> None:
        """Read requests and write answers until the caller closes."""
        self._serving = asyncio.create_task(self._serve(frames))
        try:
            await asyncio.wait((self._serving,))
        finally:
            self._serving.cancel()
            await asyncio.gather(self._serving, return_exceptions=True)
        if not self._serving.cancelled():
            self._serving.result()

    async def _serve(self, frames: caller_handler.Frames) -> None:
        writer = asyncio.create_task(self._write())
        try:
            await self._read(frames)
            await self._idle.wait()
            self._frames.put_nowait(None)
            await writer
        finally:
            writer.cancel()

    async def _read(self, frames: caller_handler.Frames) -> None:
        limits = self._parts.limits
        try:
            async with asyncio.timeout(limits.open_timeout) as deadline:
                self._open_deadline = deadline
                async for data in frames:
                    if not await self._receive(data):
                        break
                    await self._share.wait_readable()
        except TimeoutError:
            self._state.budget.causes.add("no session opened")

    def _end(self) -> None:
        """End the stream without sending pending answers."""
        if self._serving is not None:
            self._serving.cancel()

    async def close(self) -> None:
        """Cancel running requests and roll back open transactions."""
        await self._tasks.close()
        for request in tuple(self._transactions.values()):
            await self._roll_back(request)
        self._share.close()

    def roam(self, reason: str) -> None:
        """Have the caller continue its session at another daemon."""
        self._put(pb.DaemonFrame(roam=pb.Roam(reason=reason)))

    async def wait_idle(self, timeout: float) -> bool:
        """Wait until no request and no transaction is open."""
        end = self._parts.time_source.now() + timeout
        while self._in_flight or self._transactions:
            remaining = end - self._parts.time_source.now()
            if remaining <= 0:
                return False
            await asyncio.sleep(min(remaining, 0.02))
        return True

    def _put(self, frame: pb.DaemonFrame) -> None:
        """Queue a frame for the caller."""
        self._frames.put_nowait(frame)
        self._share.add(frame.ByteSize())

    async def _write(self) -> None:
        while True:
            frame = await self._frames.get()
            if frame is None:
                return
            data = frame.SerializeToString()
            try:
                async with asyncio.timeout(self._parts.limits.write_timeout):
                    await self._context.write(data)
            except TimeoutError:
                self._state.budget.causes.add("answers not read")
                self._end()
                return
            except (asyncio.CancelledError, grpc.RpcError):
                raise
            except Exception as error:
                log.info(
                    "write to caller stream failed",
                    caller=self._caller,
                    error=str(error),
                )
                return
            self._share.add(-frame.ByteSize())

    async def _receive(self, data: bytes) -> bool:
        """Handle one frame; return whether to read further ones."""
        decoded = models.decode_frame(data, self._caller)
        if decoded.is_error():
            self._send_failure(STREAM_SEQUENCE, decoded.error)
            return True
        if decoded.ok.WhichOneof("frame") == "open":
            return self._open(decoded.ok.open)
        if self._tracker is None:
            self._send_failure(
                decoded.ok.request.sequence,
                _make_invalid_input(
                    "the first frame must open a session", "open"
                ),
            )
            return True
        self._start_request(decoded.ok.request, self._tracker)
        return True

    def _open(self, message: pb.Open) -> bool:
        opened = models.decode_open(message)
        if opened.is_error():
            self._send_failure(STREAM_SEQUENCE, opened.error)
            return True
        if self._state.draining:
            self.roam("the daemon is draining")
            return True
        ring = self._parts.keys.get()
        if ring is None:
            return self._refuse_open("the daemon has no signing keys yet")
        if len(self._state.streams) > self._parts.limits.sessions:
            return self._refuse_open("the daemon is at its session limit")
        caller = opened.ok.caller
        session = sessions.Session(caller)
        if opened.ok.token:
            restored = sessions.read_token(ring, opened.ok.token, caller)
            if restored.is_error():
                self._send_failure(STREAM_SEQUENCE, restored.error)
                return True
            session = restored.ok
        self._caller = caller
        self._tracker = sessions.SessionTracker(session)
        self._put(self._make_opened_frame())
        if self._open_deadline is not None:
            self._open_deadline.reschedule(None)
        return True

    def _refuse_open(self, message: str) -> bool:
        error = errors.NotRun(
            message=message,
            step=STEP,
            field="sessions",
            retry_after=OPEN_RETRY_SECONDS,
        )
        self._send_failure(STREAM_SEQUENCE, error)
        return True

    def _make_opened_frame(self) -> pb.DaemonFrame:
        membership = self._parts.membership.get()
        addresses = [
            member.caller_address
            for member in membership.sample_alternatives(
                MAX_ALTERNATIVES, self._state.random
            )
        ]
        return pb.DaemonFrame(
            opened=pb.Opened(daemon=membership.own.id, alternatives=addresses)
        )

    def _start_request(
        self, message: pb.Request, tracker: sessions.SessionTracker
    ) -> None:
        limits = self._parts.limits
        if self._in_flight >= limits.in_flight:
            self._send_failure(
                message.sequence,
                errors.NotRun(
                    message=f"more than {limits.in_flight} requests in flight",
                    step=STEP,
                    peer=self._caller,
                    field="sequence",
                    retry_after=0.05,
                ),
            )
            return
        decoded = self._decode_request(message, tracker)
        if decoded.is_error():
            self._send_failure(message.sequence, decoded.error)
            return
        self._in_flight += 1
        self._idle.clear()
        size = message.ByteSize()
        self._share.add(size)
        self._tasks.spawn(
            self._run(message.sequence, decoded.ok, tracker, size)
        )

    def _decode_request(
        self, message: pb.Request, tracker: sessions.SessionTracker
    ) -> models.DecodeResult[requests.Request]:
        group = self._parts.group_snapshots.get(message.database)
        limits = self._parts.limits
        return models.decode_request(
            message,
            self._caller,
            group.plan if group else None,
            models.RequestLimits(
                request_bytes=limits.request_bytes,
                default_deadline=limits.default_deadline,
                maximum_deadline=limits.maximum_deadline,
            ),
            self._parts.time_source.now(),
            tracker.session.find_minimum(message.database),
        )

    async def _run(
        self,
        sequence: int,
        request: requests.Request,
        tracker: sessions.SessionTracker,
        size: int,
    ) -> None:
        try:
            outcome = await self._parts.run(
                entry.EntryExchange(request, tracker)
            )
            self._record_transaction(request, outcome)
            self._send_answer(sequence, outcome, tracker)
        except Exception as error:
            log.exception("request failed", request_id=request.request_id)
            self._send_failure(
                sequence,
                errors.UnknownOutcome(message=repr(error), step=STEP),
            )
        finally:
            self._in_flight -= 1
            self._share.add(-size)
            if not self._in_flight:
                self._idle.set()

    def _send_answer(
        self,
        sequence: int,
        outcome: filters.Outcome,
        tracker: sessions.SessionTracker,
    ) -> None:
        if outcome.is_error():
            self._send_failure(sequence, outcome.error)
            return
        limits = self._parts.limits
        if len(outcome.ok.payload) > limits.answer_bytes:
            self._send_failure(
                sequence,
                errors.StatementFailed(
                    message=f"the answer exceeds {limits.answer_bytes} bytes",
                    step=STEP,
                    peer=outcome.ok.endpoint,
                    field="answer",
                ),
            )
            return
        ring = self._parts.keys.get()
        token = tracker.issue_token(ring) if ring else b""
        for frame in caller_frames.split_answer(
            sequence, outcome.ok, token, limits.chunk_bytes
        ):
            self._put(frame)

    def _record_transaction(
        self, request: requests.Request, outcome: filters.Outcome
    ) -> None:
        if request.action is requests.Action.BEGIN and outcome.is_ok():
            opened_id = outcome.ok.transaction
            self._transactions[opened_id] = dataclasses.replace(
                request, action=requests.Action.ROLLBACK, transaction=opened_id
            )
        elif request.transaction in self._transactions and _ends_transaction(
            request, outcome
        ):
            del self._transactions[request.transaction]

    async def _roll_back(self, request: requests.Request) -> None:
        deadline = (
            self._parts.time_source.now() + self._parts.limits.default_deadline
        )
        await self._parts.run(
            entry.EntryExchange(
                dataclasses.replace(request, deadline=deadline),
                sessions.SessionTracker(sessions.Session(self._caller)),
            )
        )

    def _send_failure(
        self, sequence: int, error: errors.FescuestileError
    ) -> None:
        self._put(caller_frames.encode_failure(sequence, error))


def _ends_transaction(
    request: requests.Request, outcome: filters.Outcome
) -> bool:
    """Return whether a transaction has ended after one of its requests."""
    ends = request.action in (
        requests.Action.COMMIT,
        requests.Action.ROLLBACK,
    )
    if outcome.is_ok():
        return ends
    if isinstance(outcome.error, errors.StatementFailed):
        return ends
    return not isinstance(outcome.error, errors.NotRun)


def _make_invalid_input(message: str, field: str) -> errors.InvalidInput:
    return errors.InvalidInput(message=message, step=STEP, field=field)
