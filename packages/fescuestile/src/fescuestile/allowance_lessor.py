"""Leases a daemon's share of the limits to one coordinator at a time.

The coordinator is the first daemon in the order of preference that answers.
"""

import collections.abc
import dataclasses

from fescuestile import allowance_messages
from fescuestile import allowances

# The longest pause between two listings of the peers is 12 s; by this time
# after its own listing all others have listed a daemon that registered.
LISTED_SECONDS = 14.0
# Leases of an earlier process of the same daemon have ended by then.
FORMER_LEASE_SECONDS = 0.7
# A smaller number of daemons takes effect after this time, see coordinator.
DAEMONS_SECONDS = 30.0
# A coordinator without an answer for this time is replaced.
SILENCE_SECONDS = 0.25
# Candidates that did not answer are not asked again for this time.
AVOID_SECONDS = 3.0
# Time for which a search waits for answers, and how many it asks at first.
SEARCH_SECONDS = 0.1
FIRST_SEARCH = 8
# Pause between the probes of candidates before the present coordinator, and
# how many of them are asked each time.
CLIMB_SECONDS = 1.0
CLIMB_PROBES = 3
# Probes in a row that such a candidate answers before it is taken.
CLIMB_ANSWERS = 2
# The value of one answer is echoed by the next request, so the lease must be
# longer than two pauses.
RENEWAL_SECONDS = 0.25
JITTER_SECONDS = 0.02
# An answer that is later than this is of no use.
ANSWER_SECONDS = 1.0

Outgoing = tuple[str, allowance_messages.Ask]


@dataclasses.dataclass(slots=True)
class _Candidate:
    """What is known of a daemon that may be the coordinator.

    :ivar echo: its latest clock value
    :ivar heard_at: time of its latest answer
    :ivar lessors: daemons that leased to it then
    :ivar unanswered_since: time of the first request since its last answer
    :ivar avoided_until: not searched before
    :ivar probes: probes in a row that it answered while it was not used
    :ivar probed_at: time of the last of these probes, 0 for none
    """

    echo: allowance_messages.Echo | None = None
    heard_at: float = -1.0
    lessors: int = 0
    unanswered_since: float | None = None
    avoided_until: float = 0.0
    probes: int = 0
    probed_at: float = 0.0


@dataclasses.dataclass(slots=True)
class _Search:
    """Candidates that are asked at the same time."""

    started_at: float
    batch: tuple[str, ...]
    next_index: int


