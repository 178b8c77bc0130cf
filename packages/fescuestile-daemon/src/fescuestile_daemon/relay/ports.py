"""What the relay needs of its surroundings."""

import abc
import typing

from fescuestile import promotion
from fescuestile_daemon.relay import messages


class Channel(abc.ABC):
    """One connection to an endpoint; commands run in order.

    :ivar endpoint: id of the endpoint
    :ivar values: session values set on it
    :ivar prepared: names prepared on it
    :ivar used_at: steady seconds of its last answer
    """

    endpoint: str
    values: dict[str, str]
    prepared: dict[str, messages.Shape]
    used_at: float

    @property
    @abc.abstractmethod
    def closed(self) -> bool:
        """Whether the connection has ended."""

    @abc.abstractmethod
    async def call(self, *commands: messages.Command) -> messages.Outcome:
        """Send commands at once and return the first error or the last.

        A connection that ends meanwhile gives the outcome LOST.
        """

    @abc.abstractmethod
    async def inspect(
        self, command: messages.Inspect | messages.Fence | messages.Unfence
    ) -> messages.Report | None:
        """Return the endpoint's report, None for no answer or a refusal."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close the connection; what is open on it is rolled back."""


class Dialer(abc.ABC):
    """Opens connections to endpoints."""

    @abc.abstractmethod
    async def dial(
        self, entry: messages.EndpointEntry
    ) -> Channel | messages.Outcome:
        """Open a connection, or return why there is none."""


class Caller(abc.ABC):
    """Connection of one caller."""

    @abc.abstractmethod
    def answer(self, outcome: messages.Outcome) -> None:
        """Send the answer to the oldest statement without one."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close the connection once what was written is sent."""


class Promoter(abc.ABC):
    """Orders promotions, one daemon at a time."""

    @abc.abstractmethod
    async def acquire(self) -> promotion.Lease | None:
        """Take or renew the lease; None when another daemon has it."""

    @abc.abstractmethod
    async def release(self, lease: promotion.Lease) -> None:
        """Give the lease back."""

    @abc.abstractmethod
    async def promote(
        self, group: str, endpoint: str, lease: promotion.Lease
    ) -> bool | None:
        """Order a promotion.

        :returns: True when accepted, False when that endpoint does not
            run, None when the outcome is unknown
        """


class Listener(typing.Protocol):
    """Takes the statements of one caller."""

    def receive(self, statement: messages.Statement) -> None:
        """Take the next statement."""

    def disconnect(self) -> None:
        """Learn that the caller has gone."""
