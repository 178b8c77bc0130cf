"""State of a database group, built from its endpoints' reports.

It does no I/O and reads no clock: each report is passed with its time.
"""

import collections
import dataclasses
import types
import typing

from fescuestile import endpoint_messages
from fescuestile import plans
from fescuestile import positions
from fescuestile import snapshots

MAX_PRIMARY_SAMPLES = 256


@dataclasses.dataclass(frozen=True, slots=True)
class _PrimarySample:
    """Last position of the primary's log at a time."""

    at: float
    last: positions.Position


class GroupTracker:
    """Merges the reports of a group's endpoints into snapshots."""

    def __init__(self, revision: plans.PlanRevision) -> None:
        """Initialize with the endpoints of a plan.

        :param revision: plan revision in force
        """
        self._revision = revision
        self._views: dict[str, snapshots.EndpointView] = {}
        self._samples: collections.deque[_PrimarySample] = collections.deque(
            maxlen=MAX_PRIMARY_SAMPLES
        )
        self._sampled_term = 0
        self.set_revision(revision)

    def set_revision(self, revision: plans.PlanRevision) -> None:
        """Apply a plan revision; drop endpoints that it no longer names."""
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
        """Set the owners of the endpoints.

        :param owners: daemon ids by endpoint name
        """
        for name, view in self._views.items():
            self._views[name] = dataclasses.replace(
                view, owner=owners.get(name, "")
            )

    def set_leaving(self, names: typing.Collection[str]) -> None:
        """Set which endpoints accept no new work, by name."""
        for name, view in self._views.items():
            self._views[name] = dataclasses.replace(
                view, leaving=name in names
            )

    def set_expected_wait(self, endpoint: str, seconds: float) -> None:
        """Set the expected wait of new work in an endpoint's queue.

        :param seconds: as announced by the endpoint's owner
        """
        view = self._views.get(endpoint)
        if view is not None:
            self._views[endpoint] = dataclasses.replace(
                view, expected_wait=seconds
            )

    def observe(
        self, report: endpoint_messages.Report, reported_at: float
    ) -> bool:
        """Apply a report.

        :param report: an endpoint's report, received from the endpoint or
            from its owner
        :param reported_at: monotonic seconds of this daemon's clock at which
            it was made
        :returns: whether it was newer than the state known so far
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
            revision=report.revision,
            reported_at=reported_at,
        )
        self._clear_ended_term()
        if report.role is endpoint_messages.Role.PRIMARY:
            self._sample_primary(report, reported_at)
        self._update_current_at()
        return True

    def _clear_ended_term(self) -> None:
        """Clear the samples when the term changes.

        An old primary may have reported after its term had ended.
        """
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

    def _update_current_at(self) -> None:
        majority_at = self._find_majority_at()
        for name, view in self._views.items():
            contained_at = self._find_contained_at(view.history)
            at = min(contained_at, view.reported_at, majority_at)
            if at > view.current_at:
                self._views[name] = dataclasses.replace(view, current_at=at)

    def _find_contained_at(self, history: positions.TermHistory) -> float:
        """Return the time of the latest sample that a log contains.

        :returns: monotonic seconds, negative infinity when there is none
        """
        for sample in reversed(self._samples):
            if history.contains(sample.last):
                return sample.at
        return float("-inf")

    def _find_majority_at(self) -> float:
        """Return when a majority last worked under the highest term.

        Any later primary was elected after that time, so all writes that it
        acknowledged are newer.

        :returns: monotonic seconds, negative infinity when unknown
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
        """Return the highest term that any endpoint promised."""
        return max((view.term for view in self._views.values()), default=0)

    def find_primary(self) -> str:
        """Return the name of the highest term's primary, empty if unknown."""
        term = self.find_term()
        for name, view in self._views.items():
            if (
                view.term == term
                and view.role is endpoint_messages.Role.PRIMARY
            ):
                return name
        return ""

    def take_snapshot(self) -> snapshots.GroupSnapshot:
        """Return an immutable copy of the group's current state."""
        return snapshots.GroupSnapshot(
            revision=self._revision,
            term=self.find_term(),
            primary=self.find_primary(),
            endpoints=types.MappingProxyType(dict(self._views)),
        )
