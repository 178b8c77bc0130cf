"""Daemon without a fleet behind it, for tests of the client library.

A function of the test handles its requests. Its writes are recorded in a
log that several fakes can share.
"""

import asyncio
import dataclasses
import typing

import grpc

from fescuestile_api import fescuestile_pb2 as pb
from fescuestile_api import fescuestile_pb2_grpc as pb_grpc

Send = typing.Callable[[pb.DaemonFrame], typing.Awaitable[None]]
Handler = typing.Callable[
    ["FakeDaemon", pb.Request, Send], typing.Awaitable[None]
]


@dataclasses.dataclass
class Log:
    """Record of what ran.

    :ivar ran: texts of the writes by request id
    :ivar never_run: request ids that were resolved as never running
    """

    ran: dict[str, str] = dataclasses.field(default_factory=dict)
    never_run: set[str] = dataclasses.field(default_factory=set)


def build_chunk(request: pb.Request, payload=b"", **fields) -> pb.DaemonFrame:
    """Return a chunk, by default the only one of an answer."""
    chunk = {"chunk": 0, "last": True} | fields
    answer = pb.AnswerChunk(
        sequence=request.sequence, payload=payload, **chunk
    )
    return pb.DaemonFrame(answer=answer)


def build_failure(request, code, retry_after_ms=0) -> pb.DaemonFrame:
    """Return the answer of a request that failed."""
    failure = pb.Failure(
        code=code, message="no", step="admit", retry_after_ms=retry_after_ms
    )
    return build_chunk(request, failure=failure)


async def run_write(daemon, request: pb.Request, send: Send) -> None:
    """Run a write or resolve one, according to the log of the fake."""
    log = daemon.log
    if request.WhichOneof("action") == "resolve":
        ran = request.request_id in log.ran
        if not ran:
            log.never_run.add(request.request_id)
        execution = pb.Execution(repeated=ran, never_runs=not ran)
    elif request.request_id in log.never_run:
        await send(build_failure(request, pb.NOT_RUN))
        return
    else:
        log.ran[request.request_id] = request.statement.text
        execution = pb.Execution(transaction=request.transaction)
    if request.WhichOneof("action") == "begin":
        execution.transaction = f"t-{request.request_id}"
    token = daemon.name.encode()
    await send(build_chunk(request, execution=execution, token=token))


class FakeDaemon(pb_grpc.CallerServiceServicer):
    """Serves callers' streams on a port that the OS assigns.

    :ivar unresponsive: sessions are not opened
    :ivar draining: sessions are asked to roam instead of opened
    """

    def __init__(self, name="daemon-1", handler=run_write, log=None):
        """Initialize with the function that answers requests."""
        self.name = name
        self.handler = handler
        self.log = log or Log()
        self.alternatives: list[str] = []
        self.open_messages: list[pb.Open] = []
        self.requests: list[pb.Request] = []
        self.sends: list[Send] = []
        self.unresponsive = False
        self.draining = False
        self.address = ""
        self._server = grpc.aio.server()
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self):
        """Start listening."""
        pb_grpc.add_CallerServiceServicer_to_server(self, self._server)
        port = self._server.add_insecure_port("127.0.0.1:0")
        self.address = f"127.0.0.1:{port}"
        await self._server.start()
        return self

    async def __aexit__(self, *_):
        """Stop listening and end all streams."""
        await self.stop()

    async def stop(self):
        """End all streams at once, as a killed daemon would."""
        await self._server.stop(None)

    async def roam(self):
        """Ask all sessions to roam."""
        for send in self.sends:
            await send(pb.DaemonFrame(roam=pb.Roam(reason="drain")))

    async def Session(self, frames, context):  # noqa: N802
        """Serve one session."""
        open_message = (await anext(aiter(frames))).open
        self.open_messages.append(open_message)
        if open_message.token == b"garbled":
            await context.abort(grpc.StatusCode.UNAUTHENTICATED, "garbled")
        if self.draining:
            roam = pb.DaemonFrame(roam=pb.Roam(reason="drain"))
            await context.write(roam)
        if self.unresponsive or self.draining:
            await asyncio.Event().wait()
        opened = pb.Opened(daemon=self.name, alternatives=self.alternatives)
        await context.write(pb.DaemonFrame(opened=opened))
        lock = asyncio.Lock()

        async def send(frame):
            async with lock:
                await context.write(frame)

        self.sends.append(send)
        async for frame in frames:
            self.requests.append(frame.request)
            handling = self.handler(self, frame.request, send)
            task = asyncio.create_task(handling)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
