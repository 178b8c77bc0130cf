"""Which idle connection to an endpoint is closed for another tenant's.

A connection is worth how often a statement is expected to need it. The last
of several connections of a tenant is needed only while all others are in use,
so a tenant with more of them than its recent use needs loses them first.
"""

import collections.abc
import dataclasses
import math
import typing

# A connection is worth so many times less with each less urgent rank. At 1.5
# the most urgent rank opens fewer, but all ranks together some 1 % more
# (docs/design/connection-sharing.md).
LEVEL_FACTOR = 1.25
# Worth of a tenant's last of several connections: a statement that finds the
# others in use mostly gets one of them before another would be opened. At 1.0
# up to 8 % more connections are opened, at 0.1 statements wait for long when
# most slots are in use.
SPARE_FACTOR = 0.3
# Tenants whose use is recorded before those hardly used are removed.
_MAX_TENANTS = 1024
_NEGLIGIBLE_USES = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class IdleConnection:
    """A connection that nobody uses.

    :ivar tenant: tenant that it belongs to
    :ivar level: rank that used it last, 0 for the most urgent
    :ivar used_at: monotonic seconds of its last use
    """

    tenant: str
    level: int
    used_at: float


@dataclasses.dataclass(slots=True)
class _Use:
    """Recent use by one tenant, decayed over time.

    :ivar count: times that a connection was used
    :ivar seconds: time for which connections were in use
    :ivar at: monotonic seconds to which both are decayed
    """

    count: float = 0.0
    seconds: float = 0.0
    at: float = 0.0


class ConnectionUses:
    """How often and for how long tenants use connections."""

    def __init__(self, window: float) -> None:
        """Initialize without uses.

        :param window: seconds over which use is averaged
        """
        self._window = window
        self._uses: dict[str, _Use] = {}

    def record(self, tenant: str, seconds: float, now: float) -> None:
        """Record that a connection was in use for some seconds."""
        use = self._uses.get(tenant)
        if use is None:
            self._remove_negligible(now)
            use = self._uses[tenant] = _Use(at=now)
        decay = self._decay(use, now)
        use.count = use.count * decay + 1.0
        use.seconds = use.seconds * decay + seconds
        use.at = now

    def estimate_worth(self, tenant: str, count: int, now: float) -> float:
        """Return the uses a second that need a tenant's last connection.

        :param count: connections of the tenant, in use or idle, at least 1
        """
        use = self._uses.get(tenant)
        if use is None:
            return 0.0
        decay = self._decay(use, now) / self._window
        rate = use.count * decay
        if count <= 1:
            return rate
        mean_in_use = use.seconds * decay
        return rate * _find_tail(mean_in_use, count - 1) * SPARE_FACTOR

    def _decay(self, use: _Use, now: float) -> float:
        return math.exp((use.at - now) / self._window)

    def _remove_negligible(self, now: float) -> None:
        if len(self._uses) < _MAX_TENANTS:
            return
        for tenant, use in list(self._uses.items()):
            if use.count * self._decay(use, now) < _NEGLIGIBLE_USES:
                del self._uses[tenant]


def _find_tail(mean: float, least: int) -> float:
    """Return the probability that a Poisson variable is at least 1 or more."""
    term = below = math.exp(-mean)
    for number in range(1, least):
        term *= mean / number
        below += term
    return max(0.0, 1.0 - below)


def choose(
    idle: typing.Sequence[IdleConnection],
    counts: collections.abc.Mapping[str, int],
    uses: ConnectionUses,
    now: float,
) -> int | None:
    """Return the index of the least valuable connection, None without any.

    It is the one of least worth, reduced with each rank that its last user
    is less urgent; of several, the one idle for longest.

    :param idle: connections that may be closed
    :param counts: connections of each tenant, in use or idle
    :param now: monotonic seconds
    """
    if not idle:
        return None
    worths = {
        tenant: uses.estimate_worth(tenant, counts[tenant], now)
        for tenant in {connection.tenant for connection in idle}
    }

    def rate(index: int) -> tuple[float, float]:
        connection = idle[index]
        worth = worths[connection.tenant] / LEVEL_FACTOR**connection.level
        return worth, connection.used_at

    return min(range(len(idle)), key=rate)
