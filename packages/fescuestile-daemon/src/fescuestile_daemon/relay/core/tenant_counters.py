"""Counters by tenant, with a bounded number of labels."""

import collections
import enum
import math
import time

import structlog

log = structlog.get_logger()

# Tenants that metrics name; the others are counted together.
NAMED_TENANTS = 20
OTHER = "other"
# Tenants whose traffic is compared. Names come from the configuration, which
# may replace all its tenants many times while the daemon runs.
MAX_COMPARED = 10_000
LOG_SECONDS = 1.0


class Count(enum.Enum):
    """What happened to an operation of a tenant."""

    ADMITTED = "tenant_operations"
    OVER_LIMIT = "tenant_refusals_limit"
    NO_ROOM = "tenant_refusals_room"


class TenantCounters:
    """Counts operations by tenant, the largest tenants by their names.

    A tenant that is no longer among the largest is counted under ``OTHER``,
    to which its counts are added; no counter ever falls.

    :ivar unknown_keys: operations and callers that showed no known key
    """

    def __init__(self) -> None:
        """Initialize with all counters at zero."""
        self.unknown_keys = 0
        self._logged_keys = 0
        self._logged_at = -math.inf
        self._traffic: collections.Counter[str] = collections.Counter()
        self._counts: dict[str, collections.Counter[Count]] = {
            OTHER: collections.Counter()
        }

    def record_admitted(self, tenant: str) -> None:
        """Count an operation within its tenant's limit."""
        self._count(tenant, Count.ADMITTED)

    def record_over_limit(self, tenant: str) -> None:
        """Count an operation that the limit of its tenant refused."""
        self._count(tenant, Count.OVER_LIMIT)

    def record_no_room(self, tenant: str) -> None:
        """Count an operation for which no endpoint had room."""
        self._count(tenant, Count.NO_ROOM)

    def record_unknown_key(self) -> None:
        """Count an unknown key; log at most one line a second."""
        self.unknown_keys += 1
        now = time.monotonic()
        if now - self._logged_at < LOG_SECONDS:
            return
        log.info(
            "unknown keys refused", count=self.unknown_keys - self._logged_keys
        )
        self._logged_keys, self._logged_at = self.unknown_keys, now

    def _count(self, tenant: str, what: Count) -> None:
        if not tenant:
            # Without tenants, or on a public route.
            return
        if tenant in self._traffic or len(self._traffic) < MAX_COMPARED:
            self._traffic[tenant] += 1
        counts = self._counts.get(tenant)
        if counts is None:
            if len(self._counts) <= NAMED_TENANTS:
                counts = self._counts[tenant] = collections.Counter()
            else:
                counts = self._counts[OTHER]
        counts[what] += 1

    def rank(self) -> None:
        """Name the tenants that are the largest by now."""
        largest = {
            name for name, _ in self._traffic.most_common(NAMED_TENANTS)
        }
        for name in self._counts.keys() - largest - {OTHER}:
            self._counts[OTHER].update(self._counts.pop(name))
        for name in largest:
            self._counts.setdefault(name, collections.Counter())

    def list_counts(self, what: Count) -> list[tuple[str, int]]:
        """Return the counts by label, for the tenants that are named."""
        return [
            (name, counts[what])
            for name, counts in sorted(self._counts.items())
        ]

    def is_named(self, tenant: str) -> bool:
        """Return whether metrics name a tenant."""
        return tenant in self._counts
