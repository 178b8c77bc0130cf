"""Messages between daemons, over links.

A message with an ``id`` is a request; its reply repeats the id. The others
are one-way. Times are sent as ages or remaining seconds, because the clocks
of two hosts are never compared.
"""

import dataclasses

from fescuestile import codec
from fescuestile import endpoint_messages
from fescuestile import failures
from fescuestile import members
from fescuestile import requests


@dataclasses.dataclass(frozen=True, slots=True)
class Greeting:
    """First frame in each direction; identifies the sender."""

    member: members.Member


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """Ask an endpoint's owner to run a request at the endpoint.

    :ivar remaining: seconds left until the request's deadline
    """

    id: int
    endpoint: str
    term: int
    remaining: float
    request: requests.Request


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardReply:
    """Reply to Forward; exactly one of answer and failure is set."""

    id: int
    answer: requests.Answer | None = None
    failure: failures.Failure | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Interest:
    """Subscribe to an owner's state of a group for a limited time.

    :ivar sent_at: monotonic seconds of the sender; GroupState echoes it
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
    """State of an endpoint as its owner sends it.

    :ivar expected_wait: seconds that new work is expected to wait
    """

    endpoint: str
    expected_wait: float


@dataclasses.dataclass(frozen=True, slots=True)
class GroupState:
    """State of a group as one owner sees it.

    :ivar echo: ``sent_at`` of the receiver's latest Interest
    :ivar held: seconds between the arrival of that Interest and this push
    """

    database: str
    owner: str
    reports: tuple[AgedReport, ...]
    owned: tuple[OwnedEndpoint, ...]
    echo: float = 0.0
    held: float = 0.0

    def compute_earliest_send(self, now: float) -> float:
        """Return a lower bound of the time at which the push was sent.

        It is by the receiver's clock, and holds however long the link
        delayed the push.

        :param now: monotonic seconds of the receiver
        """
        return min(now, self.echo + self.held)


@dataclasses.dataclass(frozen=True, slots=True)
class Farewell:
    """Leave notice: the sender takes no new work from now on."""

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
