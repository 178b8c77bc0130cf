"""Limit of the reads that are diverted to a primary.

A read is diverted when no replica is fresh enough for it. When all replicas
fall behind at once, their reads must not crowd out the primary's writes.
"""

import collections

import expression

from fescuestile import errors

STEP = "divert"
READS_PER_SLOT = 1.0
RETRY_SECONDS = 0.1
MOST_URGENT = 0


class DivertedReadLimiter:
    """Limits the diverted reads that wait or run at each endpoint.

    Reads of the most urgent level are counted but not limited here; they
    are limited by admission alone.
    """

    def __init__(self, per_slot: float = READS_PER_SLOT) -> None:
        """Initialize without reads.

        :param per_slot: diverted reads allowed at a time for each slot of an
            endpoint; at least one read is always allowed
        """
        self._per_slot = per_slot
        self._counts: collections.Counter[str] = collections.Counter()

    def acquire(
        self, endpoint: str, slots: int, level: int
    ) -> expression.Result[None, errors.NotRun]:
        """Admit a diverted read; ``release`` must be called at its end.

        :param endpoint: unique name of the endpoint
        :param slots: statements that the endpoint runs at a time
        :param level: index of the rank, 0 for the most urgent
        :returns: nothing, or a refusal
        """
        allowed = max(1, int(self._per_slot * slots))
        if level > MOST_URGENT and self._counts[endpoint] >= allowed:
            return expression.Error(
                errors.NotRun(
                    message="no replica is fresh enough and the primary is"
                    " at its limit of diverted reads",
                    step=STEP,
                    peer=endpoint,
                    retry_after=RETRY_SECONDS,
                )
            )
        self._counts[endpoint] += 1
        return expression.Ok(None)

    def release(self, endpoint: str) -> None:
        """Record the end of an admitted read."""
        self._counts[endpoint] -= 1
        if not self._counts[endpoint]:
            del self._counts[endpoint]