class Lessor:
    """Chooses a coordinator and makes the requests that renew the lease.

    :ivar coordinator: name of the daemon to request tokens from, None while
        it is unknown
    """

    def __init__(
        self, name: str, number: int, now: float, running: float = 0.0
    ) -> None:
        """Initialize without peers.

        :param number: number of the first request, not to be guessed
        :param running: seconds for which this process has run at least, since
            when no earlier one of the same daemon has leased anything
        """
        self.coordinator: str | None = None
        self._name = name
        self._number = number
        self._order: tuple[str, ...] = ()
        self._candidates: dict[str, _Candidate] = {}
        self._target: str | None = None
        self._lease_from = now + max(0.0, FORMER_LEASE_SECONDS - running)
        self._lease_until = now
        self._listed_at: float | None = None
        self._is_listed = False
        self._named: dict[int, float] = {}
        self._pending: dict[int, tuple[str, float]] = {}
        self._search: _Search | None = None
        self._climbed_at = now
        self._climb_index = 0
        self._renewed_at = 0.0

    def put_order(self, order: tuple[str, ...], now: float) -> None:
        """Replace the known daemons, most preferred first, itself included.

        It is called after this daemon has registered.
        """
        if self._listed_at is None:
            self._listed_at = now
        self._named[len(order)] = now
        self._order = order
        self._candidates = {
            name: self._candidates.get(name) or _Candidate() for name in order
        }
        if self._target not in self._candidates:
            self._target = None
        self._search = None

    def note_registered_before(self) -> None:
        """Note that all others have listed an earlier process's entry."""
        self._is_listed = True

    def make_ask(
        self, to: str, now: float, demand: dict[str, int] | None = None
    ) -> allowance_messages.Ask:
        """Return a request; one to the coordinator renews the lease."""
        self._number = (self._number + 1) & allowance_messages.MAX_NUMBER
        self._pending[self._number] = to, now
        candidate = self._candidates.setdefault(to, _Candidate())
        if candidate.unanswered_since is None:
            candidate.unanswered_since = now
        echo = None
        if to == self.coordinator:
            self._renewed_at = now
            echo = self._lease(candidate, now)
        return allowance_messages.Ask(
            self._number,
            self._name,
            self._count_daemons(now),
            self.check_listed(now),
            echo,
            demand or {},
        )

    def check_listed(self, now: float) -> bool:
        """Return whether all others can have listed this daemon."""
        if not self._is_listed and self._listed_at is not None:
            self._is_listed = now >= self._listed_at + LISTED_SECONDS
        return self._is_listed

    def _lease(
        self, candidate: _Candidate, now: float
    ) -> allowance_messages.Echo | None:
        """Lease to the coordinator; return the value to echo."""
        if not self._may_lease(now) or candidate.echo is None:
            return None
        until = candidate.heard_at + (
            allowances.LEASE_SECONDS * allowances.LEASE_MARGIN
        )
        if until <= now:
            return None
        self._lease_until = max(self._lease_until, until)
        return candidate.echo

    def _may_lease(self, now: float) -> bool:
        return (
            self._target == self.coordinator
            and self._listed_at is not None
            and now >= self._lease_from
        )

    def receive(
        self, grant: allowance_messages.Grant, sender: str, now: float
    ) -> float | None:
        """Handle an answer.

        :returns: time of the request, None if it is unknown or too old
        """
        to, sent_at = self._pending.get(grant.number, ("", 0.0))
        if to != sender:
            return None
        del self._pending[grant.number]
        candidate = self._candidates.get(sender)
        if candidate is None or now - sent_at > ANSWER_SECONDS:
            return None
        if candidate.echo is None or (
            candidate.echo.instance != grant.echo.instance
            or candidate.echo.clock <= grant.echo.clock
        ):
            candidate.echo = grant.echo
            candidate.heard_at = now
        candidate.lessors = grant.lessors
        self._is_listed |= grant.is_complete
        candidate.unanswered_since = None
        candidate.avoided_until = 0.0
        if sent_at == candidate.probed_at:
            candidate.probes += 1
            candidate.probed_at = 0.0
        return sent_at

    def tick(self, now: float) -> list[Outgoing]:
        """Return the requests that are due; called every 0.125 s."""
        if not self._order:
            return []
        for number, (_, sent_at) in list(self._pending.items()):
            if now - sent_at > ANSWER_SECONDS:
                del self._pending[number]
        sent = self._find_target(now)
        if self._target is not None and now >= self._lease_until:
            self.coordinator = self._target
        if (
            self.coordinator is not None
            and now - self._renewed_at >= RENEWAL_SECONDS - JITTER_SECONDS
        ):
            sent.append(
                (self.coordinator, self.make_ask(self.coordinator, now))
            )
        return sent

    def may_renew(self, now: float) -> bool:
        """Return whether a request would start a lease that is missing."""
        candidate = self._candidates.get(self.coordinator or "")
        return (
            candidate is not None
            and self._may_lease(now)
            and now >= self._lease_until
            and candidate.heard_at == now
        )

    def _find_target(self, now: float) -> list[Outgoing]:
        if self._search is None:
            if self._is_silent(self._target, now):
                return self._start_search(now, 0, FIRST_SEARCH)
            return self._climb(now)
        search = self._search
        answered = [
            name
            for name in search.batch
            if name == self._name
            or self._candidates[name].heard_at >= search.started_at
        ]
        leased = [n for n in answered if self._candidates[n].lessors]
        if now - search.started_at < SEARCH_SECONDS and not (
            leased and leased[0] == search.batch[0]
        ):
            return []
        for name in search.batch:
            if name not in answered:
                self._avoid(name, now)
        if not answered:
            return self._start_search(
                now, search.next_index, 2 * len(search.batch)
            )
        self._search = None
        # One that others already lease to has tokens at once.
        self._target = (leased or answered)[0]
        self._climbed_at = now
        return []

    def _is_silent(self, name: str | None, now: float) -> bool:
        if name is None or name not in self._candidates:
            return True
        since = self._candidates[name].unanswered_since
        if name == self._name or since is None:
            return False
        if now - since <= SILENCE_SECONDS:
            return False
        self._avoid(name, now)
        return True

    def _avoid(self, name: str, now: float) -> None:
        candidate = self._candidates[name]
        candidate.avoided_until = now + AVOID_SECONDS
        candidate.probes = 0

    def _start_search(
        self, now: float, first_index: int, count: int
    ) -> list[Outgoing]:
        """Ask the next candidates at once; this daemon always answers."""
        batch: list[str] = []
        index = first_index
        while index < len(self._order) and len(batch) < count:
            name = self._order[index]
            index += 1
            if name == self._name or (
                self._candidates[name].avoided_until <= now
            ):
                batch.append(name)
        if not batch:
            batch = [self._name]
        self._search = _Search(now, tuple(batch), index)
        return self._ask_each(batch, now)

    def _climb(self, now: float) -> list[Outgoing]:
        """Return to a more preferred daemon that answers steadily."""
        if self._target is None or now - self._climbed_at < CLIMB_SECONDS:
            return []
        self._climbed_at = now
        better = self._order[: self._order.index(self._target)]
        for name in better:
            if self._candidates[name].probes >= CLIMB_ANSWERS:
                self._candidates[name].probes = 0
                self._target = name
                return []
        if not better:
            return []
        start = self._climb_index % len(better)
        steady = [n for n in better if self._candidates[n].probes]
        turn = [*better[start:], *better[:start]][:CLIMB_PROBES]
        self._climb_index = start + CLIMB_PROBES
        probed = list(dict.fromkeys([*steady[:1], *turn]))
        for name in probed:
            candidate = self._candidates[name]
            if name == self._name:
                candidate.probes += 1
                continue
            if candidate.probed_at:
                candidate.probes = 0
            candidate.probed_at = now
        return self._ask_each(probed, now)

    def _ask_each(
        self, names: collections.abc.Iterable[str], now: float
    ) -> list[Outgoing]:
        return [
            (name, self.make_ask(name, now))
            for name in names
            if name != self._name
        ]

    def _count_daemons(self, now: float) -> int:
        """Return the largest number of daemons listed in the last time."""
        if len(self._named) > 1:
            newest = max(self._named.values())
            for number, named_at in list(self._named.items()):
                if named_at < min(newest, now - DAEMONS_SECONDS):
                    del self._named[number]
        return max(self._named, default=0)
