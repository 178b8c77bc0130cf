"""Actor that decides on failovers of the groups that a daemon watches.

It holds a driver for each group. What it decides is carried out by the
failover runner on the loop.
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
from fescuestile import rendezvous
from fescuestile_daemon import groups_actor

log = structlog.get_logger(__name__)
Role = endpoint_messages.Role


@dataclasses.dataclass(frozen=True)
class Watched:
    """Groups that the daemon watches, by database."""

    groups: typing.Mapping[str, groups_actor.OwnedGroup]


@dataclasses.dataclass(frozen=True)
class Looked:
    """What the daemon sees of a group now.

    :ivar reports: latest report of each endpoint, by name
    :ivar silences: seconds since each endpoint last answered, by name
    :ivar owners: owning daemon of each endpoint, by name
    :ivar hearsay: words of other daemons on the primary's silence
    """

    database: str
    reports: typing.Mapping[str, failure_detection.ObservedReport]
    silences: typing.Mapping[str, float]
    owners: typing.Mapping[str, str]
    hearsay: tuple[failure_detection.RemoteObservation, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Happened:
    """An event for a group's driver: a reply or an operator's wish."""

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

    :ivar vacant_since: when its term was first seen without a primary
    """

    owned: groups_actor.OwnedGroup
    rules: failover.FailoverRules
    driver: failover_steps.Driver
    vacant_since: float | None = None


class FailoverActor(pykka.ThreadingActor):
    """Owns the failover drivers of one daemon."""

    def __init__(
        self,
        own_id: str,
        time_source: clock.Clock,
        source: random.Random,
        perform: Perform,
    ) -> None:
        """Start without groups.

        :param perform: called in the actor's thread with decisions
        """
        super().__init__()
        self._own_id = own_id
        self._clock = time_source
        self._random = source
        self._perform = perform
        self._groups: dict[str, _Group] = {}

    def on_receive(self, message: object) -> None:
        """Take one message."""
        match message:
            case Watched():
                self._watch(message.groups)
            case Looked():
                self._look(message)
            case Happened():
                self._advance(message.database, message.event)
            case _:
                raise TypeError(f"unknown message {message!r}")

    def _watch(
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

    def _look(self, look: Looked) -> None:
        group = self._groups.get(look.database)
        if group is None:
            return
        for observed in look.reports.values():
            event = failover_steps.ReportReceived(observed.report)
            self._advance(look.database, event)
        evidence = self._make_evidence(group, look)
        reason = failure_detection.find_failure(evidence)
        if reason is None:
            self._advance(look.database, failover_steps.SuspicionCleared())
        elif failure_detection.can_reach_majority(evidence):
            self._suspect(group, look.database, reason, evidence.primary)
        self._check_target(group, look, evidence.primary)
        self._advance(look.database, failover_steps.Ticked())
        self._recall_strays(group, look)

    def _make_evidence(
        self, group: _Group, look: Looked
    ) -> failure_detection.Evidence:
        term, primary = find_primary(look.reports)
        now = self._clock.now()
        if primary or not term:
            group.vacant_since = None
        elif group.vacant_since is None:
            group.vacant_since = now
        since = group.vacant_since
        return failure_detection.Evidence(
            plan=group.owned.revision.plan,
            term=term,
            primary=primary,
            no_primary_seconds=0.0 if since is None else now - since,
            unresponsive_seconds=look.silences.get(primary, 0.0),
            is_owner=look.owners.get(primary) == self._own_id,
            owner=look.owners.get(primary, ""),
            watchers=max(1, len(group.owned.owners)),
            remote_observations=look.hearsay,
            reports=look.reports,
        )

    def _suspect(
        self,
        group: _Group,
        database: str,
        reason: failure_detection.Reason,
        primary: str,
    ) -> None:
        owners = group.owned.owners
        ranked = rendezvous.choose(database, owners, len(owners))
        rank = ranked.index(self._own_id) if self._own_id in ranked else 0
        if group.driver.step is failover_steps.Step.IDLE:
            log.warning(
                "primary suspected",
                database=database,
                reason=str(reason),
                rank=rank,
            )
        self._advance(database, failover_steps.PrimarySuspected(rank, primary))

    def _check_target(self, group: _Group, look: Looked, primary: str) -> None:
        leader = look.reports.get(primary)
        target = look.reports.get(group.driver.target)
        if leader is None or target is None:
            return
        if failover.has_caught_up(leader.report, target.report):
            self._advance(look.database, failover_steps.TargetCaughtUp())

    def _recall_strays(self, group: _Group, look: Looked) -> None:
        if group.driver.step is not failover_steps.Step.IDLE:
            return
        fresh = {
            name: observed.report
            for name, observed in look.reports.items()
            if observed.age <= failure_detection.MAX_REPORT_AGE_SECONDS
        }
        actions = failover.find_missing_follows(
            group.owned.revision.plan, fresh
        )
        if actions:
            self._perform(Decision(look.database, actions))

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
                "failover step",
                database=database,
                step=str(group.driver.step),
                term=group.driver.term,
                chosen=group.driver.chosen,
            )
        if actions:
            self._perform(Decision(database, actions))


def find_primary(
    reports: typing.Mapping[str, failure_detection.ObservedReport],
) -> tuple[int, str]:
    """Return the highest term reported and its primary, empty if none."""
    term = max((one.report.term for one in reports.values()), default=0)
    for name, observed in reports.items():
        report = observed.report
        if report.term != term:
            continue
        if report.role is Role.PRIMARY:
            return term, name
    return term, _find_lost_primary(reports, term)


def _find_lost_primary(
    reports: typing.Mapping[str, failure_detection.ObservedReport], term: int
) -> str:
    """Return the primary that replicas follow but that lost its state."""
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
