"""A small deployment of real processes for scenarios and the demo."""

import asyncio
import configparser
import dataclasses
import typing
import uuid

import grpc

from fescuestile import errors
from fescuestile import plans
from fescuestile_api import fescuestile_pb2 as pb
from fescuestile_api import fescuestile_pb2_grpc as pb_grpc
from fescuestile_api import models
from fescuestile_client import options as client_options
from fescuestile_client import session as client_session
from fescuestile_standins import hosts
from fescuestile_standins import launcher as launchers
from fescuestile_standins import wire as wires

ZONES = ("muenchen", "ingolstadt", "landshut")
FIRST_ENDPOINT_HOST = 11
# Added to a daemon's host number for the IP address that it listens on.
# Listening and outgoing connections use different IP addresses, so that no
# outgoing connection occupies a port that a daemon is about to listen on.
LISTENING_HOST_OFFSET = 5
PLATFORM_MODULE = "fescuestile_standins.platform"
ENDPOINT_MODULE = "fescuestile_standins.endpoint"
WIRE_MODULE = "fescuestile_standins.wire"
DAEMON_BINARY = "fescuestiled"
CALL_TIMEOUT_SECONDS = 5.0
SERVE_TIMEOUT_SECONDS = 20.0
POLL_SECONDS = 0.05

SettingsChanges = typing.Mapping[str, typing.Mapping[str, str]]


@dataclasses.dataclass(frozen=True)
class GroupOptions:
    """Behaviour of the endpoints of one database group.

    :ivar size: number of endpoints, distributed over the zones round-robin
    :ivar slots: statements that an endpoint runs at the same time
    :ivar connections: connections that an endpoint accepts
    :ivar service_ms: milliseconds that a statement takes
    :ivar connect_ms: milliseconds until a connection is accepted
    :ivar replication_ms: replication delay in milliseconds
    :ivar last_replica_extra_ms: additional replication delay of the last
        replica, in milliseconds
    """

    database: str = "werkstatt-db"
    size: int = 3
    slots: int = 2
    connections: int = 16
    service_ms: float = 2.0
    connect_ms: float = 10.0
    replication_ms: float = 0.0
    last_replica_extra_ms: float = 0.0


@dataclasses.dataclass
class Group:
    """Processes of one database group.

    :ivar plan: plan with the endpoints
    :ivar endpoints: processes by endpoint name
    """

    plan: plans.Plan
    endpoints: dict[str, launchers.Process]

    @property
    def first_primary(self) -> str:
        """Name of the group's first primary."""
        return self.plan.endpoints[0].name


@dataclasses.dataclass
class DaemonProcess:
    """Daemon process and its addresses.

    :ivar ip: local IP address of its outgoing connections
    """

    name: str
    zone: str
    ip: str
    caller_address: str
    link_address: str
    operator_address: str
    process: launchers.Process


