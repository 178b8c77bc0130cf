"""Model of a replicated log, daemons with delayed reports and sessions.

Tokens, routing, lag estimates and checks of answers are the library's. The
model keeps each log as a list and checks every answer against the
authoritative state.
"""

import collections
import random

from fescuestile import endpoint_messages
from fescuestile import groups
from fescuestile import plans
from fescuestile import positions
from fescuestile import requests
from fescuestile import routing
from fescuestile import sessions
from fescuestile import snapshots
from measurements import session_parts

ZONES = ("muenchen", "ingolstadt", "landshut")
DAEMON_COUNT = 3
SESSION_COUNT = 6
DATABASE = "werkstatt-db"
MAX_REPORT_DELAY_SECONDS = routing.DEFAULTS.report_delay
Role = endpoint_messages.Role


class Violation(AssertionError):
    """A guarantee of a session was violated."""


class SessionModel:
    """State of the model; each kind of step is a public method."""

    def __init__(self, seed: int, size: int = 3) -> None:
        """Initialize a group with empty logs, and new sessions."""
        self.rng = random.Random(seed)
        self.now = 0.0
        self.counts: collections.Counter[str] = collections.Counter()
        self.ring = sessions.KeyRing(sessions.SigningKey("1", b"1" * 16))
        names = [f"endpoint-{number}" for number in range(size)]
        self.endpoints = {
            name: session_parts.Endpoint(
                plans.Endpoint(name, ZONES[number % 3], "127.0.0.1:1", 2, 16),
                Role.REPLICA if number else Role.PRIMARY,
                follows=names[0],
            )
            for number, name in enumerate(names)
        }
        self.primary = names[0]
        self.majority = size // 2 + 1
        # Endpoints and daemons on the minority side of a network partition.
        self.isolated: frozenset[str | int] = frozenset()
        self.confirmed_at: dict[session_parts.Entry, float] = {}
        self.pending: list[session_parts.PendingWrite] = []
        self.daemons = [self._build_daemon(n) for n in range(DAEMON_COUNT)]
        self.callers = [self._build_caller(n) for n in range(SESSION_COUNT)]

    def _build_daemon(self, number: int) -> session_parts.Daemon:
        plan = plans.Plan(
            DATABASE,
            tuple(endpoint.plan for endpoint in self.endpoints.values()),
            (plans.Rank("urgent", 0.0),),
            (plans.Kind("history", "urgent", 5.0),),
        )
        revision = plans.PlanRevision(1, plan, "c", "o", "")
        tracker = groups.GroupTracker(revision)
        tracker.set_owners(dict.fromkeys(self.endpoints, "owner"))
        return session_parts.Daemon(tracker, ZONES[number])

    def _build_caller(self, number: int) -> session_parts.Caller:
        name = f"caller-{number}"
        tracker = sessions.SessionTracker(sessions.Session(name))
        return session_parts.Caller(name, number % DAEMON_COUNT, tracker)

    # Steps of the environment.

    def can_reach(self, one: str | int, other: str | int) -> bool:
        """Return whether two endpoints or daemons can reach each other."""
        return (one in self.isolated) == (other in self.isolated)

    def advance(self, seconds: float) -> None:
        """Advance the time and deliver the reports that are due."""
        self.now += seconds
        for daemon in self.daemons:
            due = [item for item in daemon.inbox if item[0] <= self.now]
            daemon.inbox = [i for i in daemon.inbox if i[0] > self.now]
            for at, report in sorted(due, key=lambda item: item[0]):
                daemon.tracker.observe(report, at)

    def send_report(self, name: str, daemon: int, delay: float) -> None:
        """Send an endpoint's report to a daemon, which records its arrival.

        :param delay: seconds, capped at ``MAX_REPORT_DELAY_SECONDS``
        """
        if not self.can_reach(name, daemon):
            return
        report = self.endpoints[name].report()
        inbox = self.daemons[daemon].inbox
        inbox.append((self.now + min(delay, MAX_REPORT_DELAY_SECONDS), report))

    def replicate(self, name: str, count: int) -> None:
        """Copy up to ``count`` entries to a replica from its primary."""
        replica = self.endpoints[name]
        source = self.endpoints[replica.follows]
        if replica.role is not Role.REPLICA or source.term != replica.term:
            return
        if not self.can_reach(name, replica.follows):
            return
        common = _count_common_entries(replica.log, source.log)
        del replica.log[common:]
        replica.log += source.log[common : common + count]
        self._confirm()

    def fail_over(self, fenced: list[str]) -> None:
        """Fence endpoints in a new term and promote the most advanced one.

        Does nothing unless a majority is given and all of it is reachable.

        :param fenced: names of the endpoints
        """
        term = max(endpoint.term for endpoint in self.endpoints.values()) + 1
        if len(fenced) < self.majority or self.isolated & set(fenced):
            return
        chosen = max(fenced, key=lambda name: self.endpoints[name].last)
        for name in fenced:
            endpoint = self.endpoints[name]
            endpoint.term = term
            endpoint.role = Role.REPLICA
            endpoint.follows = chosen
        self.endpoints[chosen].role = Role.PRIMARY
        self.primary = chosen
        self._append(self.endpoints[chosen])
        self.counts["failovers"] += 1

    def follow_primary(self, name: str) -> None:
        """Let an endpoint of an earlier term follow the current primary."""
        primary = self.endpoints[self.primary]
        endpoint = self.endpoints[name]
        if endpoint.term < primary.term and self.can_reach(name, self.primary):
            endpoint.term = primary.term
            endpoint.role = Role.REPLICA
            endpoint.follows = self.primary

    def rotate_keys(self) -> None:
        """Sign with a new key and keep the previous one valid."""
        number = str(int(self.ring.current.id) + 1)
        key = sessions.SigningKey(number, number.encode() * 16)
        self.ring = sessions.KeyRing(key, self.ring.current)
        for caller in self.callers:
            caller.token = caller.tracker.issue_token(self.ring)

    # Steps of sessions.

    def roam(self, caller: session_parts.Caller, daemon: int) -> None:
        """Move a session to another daemon; only its token goes along."""
        caller.daemon = daemon
        session = sessions.Session(caller.name)
        if caller.token:
            session = sessions.read_token(
                self.ring, caller.token, caller.name
            ).ok
        caller.tracker = sessions.SessionTracker(session)
        self.counts["roams"] += 1

    def write(self, caller: session_parts.Caller) -> None:
        """Write to the primary that the caller's daemon routes to."""
        request = self.make_request(caller, 0.0)
        routed = self._route(caller, request, False)
        if routed is None:
            return
        endpoint = self.endpoints[routed.view.endpoint.name]
        if endpoint.term != routed.term or endpoint.role is not Role.PRIMARY:
            return
        entry = self._append(endpoint)
        self.pending.append(
            session_parts.PendingWrite(caller, caller.daemon, entry)
        )
        self._confirm()

    def read(
        self, caller: session_parts.Caller, staleness: float, queued: float
    ) -> snapshots.EndpointView | None:
        """Read, and check the answer against the authoritative state.

        :param staleness: seconds that the read may be behind
        :param queued: seconds that it waits before it runs
        :returns: endpoint that answered, or None
        :raises: Violation when a guarantee of the session is violated
        """
        request = self.make_request(caller, staleness)
        for waited in (False, True):
            routed = self._route(caller, request, waited)
            if routed is None:
                return None
            if routed.catch_up:
                self.advance(routed.catch_up)
                continue
            self.advance(queued)
            if self._execute(caller, request, routed, staleness):
                self.counts["replica" if routed.replica else "primary"] += 1
                return routed.view
        return None

    def _route(
        self,
        caller: session_parts.Caller,
        request: requests.Request,
        waited: bool,
    ) -> routing.RoutingDecision | None:
        daemon = self.daemons[caller.daemon]
        routed = routing.route(
            request,
            daemon.tracker.take_snapshot(),
            daemon.zone,
            self.now,
            self.rng,
            waited,
        )
        if routed.is_error():
            return None
        endpoint = routed.ok.view.endpoint.name
        return routed.ok if self.can_reach(caller.daemon, endpoint) else None

    def make_request(
        self, caller: session_parts.Caller, staleness: float
    ) -> requests.Request:
        """Return a request such as the session filter creates."""
        return requests.Request(
            request_id="r",
            caller=caller.name,
            database=DATABASE,
            kind="history",
            level=0,
            staleness=staleness,
            deadline=self.now + 5,
            repeatable=True,
            action=requests.Action.STATEMENT,
            read_only=staleness > 0,
            minimum=caller.tracker.session.find_minimum(DATABASE),
        )

    def _execute(
        self,
        caller: session_parts.Caller,
        request: requests.Request,
        routed: routing.RoutingDecision,
        staleness: float,
    ) -> bool:
        endpoint = self.endpoints[routed.view.endpoint.name]
        history = endpoint.report().history
        if endpoint.term != routed.term:
            return False
        if not history.covers(request.minimum):
            return False
        if not routed.replica and not self._has_majority(routed.term):
            return False
        answer = requests.Answer(
            b"", endpoint.plan.name, history.last, routed.replica
        )
        group = self.daemons[caller.daemon].tracker.take_snapshot()
        if not self.check(request, answer, routed, group):
            self.counts["refused answers"] += 1
            return False
        self._check_guarantees(caller, endpoint.log, self.now - staleness)
        caller.tracker.observe(DATABASE, answer.position)
        caller.token = caller.tracker.issue_token(self.ring)
        return True

    def check(
        self,
        request: requests.Request,
        answer: requests.Answer,
        routed: routing.RoutingDecision,
        group: snapshots.GroupSnapshot,
    ) -> bool:
        """Return whether the daemon accepts an answer."""
        checked = routing.check_answer(
            request, answer, routed, group, self.now
        )
        return checked.is_ok()

    def _check_guarantees(
        self,
        caller: session_parts.Caller,
        log: list[session_parts.Entry],
        stale_before: float,
    ) -> None:
        entries = set(log)
        for entry in caller.observed:
            if entry in self.confirmed_at and entry not in entries:
                raise Violation(
                    f"{caller.name} read without {entry}, which it observed"
                )
        for entry, at in self.confirmed_at.items():
            if at < stale_before and entry not in entries:
                raise Violation(
                    f"stale read without {entry}, confirmed at {at:.3f}"
                )
        caller.observed = caller.observed[-4:] + list(log[-1:])
        self.counts["reads"] += 1

    # Authoritative state.

    def _append(self, endpoint: session_parts.Endpoint) -> session_parts.Entry:
        position = positions.Position(endpoint.term, len(endpoint.log) + 1)
        entry = session_parts.Entry(position)
        endpoint.log.append(entry)
        return entry

    def _has_majority(self, term: int) -> bool:
        in_term = [e for e in self.endpoints.values() if e.term == term]
        return len(in_term) >= self.majority

    def _confirm(self) -> None:
        """Confirm the entries that a majority of the latest term holds.

        Acknowledges their writes to the callers.
        """
        primary = self.endpoints[self.primary]
        logs = [
            endpoint.log
            for endpoint in self.endpoints.values()
            if endpoint.term == primary.term
            and endpoint.last.term == primary.term
        ]
        if len(logs) < self.majority:
            return
        lengths = sorted((len(log) for log in logs), reverse=True)
        for entry in primary.log[: lengths[self.majority - 1]]:
            self.confirmed_at.setdefault(entry, self.now)
        for write in tuple(self.pending):
            if write.entry in self.confirmed_at:
                self.pending.remove(write)
                self._acknowledge(write)

    def _acknowledge(self, write: session_parts.PendingWrite) -> None:
        caller = write.caller
        if caller.daemon != write.daemon:
            return
        caller.tracker.observe(DATABASE, write.entry.position)
        caller.token = caller.tracker.issue_token(self.ring)
        caller.observed.append(write.entry)
        self.counts["acknowledged"] += 1


def _count_common_entries(
    one: list[session_parts.Entry], other: list[session_parts.Entry]
) -> int:
    """Return the length of the common prefix of two logs."""
    low, high = 0, min(len(one), len(other))
    while low < high:
        middle = (low + high + 1) // 2
        if one[middle - 1] == other[middle - 1]:
            low = middle
        else:
            high = middle - 1
    return low
