"""Interfaces of the relay to endpoints, callers and the platform."""

import abc
import math
import time
import typing

from fescuestile import promotion
from fescuestile import tenants
from fescuestile_daemon.relay.core import messages


class EndpointConnection(abc.ABC):
    """A connection to an endpoint; commands run in order.

    :ivar endpoint: id of the endpoint
    :ivar tenant: tenant whose statements run on it
    :ivar values: session values set on it
    :ivar prepared: prepared statements on it, by name
    :ivar used_at: monotonic seconds of its last answer
    :ivar used_level: rank of the work that used it last
    :ivar opened_at: monotonic seconds at which it had been opened, or the
        one that it replaces after this daemon closed that because it was idle
    """

    endpoint: str
    tenant: str = tenants.ANONYMOUS
    values: dict[str, str]
    prepared: dict[str, messages.Shape]
    used_at: float
    used_level: int = 0
    opened_at: float = math.inf

    @property
    @abc.abstractmethod
    def closed(self) -> bool:
        """Whether the connection has ended."""

    @abc.abstractmethod
    async def call(self, *commands: messages.Command) -> messages.Outcome:
        """Send commands in one batch.

        :returns: the first error, or else the last outcome; LOST when the
            connection ends meanwhile
        """

    @abc.abstractmethod
    async def inspect(
        self, command: messages.Inspect | messages.Fence | messages.Unfence
    ) -> messages.Report | None:
        """Run a command that the endpoint answers with a report.

        :returns: None if it sent no valid report
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Close the connection; an open transaction is rolled back."""


class Dialer(abc.ABC):
    """Opens connections to endpoints."""

    @abc.abstractmethod
    async def dial(
        self, entry: messages.EndpointEntry, tenant: str = tenants.ANONYMOUS
    ) -> EndpointConnection | messages.Outcome:
        """Open a connection.

        :param tenant: tenant whose statements run on it
        :returns: the connection, or why it could not be opened
        """


class Caller(abc.ABC):
    """The connection of a caller.

    :ivar is_stalled: whether it has not taken earlier answers, so that no
        further statement should be begun
    """

    is_stalled: bool = False

    @abc.abstractmethod
    def answer(self, outcome: messages.Outcome) -> None:
        """Send the answer to the oldest unanswered statement."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close the connection after pending answers are sent."""

    async def wait_writable(self) -> None:
        """Wait until it is not stalled any more, or has ended."""
        return


class Promoter(abc.ABC):
    """Requests promotions under a lease of one daemon at a time."""

    async def is_reachable(self) -> bool:
        """Return whether a request for a promotion could be sent now."""
        return True

    async def is_idle(self) -> bool:
        """Return whether no daemon is replacing a primary.

        :returns: False also when that is not known
        """
        return True

    @abc.abstractmethod
    async def acquire(self) -> promotion.Lease | None:
        """Acquire or renew the lease.

        :returns: None when it could not be acquired
        """

    @abc.abstractmethod
    async def release(self, lease: promotion.Lease) -> None:
        """Release the lease."""

    def is_in_force(self, lease: promotion.Lease) -> bool:
        """Return whether the store still knows what it did of the lease.

        One that has come back from an older copy may not. It may have expired
        nevertheless.
        """
        return True

    @abc.abstractmethod
    async def promote(
        self, group: str, endpoint: str, lease: promotion.Lease
    ) -> bool | None:
        """Request a promotion.

        :returns: True when accepted, False when that endpoint does not
            run, None when the outcome is unknown
        """


class PromotionLog(abc.ABC):
    """Records promotions before they are requested."""

    @abc.abstractmethod
    async def record_request(self, group: str, endpoint: str) -> bool:
        """Record that a promotion is about to be requested.

        :returns: False when it was not recorded; the members have been read
            again then, if they had changed
        """

    async def is_current(self, group: str) -> bool:
        """Return whether the store still holds the promotion."""
        return True

    @abc.abstractmethod
    async def record_end(self, group: str, is_refused: bool = False) -> None:
        """Record that the promotion took effect, or never will.

        Nothing is recorded while an earlier request may take effect.

        :param is_refused: whether the request was refused or not sent
        """


class Registry(abc.ABC):
    """The registry of endpoints, of which each daemon keeps a copy."""

    @property
    def heard_at(self) -> float:
        """Monotonic seconds at which the latest answered call began."""
        return time.monotonic()

    @abc.abstractmethod
    async def refresh(self) -> bool:
        """Read the registry again and apply it.

        :returns: False when the registry did not answer
        """


class Listener(typing.Protocol):
    """Receives the statements of one caller."""

    def receive(self, statement: messages.Statement) -> None:
        """Receive the next statement."""

    def disconnect(self) -> None:
        """Handle the end of the caller's connection."""
