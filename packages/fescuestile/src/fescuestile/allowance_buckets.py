"""Token buckets that fill with a changing share of a tenant's limit.

Buckets are brought up to date only when they are used, so a change of the
share costs the same with one tenant as with thousands.
"""

import dataclasses
import math

from fescuestile import allowances
from fescuestile import tenants

# Rounding must not withhold a token that is whole.
_ROUNDING = 1e-9
# Longest time for which a requester is told to wait; the share may grow.
MAX_WAIT_SECONDS = 1.0
# Shorter waits would let an overload cause a message per operation.
MIN_WAIT_SECONDS = 0.02


class ShareHistory:
    """Share of the limits over time, as far as buckets depend on it.

    :ivar total: integral of the share over time, in seconds
    :ivar share: present share
    """

    def __init__(self) -> None:
        """Start with a share of zero."""
        self.total = 0.0
        self.share = 0.0
        # Totals and shares from before a rise, both ascending: no bucket
        # held more than its capacity at this share at this total.
        self.low_points: list[tuple[float, float]] = [(0.0, 0.0)]

    def advance(self, seconds: float) -> None:
        """Let time pass with the present share."""
        self.total += self.share * seconds

    def change(self, share: float) -> None:
        """Change the share."""
        if share == self.share:
            return
        low = min(share, self.share)
        self.share = share
        points = self.low_points
        while points and points[-1][1] >= low:
            points.pop()
        points.append((self.total, low))


@dataclasses.dataclass(slots=True)
class _Level:
    """Tokens in a bucket when the integral of the share was ``total``."""

    tokens: float
    total: float


class Buckets:
    """One token bucket for each tenant with a limit."""

    def __init__(self, quota: allowances.Quota, history: ShareHistory) -> None:
        """Initialize without tenants."""
        self._spare = quota.spare
        self._rate_factor = quota.rate_factor
        self._history = history
        self._limits: dict[str, tenants.Tenant] = {}
        # A bucket that was not used yet is bounded by the low points alone.
        self._levels: dict[str, _Level] = {}

    def put_limits(self, limits: dict[str, tenants.Tenant]) -> None:
        """Replace the limits; those that changed take effect at once."""
        for name, level in list(self._levels.items()):
            limit = limits.get(name)
            if limit is None:
                del self._levels[name]
            elif limit != self._limits[name]:
                level.tokens = min(
                    self._compute(self._limits[name]),
                    self._compute_capacity(limit, self._history.share),
                )
                level.total = self._history.total
        self._limits = limits

    def take(self, name: str, wanted: int) -> tuple[int, float]:
        """Take up to ``wanted`` tokens of a tenant.

        :returns: tokens taken, and seconds until the next one if they are
            fewer, else 0
        """
        limit = self._limits.get(name)
        if limit is None:
            return 0, MAX_WAIT_SECONDS
        tokens = self._compute(limit)
        taken = min(wanted, math.floor(tokens + _ROUNDING))
        left = max(0.0, tokens - taken)
        self._levels[name] = _Level(left, self._history.total)
        if taken >= wanted:
            return taken, 0.0
        filling = self._get_rate(limit) * self._history.share
        wait = (1 - left) / filling if filling > 0 else MAX_WAIT_SECONDS
        return taken, min(max(wait, MIN_WAIT_SECONDS), MAX_WAIT_SECONDS)

    def _get_rate(self, limit: tenants.Tenant) -> float:
        return limit.rate * self._rate_factor

    def _compute_capacity(self, limit: tenants.Tenant, share: float) -> float:
        return (limit.burst + self._spare) * share

    def _compute(self, limit: tenants.Tenant) -> float:
        """Return the tokens in the bucket of a tenant."""
        rate = self._get_rate(limit)
        total = self._history.total
        tokens = self._compute_capacity(limit, self._history.share)
        level = self._levels.get(limit.name)
        if level is not None:
            tokens = min(tokens, level.tokens + rate * (total - level.total))
        for low_total, share in reversed(self._history.low_points):
            filled = rate * (total - low_total)
            if filled >= tokens:
                # It has filled up since then, so earlier points do not count.
                break
            capacity = self._compute_capacity(limit, share)
            tokens = min(tokens, capacity + filled)
        return tokens
