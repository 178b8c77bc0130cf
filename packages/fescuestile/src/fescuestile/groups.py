"""State of a database group, built from reports.

Pure: takes reports with the time they were made at, gives snapshots.
"""

import collections
import dataclasses
import types
import typing

from fescuestile import endpoint_messages
from fescuestile import plans
from fescuestile import positions
from fescuestile import snapshots

PRIMARY_SAMPLES = 256


@dataclasses.dataclass(frozen=True, slots=True)
class _PrimarySample:
    """Where the primary's log ended at a time."""

    at: float
    last: positions.Position


class GroupTracker:
    """Merges the reports of a group's endpoints into snapshots."""

    def __init__(self, revision: plans.PlanRevision) -> None:
        """Track the endpoints that a plan names."""
        self._revision = revision
        self._views: dict[str, snapshots.EndpointView] = {}
        self._samples: collections.deque[_PrimarySample] = collections.deque(
            maxlen=PRIMARY_SAMPLES
        )
        self._sampled_term = 0
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
        self._follow_term()
        if report.role is endpoint_messages.Role.PRIMARY:
            self._sample_primary(report, reported_at)
        self._date_views()
        return True

    def _follow_term(self) -> None:
        """Drop an ended term's samples: some came after it had ended."""
        term = self.find_term()
        if term != self._sampled_term:
            self._sampled_term = term
            self._samples.clear()

    def _sample_primary(
        self, report: endpoint_messages.Report, at: float
    ) -> None:
        if self.find_primary() != report.endpoint:
            return
        self._samples.append(_PrimarySample(at, report.last))

    def _date_views(self) -> None:
        stood_at = self._find_standing()
        for name, view in self._views.items():
            held_at = self._find_held(view.history)
            at = min(held_at, view.reported_at, stood_at)
            if at > view.current_at:
                self._views[name] = dataclasses.replace(view, current_at=at)

    def _find_held(self, history: positions.TermHistory) -> float:
        """Return when the primary last reported no more than a log holds."""
        for sample in reversed(self._samples):
            if history.contains(sample.last):
                return sample.at
        return float("-inf")

    def _find_standing(self) -> float:
        """Return when a majority last worked under the highest term.

        A later primary was elected after that, so nothing that it
        acknowledged is older.
        """
        term = self.find_term()
        times = sorted(
            view.reported_at
            for view in self._views.values()
            if view.term == term
        )
        majority = self._revision.plan.majority
        if len(times) < majority:
            return float("-inf")
        return times[-majority]

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
