"""Network stand-in: relays that inject network faults in scenarios.

``python -m fescuestile_standins.wire --address IP:port`` serves the
messages of ``wire_messages``; ``WireClient`` sends them.
"""

import asyncio
import itertools
import sys
import typing

import cleo.application
from cleo.commands import command as cleo_command
import cleo.helpers
import structlog
from websockets.asyncio import client as websockets_client
from websockets.asyncio import server as websockets_server

from fescuestile import addresses
from fescuestile import errors
from fescuestile_standins import wire_messages
from fescuestile_standins import wire_relay
from fescuestile_standins import wire_rules

log = structlog.get_logger(__name__)

STEP = "wire"
COMMAND_TIMEOUT_SECONDS = 5.0


class Wire:
    """Server of all relays of a test, with one set of rules."""

    def __init__(self) -> None:
        self._rules = wire_rules.Rules()
        self._relays: list[wire_relay.Relay] = []
        self._server: websockets_server.Server | None = None

    async def start(self, address: str) -> str:
        """Serve commands and return the ``IP:port`` listened on."""
        host, port = addresses.split_address(address)
        self._server = await websockets_server.serve(self._serve, host, port)
        bound = next(iter(self._server.sockets)).getsockname()[1]
        return f"{host}:{bound}"

    async def close(self) -> None:
        """Close all relays and the command server."""
        for relay in self._relays:
            await relay.close()
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    async def _serve(
        self, connection: websockets_server.ServerConnection
    ) -> None:
        async for frame in connection:
            decoded = wire_messages.CODEC.decode(_to_bytes(frame))
            if decoded.is_error():
                log.warning(
                    "command could not be decoded", error=str(decoded.error)
                )
                continue
            reply = await self._execute(decoded.ok)
            await connection.send(wire_messages.CODEC.encode(reply))

    async def _execute(
        self, command: wire_messages.Command
    ) -> wire_messages.Done:
        try:
            if isinstance(command, wire_messages.AddRelay):
                return await self._add_relay(command)
            return self._apply(command)
        except (OSError, ValueError) as error:
            return wire_messages.Done(command.id, error=str(error))

    async def _add_relay(
        self, command: wire_messages.AddRelay
    ) -> wire_messages.Done:
        target = addresses.parse_address(command.target)
        listen = addresses.parse_address(command.listen)
        relay = wire_relay.Relay(self._rules, target)
        address = await relay.start(listen)
        self._relays.append(relay)
        return wire_messages.Done(command.id, address=address)

    def _apply(
        self,
        command: wire_messages.Cut
        | wire_messages.Heal
        | wire_messages.Delay
        | wire_messages.Silence
        | wire_messages.Drop,
    ) -> wire_messages.Done:
        matching = self._find_connections(command.between)
        match command:
            case wire_messages.Cut():
                self._rules.cut(command.between)
            case wire_messages.Heal():
                self._rules.heal(command.between)
            case wire_messages.Delay():
                self._rules.delay(command.between, command.seconds)
            case wire_messages.Silence():
                for connection in matching:
                    connection.silence()
            case wire_messages.Drop():
                for connection in matching:
                    connection.drop()
        return wire_messages.Done(command.id, connections=len(matching))

    def _find_connections(
        self, between: wire_messages.Between
    ) -> list[wire_relay.RelayedConnection]:
        # Validates the sides even if no connection is open.
        wire_rules.matches(between, "127.0.0.1", "127.0.0.1")
        return [
            connection
            for relay in self._relays
            for connection in relay.connections
            if wire_rules.matches(
                between, connection.source_ip, connection.target_ip
            )
        ]


