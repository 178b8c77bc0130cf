"""Interfaces to outside systems: endpoints, the platform and metrics.

The decision code does not use them. Daemons do, through one adapter each.
"""

import abc
import dataclasses
import typing

import expression

from fescuestile import endpoint_messages
from fescuestile import errors
from fescuestile import positions

Reply = expression.Result[endpoint_messages.Answered, errors.FescuestileError]
ReportReply = expression.Result[
    endpoint_messages.Report, errors.FescuestileError
]


class EndpointConnection(abc.ABC):
    """One open connection to an endpoint.

    Once any byte of a command has been sent, a missing reply is reported as
    ConnectionLost or UnknownOutcome, never as NotRun.
    """

    @property
    @abc.abstractmethod
    def closed(self) -> bool:
        """Whether the connection ended or was found unresponsive."""

    @abc.abstractmethod
    async def execute(
        self, command: endpoint_messages.Execute, timeout: float
    ) -> Reply:
        """Run a statement.

        :param timeout: seconds, as in the methods below
        """

    @abc.abstractmethod
    async def begin(
        self, command: endpoint_messages.Begin, timeout: float
    ) -> Reply:
        """Open a transaction."""

    @abc.abstractmethod
    async def commit(
        self, command: endpoint_messages.Commit, timeout: float
    ) -> Reply:
        """Commit the open transaction."""

    @abc.abstractmethod
    async def rollback(
        self, command: endpoint_messages.Rollback, timeout: float
    ) -> Reply:
        """Roll the open transaction back."""

    @abc.abstractmethod
    async def resolve(
        self, command: endpoint_messages.Resolve, timeout: float
    ) -> Reply:
        """Determine the outcome of a request id."""

    @abc.abstractmethod
    async def heartbeat(self, timeout: float) -> bool:
        """Return whether the endpoint answers on this connection."""

    @abc.abstractmethod
    async def inspect(self, timeout: float) -> ReportReply:
        """Request a report."""

    @abc.abstractmethod
    def subscribe(
        self, interval: float
    ) -> typing.AsyncIterator[endpoint_messages.Report]:
        """Yield reports until the connection ends."""

    @abc.abstractmethod
    async def await_position(
        self, position: positions.Position, timeout: float
    ) -> ReportReply:
        """Request a report as soon as the log holds a position."""

    @abc.abstractmethod
    async def fence(
        self, term: int, driver: str, revision: int, timeout: float
    ) -> ReportReply:
        """Have the endpoint promise a term to a driver.

        :param revision: revision that the driver's endpoints are from
        """

    @abc.abstractmethod
    async def promote(
        self, term: int, driver: str, timeout: float
    ) -> ReportReply:
        """Make the endpoint the primary of a promised term."""

    @abc.abstractmethod
    async def follow(
        self, term: int, primary: str, address: str, timeout: float
    ) -> ReportReply:
        """Make the endpoint a replica of a primary."""

    @abc.abstractmethod
    async def record_revision(
        self, term: int, revision: int, timeout: float
    ) -> ReportReply:
        """Have the term's primary record a revision of the endpoints."""

    @abc.abstractmethod
    def next_id(self) -> int:
        """Return an id for the next command."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close the connection; commands in flight end as ConnectionLost."""


class EndpointDialer(abc.ABC):
    """Opens connections to endpoints."""

    @abc.abstractmethod
    async def connect(
        self, address: str, control: bool, timeout: float
    ) -> expression.Result[EndpointConnection, errors.ConnectionLost]:
        """Open a connection.

        :param address: ``IP:port``
        :param control: the connection carries no statements, see Hello
        :param timeout: seconds
        """


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """One object of the platform's store.

    :ivar path: ``kind/name``
    :ivar version: store-wide version, which grows with each change
    :ivar value: content, at most 1 MiB
    :ivar change_id: id of the change that wrote it
    """

    path: str
    version: int
    value: bytes
    change_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class HostEntry:
    """One entry of the platform's host list, which lags behind.

    :ivar name: name of the host or endpoint
    :ivar zone: availability zone
    :ivar address: ``IP:port`` of the daemon's links or of the endpoint
    :ivar role: ``daemon`` or ``endpoint``
    :ivar leaving: the host or endpoint is about to be removed
    """

    name: str
    zone: str
    address: str
    role: str
    leaving: bool


WriteResult = expression.Result[StoredObject, errors.FescuestileError]


class Platform(abc.ABC):
    """The platform's object store and host list.

    Errors: PlatformUnavailable if no answer came (a write may have taken
    effect), VersionConflict, InvalidInput.
    """

    @abc.abstractmethod
    async def read(
        self, path: str
    ) -> expression.Result[StoredObject | None, errors.FescuestileError]:
        """Return the object at a path, None if there is none."""

    @abc.abstractmethod
    async def list_objects(
        self, prefix: str
    ) -> expression.Result[tuple[StoredObject, ...], errors.FescuestileError]:
        """Return all objects under a prefix."""

    @abc.abstractmethod
    async def write(
        self,
        path: str,
        value: bytes,
        expected_version: int,
        change_id: str,
    ) -> WriteResult:
        """Write an object if its current version is the expected one.

        :param expected_version: 0 to create the object
        """

    @abc.abstractmethod
    def watch(
        self, prefix: str, after_version: int
    ) -> typing.AsyncIterator[StoredObject]:
        """Yield changes under a prefix until the connection ends."""

    @abc.abstractmethod
    async def list_hosts(
        self,
    ) -> expression.Result[tuple[HostEntry, ...], errors.FescuestileError]:
        """Return the host list."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections to the platform."""


class MetricSink(abc.ABC):
    """Receives counters, gauges and timings."""

    @abc.abstractmethod
    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""

    @abc.abstractmethod
    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""

    @abc.abstractmethod
    def timing(self, name: str, seconds: float) -> None:
        """Record a duration."""
