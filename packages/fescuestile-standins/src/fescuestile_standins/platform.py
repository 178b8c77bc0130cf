"""Stand-in of the platform: object store, watches, host list, faults.

Start it with ``python -m fescuestile_standins.platform --address IP:port``.
It prints ``listening IP:port`` once it accepts connections.
"""

import argparse
import asyncio
import configparser
import contextlib
import dataclasses
import itertools
import signal
import typing

import websockets
from websockets.asyncio import server

from fescuestile import clock
from fescuestile import codec
from fescuestile import errors
from fescuestile import platform_messages
from fescuestile import ports
from fescuestile_standins import platform_store
from fescuestile_standins import tls


@dataclasses.dataclass(eq=False)
class Watch:
    """Open watch of a path prefix.

    :ivar call: the call that opened the watch
    :ivar connection: connection that changes are sent on
    """

    call: platform_messages.WatchObjects
    connection: server.ServerConnection


class Platform:
    """Serves the object store to daemons and the hooks to tests."""

    def __init__(
        self,
        hosts: tuple[ports.HostEntry, ...] = (),
        time_source: clock.Clock | None = None,
    ) -> None:
        self._clock = time_source or clock.SystemClock()
        self._store = platform_store.ObjectStore()
        self._hosts = platform_store.HostList(hosts)
        self._faults = platform_messages.SetFaults(id=0)
        self._counters = platform_messages.Counters(id=0)
        self._watches: list[Watch] = []
        self._daemon_connections: set[server.ServerConnection] = set()
        self._server: server.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._handlers: dict[type, typing.Callable[..., object]] = {
            platform_messages.ReadObject: self._read,
            platform_messages.ListObjects: self._list,
            platform_messages.WriteObject: self._write,
            platform_messages.ListHosts: self._list_hosts,
            platform_messages.SetFaults: self._set_faults,
            platform_messages.SetHosts: self._set_hosts,
            platform_messages.MarkLeaving: self._mark_leaving,
            platform_messages.ReadCounters: self._read_counters,
        }

    async def start(
        self, address: str, files: tls.TlsFiles | None = None
    ) -> str:
        """Listen on ``IP:port``.

        :param address: port 0 selects a free port
        :param files: files for TLS, None for plain text
        :returns: ``IP:port`` that the server listens on
        """
        ip, _, port = address.rpartition(":")
        self._server = await server.serve(
            self._serve,
            ip,
            int(port),
            ssl=tls.create_server_context(files),
            max_size=codec.MAX_FRAME_BYTES,
            compression=None,
        )
        bound = next(iter(self._server.sockets)).getsockname()
        return f"{bound[0]}:{bound[1]}"

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    async def _serve(self, connection: server.ServerConnection) -> None:
        try:
            async for frame in connection:
                if isinstance(frame, bytes):
                    await self._receive(connection, frame)
        except websockets.ConnectionClosed:
            pass
        finally:
            self._daemon_connections.discard(connection)
            self._watches = [
                watch
                for watch in self._watches
                if watch.connection is not connection
            ]

    async def _receive(
        self, connection: server.ServerConnection, frame: bytes
    ) -> None:
        result = platform_messages.CODEC.decode(frame, "daemon")
        if result.is_error():
            await connection.close(1003, str(result.error)[:100])
            return
        message = result.ok
        if isinstance(message, platform_messages.HOOKS):
            await self._send(
                connection, self._handlers[type(message)](message)
            )
            return
        if self._faults.down:
            await connection.close(1013, "down")
            return
        self._daemon_connections.add(connection)
        self._spawn(self._answer(connection, message))

    async def _answer(
        self, connection: server.ServerConnection, message: object
    ) -> None:
        if isinstance(message, platform_messages.WatchObjects):
            await self._open_watch(connection, message)
            return
        reply = self._handlers[type(message)](message)
        is_write = isinstance(message, platform_messages.WriteObject)
        if is_write and self._faults.lose_replies > 0:
            self._faults = dataclasses.replace(
                self._faults, lose_replies=self._faults.lose_replies - 1
            )
            self._count(lost=1)
            return
        await self._delay()
        if not self._faults.down:
            await self._send(connection, reply)

    async def _delay(self) -> None:
        if self._faults.slow_ms:
            await asyncio.sleep(self._faults.slow_ms / 1000)

    async def _send(
        self, connection: server.ServerConnection, message: object
    ) -> None:
        with contextlib.suppress(websockets.ConnectionClosed):
            await connection.send(platform_messages.CODEC.encode(message))

    def _spawn(self, work: typing.Coroutine[object, object, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _count(self, **added: int) -> None:
        changes = {
            name: getattr(self._counters, name) + value
            for name, value in added.items()
        }
        self._counters = dataclasses.replace(self._counters, **changes)

    def _read(self, call: platform_messages.ReadObject) -> object:
        self._count(reads=1)
        return platform_messages.ObjectRead(
            call.id, self._store.read(call.path)
        )

    def _list(self, call: platform_messages.ListObjects) -> object:
        self._count(reads=1)
        page, more = self._store.list_page(call.prefix, call.after)
        return platform_messages.ObjectsListed(call.id, page, more)

    def _write(self, call: platform_messages.WriteObject) -> object:
        self._count(writes=1)
        before = self._store.read(call.path)
        outcome = self._store.write(call)
        if outcome.is_error():
            return _refuse(call.id, outcome.error)
        stored = outcome.ok
        if before is None or stored.version > before.version:
            self._notify(stored)
        return platform_messages.ObjectWritten(call.id, stored)

    def _list_hosts(self, call: platform_messages.ListHosts) -> object:
        self._count(reads=1)
        version, hosts = self._hosts.list_visible(self._clock.now())
        visible_hosts = None if version == call.known else hosts
        return platform_messages.HostsListed(call.id, version, visible_hosts)

    async def _open_watch(
        self,
        connection: server.ServerConnection,
        call: platform_messages.WatchObjects,
    ) -> None:
        self._count(watches=1)
        watch = Watch(call, connection)
        missed_changes = self._store.list_changes(
            call.prefix, call.after_version
        )
        self._watches.append(watch)
        for change in missed_changes:
            await self._send_change(watch, change)

    def _notify(self, change: ports.StoredObject) -> None:
        for watch in self._watches:
            if change.path.startswith(watch.call.prefix):
                self._spawn(self._send_change(watch, change))

    async def _send_change(
        self, watch: Watch, change: ports.StoredObject
    ) -> None:
        await self._delay()
        await self._send(
            watch.connection,
            platform_messages.ObjectChanged(watch.call.id, change),
        )

    def _set_faults(self, hook: platform_messages.SetFaults) -> object:
        self._faults = hook
        if hook.down:
            for connection in list(self._daemon_connections):
                self._spawn(connection.close(1013, "down"))
        return platform_messages.HookDone(hook.id)

    def _set_hosts(self, hook: platform_messages.SetHosts) -> object:
        visible_at = self._clock.now() + hook.lag_ms / 1000
        self._hosts.set_hosts(hook.hosts, visible_at)
        return platform_messages.HookDone(hook.id)

    def _mark_leaving(self, hook: platform_messages.MarkLeaving) -> object:
        visible_at = self._clock.now() + hook.lag_ms / 1000
        self._hosts.mark_leaving(hook.name, hook.leaving, visible_at)
        return platform_messages.HookDone(hook.id)

    def _read_counters(self, hook: platform_messages.ReadCounters) -> object:
        return dataclasses.replace(
            self._counters, id=hook.id, waiting=len(self._watches)
        )


def _refuse(
    call_id: int, error: errors.FescuestileError
) -> platform_messages.Refused:
    refusal = platform_messages.Refusal.INVALID
    if isinstance(error, errors.VersionConflict):
        refusal = platform_messages.Refusal.VERSION_CONFLICT
    return platform_messages.Refused(
        call_id, refusal, error.message, error.field
    )


def read_hosts(file: str) -> tuple[ports.HostEntry, ...]:
    """Return the host entries of an INI file with a section for each."""
    parser = configparser.ConfigParser()
    with open(file, encoding="utf-8") as source:
        parser.read_file(source)
    return tuple(
        ports.HostEntry(
            name=name,
            zone=parser[name]["zone"],
            address=parser[name]["address"],
            role=parser[name].get("role", "daemon"),
            leaving=parser[name].getboolean("leaving", False),
        )
        for name in parser.sections()
    )


class HookClient:
    """Sends hooks to a platform stand-in, for tests."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._ids = itertools.count(1)

    async def send(self, hook: typing.Any) -> typing.Any:
        """Send a hook message under a new id and return the reply."""
        frame = platform_messages.CODEC.encode(
            dataclasses.replace(hook, id=next(self._ids))
        )
        uri = f"ws://{self._address}"
        async with websockets.connect(uri, compression=None) as connection:
            await connection.send(frame)
            reply = await connection.recv()
        assert isinstance(reply, bytes)
        return platform_messages.CODEC.decode(reply).ok


async def run(
    address: str,
    hosts: tuple[ports.HostEntry, ...],
    files: tls.TlsFiles | None = None,
) -> None:
    """Serve until SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    platform = Platform(hosts)
    print("listening", await platform.start(address, files), flush=True)
    await stopped.wait()
    await platform.close()


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(prog="platform")
    parser.add_argument("--address", required=True, help="IP:port")
    parser.add_argument("--hosts", help="INI file of host entries")
    parser.add_argument("--tls", default="", help="certificate,key,authority")
    arguments = parser.parse_args()
    hosts = read_hosts(arguments.hosts) if arguments.hosts else ()
    files = tls.parse_files(arguments.tls)
    asyncio.run(run(arguments.address, hosts, files))


if __name__ == "__main__":
    main()
