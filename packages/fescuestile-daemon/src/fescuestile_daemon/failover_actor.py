"""Actor that runs the failover state machine of each watched group.

It only decides; the failover runner carries the decisions out on the event
loop.
"""

import collections.abc
import dataclasses
import random
import typing

import pykka
import structlog

from fescuestile import clock
from fescuestile import endpoint_messages
from fescuestile import failover
from fescuestile import failover_steps
from fescuestile import failure_detection
from fescuestile import promotion_order
from fescuestile import rendezvous
from fescuestile_daemon import groups_actor

log = structlog.get_logger(__name__)
Role = endpoint_messages.Role


@dataclasses.dataclass(frozen=True)
class WatchedGroupsChanged:
    """The set of groups that the daemon watches, by database."""

    groups: typing.Mapping[str, groups_actor.OwnedGroup]


@dataclasses.dataclass(frozen=True)
class GroupObserved:
    """Current state of a group as this daemon observes it.

    :ivar reports: latest report of each endpoint, by name
    :ivar unresponsive_seconds: seconds since each endpoint last answered,
        by name
    :ivar owners: owning daemon of each endpoint, by name
    :ivar remote_observations: what other daemons report about the primary
    :ivar leaving: names of the endpoints that accept no new work
    """

    database: str
    reports: typing.Mapping[str, failure_detection.ObservedReport]
    unresponsive_seconds: typing.Mapping[str, float]
    owners: typing.Mapping[str, str]
    remote_observations: tuple[failure_detection.RemoteObservation, ...] = ()
    leaving: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class DriverEvent:
    """Event for a group's driver: a reply or a requested switchover."""

    database: str
    event: failover_steps.Event


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Actions to carry out for a group."""

    database: str
    actions: tuple[failover_steps.Action, ...]


Perform = collections.abc.Callable[[Decision], None]


@dataclasses.dataclass
class _Group:
    """One watched group.

    :ivar no_primary_since: monotonic seconds at which the current term was
        first observed without a primary, None while it has one
    """

    owned: groups_actor.OwnedGroup
    rules: failover.FailoverRules
    driver: failover_steps.Driver
    no_primary_since: float | None = None


class FailoverActor(pykka.ThreadingActor):
    """Holds the failover driver of each group that one daemon watches."""

    def __init__(
        self,
        own_id: str,
        time_source: clock.Clock,
        random_source: random.Random,
        perform: Perform,
    ) -> None:
        """Start without groups.

        :param perform: called in the actor's thread with decisions
        """
        super().__init__()
        self._own_id = own_id
        self._clock = time_source
        self._random = random_source
        self._perform = perform
        self._groups: dict[str, _Group] = {}

    def on_receive(self, message: object) -> None:
        """Process one message."""
        match message:
            case WatchedGroupsChanged():
                self._change_groups(message.groups)
            case GroupObserved():
                self._evaluate(message)
            case DriverEvent():
                self._advance(message.database, message.event)
            case _:
                raise TypeError(f"unknown message {message!r}")

    def _change_groups(
        self, owned_groups: typing.Mapping[str, groups_actor.OwnedGroup]
    ) -> None:
        for database in self._groups.keys() - owned_groups.keys():
            del self._groups[database]
        for database, owned in owned_groups.items():
            group = self._groups.get(database)
            if group is not None:
                group.owned = owned
                group.rules.plan = owned.revision.plan
                continue
            rules = failover.FailoverRules(owned.revision.plan, self._random)
            driver = failover_steps.Driver(self._own_id)
            self._groups[database] = _Group(owned, rules, driver)

    def _evaluate(self, state: GroupObserved) -> None:
        group = self._groups.get(state.database)
        if group is None:
            return
        group.rules.leaving = state.leaving
        for observed in state.reports.values():
            event = failover_steps.ReportReceived(observed.report)
            self._advance(state.database, event)
        evidence = self._make_evidence(group, state)
        reason = failure_detection.find_failure(evidence)
        if reason is None:
            self._advance(state.database, failover_steps.SuspicionCleared())
        elif failure_detection.can_reach_majority(evidence):
            self._on_primary_failed(
                group, state.database, reason, evidence.primary
            )
        self._check_switchover_target(group, state, evidence.primary)
        self._advance(state.database, failover_steps.Ticked())
        self._repeat_missing_follows(group, state)

    def _make_evidence(
        self, group: _Group, state: GroupObserved
    ) -> failure_detection.Evidence:
        term, primary = find_primary(state.reports)
        now = self._clock.now()
        if primary or not term:
            group.no_primary_since = None
        elif group.no_primary_since is None:
            group.no_primary_since = now
        since = group.no_primary_since
        return failure_detection.Evidence(
            plan=group.owned.revision.plan,
            term=term,
            primary=primary,
            no_primary_seconds=0.0 if since is None else now - since,
            unresponsive_seconds=state.unresponsive_seconds.get(primary, 0.0),
            is_owner=state.owners.get(primary) == self._own_id,
            owner=state.owners.get(primary, ""),
            watchers=max(1, len(group.owned.owners)),
            remote_observations=state.remote_observations,
            reports=state.reports,
        )

    def _on_primary_failed(
        self,
        group: _Group,
        database: str,
        reason: failure_detection.Reason,
        primary: str,
    ) -> None:
        owners = group.owned.owners
        drivers = rendezvous.choose(database, owners, len(owners))
        index = drivers.index(self._own_id) if self._own_id in drivers else 0
        if group.driver.step is failover_steps.Step.IDLE:
            log.warning(
                "primary failure detected",
                database=database,
                reason=str(reason),
                rank=index,
            )
        self._advance(
            database, failover_steps.PrimarySuspected(index, primary)
        )

    def _check_switchover_target(
        self, group: _Group, state: GroupObserved, primary: str
    ) -> None:
        current = state.reports.get(primary)
        target = state.reports.get(group.driver.target)
        if current is None or target is None:
            return
        if failover.has_caught_up(current.report, target.report):
            self._advance(state.database, failover_steps.TargetCaughtUp())

    def _repeat_missing_follows(
        self, group: _Group, state: GroupObserved
    ) -> None:
        if group.driver.step is not failover_steps.Step.IDLE:
            return
        fresh = {
            name: observed.report
            for name, observed in state.reports.items()
            if observed.age <= failure_detection.MAX_REPORT_AGE_SECONDS
        }
        plan = group.owned.revision.plan
        actions: tuple[failover_steps.Action, ...] = (
            *failover.find_missing_follows(plan, fresh),
            *failover.find_missing_record(plan, fresh),
        )
        if actions:
            self._perform(Decision(state.database, actions))

    def _advance(self, database: str, event: failover_steps.Event) -> None:
        group = self._groups.get(database)
        if group is None:
            return
        before = group.driver.step
        group.driver, actions = group.rules.advance(
            group.driver, event, self._clock.now()
        )
        if group.driver.step is not before:
            log.info(
                "failover step changed",
                database=database,
                step=str(group.driver.step),
                term=group.driver.term,
                chosen=group.driver.chosen,
                granted={
                    name: promotion_order.make_log_key(report)
                    for name, report in group.driver.grants.items()
                },
                leaving=sorted(group.rules.leaving),
            )
        if actions:
            self._perform(Decision(database, actions))


def find_primary(
    reports: typing.Mapping[str, failure_detection.ObservedReport],
) -> tuple[int, str]:
    """Return the highest reported term and its primary, empty if none."""
    term = max((one.report.term for one in reports.values()), default=0)
    for name, observed in reports.items():
        report = observed.report
        if report.term != term:
            continue
        if report.role is Role.PRIMARY:
            return term, name
    return term, _find_rejoining_primary(reports, term)


def _find_rejoining_primary(
    reports: typing.Mapping[str, failure_detection.ObservedReport], term: int
) -> str:
    """Return the primary that replicas follow but that lost its state.

    After a loss of state an endpoint reports that it is rejoining.
    """
    followed = {
        one.report.primary
        for one in reports.values()
        if one.report.term == term and one.report.role is Role.REPLICA
    }
    for name in followed:
        observed = reports.get(name)
        if observed and observed.report.role is Role.REJOINING:
            return name
    return ""
