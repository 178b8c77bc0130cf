"""Issues tokens from the shares of the limits that daemons lease to it."""

import collections
import dataclasses
import heapq
import math

from fescuestile import allowance_buckets
from fescuestile import allowance_messages
from fescuestile import allowances
from fescuestile import tenants

# A smaller number of daemons takes effect after this time: a daemon that the
# store forgot has registered and been listed again by then.
DAEMONS_SECONDS = 30.0
# Larger shares are rounded down to a multiple of 1 / SHARE_STEPS, unless all
# daemons are lessors: each bucket that is used looks at the shares from which
# the present one rose, and thousands of lessors may start one by one.
SHARE_STEPS = 128
EXACT_LESSORS = 16


@dataclasses.dataclass(slots=True)
class _Lessor:
    """A daemon that leases its share.

    :ivar until: end of its lease by the coordinator's clock
    :ivar daemons: number of daemons that it knows
    :ivar is_listed: whether all others can have listed it
    """

    until: float
    daemons: int
    is_listed: bool


class Coordinator:
    """Issues tokens; its leases and buckets end with the process.

    A daemon that others may not have listed yet counts as a lessor only while
    all known daemons lease to this coordinator, such as when the whole system
    starts: none of them leases to another one then.
    """

    def __init__(self, quota: allowances.Quota, instance: int) -> None:
        """Start without lessors and with empty buckets.

        :param instance: differs between the starts of a daemon
        """
        self._instance = instance
        self._history = allowance_buckets.ShareHistory()
        self._buckets = allowance_buckets.Buckets(quota, self._history)
        self._lessors: dict[str, _Lessor] = {}
        self._ends: list[tuple[float, str]] = []
        self._listed = 0
        # Number of lessors by the number of daemons that they know.
        self._knowing: collections.Counter[int] = collections.Counter()
        # Numbers of daemons that were named, with the latest time.
        self._named: dict[int, float] = {}
        self._at = 0.0

    def measure_share(self, now: float) -> float:
        """Return the share of the limits that it issues."""
        self._advance(now)
        return self._history.share

    def put_limits(
        self, limits: dict[str, tenants.Tenant], now: float
    ) -> None:
        """Replace the limits, by tenant; they take effect at once."""
        self._advance(now)
        self._buckets.put_limits(limits)

    def answer(
        self, ask: allowance_messages.Ask, now: float
    ) -> allowance_messages.Grant:
        """Renew the lease of the daemon that asks, and issue tokens."""
        self._advance(now)
        if ask.daemons:
            self._named[ask.daemons] = now
        self._renew(ask, now)
        self._update_share(now)
        return allowance_messages.Grant(
            ask.number,
            allowance_messages.Echo(self._instance, now),
            self._count(now),
            self._is_complete(now),
            {
                name: self._buckets.take(name, wanted)
                for name, wanted in ask.demand.items()
            },
        )

    def _renew(self, ask: allowance_messages.Ask, now: float) -> None:
        echo = ask.echo
        if echo is None or echo.instance != self._instance or not ask.daemons:
            return
        until = echo.clock + allowances.LEASE_SECONDS
        if echo.clock > now or until <= now:
            return
        known = self._lessors.get(ask.name)
        if known is None:
            known = self._lessors[ask.name] = _Lessor(until, 0, False)
        elif until <= known.until:
            # An earlier message that was delayed or repeated.
            return
        self._knowing[known.daemons] -= 1
        self._knowing[ask.daemons] += 1
        known.daemons = ask.daemons
        self._listed += ask.is_listed - known.is_listed
        known.is_listed = ask.is_listed
        known.until = until
        heapq.heappush(self._ends, (until, ask.name))

    def _advance(self, now: float) -> None:
        """End leases in the order of their ends, up to now."""
        while self._ends and self._ends[0][0] <= now:
            until, name = heapq.heappop(self._ends)
            lessor = self._lessors.get(name)
            if lessor is None or lessor.until > until:
                continue
            self._history.advance(until - self._at)
            self._at = until
            del self._lessors[name]
            self._listed -= lessor.is_listed
            self._knowing[lessor.daemons] -= 1
            self._update_share(until)
        self._history.advance(now - self._at)
        self._at = now

    def _count(self, now: float) -> int:
        if len(self._lessors) >= self._count_daemons(now):
            return len(self._lessors)
        return self._listed

    def _is_complete(self, now: float) -> bool:
        """Return whether all daemons are lessors and know all others."""
        daemons = self._count_daemons(now)
        return self._knowing[daemons] == len(self._lessors) == daemons

    def _count_daemons(self, now: float) -> int:
        if len(self._named) > 1:
            oldest = now - DAEMONS_SECONDS
            for number, named_at in list(self._named.items()):
                if named_at < oldest:
                    del self._named[number]
        return max(self._named, default=1)

    def _update_share(self, now: float) -> None:
        # More lessors than known daemons must not add up to more than one.
        daemons = max(self._count_daemons(now), len(self._lessors), 1)
        count = self._count(now)
        share = count / daemons
        if count > EXACT_LESSORS:
            share = math.floor(share * SHARE_STEPS) / SHARE_STEPS
        self._history.change(share)
