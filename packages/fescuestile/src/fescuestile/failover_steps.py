"""State, events and actions of a failover's driver."""

import dataclasses
import enum
import types
import typing

from fescuestile import endpoint_messages

Report = endpoint_messages.Report


class Step(enum.StrEnum):
    """Where a driver stands."""

    IDLE = "idle"
    # It lets drivers of a better rank go first.
    WAITING = "waiting"
    # A planned switchover waits for its target's log.
    CATCHING_UP = "catching up"
    FENCING = "fencing"
    PROMOTING = "promoting"
    FOLLOWING = "following"


@dataclasses.dataclass(frozen=True)
class Driver:
    """State of one daemon's driver for one group.

    :ivar id: the daemon, new at each start of the process
    :ivar term: term of this attempt; never used for a second choice
    :ivar highest: highest term ever seen
    :ivar grants: reports of the endpoints that promised the term
    :ivar refused: an endpoint promised the term to another driver
    :ivar chosen: endpoint to promote, the only one in this term
    :ivar target: endpoint that a switchover asked for, or empty
    :ivar avoid: primary that has failed, or empty
    :ivar followed: endpoints that follow the new primary
    :ivar since: monotonic seconds at which the step began
    :ivar sent_at: monotonic seconds at which its commands were last sent
    :ivar wait: seconds to wait in this step
    """

    id: str
    step: Step = Step.IDLE
    term: int = 0
    highest: int = 0
    grants: typing.Mapping[str, Report] = dataclasses.field(
        default_factory=lambda: types.MappingProxyType({})
    )
    refused: bool = False
    chosen: str = ""
    target: str = ""
    avoid: str = ""
    followed: frozenset[str] = frozenset()
    since: float = 0.0
    sent_at: float = 0.0
    wait: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Suspected:
    """The primary has failed.

    :ivar rank: place of this daemon among the drivers, from 0
    :ivar primary: primary that has failed, empty when there is none
    """

    rank: int
    primary: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Cleared:
    """The group has a working primary."""


@dataclasses.dataclass(frozen=True, slots=True)
class SwitchoverAsked:
    """An operator asked for another primary.

    :ivar target: endpoint to promote
    """

    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class CaughtUp:
    """The target of the switchover holds the primary's log."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reported:
    """An endpoint's report, not a reply to this driver's command."""

    report: Report


@dataclasses.dataclass(frozen=True, slots=True)
class FenceReplied:
    """Reply to a fence; ``term`` is the term that was asked for."""

    term: int
    report: Report


@dataclasses.dataclass(frozen=True, slots=True)
class PromoteReplied:
    """Reply to a promotion."""

    term: int
    report: Report


@dataclasses.dataclass(frozen=True, slots=True)
class FollowReplied:
    """Reply to a follow."""

    term: int
    report: Report


@dataclasses.dataclass(frozen=True, slots=True)
class Ticked:
    """Time went on."""


Event = (
    Suspected
    | Cleared
    | SwitchoverAsked
    | CaughtUp
    | Reported
    | FenceReplied
    | PromoteReplied
    | FollowReplied
    | Ticked
)


@dataclasses.dataclass(frozen=True, slots=True)
class SendFence:
    """Ask an endpoint to promise the term."""

    endpoint: str
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class SendPromote:
    """Make an endpoint the primary."""

    endpoint: str
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class SendFollow:
    """Make an endpoint replicate from the primary."""

    endpoint: str
    term: int
    primary: str


@dataclasses.dataclass(frozen=True, slots=True)
class Publish:
    """Tell everybody of the new primary."""

    term: int
    primary: str


@dataclasses.dataclass(frozen=True, slots=True)
class Abandon:
    """The attempt ended without a primary."""

    term: int
    reason: str


Action = SendFence | SendPromote | SendFollow | Publish | Abandon
Outcome = tuple[Driver, tuple[Action, ...]]
