"""Connection of a session to one daemon at a time, and its roaming."""

import asyncio
import random
import typing

import expression

from fescuestile import clock as clocks
from fescuestile import errors
from fescuestile import retries
from fescuestile_client import options as client_options
from fescuestile_client import stream as streams

STEP = "roam"

StreamResult = expression.Result[streams.Stream, errors.FescuestileError]


class Connector:
    """Opens the session's stream and replaces it when it ends or drains.

    A session uses one stream at a time, since a token issued on one stream
    does not include the positions of answers received on another. A
    draining stream is therefore replaced only once its requests and
    transactions have ended.
    """

    def __init__(
        self,
        addresses: typing.Sequence[str],
        caller: str,
        token: bytes,
        options: client_options.SessionOptions,
        clock: clocks.Clock,
        source: random.Random,
    ) -> None:
        """Initialize without a stream; ``acquire`` opens one.

        :param addresses: ``IP:port`` of the load balancer or of daemons
        :param caller: name of the caller
        :param token: session token to resume from, empty for a new session
        :param source: random source for backoff and for the order of
            addresses
        """
        self._configured = tuple(addresses)
        self._alternatives: tuple[str, ...] = ()
        self._preferred_address = ""
        self._last_left_address = ""
        self._caller = caller
        self._token = token
        self._options = options
        self._clock = clock
        self._random = source
        self._backoff = retries.Backoff(limit=options.reconnect_limit)
        self._lock = asyncio.Lock()
        self._stream: streams.Stream | None = None
        self._roam_task: asyncio.Task[StreamResult] | None = None

    @property
    def token(self) -> bytes:
        """Latest session token."""
        return self._stream.token if self._stream else self._token

    @property
    def stream(self) -> streams.Stream | None:
        """Current stream, None before the first one and after ``close``."""
        return self._stream

    async def close(self) -> None:
        """Close the stream and keep its token for a later one."""
        if self._roam_task is not None:
            self._roam_task.cancel()
            await asyncio.gather(self._roam_task, return_exceptions=True)
        if self._stream is not None:
            self._token = self._stream.token
            await self._stream.close()
            self._stream = None

    def request_roam(self, address: str) -> None:
        """Mark the stream as draining, so that the session roams.

        :param address: ``IP:port`` to try first, empty for none
        """
        self._preferred_address = address
        if self._stream is not None:
            self._stream.draining = True

    def unpin(self, stream: streams.Stream) -> None:
        """Unpin a stream, and schedule roaming if it drains."""
        stream.unpin()
        if stream.draining:
            self._schedule_roam()

    def _schedule_roam(self) -> None:
        deadline = self._clock.now() + self._options.timeout
        self._roam_task = asyncio.create_task(self.acquire(deadline))

    async def acquire(self, deadline: float) -> StreamResult:
        """Return a stream that accepts new requests, opening one if needed.

        :param deadline: monotonic seconds after which to stop trying
        :returns: the stream; NotRun when no daemon could be reached
        """
        try:
            async with asyncio.timeout(deadline - self._clock.now()):
                async with self._lock:
                    return await self._ensure_stream(deadline)
        except TimeoutError:
            return self._fail_not_run(
                "no stream to a daemon was available before the deadline"
            )

    async def _ensure_stream(self, deadline: float) -> StreamResult:
        stream = self._stream
        while stream is not None and not stream.closed:
            if not stream.draining or stream.pinned:
                return expression.Ok(stream)
            if not stream.busy:
                break
            await stream.wait_for_request_end()
        if stream is not None:
            self._detach_stream(stream)
            await stream.close()
        return await self._connect(deadline)

    def _detach_stream(self, stream: streams.Stream) -> None:
        self._token = stream.token
        self._alternatives = stream.alternatives
        self._last_left_address = stream.address
        self._stream = None

    async def _connect(self, deadline: float) -> StreamResult:
        error: errors.FescuestileError | None = None
        attempt = 0
        while self._clock.now() < deadline:
            attempt += 1
            for address in self._list_candidates():
                opened = await self._open_stream(address)
                if opened.is_ok():
                    return opened
                error = opened.error
            if isinstance(error, errors.TokenRefused | errors.InvalidInput):
                return expression.Error(error)
            await asyncio.sleep(self._backoff.draw(attempt, self._random))
        return self._fail_not_run(
            str(error)
            if error
            else "the deadline passed before a connection attempt"
        )

    async def _open_stream(self, address: str) -> StreamResult:
        stream = streams.Stream(
            address, self._options, self._clock, self._schedule_roam
        )
        opened = await stream.start(self._caller, self._token)
        if opened.is_error():
            return expression.Error(opened.error)
        self._stream = stream
        self._preferred_address = ""
        return expression.Ok(stream)

    def _list_candidates(self) -> list[str]:
        """Return addresses to try: preferred, alternatives, configured."""
        alternatives = list(self._alternatives)
        self._random.shuffle(alternatives)
        preferred = (
            [self._preferred_address] if self._preferred_address else []
        )
        candidates = dict.fromkeys(
            [*preferred, *alternatives, *self._configured]
        )
        # The address of the last stream comes last, but is not left out:
        # behind a load balancer it may now lead to another daemon.
        return sorted(
            candidates, key=lambda address: address == self._last_left_address
        )

    def _fail_not_run(self, message: str) -> StreamResult:
        return expression.Error(
            errors.NotRun(
                message=message, step=STEP, peer=",".join(self._configured)
            )
        )
