"""When a group's primary is held to have failed.

Evidence comes from several vantage points: the daemons that own the
group's endpoints and the replicas. A pause shorter than the threshold is
never a failure.
"""

import dataclasses
import enum
import typing

from fescuestile import endpoint_messages
from fescuestile import plans

FAILURE_SECONDS = 1.4
ALONE_SECONDS = 4.0
FRESH_SECONDS = 0.8
VACANT_SECONDS = 1.0
PAUSE_SECONDS = 0.5


class Reason(enum.StrEnum):
    """Why a primary is held to have failed."""

    SILENT = "silent to daemons"
    CUT_FROM_REPLICAS = "cut from its replicas"
    CUT_FROM_DAEMONS = "silent to its owner alone"
    LOST_STATE = "came back without its log"
    VACANT = "no primary of the term"


@dataclasses.dataclass(frozen=True, slots=True)
class Observed:
    """An endpoint's report and its age.

    :ivar age: seconds since the report was received
    """

    report: endpoint_messages.Report
    age: float


@dataclasses.dataclass(frozen=True, slots=True)
class Hearsay:
    """Silence of the primary as another daemon told it a moment ago.

    :ivar silence: seconds for which that daemon had not heard the primary
    """

    daemon: str
    silence: float


@dataclasses.dataclass(frozen=True)
class Evidence:
    """All that a daemon knows about a group's primary.

    :ivar plan: plan in force
    :ivar term: highest term known
    :ivar primary: primary of that term, or empty
    :ivar vacant: seconds for which the term has had no known primary
    :ivar silence: seconds since the primary last answered this daemon
    :ivar is_owner: this daemon owns the primary's connections
    :ivar owner: daemon that owns them
    :ivar watchers: number of daemons that watch the group, this included
    :ivar hearsay: what the others of them told
    :ivar reports: latest reports of the group's endpoints, by name
    """

    plan: plans.Plan
    term: int
    primary: str
    vacant: float = 0.0
    silence: float = 0.0
    is_owner: bool = False
    owner: str = ""
    watchers: int = 1
    hearsay: tuple[Hearsay, ...] = ()
    reports: typing.Mapping[str, Observed] = dataclasses.field(
        default_factory=dict
    )


class OwnPauses:
    """Keeps the daemon's own pauses from looking like others' silence."""

    def __init__(self, now: float) -> None:
        """Start running.

        :param now: monotonic seconds
        """
        self._ran_at = now
        self._resumed_at = now

    def note_running(self, now: float) -> None:
        """Note that the daemon runs; call several times a second."""
        if now - self._ran_at > PAUSE_SECONDS:
            self._resumed_at = now
        self._ran_at = now

    def bound(self, silence: float, now: float) -> float:
        """Return the part of a silence since the last pause, in seconds."""
        return min(silence, now - self._resumed_at)


def find_failure(evidence: Evidence) -> Reason | None:
    """Return why the primary has failed, None while it is trusted."""
    if not evidence.primary:
        if evidence.term and evidence.vacant >= VACANT_SECONDS:
            return Reason.VACANT
        return None
    if _has_lost_state(evidence):
        return Reason.LOST_STATE
    silent_replicas = _count_silent_replicas(evidence)
    hearing = len(evidence.plan.endpoints) - silent_replicas
    if hearing < evidence.plan.majority:
        return Reason.CUT_FROM_REPLICAS
    if evidence.silence < FAILURE_SECONDS:
        return None
    if _do_watchers_agree(evidence):
        return Reason.SILENT
    if evidence.is_owner and evidence.silence >= ALONE_SECONDS:
        return Reason.CUT_FROM_DAEMONS
    return None


def _has_lost_state(evidence: Evidence) -> bool:
    observed = evidence.reports.get(evidence.primary)
    return (
        observed is not None
        and observed.report.role is endpoint_messages.Role.REJOINING
    )


def _count_silent_replicas(evidence: Evidence) -> int:
    """Return how many replicas say that they don't hear the primary."""
    return sum(
        1
        for name, observed in evidence.reports.items()
        if name != evidence.primary
        and observed.age <= FRESH_SECONDS
        and observed.report.term == evidence.term
        and observed.report.primary == evidence.primary
        and observed.report.role is not endpoint_messages.Role.REJOINING
        and observed.report.primary_silence >= FAILURE_SECONDS
    )


def _do_watchers_agree(evidence: Evidence) -> bool:
    """Tell whether most watchers miss a primary that this one misses.

    While the primary's owner hears it, nothing is lost: writes go through
    the owner.
    """
    silent = {
        word.daemon
        for word in evidence.hearsay
        if word.silence >= FAILURE_SECONDS
    }
    told = {word.daemon for word in evidence.hearsay}
    if evidence.owner in told - silent:
        return False
    return bool(silent) and 1 + len(silent) > evidence.watchers // 2


def can_reach_majority(evidence: Evidence) -> bool:
    """Tell whether a majority of endpoints reported a moment ago.

    A daemon that reaches fewer must not fence: it could not finish.
    """
    reached = sum(
        1
        for observed in evidence.reports.values()
        if observed.age <= FRESH_SECONDS
        and observed.report.role is not endpoint_messages.Role.REJOINING
    )
    return reached >= evidence.plan.majority
