"""Adapter of the platform port to the platform's message protocol.

One connection for calls, opened when needed, and one for each watch.
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
BACKOFF_FIRST_SECONDS = 0.1
BACKOFF_LIMIT_SECONDS = 5.0

Call = expression.Result[typing.Any, errors.FescuestileError]


class Backoff:
    """Jittered exponential delay between attempts to connect."""

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._failures = 0
        self._retry_at = float("-inf")

    def is_open(self, now: float) -> bool:
        """Tell whether an attempt may be made."""
        return now >= self._retry_at

    def fail(self, now: float) -> None:
        """Note a failed attempt."""
        delay = min(
            BACKOFF_LIMIT_SECONDS,
            BACKOFF_FIRST_SECONDS * 2 ** min(self._failures, 16),
        )
        self._failures += 1
        self._retry_at = now + self._random.uniform(0, delay)

    def succeed(self) -> None:
        """Forget the failures."""
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
        """Take the platform's addresses.

        :param front_ends: ``IP:port`` of each; the next one is tried
            when one fails
        :param own_ip: source address of the connections
        :param timeout: seconds until a call counts as unanswered
        :param context: TLS context, None for plain text
        """
        self._context = context
        self._front_ends = tuple(front_ends)
        self._turn = 0
        self._source = (own_ip, 0) if own_ip else None
        self._timeout = timeout
        self._backoff = Backoff(random_source or random.Random())
        self._ids = itertools.count(1)
        self._connection: client.ClientConnection | None = None
        self._connecting = asyncio.Lock()
        self._reader: asyncio.Task[None] | None = None
        self._waiting: dict[int, asyncio.Future[typing.Any]] = {}
        self._hosts: tuple[ports.HostEntry, ...] = ()
        self._hosts_version = 0

    @property
    def _address(self) -> str:
        return self._front_ends[self._turn % len(self._front_ends)]

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
                    f"{path} holds {len(value)} bytes, over a megabyte",
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
        """Yield changes under a prefix until the platform is lost."""
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
        """Return the host list; an unchanged list is not sent again."""
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
        """Close the connection; calls in flight end as unanswered."""
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
            if not self._backoff.is_open(now):
                return None
            try:
                self._connection = await self._dial()
            except (OSError, websockets.WebSocketException):
                self._turn += 1
                self._backoff.fail(asyncio.get_running_loop().time())
                return None
            self._reader = asyncio.create_task(self._read_replies())
            return self._connection

    async def _read_replies(self) -> None:
        connection = self._connection
        assert connection is not None
        try:
            async for frame in connection:
                reply = self._decode(frame)
                waiter = self._waiting.pop(getattr(reply, "id", 0), None)
                if waiter is not None and not waiter.done():
                    waiter.set_result(reply)
                    self._backoff.succeed()
        except websockets.ConnectionClosed:
            pass
        finally:
            self._connection = None
            self._turn += 1
            self._backoff.fail(asyncio.get_running_loop().time())
            for waiter in self._waiting.values():
                if not waiter.done():
                    waiter.set_result(None)
            self._waiting.clear()

    def _decode(self, frame: bytes | str) -> object:
        if isinstance(frame, str):
            return None
        return platform_messages.CODEC.decode(
            frame, self._address
        ).default_value(None)

    async def _call(self, call: typing.Any) -> Call:
        connection = await self._connect()
        if connection is None:
            return self._unavailable("not connected")
        waiter: asyncio.Future[typing.Any] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting[call.id] = waiter
        try:
            async with asyncio.timeout(self._timeout):
                await connection.send(platform_messages.CODEC.encode(call))
                reply = await waiter
        except TimeoutError:
            return self._unavailable(f"no answer in {self._timeout:g} s")
        except websockets.ConnectionClosed:
            return self._unavailable("the connection ended")
        finally:
            self._waiting.pop(call.id, None)
        if reply is None:
            return self._unavailable("the connection ended")
        if isinstance(reply, platform_messages.Refused):
            return expression.Error(self._translate(reply))
        return expression.Ok(reply)

    def _unavailable(self, message: str) -> Call:
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
