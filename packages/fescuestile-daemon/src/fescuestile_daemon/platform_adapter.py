"""Adapter of the platform port to the platform's message protocol.

It keeps one connection for calls, opened on demand, and one for each watch.
"""

import asyncio
import contextlib
import itertools
import random
import ssl
import typing

import expression
import websockets
from websockets.asyncio import client

from fescuestile import codec
from fescuestile import errors
from fescuestile import platform_messages
from fescuestile import ports
from fescuestile_daemon import security

STEP = "platform"
CALL_TIMEOUT_SECONDS = 2.0
CONNECT_TIMEOUT_SECONDS = 1.0
INITIAL_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 5.0

Call = expression.Result[typing.Any, errors.FescuestileError]


class Backoff:
    """Exponential backoff with jitter between attempts to connect."""

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._failures = 0
        self._retry_at = float("-inf")

    def allows_attempt(self, now: float) -> bool:
        """Return whether an attempt may be made at a time."""
        return now >= self._retry_at

    def record_failure(self, now: float) -> None:
        """Record a failed attempt and draw the delay until the next."""
        delay = min(
            MAX_BACKOFF_SECONDS,
            INITIAL_BACKOFF_SECONDS * 2 ** min(self._failures, 16),
        )
        self._failures += 1
        self._retry_at = now + self._random.uniform(0, delay)

    def reset(self) -> None:
        """Reset the delay after a successful call."""
        self._failures = 0
        self._retry_at = float("-inf")


