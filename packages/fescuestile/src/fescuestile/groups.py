"""State of a database group, built from reports.

Pure: takes reports with the time they were made at, gives snapshots.
"""

import collections
import dataclasses
import types
import typing

from fescuestile import endpoint_messages
from fescuestile import plans
from fescuestile import snapshots

PRIMARY_SAMPLES = 256


@dataclasses.dataclass(frozen=True, slots=True)
class _PrimarySample:
    """Where the primary's log ended at a time."""

    at: float
    index: int


class GroupTracker:
    """Merges the reports of a group's endpoints into snapshots."""

    def __init__(self, revision: plans.PlanRevision) -> None:
        """Track the endpoints that a plan names."""
        self._revision = revision
        self._views: dict[str, snapshots.EndpointView] = {}
        self._samples: collections.deque[_PrimarySample] = collections.deque(
            maxlen=PRIMARY_SAMPLES
        )
        self.set_revision(revision)

    def set_revision(self, revision: plans.PlanRevision) -> None:
        """Put a plan in force; endpoints it no longer names are dropped."""
        self._revision = revision
        kept = self._views
        self._views = {}
        for endpoint in revision.plan.endpoints:
            view = kept.get(endpoint.name)
            if view is None:
                view = snapshots.EndpointView(endpoint)
            self._views[endpoint.name] = dataclasses.replace(
                view, endpoint=endpoint
            )

    def set_owners(self, owners: typing.Mapping[str, str]) -> None:
        """Set the owning daemon of each endpoint by endpoint name."""
        for name, view in self._views.items():
            self._views[name] = dataclasses.replace(
                view, owner=owners.get(name, "")
            )

    def set_leaving(self, names: typing.Collection[str]) -> None:
        """Set which endpoints take no new work."""
        for name, view in self._views.items():
            self._views[name] = dataclasses.replace(
                view, leaving=name in names
            )

    def set_wait(self, endpoint: str, seconds: float) -> None:
        """Set the wait that new work meets at an endpoint's owner."""
        view = self._views.get(endpoint)
        if view is not None:
            self._views[endpoint] = dataclasses.replace(
                view, expected_wait=seconds
            )

    def observe(
        self, report: endpoint_messages.Report, reported_at: float
    ) -> bool:
        """Take a report.

        :param report: an endpoint's report, from it or through an owner
        :param reported_at: monotonic seconds, here, at which it was made
        :returns: whether it was newer than what is known
        """
        view = self._views.get(report.endpoint)
        if view is None or reported_at <= view.reported_at:
            return False
        if report.term < view.term:
            return False
        self._views[report.endpoint] = dataclasses.replace(
            view,
            role=report.role,
            term=report.term,
            history=report.history,
            reported_at=reported_at,
        )
        if report.role is endpoint_messages.Role.PRIMARY:
            self._sample_primary(report, reported_at)
        self._date_replica(report.endpoint)
        return True

    def _sample_primary(
        self, report: endpoint_messages.Report, at: float
    ) -> None:
        if self.find_primary() != report.endpoint:
            return
        if self._samples and self._samples[-1].index > report.last.index:
            self._samples.clear()
        self._samples.append(_PrimarySample(at, report.last.index))
        for name in self._views:
            self._date_replica(name)

    def _date_replica(self, name: str) -> None:
        view = self._views[name]
        for sample in reversed(self._samples):
            if sample.index <= view.history.last.index:
                at = min(sample.at, view.reported_at)
                if at > view.current_at:
                    self._views[name] = dataclasses.replace(
                        view, current_at=at
                    )
                return

    def find_term(self) -> int:
        """Return the highest term that an endpoint promised."""
        return max((view.term for view in self._views.values()), default=0)

    def find_primary(self) -> str:
        """Return the primary of the highest term, empty while unknown."""
        term = self.find_term()
        for name, view in self._views.items():
            if (
                view.term == term
                and view.role is endpoint_messages.Role.PRIMARY
            ):
                return name
        return ""

    def take_snapshot(self) -> snapshots.GroupSnapshot:
        """Return the group's state now."""
        return snapshots.GroupSnapshot(
            revision=self._revision,
            term=self.find_term(),
            primary=self.find_primary(),
            endpoints=types.MappingProxyType(dict(self._views)),
        )
