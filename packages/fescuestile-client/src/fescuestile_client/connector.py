"""Keeps a session connected to one daemon at a time."""

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
    """Holds the session's stream and replaces it when it ends.

    A session uses one stream at a time: a token that one stream issued
    does not know what an answer on another brought. So a stream that
    drains is left only once its requests and transactions have ended.
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
        """Take the ``IP:port`` of the balancer or of known daemons."""
        self._configured = tuple(addresses)
        self._learned: tuple[str, ...] = ()
        self._preferred = ""
        self._avoided = ""
        self._caller = caller
        self._token = token
        self._options = options
        self._clock = clock
        self._random = source
        self._backoff = retries.Backoff(limit=options.reconnect_limit)
        self._lock = asyncio.Lock()
        self._stream: streams.Stream | None = None
        self._move: asyncio.Task[StreamResult] | None = None

    @property
    def token(self) -> bytes:
        """Newest token of the session."""
        return self._stream.token if self._stream else self._token

    @property
    def stream(self) -> streams.Stream | None:
        """Stream in use, None before the first and after close."""
        return self._stream

    async def close(self) -> None:
        """Close the stream; the token is kept."""
        if self._move is not None:
            self._move.cancel()
            await asyncio.gather(self._move, return_exceptions=True)
        if self._stream is not None:
            self._token = self._stream.token
            await self._stream.close()
            self._stream = None

    def prefer(self, address: str) -> None:
        """Make the session move, to this address first when given."""
        self._preferred = address
        if self._stream is not None:
            self._stream.draining = True

    def release(self, stream: streams.Stream) -> None:
        """End a transaction's hold on a stream, and leave it if it drains."""
        stream.release()
        if stream.draining:
            self._schedule_move()

    def _schedule_move(self) -> None:
        deadline = self._clock.now() + self._options.timeout
        self._move = asyncio.create_task(self.acquire(deadline))

    async def acquire(self, deadline: float) -> StreamResult:
        """Return a stream that takes new requests.

        :param deadline: monotonic seconds at which to give up
        :returns: the stream; NotRun when no daemon could be reached
        """
        try:
            async with asyncio.timeout(deadline - self._clock.now()):
                async with self._lock:
                    return await self._ensure(deadline)
        except TimeoutError:
            return self._fail("the session's daemon did not drain in time")

    async def _ensure(self, deadline: float) -> StreamResult:
        stream = self._stream
        while stream is not None and not stream.lost:
            if not stream.draining or stream.held:
                return expression.Ok(stream)
            if not stream.busy:
                break
            await stream.wait_answer()
        if stream is not None:
            self._leave(stream)
            await stream.close()
        return await self._connect(deadline)

    def _leave(self, stream: streams.Stream) -> None:
        self._token = stream.token
        self._learned = stream.alternatives
        self._avoided = stream.address
        self._stream = None

    async def _connect(self, deadline: float) -> StreamResult:
        error: errors.FescuestileError | None = None
        number = 0
        while self._clock.now() < deadline:
            number += 1
            for address in self._list_candidates():
                opened = await self._open(address)
                if opened.is_ok():
                    return opened
                error = opened.error
            if isinstance(error, errors.TokenRefused | errors.InvalidInput):
                return expression.Error(error)
            await asyncio.sleep(self._backoff.draw(number, self._random))
        return self._fail(str(error) if error else "the deadline passed")

    async def _open(self, address: str) -> StreamResult:
        stream = streams.Stream(
            address, self._options, self._clock, self._schedule_move
        )
        opened = await stream.start(self._caller, self._token)
        if opened.is_error():
            return expression.Error(opened.error)
        self._stream = stream
        self._preferred = ""
        return expression.Ok(stream)

    def _list_candidates(self) -> list[str]:
        """Return addresses to try: asked for, learned, configured."""
        learned = list(self._learned)
        self._random.shuffle(learned)
        wanted = [self._preferred] if self._preferred else []
        ordered = dict.fromkeys([*wanted, *learned, *self._configured])
        # The daemon just left comes last: a balancer may have replaced it.
        return sorted(ordered, key=lambda address: address == self._avoided)

    def _fail(self, message: str) -> StreamResult:
        return expression.Error(
            errors.NotRun(
                message=message, step=STEP, peer=",".join(self._configured)
            )
        )