class PlatformAdapter(ports.Platform):
    """The platform, reached over a websocket."""

    def __init__(
        self,
        front_ends: typing.Sequence[str],
        own_ip: str | None = None,
        timeout: float = CALL_TIMEOUT_SECONDS,
        random_source: random.Random | None = None,
        context: ssl.SSLContext | None = None,
    ) -> None:
        """Initialize with the platform's addresses.

        :param front_ends: ``IP:port`` of each; after a failure
            the next one is used
        :param own_ip: source address of the connections
        :param timeout: seconds until a call counts as unanswered
        :param context: TLS context, None for plain text
        """
        self._context = context
        self._front_ends = tuple(front_ends)
        self._front_end_index = 0
        self._source = (own_ip, 0) if own_ip else None
        self._timeout = timeout
        self._backoff = Backoff(random_source or random.Random())
        self._ids = itertools.count(1)
        self._connection: client.ClientConnection | None = None
        self._connecting = asyncio.Lock()
        self._reader: asyncio.Task[None] | None = None
        self._pending: dict[int, asyncio.Future[typing.Any]] = {}
        self._hosts: tuple[ports.HostEntry, ...] = ()
        self._hosts_version = 0

    @property
    def _address(self) -> str:
        return self._front_ends[self._front_end_index % len(self._front_ends)]

    async def read(
        self, path: str
    ) -> expression.Result[ports.StoredObject | None, errors.FescuestileError]:
        """Return the object at a path, None when there is none."""
        call = platform_messages.ReadObject(next(self._ids), path)
        return (await self._call(call)).map(lambda reply: reply.found)

    async def list_objects(
        self, prefix: str
    ) -> expression.Result[
        tuple[ports.StoredObject, ...], errors.FescuestileError
    ]:
        """Return all objects under a prefix."""
        found: list[ports.StoredObject] = []
        more = True
        while more:
            after = found[-1].path if found else ""
            result = await self._call(
                platform_messages.ListObjects(next(self._ids), prefix, after)
            )
            if result.is_error():
                return expression.Error(result.error)
            found.extend(result.ok.objects)
            more = result.ok.more
        return expression.Ok(tuple(found))

    async def write(
        self,
        path: str,
        value: bytes,
        expected_version: int,
        change_id: str,
    ) -> ports.WriteResult:
        """Write an object on condition of its current version."""
        if len(value) > platform_messages.MAX_VALUE_BYTES:
            return expression.Error(
                errors.InvalidInput(
                    f"{path} has {len(value)} bytes, more than one megabyte",
                    STEP,
                    self._address,
                    "value",
                )
            )
        call = platform_messages.WriteObject(
            next(self._ids), path, value, expected_version, change_id
        )
        return (await self._call(call)).map(lambda reply: reply.stored)

    async def watch(
        self, prefix: str, after_version: int
    ) -> typing.AsyncIterator[ports.StoredObject]:
        """Yield changes under a prefix until the connection is lost."""
        call = platform_messages.WatchObjects(
            next(self._ids), prefix, after_version
        )
        with contextlib.suppress(OSError, websockets.WebSocketException):
            async with self._dial() as connection:
                await connection.send(platform_messages.CODEC.encode(call))
                async for frame in connection:
                    reply = self._decode(frame)
                    if isinstance(reply, platform_messages.ObjectChanged):
                        yield reply.changed

    async def list_hosts(
        self,
    ) -> expression.Result[
        tuple[ports.HostEntry, ...], errors.FescuestileError
    ]:
        """Return the host list; the platform sends it only when it changed."""
        result = await self._call(
            platform_messages.ListHosts(next(self._ids), self._hosts_version)
        )
        if result.is_error():
            return expression.Error(result.error)
        if result.ok.hosts is not None:
            self._hosts = result.ok.hosts
            self._hosts_version = result.ok.version
        return expression.Ok(self._hosts)

    async def close(self) -> None:
        """Close the connection; calls in flight end with an error."""
        if self._connection is not None:
            await self._connection.close()
        if self._reader is not None:
            await self._reader

    def _dial(self) -> client.connect:
        return client.connect(
            security.make_uri(self._address, self._context),
            ssl=self._context,
            open_timeout=CONNECT_TIMEOUT_SECONDS,
            close_timeout=CONNECT_TIMEOUT_SECONDS,
            ping_interval=self._timeout,
            ping_timeout=self._timeout,
            max_size=codec.MAX_FRAME_BYTES,
            compression=None,
            local_addr=self._source,
        )

    async def _connect(self) -> client.ClientConnection | None:
        async with self._connecting:
            if self._connection is not None:
                return self._connection
            now = asyncio.get_running_loop().time()
            if not self._backoff.allows_attempt(now):
                return None
            try:
                self._connection = await self._dial()
            except (OSError, websockets.WebSocketException):
                self._front_end_index += 1
                self._backoff.record_failure(asyncio.get_running_loop().time())
                return None
            self._reader = asyncio.create_task(self._read_replies())
            return self._connection

    async def _read_replies(self) -> None:
        connection = self._connection
        assert connection is not None
        try:
            async for frame in connection:
                reply = self._decode(frame)
                pending = self._pending.pop(getattr(reply, "id", 0), None)
                if pending is not None and not pending.done():
                    pending.set_result(reply)
                    self._backoff.reset()
        except websockets.ConnectionClosed:
            pass
        finally:
            self._connection = None
            self._front_end_index += 1
            self._backoff.record_failure(asyncio.get_running_loop().time())
            for pending in self._pending.values():
                if not pending.done():
                    pending.set_result(None)
            self._pending.clear()

    def _decode(self, frame: bytes | str) -> object:
        if isinstance(frame, str):
            return None
        return platform_messages.CODEC.decode(
            frame, self._address
        ).default_value(None)

    async def _call(self, call: typing.Any) -> Call:
        connection = await self._connect()
        if connection is None:
            return self._make_unavailable("not connected")
        pending: asyncio.Future[typing.Any] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending[call.id] = pending
        try:
            async with asyncio.timeout(self._timeout):
                await connection.send(platform_messages.CODEC.encode(call))
                reply = await pending
        except TimeoutError:
            return self._make_unavailable(f"no answer in {self._timeout:g} s")
        except websockets.ConnectionClosed:
            return self._make_unavailable("the connection ended")
        finally:
            self._pending.pop(call.id, None)
        if reply is None:
            return self._make_unavailable("the connection ended")
        if isinstance(reply, platform_messages.Refused):
            return expression.Error(self._translate(reply))
        return expression.Ok(reply)

    def _make_unavailable(self, message: str) -> Call:
        return expression.Error(
            errors.PlatformUnavailable(message, STEP, self._address)
        )

    def _translate(
        self, refused: platform_messages.Refused
    ) -> errors.FescuestileError:
        conflict = platform_messages.Refusal.VERSION_CONFLICT
        if refused.refusal is conflict:
            return errors.VersionConflict(
                refused.message, STEP, self._address, refused.field
            )
        return errors.InvalidInput(
            refused.message, STEP, self._address, refused.field
        )
