"""Which records may lack what was written in an earlier era of the store.

The store may come back from an older copy, in the next era. A record may then
lack members, and a promotion that was requested and takes effect later. Those
who know of them write them again, but their daemons may have died. So nothing
is decided on a record before one of these shows that no promotion is missing:

- a daemon that knew so has written the record in this era;
- all daemons have written again what they know, see ``restorations``;
- it is missing in the first era that this daemon sees, and nobody who knows
  it has written it again;
- the time in which a request can take effect is over;
- all endpoints follow one primary, which may have failed meanwhile. A driver
  keeps the fences of all but the endpoint that it promotes until that has
  taken effect, or has made the primary step down. A silent primary that has
  never reported here counts by its registry entry.

Not covered: within the seconds that the store has lost a driver stops the
primary and all replicas but one that it does not reach, requests a promotion
and dies, and the primary fails as well. Likewise, if a primary was replaced,
and its successor hands over to it again, leaves and does not reach the store.
"""

import math

import structlog

from fescuestile import endpoint_messages
from fescuestile import group_members
from fescuestile import pending_promotions
from fescuestile import promotion
from fescuestile_daemon.relay.groups import groups
from fescuestile_daemon.relay.groups import reachability
from fescuestile_daemon.relay.records import leases
from fescuestile_daemon.relay.records import member_store

log = structlog.get_logger()

Role = endpoint_messages.Role
# Time within which the daemons that reach the store have heard of its era and
# written again what they know.
RESTORE_SECONDS = 2.0
# A request under a lease of a former era is sent, and takes effect, within.
FORGOTTEN_SECONDS = leases.WAIT_SECONDS + pending_promotions.PENDING_SECONDS


class RecordEras:
    """The era of the store, and the records that are settled in it.

    :ivar era: latest era of the store, 0 for none
    """

    def __init__(self) -> None:
        """Start before the first era."""
        self.era = 0
        self._is_first = False
        self._since = -math.inf
        self._steady: set[str] = set()
        self._settled: set[str] = set()
        # Era in which each group's record was first settled here.
        self._first_settled: dict[str, int] = {}

    def notice(self, era: int, now: float) -> bool:
        """Record the era of the store.

        :param now: monotonic seconds
        :returns: whether it is a later one
        """
        if era <= self.era:
            return False
        self._is_first = not self.era
        self.era, self._since = era, now
        self._steady.clear()
        self._settled.clear()
        return True

    def is_restored(self, now: float) -> bool:
        """Return whether others have written again what they know.

        :param now: monotonic seconds
        """
        return now - self._since > RESTORE_SECONDS

    def is_settled_as_new(
        self,
        group: groups.Group,
        stored: member_store.StoredMembers,
        now: float,
    ) -> bool:
        """Return whether nobody has ever recorded anything of a group.

        A copy is a few seconds old, so it lacks the record only if that was
        first written within these. All daemons that have read it since write
        it again.

        :param now: monotonic seconds
        """
        return (
            self._is_first
            and stored.era == self.era
            and stored.revision is None
            and self.is_restored(now)
            and not group.members.recorded
            and not group.members.forgotten
            and group.promotions.find(now) is None
            and not group.promotions.find_replaced_term(now)
        )

    def is_settled(
        self,
        group: groups.Group,
        stored: member_store.StoredMembers,
        now: float,
    ) -> bool:
        """Return whether no promotion is missing in a record.

        :param now: monotonic seconds
        """
        if stored.era != self.era:
            return False
        if stored.settled_era == self.era or group.name in self._settled:
            self._first_settled.setdefault(group.name, self.era)
            return True
        if (
            group.name not in self._steady
            and group.promotions.find(now) is None
            and _is_steady(group, stored, self._since, now)
        ):
            self._steady.add(group.name)
        is_steady = group.name in self._steady
        if now - self._since <= FORGOTTEN_SECONDS and not (
            is_steady and self.is_restored(now)
        ):
            return False
        self._settle(group, now, "steady" if is_steady else "time")
        return True

    def settle_restored(self, group: groups.Group, now: float) -> None:
        """Settle a record into which all daemons have written again.

        :param now: monotonic seconds
        """
        if group.name not in self._settled:
            self._settle(group, now, "restored")

    def _settle(self, group: groups.Group, now: float, evidence: str) -> None:
        self._settled.add(group.name)
        self._first_settled.setdefault(group.name, self.era)
        log.info(
            "record settled",
            group=group.name,
            era=self.era,
            evidence=evidence,
            seconds=round(now - self._since, 1),
        )

    def list_known(self) -> set[str]:
        """Return the groups whose records were settled in a former era.

        This process knows each promotion that was requested since then by its
        daemon, also before its start.
        """
        return {
            name for name, era in self._first_settled.items() if era < self.era
        }


def _is_steady(
    group: groups.Group,
    stored: member_store.StoredMembers,
    since: float,
    now: float,
) -> bool:
    """Return whether all endpoints have followed one primary.

    An endpoint that joined after the record was written was not fenced.

    :param since: monotonic seconds; earlier reports do not count
    :param now: monotonic seconds
    """
    endpoints = group.endpoints.values()
    reports = [
        endpoint.report
        for endpoint in endpoints
        if endpoint.report is not None and endpoint.reported_at >= since
    ]
    primary = promotion.find_primary(reports) or _find_failed(group, since)
    unheard = reachability.find_unheard_primary(group, now)
    if primary is not None:
        leader, term = primary.endpoint, primary.term
    elif unheard is not None and not group.list_leaving():
        leader, term = unheard.name, group.followed_term
    else:
        return False
    if (
        group.members.absent
        or len({leader, *(each.endpoint for each in reports)}) < len(endpoints)
        or any(report.term != term for report in reports)
        or any(
            report.role is not Role.REPLICA
            for report in reports
            if report is not primary
        )
    ):
        return False
    recorded = (stored.members or frozenset()) | group.members.forgotten
    replicas = [
        endpoint
        for endpoint in endpoints
        if endpoint.name != leader
        and (
            stored.revision is None
            or group_members.Member(endpoint.name, endpoint.entry.started_at)
            in recorded
        )
    ]
    return len(replicas) >= promotion.UNFENCED_REPLICAS


def _find_failed(
    group: groups.Group, since: float
) -> endpoint_messages.Report | None:
    """Return the last report of a primary that has not reported since.

    A driver may have made it step down after that, for a switchover, but then
    an endpoint is leaving.
    """
    if group.list_leaving():
        return None
    return promotion.find_primary(
        endpoint.report
        for endpoint in group.endpoints.values()
        if endpoint.report is not None and endpoint.reported_at < since
    )
