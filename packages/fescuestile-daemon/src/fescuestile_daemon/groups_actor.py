"""Actor that owns the state of all groups that a daemon knows.

It receives plans, the membership and batches of reports, computes the owners
of endpoints and publishes snapshots to the snapshot store.
"""

import collections.abc
import dataclasses
import typing

import pykka

from fescuestile import endpoint_messages
from fescuestile import groups
from fescuestile import members
from fescuestile import ownership
from fescuestile import plans
from fescuestile_daemon import snapshot_store


@dataclasses.dataclass(frozen=True)
class PlansChanged:
    """Plans in force, by database."""

    revisions: typing.Mapping[str, plans.PlanRevision]


@dataclasses.dataclass(frozen=True)
class MembershipChanged:
    """Membership as the daemon sees it now."""

    membership: members.MembershipSnapshot


@dataclasses.dataclass(frozen=True)
class LeavingChanged:
    """Names of the endpoints that are leaving and accept no new work."""

    endpoints: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """A report and when it was made, in monotonic seconds here."""

    database: str
    report: endpoint_messages.Report
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class WaitObservation:
    """Expected wait at an endpoint, in seconds, reported by its owner."""

    database: str
    endpoint: str
    wait: float


@dataclasses.dataclass(frozen=True)
class ObservationBatch:
    """A batch of reports and waits."""

    reports: tuple[Observation, ...]
    waits: tuple[WaitObservation, ...] = ()


@dataclasses.dataclass(frozen=True)
class OwnedGroup:
    """A group of which the daemon owns at least one endpoint.

    :ivar owned: names of the endpoints it owns
    :ivar owners: owning daemons of all its endpoints, without repeats
    """

    revision: plans.PlanRevision
    owned: frozenset[str]
    owners: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Assignment:
    """Groups with the endpoints that a daemon owns, by database."""

    groups: typing.Mapping[str, OwnedGroup]


AssignmentListener = collections.abc.Callable[[Assignment], None]


class GroupsActor(pykka.ThreadingActor):
    """Tracks the state of each group and assigns its endpoints to owners."""

    def __init__(
        self,
        group_snapshots: snapshot_store.SnapshotStore,
        membership: members.MembershipSnapshot,
        on_assigned: AssignmentListener,
    ) -> None:
        """Start without groups.

        :param group_snapshots: where snapshots are published
        :param membership: initial membership
        :param on_assigned: called in the actor's thread when what the
            daemon owns has changed
        """
        super().__init__()
        self._group_snapshots = group_snapshots
        self._membership = membership
        self._ownership = ownership.Ownership(membership)
        self._on_assigned = on_assigned
        self._plans: dict[str, plans.PlanRevision] = {}
        self._trackers: dict[str, groups.GroupTracker] = {}
        self._leaving: frozenset[str] = frozenset()
        self._assigned: dict[str, OwnedGroup] = {}

    def on_receive(self, message: object) -> None:
        """Process one message."""
        match message:
            case PlansChanged():
                self._change_plans(message.revisions)
            case MembershipChanged():
                self._change_membership(message.membership)
            case LeavingChanged():
                self._change_leaving(message.endpoints)
            case ObservationBatch():
                self._observe(message)
            case _:
                raise TypeError(f"unknown message {message!r}")

    def _change_plans(
        self, revisions: typing.Mapping[str, plans.PlanRevision]
    ) -> None:
        for database in self._plans.keys() - revisions.keys():
            del self._plans[database]
            del self._trackers[database]
            self._group_snapshots.remove(database)
        for database, revision in revisions.items():
            known = self._plans.get(database)
            if known is not None and known.revision == revision.revision:
                continue
            self._plans[database] = revision
            tracker = self._trackers.get(database)
            if tracker is None:
                tracker = groups.GroupTracker(revision)
                self._trackers[database] = tracker
            tracker.set_revision(revision)
            self._assign(database)
        self._publish_assignment()

    def _change_membership(
        self, membership: members.MembershipSnapshot
    ) -> None:
        self._membership = membership
        zones = self._ownership.update(membership)
        for database, revision in self._plans.items():
            if any(
                endpoint.zone in zones for endpoint in revision.plan.endpoints
            ):
                self._assign(database)
        if zones:
            self._publish_assignment()

    def _change_leaving(self, endpoints: frozenset[str]) -> None:
        changed = self._leaving ^ endpoints
        self._leaving = endpoints
        for database, revision in self._plans.items():
            if changed & revision.plan.endpoint_by_name.keys():
                self._trackers[database].set_leaving(endpoints)
                self._publish(database)

    def _observe(self, batch: ObservationBatch) -> None:
        changed = set()
        for item in batch.reports:
            tracker = self._trackers.get(item.database)
            if tracker and tracker.observe(item.report, item.at):
                changed.add(item.database)
        for wait in batch.waits:
            tracker = self._trackers.get(wait.database)
            if tracker is not None:
                tracker.set_expected_wait(wait.endpoint, wait.wait)
                changed.add(wait.database)
        for database in changed:
            self._publish(database)

    def _assign(self, database: str) -> None:
        revision = self._plans[database]
        owners = {}
        for endpoint in revision.plan.endpoints:
            owner = self._ownership.find_owner(endpoint)
            owners[endpoint.name] = owner.id if owner else ""
        tracker = self._trackers[database]
        tracker.set_owners(owners)
        tracker.set_leaving(self._leaving)
        own = self._membership.own.id
        owned = frozenset(
            name for name, owner in owners.items() if owner == own
        )
        if owned:
            distinct = dict.fromkeys(filter(None, owners.values()))
            self._assigned[database] = OwnedGroup(
                revision, owned, tuple(distinct)
            )
        else:
            self._assigned.pop(database, None)
        self._publish(database)

    def _publish(self, database: str) -> None:
        self._group_snapshots.publish(self._trackers[database].take_snapshot())

    def _publish_assignment(self) -> None:
        for database in self._assigned.keys() - self._plans.keys():
            del self._assigned[database]
        self._on_assigned(Assignment(dict(self._assigned)))