class Fleet:
    """Platform, groups and daemons, started by one launcher."""

    def __init__(
        self,
        launcher: launchers.Launcher,
        zones: typing.Sequence[str] = ZONES,
    ) -> None:
        """Initialize without processes.

        :param launcher: starts the processes and stops them
        :param zones: names of the zones, numbered from 1
        """
        self.launcher = launcher
        self.zones = tuple(zones)
        self.platform: launchers.Process | None = None
        self.wire: wires.WireClient | None = None
        self.groups: dict[str, Group] = {}
        self.daemons: dict[str, DaemonProcess] = {}

    async def start_platform(self) -> launchers.Process:
        """Start the platform and wait until it accepts connections."""
        address = launchers.choose_address(0, 2)
        self.platform = self.launcher.start_module(
            "platform", PLATFORM_MODULE, ("--address", address), address
        )
        await self.platform.wait_ready()
        return self.platform

    async def start_wire(self) -> wires.WireClient:
        """Start the network stand-in.

        Daemons reach groups that are started later through its relays.
        """
        address = launchers.choose_address(0, 3)
        process = self.launcher.start_module(
            "wire", WIRE_MODULE, ("--address", address), address
        )
        await process.wait_ready()
        self.wire = await wires.connect(address)
        return self.wire

    async def start_group(self, options: GroupOptions) -> Group:
        """Start a group's endpoints and wait until they accept connections."""
        endpoints = self._place_endpoints(options)
        plan = make_plan(options.database, endpoints)
        group = Group(await self._add_relays(plan), {})
        for endpoint in endpoints:
            group.endpoints[endpoint.name] = self.launcher.start_module(
                endpoint.name,
                ENDPOINT_MODULE,
                make_endpoint_arguments(plan, endpoint, options),
                endpoint.address,
            )
        await asyncio.gather(
            *(process.wait_ready() for process in group.endpoints.values())
        )
        self.groups[options.database] = group
        return group

    async def _add_relays(self, plan: plans.Plan) -> plans.Plan:
        """Return the plan with addresses of relays if ``wire`` was started."""
        if self.wire is None:
            return plan
        relayed_endpoints = []
        for endpoint in plan.endpoints:
            ip = endpoint.address.rpartition(":")[0]
            address = await self.wire.add_relay(f"{ip}:0", endpoint.address)
            relayed_endpoints.append(
                dataclasses.replace(endpoint, address=address)
            )
        return dataclasses.replace(plan, endpoints=tuple(relayed_endpoints))

    def _place_endpoints(
        self, options: GroupOptions
    ) -> tuple[plans.Endpoint, ...]:
        endpoints = []
        for number in range(options.size):
            zone = number % len(self.zones)
            host = FIRST_ENDPOINT_HOST + number // len(self.zones)
            endpoints.append(
                plans.Endpoint(
                    name=f"{options.database}-{number + 1}",
                    zone=self.zones[zone],
                    address=launchers.choose_address(zone + 1, host),
                    slots=options.slots,
                    connections=options.connections,
                )
            )
        return tuple(endpoints)

    async def start_daemon(
        self,
        name: str,
        zone: str,
        changes: SettingsChanges | None = None,
        seeds: typing.Sequence[str] = (),
    ) -> DaemonProcess:
        """Start a daemon and wait until it accepts callers.

        :param changes: additional settings by section and key
        :param seeds: link addresses of the seeds, by default those of all
            running daemons
        """
        zone_number = self.zones.index(zone) + 1
        host = 1 + len(self.daemons)
        ip = hosts.make_ip(zone_number, host)
        listening = host + LISTENING_HOST_OFFSET
        caller, link, operator = (
            launchers.choose_address(zone_number, listening) for _ in range(3)
        )
        seeds = seeds or tuple(
            daemon.link_address
            for daemon in self.daemons.values()
            if daemon.process.running
        )
        sections: dict[str, dict[str, str]] = {
            "daemon": {
                "name": name,
                "zone": zone,
                "ip": ip,
                "caller_address": caller,
                "link_address": link,
                "operator_address": operator,
            },
            "platform": {"addresses": self._get_platform_address()},
            "tls": {"plain_text": "yes"},
            "peers": {"seeds": ", ".join(seeds)},
        }
        for section, keys in (changes or {}).items():
            sections.setdefault(section, {}).update(keys)
        path = self.launcher.directory / f"{name}.ini"
        parser = configparser.ConfigParser(interpolation=None)
        parser.read_dict(sections)
        with open(path, "w", encoding="utf-8") as file:
            parser.write(file)
        process = self.launcher.start_binary(
            name, DAEMON_BINARY, ("--config", str(path)), caller
        )
        daemon = DaemonProcess(name, zone, ip, caller, link, operator, process)
        self.daemons[name] = daemon
        await process.wait_ready()
        return daemon

    async def declare(self, group: Group) -> int:
        """Declare a group's plan and wait until all daemons serve it.

        :returns: the plan's revision
        """
        first_daemon = next(iter(self.daemons.values()))
        request = pb.DeclareRequest(
            plan=models.encode_plan(group.plan),
            change_id=uuid.uuid4().hex,
            operator="demo",
        )
        async with grpc.aio.insecure_channel(
            first_daemon.operator_address
        ) as channel:
            stub = pb_grpc.OperatorServiceStub(channel)
            reply = await stub.Declare(request, timeout=CALL_TIMEOUT_SECONDS)
        await asyncio.gather(
            *(
                self.wait_serving(daemon, group.plan)
                for daemon in self.daemons.values()
            )
        )
        return int(reply.revision)

    async def wait_serving(
        self, daemon: DaemonProcess, plan: plans.Plan
    ) -> None:
        """Wait until a daemon answers current reads of a database.

        :raises: the last error, after ``SERVE_TIMEOUT_SECONDS``
        """
        kind = plan.kinds[0].name
        last_error: BaseException | None = None
        try:
            async with asyncio.timeout(SERVE_TIMEOUT_SECONDS):
                while True:
                    try:
                        async with self.open_session(daemon) as session:
                            await session.execute(
                                plan.database, kind, "GET -", read_only=True
                            )
                        return
                    except errors.FescuestileError as error:
                        last_error = error
                    await asyncio.sleep(POLL_SECONDS)
        except TimeoutError:
            raise last_error or TimeoutError(daemon.name) from None

    def open_session(
        self,
        *daemons: DaemonProcess,
        caller: str = "station-7",
        token: bytes = b"",
        options: client_options.SessionOptions | None = None,
    ) -> client_session.Session:
        """Return a session on the given daemons, to use in ``async with``."""
        addresses = [daemon.caller_address for daemon in daemons]
        return client_session.Session(addresses, caller, token, options)

    def _get_platform_address(self) -> str:
        if self.platform is None:
            return launchers.choose_address(0, 2)
        return self.platform.address


def make_plan(
    database: str, endpoints: tuple[plans.Endpoint, ...]
) -> plans.Plan:
    """Return a plan with the ranks and kinds of a repair shop."""
    return plans.Plan(
        database=database,
        endpoints=endpoints,
        ranks=(
            plans.Rank("urgent", 0.1),
            plans.Rank("dispatch", 0.1),
            plans.Rank("billing", 0.1),
        ),
        kinds=(
            plans.Kind("fault-report", "urgent", 0.0),
            plans.Kind("dispatch", "dispatch", 0.0),
            plans.Kind("history", "dispatch", 5.0),
            plans.Kind("ledger", "billing", 5.0),
        ),
    )


def make_endpoint_arguments(
    plan: plans.Plan, endpoint: plans.Endpoint, options: GroupOptions
) -> list[str]:
    """Return the command line of an endpoint stand-in."""
    lag_ms = options.replication_ms
    if endpoint is plan.endpoints[-1]:
        lag_ms += options.last_replica_extra_ms
    arguments = [
        *("--name", endpoint.name),
        *("--zone", endpoint.zone),
        *("--address", endpoint.address),
        *("--database", plan.database),
        *("--primary", plan.endpoints[0].name),
        *("--slots", str(options.slots)),
        *("--connections", str(options.connections)),
        *("--service-ms", str(options.service_ms)),
        *("--connect-ms", str(options.connect_ms)),
        *("--replication-ms", str(lag_ms)),
    ]
    for peer in plan.endpoints:
        if peer is not endpoint:
            arguments += ["--peer", f"{peer.name}={peer.address}"]
    return arguments
