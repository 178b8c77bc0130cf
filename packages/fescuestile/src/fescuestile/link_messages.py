"""Messages between daemons, over links.

A message with an ``id`` is a request; its reply repeats the id. The others
are one-way. Ages and remaining times are in seconds, since clocks of two
hosts are not compared.
"""

import dataclasses

from fescuestile import codec
from fescuestile import endpoint_messages
from fescuestile import failures
from fescuestile import members
from fescuestile import requests


@dataclasses.dataclass(frozen=True, slots=True)
class Greeting:
    """First frame in each direction; names the daemon that sent it."""

    member: members.Member


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """Ask an endpoint's owner to run a request there.

    :ivar remaining: seconds left until the request's deadline
    """

    id: int
    endpoint: str
    term: int
    remaining: float
    request: requests.Request


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardReply:
    """How a forwarded request ended; one of answer and failure is set."""

    id: int
    answer: requests.Answer | None = None
    failure: failures.Failure | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Interest:
    """Ask an owner to push the state of a group for a while.

    :ivar sent_at: monotonic seconds of the sender, which pushes repeat
    """

    database: str
    sent_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class AgedReport:
    """A report and how long ago it was received."""

    report: endpoint_messages.Report
    age: float


@dataclasses.dataclass(frozen=True, slots=True)
class OwnedEndpoint:
    """What an owner tells of an endpoint it owns.

    :ivar expected_wait: seconds that new work waits
    """

    endpoint: str
    expected_wait: float


@dataclasses.dataclass(frozen=True, slots=True)
class GroupState:
    """State of a group as one owner sees it.

    :ivar echo: ``sent_at`` of the receiver's last interest
    :ivar held: seconds between that interest's arrival and this push
    """

    database: str
    owner: str
    reports: tuple[AgedReport, ...]
    owned: tuple[OwnedEndpoint, ...]
    echo: float = 0.0
    held: float = 0.0

    def date(self, now: float) -> float:
        """Return a time no later than the push was sent.

        By the receiver's clock, however long a link held the push back.

        :param now: monotonic seconds of the receiver
        """
        return min(now, self.echo + self.held)


@dataclasses.dataclass(frozen=True, slots=True)
class Farewell:
    """The sender takes no new work from now on."""

    member: members.Member


CLASSES = (
    Greeting,
    Forward,
    ForwardReply,
    Interest,
    GroupState,
    Farewell,
)
CODEC = codec.Codec(CLASSES)
