"""Parts of the failover model, and the bounds of its search."""

import dataclasses
import typing

from fescuestile import confirmation
from fescuestile import endpoint_messages
from fescuestile import failover
from fescuestile import failover_steps
from fescuestile import plan_records
from fescuestile import plans
from fescuestile_standins import endpoint_state
from fescuestile_standins import rejoining
from tests import builders

NAMES = ("a", "b", "c")


RejoinRule = typing.Callable[
    [endpoint_messages.Report, list[endpoint_messages.Report], int], bool
]
RecordRule = typing.Callable[
    [plans.Plan, dict[str, endpoint_messages.Report]], bool
]


@dataclasses.dataclass(frozen=True)
class Build:
    """Code under check; each injected bug replaces a part of it.

    :ivar confirm_majority: size of a majority for confirmations
    :ivar driver_majority: size of a majority for failover drivers
    """

    endpoint: type[endpoint_state.EndpointState] = endpoint_state.EndpointState
    tracker: type[confirmation.ConfirmationTracker] = (
        confirmation.ConfirmationTracker
    )
    rules: type[failover.FailoverRules] = failover.FailoverRules
    may_rejoin: RejoinRule = rejoining.may_rejoin
    is_recorded: RecordRule = plan_records.is_recorded
    confirm_majority: int = 2
    driver_majority: int = 2


@dataclasses.dataclass(frozen=True)
class Scope:
    """Bounds of a search: how many steps of each kind it may make.

    :ivar writes: writes by primaries
    :ivar attempts: failover attempts that drivers start
    :ivar crashes: restarts of endpoints with loss of their state
    :ivar losses: lost replies
    :ivar crashing: endpoints that may crash
    :ivar avoids: whether drivers leave the latest primary out where they can
    :ivar batch: entries replicated at a time, None for all
    """

    writes: int = 2
    attempts: int = 2
    crashes: int = 0
    losses: int = 0
    crashing: tuple[str, ...] = NAMES
    avoids: bool = False
    batch: int | None = None


class MajorityPlan(plans.Plan):
    """Plan with a fixed size of a majority, which an injected bug may set."""

    size = 2

    @property
    def majority(self) -> int:
        return self.size


def make_plan(majority: int) -> plans.Plan:
    endpoints = tuple(
        builders.build_endpoint(number, name=name)
        for number, name in enumerate(NAMES, start=1)
    )
    plan = builders.build_plan(endpoints=endpoints)
    fields = {f.name: getattr(plan, f.name) for f in dataclasses.fields(plan)}
    changed = MajorityPlan(**fields)
    object.__setattr__(changed, "size", majority)
    return changed


def perform(
    endpoint: endpoint_state.EndpointState,
    action: failover_steps.Action,
    driver: str,
) -> failover_steps.Event:
    match action:
        case failover_steps.SendFence():
            verdict = endpoint.fence(
                action.term, driver, revision=action.revision
            )
            report = endpoint.report(0, verdict)
            return failover_steps.FenceReplied(action.term, report)
        case failover_steps.SendPromote():
            verdict = endpoint.promote(action.term, driver)
            report = endpoint.report(0, verdict)
            return failover_steps.PromoteReplied(action.term, report)
        case failover_steps.SendFollow():
            verdict = endpoint.follow(action.term, action.primary)
            report = endpoint.report(0, verdict)
            return failover_steps.FollowReplied(action.term, report)
    raise TypeError(f"{action} is not delivered")
