"""Endpoint stand-in: an in-memory database server of a database group."""

import asyncio
import ipaddress
import sys

import cleo.application
from cleo.commands import command
import cleo.helpers

from fescuestile import errors
from fescuestile_standins import endpoint_server
from fescuestile_standins import tls

MILLISECONDS_PER_SECOND = 1000
STEP = "read options"


class ServeCommand(command.Command):
    """Runs the endpoint until it is killed."""

    name = "serve"
    description = "Runs an endpoint stand-in"
    options = [
        cleo.helpers.option("name", description="Endpoint's name", flag=False),
        cleo.helpers.option(
            "zone", description="Availability zone", flag=False
        ),
        cleo.helpers.option(
            "address", description="IP:port to listen on", flag=False
        ),
        cleo.helpers.option(
            "database", description="Group's name", flag=False
        ),
        cleo.helpers.option(
            "peer",
            description="name=IP:port of another endpoint of the group",
            flag=False,
            multiple=True,
        ),
        cleo.helpers.option(
            "primary",
            description="First primary of a new group; without it the "
            "endpoint rejoins as one that lost its state",
            flag=False,
            default="",
        ),
        cleo.helpers.option("slots", flag=False, default="2"),
        cleo.helpers.option("connections", flag=False, default="16"),
        cleo.helpers.option("service-ms", flag=False, default="2"),
        cleo.helpers.option("connect-ms", flag=False, default="10"),
        cleo.helpers.option("replication-ms", flag=False, default="0"),
        cleo.helpers.option(
            "tls",
            description="certificate,key,authority: files for TLS",
            flag=False,
            default="",
        ),
    ]

    def handle(self) -> int:
        """Serve with the given options.

        :returns: exit code, 2 for an invalid option
        """
        try:
            options = self._read_options()
        except errors.FescuestileError as error:
            self.line_error(str(error), style="error")
            return 2
        asyncio.run(serve_forever(options))
        return 0

    def _read_options(self) -> endpoint_server.EndpointOptions:
        peers = {}
        for text in self.option("peer"):
            name, _, address = text.partition("=")
            peers[name] = _check_address("peer", address)
        primary = self.option("primary")
        own_name = self._require_option("name")
        if primary and primary != own_name and primary not in peers:
            raise _make_error(
                "primary", "the primary must be this endpoint or a peer"
            )
        return endpoint_server.EndpointOptions(
            name=own_name,
            zone=self._require_option("zone"),
            address=_check_address("address", self._require_option("address")),
            database=self._require_option("database"),
            peers=peers,
            primary=primary,
            slots=self._read_count("slots"),
            connections=self._read_count("connections"),
            service_seconds=self._read_milliseconds("service-ms"),
            connect_seconds=self._read_milliseconds("connect-ms"),
            replication_seconds=self._read_milliseconds("replication-ms"),
            tls_files=tls.parse_files(self.option("tls")),
        )

    def _require_option(self, field: str) -> str:
        value = self.option(field)
        if not value:
            raise _make_error(field, "the option is required")
        return str(value)

    def _read_count(self, field: str) -> int:
        text = self.option(field)
        if not text.isdecimal() or int(text) < 1:
            raise _make_error(
                field, f"expected a whole number of at least 1, got {text!r}"
            )
        return int(text)

    def _read_milliseconds(self, field: str) -> float:
        try:
            value = float(self.option(field))
        except ValueError:
            raise _make_error(
                field, "expected a number of milliseconds"
            ) from None
        if not value >= 0:
            raise _make_error(field, "expected milliseconds of at least 0")
        return value / MILLISECONDS_PER_SECOND


def _make_error(field: str, message: str) -> errors.InvalidInput:
    return errors.InvalidInput(message=message, step=STEP, field=field)


def _check_address(field: str, text: str) -> str:
    ip, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(ip)
    except ValueError:
        raise _make_error(field, f"expected IP:port, got {text!r}") from None
    if not port.isdecimal():
        raise _make_error(field, f"expected IP:port, got {text!r}")
    return text


async def serve_forever(options: endpoint_server.EndpointOptions) -> None:
    """Serve until the process is killed; SIGTERM ends it at once.

    :param options: behaviour of the endpoint
    """
    endpoint = endpoint_server.EndpointServer(options)
    await endpoint.start()
    print(f"listening {endpoint.address}", flush=True)
    await asyncio.Event().wait()


def main() -> int:
    """Run the command line.

    :returns: exit code
    """
    app = cleo.application.Application("endpoint")
    app.add(ServeCommand())
    app.auto_exits(False)
    sys.argv.insert(1, ServeCommand.name)
    return app.run()


if __name__ == "__main__":
    sys.exit(main())
