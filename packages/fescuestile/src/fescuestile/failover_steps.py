"""State, events and actions of the driver of a failover."""

import dataclasses
import enum
import types
import typing

from fescuestile import endpoint_messages

Report = endpoint_messages.Report


class Step(enum.StrEnum):
    """Step of a failover or switchover that a driver is in."""

    IDLE = "idle"
    # Drivers with a lower index may start first.
    WAITING = "waiting"
    # The target of a planned switchover replicates the rest of the log.
    CATCHING_UP = "catching up"
    FENCING = "fencing"
    PROMOTING = "promoting"
    FOLLOWING = "following"


@dataclasses.dataclass(frozen=True)
class Driver:
    """State of one daemon's driver for one group.

    :ivar id: id of the daemon, new at each start of its process
    :ivar term: term of this attempt; at most one endpoint is promoted in it
    :ivar highest: highest term seen so far
    :ivar grants: reports of the endpoints that promised the term
    :ivar fence_refused: an endpoint had promised the term to another driver
    :ivar chosen: endpoint to promote, the only one in this term
    :ivar target: endpoint that a switchover requested, or empty
    :ivar failed_primary: primary that has failed, or empty
    :ivar followers: endpoints that confirmed to follow the new primary
    :ivar started_at: monotonic seconds at which the step began
    :ivar sent_at: monotonic seconds at which its commands were last sent
    :ivar wait: seconds that a waiting step lasts
    """

    id: str
    step: Step = Step.IDLE
    term: int = 0
    highest: int = 0
    grants: typing.Mapping[str, Report] = dataclasses.field(
        default_factory=lambda: types.MappingProxyType({})
    )
    fence_refused: bool = False
    chosen: str = ""
    target: str = ""
    failed_primary: str = ""
    followers: frozenset[str] = frozenset()
    started_at: float = 0.0
    sent_at: float = 0.0
    wait: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class PrimarySuspected:
    """The primary is suspected to have failed.

    :ivar driver_index: index of this daemon among the drivers, from 0; a
        higher index starts later
    :ivar primary: primary that has failed, empty when there is none
    """

    driver_index: int
    primary: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class SuspicionCleared:
    """The primary is not suspected (any more)."""


@dataclasses.dataclass(frozen=True, slots=True)
class SwitchoverRequested:
    """An operator requested a switchover.

    :ivar target: endpoint to promote
    """

    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class TargetCaughtUp:
    """The log of the switchover's target covers the primary's log."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReportReceived:
    """An endpoint sent a report, not as a reply to a command."""

    report: Report


@dataclasses.dataclass(frozen=True, slots=True)
class FenceReplied:
    """An endpoint replied to a fence.

    :ivar term: term that the fence named, not that of the report
    """

    term: int
    report: Report


@dataclasses.dataclass(frozen=True, slots=True)
class PromoteReplied:
    """An endpoint replied to a promotion.

    :ivar term: term that the promotion named, not that of the report
    """

    term: int
    report: Report


@dataclasses.dataclass(frozen=True, slots=True)
class FollowReplied:
    """An endpoint replied to a follow command.

    :ivar term: term that the command named, not that of the report
    """

    term: int
    report: Report


@dataclasses.dataclass(frozen=True, slots=True)
class Ticked:
    """Periodic event that lets waits and timeouts expire."""


Event = (
    PrimarySuspected
    | SuspicionCleared
    | SwitchoverRequested
    | TargetCaughtUp
    | ReportReceived
    | FenceReplied
    | PromoteReplied
    | FollowReplied
    | Ticked
)


@dataclasses.dataclass(frozen=True, slots=True)
class SendFence:
    """Request an endpoint's promise of the term.

    :ivar revision: revision that the driver's endpoints are from
    """

    endpoint: str
    term: int
    revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class SendPromote:
    """Promote an endpoint that promised the term."""

    endpoint: str
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class SendFollow:
    """Let an endpoint replicate from the new primary."""

    endpoint: str
    term: int
    primary: str


@dataclasses.dataclass(frozen=True, slots=True)
class SendRecord:
    """Have the primary record the revision of the group's endpoints."""

    endpoint: str
    term: int
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Publish:
    """Announce the new primary to all daemons.

    :ivar target: endpoint that a switchover requested, or empty
    """

    term: int
    primary: str
    target: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Abandon:
    """Report that the attempt ended without a new primary.

    :ivar reason: why, for the log and the operator
    :ivar in_doubt: a promotion was ordered and may have taken effect, or may
        still do so
    :ivar target: endpoint that a switchover requested, or empty
    """

    term: int
    reason: str
    in_doubt: bool = False
    target: str = ""


Action = SendFence | SendPromote | SendFollow | SendRecord | Publish | Abandon
Transition = tuple[Driver, tuple[Action, ...]]
