"""Failure detection for the primary of a group.

Evidence comes from several observers: the daemons that own the group's
endpoints, and the replicas. A pause of the primary that is shorter than the
timeout never counts as a failure.
"""

import dataclasses
import enum
import typing

from fescuestile import endpoint_messages
from fescuestile import plans

FAILURE_TIMEOUT_SECONDS = 1.4
OWNER_ONLY_TIMEOUT_SECONDS = 4.0
MAX_REPORT_AGE_SECONDS = 0.8
NO_PRIMARY_TIMEOUT_SECONDS = 1.0
MIN_PAUSE_SECONDS = 0.5


class Reason(enum.StrEnum):
    """Why a primary is suspected to have failed."""

    UNRESPONSIVE = "silent to daemons"
    CUT_FROM_REPLICAS = "cut from its replicas"
    UNRESPONSIVE_TO_OWNER = "silent to its owner alone"
    LOST_STATE = "came back without its log"
    NO_PRIMARY = "no primary of the term"


@dataclasses.dataclass(frozen=True, slots=True)
class ObservedReport:
    """Latest report of an endpoint with its age.

    :ivar age: seconds since the report was received
    """

    report: endpoint_messages.Report
    age: float


@dataclasses.dataclass(frozen=True, slots=True)
class RemoteObservation:
    """Recent observation of the primary, received from another daemon.

    :ivar daemon: id of that daemon
    :ivar unresponsive_seconds: time since the primary last answered that
        daemon
    """

    daemon: str
    unresponsive_seconds: float


@dataclasses.dataclass(frozen=True)
class Evidence:
    """All that a daemon knows about the primary of a group.

    :ivar plan: plan in force
    :ivar term: highest term known
    :ivar primary: primary of that term, empty while none is known
    :ivar no_primary_seconds: how long the term has had no known primary
    :ivar unresponsive_seconds: time since the primary last answered this
        daemon
    :ivar is_owner: this daemon owns the primary's connections
    :ivar owner: daemon that owns them
    :ivar watchers: number of daemons that watch the group, including this
        one
    :ivar remote_observations: what the other watchers observed
    :ivar reports: latest reports of the group's endpoints, by name
    """

    plan: plans.Plan
    term: int
    primary: str
    no_primary_seconds: float = 0.0
    unresponsive_seconds: float = 0.0
    is_owner: bool = False
    owner: str = ""
    watchers: int = 1
    remote_observations: tuple[RemoteObservation, ...] = ()
    reports: typing.Mapping[str, ObservedReport] = dataclasses.field(
        default_factory=dict
    )


class PauseDetector:
    """Detects pauses of this daemon, so that they are not blamed on others.

    After a pause of the process, all endpoints seem to have been
    unresponsive for as long as it took.
    """

    def __init__(self, now: float) -> None:
        """Start without a pause.

        :param now: monotonic seconds
        """
        self._ran_at = now
        self._resumed_at = now

    def record_running(self, now: float) -> None:
        """Record that the daemon runs; call several times a second."""
        if now - self._ran_at > MIN_PAUSE_SECONDS:
            self._resumed_at = now
        self._ran_at = now

    def exclude_pauses(self, seconds: float, now: float) -> float:
        """Return how much of an interval up to now is after the last pause.

        :param seconds: length of the interval
        :param now: monotonic seconds
        """
        return min(seconds, now - self._resumed_at)


def find_failure(evidence: Evidence) -> Reason | None:
    """Return why the primary is suspected, None while it is not."""
    if not evidence.primary:
        if (
            evidence.term
            and evidence.no_primary_seconds >= NO_PRIMARY_TIMEOUT_SECONDS
        ):
            return Reason.NO_PRIMARY
        return None
    if _has_lost_state(evidence):
        return Reason.LOST_STATE
    disconnected = _count_disconnected_replicas(evidence)
    connected = len(evidence.plan.endpoints) - disconnected
    if connected < evidence.plan.majority:
        return Reason.CUT_FROM_REPLICAS
    if evidence.unresponsive_seconds < FAILURE_TIMEOUT_SECONDS:
        return None
    if _have_watchers_agreed(evidence):
        return Reason.UNRESPONSIVE
    if (
        evidence.is_owner
        and evidence.unresponsive_seconds >= OWNER_ONLY_TIMEOUT_SECONDS
    ):
        return Reason.UNRESPONSIVE_TO_OWNER
    return None


def _has_lost_state(evidence: Evidence) -> bool:
    observed = evidence.reports.get(evidence.primary)
    return (
        observed is not None
        and observed.report.role is endpoint_messages.Role.REJOINING
    )


def _count_disconnected_replicas(evidence: Evidence) -> int:
    """Return how many replicas report that the primary does not respond."""
    return sum(
        1
        for name, observed in evidence.reports.items()
        if name != evidence.primary
        and observed.age <= MAX_REPORT_AGE_SECONDS
        and observed.report.term == evidence.term
        and observed.report.primary == evidence.primary
        and observed.report.role is not endpoint_messages.Role.REJOINING
        and observed.report.primary_silence >= FAILURE_TIMEOUT_SECONDS
    )


def _have_watchers_agreed(evidence: Evidence) -> bool:
    """Return whether most watchers find the primary unresponsive.

    This daemon counts as one of them. They don't agree while the primary
    still answers its owner: writes go through the owner and are served.
    """
    unresponsive = {
        observation.daemon
        for observation in evidence.remote_observations
        if observation.unresponsive_seconds >= FAILURE_TIMEOUT_SECONDS
    }
    observers = {
        observation.daemon for observation in evidence.remote_observations
    }
    if evidence.owner in observers - unresponsive:
        return False
    return (
        bool(unresponsive) and 1 + len(unresponsive) > evidence.watchers // 2
    )


def can_reach_majority(evidence: Evidence) -> bool:
    """Return whether a majority of endpoints reported recently.

    A daemon that reaches fewer must not fence: it could not complete the
    failover.
    """
    reached = sum(
        1
        for observed in evidence.reports.values()
        if observed.age <= MAX_REPORT_AGE_SECONDS
        and observed.report.role is not endpoint_messages.Role.REJOINING
    )
    return reached >= evidence.plan.majority