class WireClient:
    """Controls a ``Wire``.

    A rule is active when its method returns; the result is the number of
    open connections between the two sides.

    Sides are IP networks such as ``127.0.2.0/24`` (a zone) or
    ``127.0.2.1`` (a host).
    """

    def __init__(self, connection: websockets_client.ClientConnection) -> None:
        """Initialize with an open connection, see ``connect``."""
        self._connection = connection
        self._ids = itertools.count(1)

    async def add_relay(self, listen: str, target: str) -> str:
        """Add a relay; return the ``IP:port`` to connect to."""
        command = wire_messages.AddRelay(next(self._ids), listen, target)
        return (await self._send(command)).address

    async def cut(self, a: str, b: str = wire_messages.EVERYWHERE) -> int:
        """Stall all bytes between two sides."""
        between = wire_messages.Between(a, b)
        command = wire_messages.Cut(next(self._ids), between)
        return (await self._send(command)).connections

    async def heal(self, a: str, b: str = wire_messages.EVERYWHERE) -> int:
        """End the cut between the same two sides."""
        between = wire_messages.Between(a, b)
        command = wire_messages.Heal(next(self._ids), between)
        return (await self._send(command)).connections

    async def delay(
        self, seconds: float, a: str, b: str = wire_messages.EVERYWHERE
    ) -> int:
        """Delay bytes between two sides.

        :param seconds: one-way delay; 0 ends the delay
        """
        between = wire_messages.Between(a, b)
        command = wire_messages.Delay(next(self._ids), between, seconds)
        return (await self._send(command)).connections

    async def silence(self, a: str, b: str = wire_messages.EVERYWHERE) -> int:
        """Discard all bytes of the connections open now; new ones work."""
        between = wire_messages.Between(a, b)
        command = wire_messages.Silence(next(self._ids), between)
        return (await self._send(command)).connections

    async def drop(self, a: str, b: str = wire_messages.EVERYWHERE) -> int:
        """Reset the open connections between two sides."""
        between = wire_messages.Between(a, b)
        command = wire_messages.Drop(next(self._ids), between)
        return (await self._send(command)).connections

    async def close(self) -> None:
        """Close the control connection; the rules stay active."""
        await self._connection.close()

    async def _send(
        self, command: wire_messages.Command
    ) -> wire_messages.Done:
        async with asyncio.timeout(COMMAND_TIMEOUT_SECONDS):
            await self._connection.send(wire_messages.CODEC.encode(command))
            frame = await self._connection.recv()
        done: wire_messages.Done = wire_messages.CODEC.decode(
            _to_bytes(frame)
        ).ok
        if done.error:
            raise errors.InvalidInput(message=done.error, step=STEP)
        return done


def _to_bytes(frame: str | bytes) -> bytes:
    return frame.encode() if isinstance(frame, str) else frame


async def connect(address: str) -> WireClient:
    """Connect to a ``Wire`` at ``IP:port``."""
    return WireClient(await websockets_client.connect(f"ws://{address}"))


async def serve_forever(address: str) -> typing.NoReturn:
    """Serve until the process is killed."""
    bound = await Wire().start(address)
    print(f"listening {bound}", flush=True)
    while True:
        await asyncio.sleep(COMMAND_TIMEOUT_SECONDS)


class ServeCommand(cleo_command.Command):
    """Runs the relays until the process is killed."""

    name = "serve"
    description = "Runs relays that scenarios control"
    options = [
        cleo.helpers.option(
            "address", description="IP:port for commands", flag=False
        ),
    ]

    def handle(self) -> int:
        """Serve at the given address.

        :returns: exit code, 2 for an invalid option
        """
        try:
            address = addresses.parse_address(self.option("address") or "")
        except ValueError as error:
            self.line_error(f"--address: {error}", style="error")
            return 2
        asyncio.run(serve_forever(address))
        return 0


def main() -> int:
    """Run the command line.

    :returns: exit code
    """
    app = cleo.application.Application("wire")
    app.add(ServeCommand())
    app.auto_exits(False)
    sys.argv.insert(1, ServeCommand.name)
    return app.run()


if __name__ == "__main__":
    sys.exit(main())
