"""Runs of endpoints that an older copy of the registry may bring back."""

import dataclasses

import structlog

from fescuestile_daemon.relay.core import messages
from fescuestile_daemon.relay.endpoints import endpoint_states

log = structlog.get_logger()

# Runs that are remembered; a copy is some seconds old.
MAX_RUNS = 1000


@dataclasses.dataclass(slots=True)
class _Run:
    """One run of an endpoint, from its start to its end.

    :ivar leaving_since: boot-time seconds at which it was first seen to be
        leaving, None if it was not
    :ivar has_ended: whether it left or has started again
    :ivar is_logged: whether it was logged that its entry is left out
    """

    leaving_since: float | None
    has_ended: bool
    is_logged: bool = False


class FormerRuns:
    """Remembers runs that are not in use any more.

    A run that gave notice never takes it back, and one that has ended does
    not come back, whatever an older copy of the registry says.
    """

    def __init__(self) -> None:
        """Start without runs."""
        self._runs: dict[tuple[str, int], _Run] = {}

    def record(
        self, state: endpoint_states.EndpointState, has_restarted: bool
    ) -> None:
        """Record an endpoint that is about to be removed.

        :param has_restarted: whether another run takes its place
        """
        has_ended = has_restarted or state.has_left
        if not has_ended and state.leaving_since is None:
            return
        key = state.name, state.entry.started_at
        self._runs.pop(key, None)
        self._runs[key] = _Run(state.leaving_since, has_ended)
        if len(self._runs) > MAX_RUNS:
            del self._runs[next(iter(self._runs))]

    def correct(
        self,
        entry: messages.EndpointEntry,
        known: endpoint_states.EndpointState | None,
    ) -> messages.EndpointEntry | None:
        """Return what an entry that may be outdated says, None for nothing.

        :param known: the endpoint of that name that is in use
        """
        former = self._runs.get((entry.id, entry.started_at))
        if known is not None and known.entry.started_at == entry.started_at:
            leaving_since = known.leaving_since
        elif former is not None and former.has_ended:
            if not former.is_logged:
                former.is_logged = True
                log.info(
                    "entry of an ended endpoint left out",
                    endpoint=entry.id,
                    group=entry.group,
                    started_at=entry.started_at,
                )
            return None
        elif known is not None and known.entry.started_at > entry.started_at:
            return None
        else:
            leaving_since = former.leaving_since if former else None
        if leaving_since is None:
            return entry
        return dataclasses.replace(entry, leaving=True)
