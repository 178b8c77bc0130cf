"""Borders of the system: endpoints, the platform and metrics.

The decision code never touches them; daemons do, by one adapter each.
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

    A command whose reply did not come ends as ConnectionLost or
    UnknownOutcome, never as NotRun, once a byte of it was sent.
    """

    @property
    @abc.abstractmethod
    def closed(self) -> bool:
        """Whether the connection ended or was judged silent."""

    @abc.abstractmethod
    async def execute(
        self, command: endpoint_messages.Execute, timeout: float
    ) -> Reply:
        """Run a statement; ``timeout`` in seconds."""

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
        """Settle the outcome of a request id."""

    @abc.abstractmethod
    async def heartbeat(self, timeout: float) -> bool:
        """Tell whether the endpoint answers on this connection."""

    @abc.abstractmethod
    async def inspect(self, timeout: float) -> ReportReply:
        """Ask for a report."""

    @abc.abstractmethod
    def subscribe(
        self, interval: float
    ) -> typing.AsyncIterator[endpoint_messages.Report]:
        """Yield reports until the connection ends."""

    @abc.abstractmethod
    async def await_position(
        self, position: positions.Position, timeout: float
    ) -> ReportReply:
        """Ask for a report once the endpoint's log holds a position."""

    @abc.abstractmethod
    async def fence(
        self, term: int, driver: str, timeout: float
    ) -> ReportReply:
        """Ask the endpoint to promise a term to a driver."""

    @abc.abstractmethod
    async def promote(
        self, term: int, driver: str, timeout: float
    ) -> ReportReply:
        """Make the endpoint primary of a promised term."""

    @abc.abstractmethod
    async def follow(
        self, term: int, primary: str, address: str, timeout: float
    ) -> ReportReply:
        """Make the endpoint replicate from a primary."""

    @abc.abstractmethod
    def next_id(self) -> int:
        """Return an id for the next command."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close the connection; commands in flight end as lost."""


class EndpointDialer(abc.ABC):
    """Opens connections to endpoints."""

    @abc.abstractmethod
    async def connect(
        self, address: str, control: bool, timeout: float
    ) -> expression.Result[EndpointConnection, errors.ConnectionLost]:
        """Open a connection.

        :param address: ``IP:port``
        :param control: carries no statements, see Hello
        :param timeout: seconds
        """


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """One object of the platform's store.

    :ivar path: ``kind/name``
    :ivar version: store-wide version, grows with each change
    :ivar value: content, at most a megabyte
    :ivar change_id: id of the change that wrote it
    """

    path: str
    version: int
    value: bytes
    change_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class HostEntry:
    """One line of the platform's lagging host list.

    :ivar name: host, or endpoint name
    :ivar zone: availability zone
    :ivar address: ``IP:port`` for links, or of the endpoint
    :ivar role: ``daemon`` or ``endpoint``
    :ivar leaving: the host is about to go
    """

    name: str
    zone: str
    address: str
    role: str
    leaving: bool


Stored = expression.Result[StoredObject, errors.FescuestileError]


class Platform(abc.ABC):
    """The platform's object store and host list.

    Errors: PlatformUnavailable when no answer came (a change may have
    taken effect), VersionConflict, InvalidInput.
    """

    @abc.abstractmethod
    async def read(
        self, path: str
    ) -> expression.Result[StoredObject | None, errors.FescuestileError]:
        """Return the object at a path, None when there is none."""

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
    ) -> Stored:
        """Write an object on condition of its current version.

        :param expected_version: 0 to create
        """

    @abc.abstractmethod
    def watch(
        self, prefix: str, after_version: int
    ) -> typing.AsyncIterator[StoredObject]:
        """Yield changes under a prefix until the platform is lost."""

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
