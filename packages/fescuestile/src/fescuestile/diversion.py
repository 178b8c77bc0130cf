"""Bounds reads that went to a primary for want of a fresh replica.

When replicas fall behind all at once, the reads that they served must not
take the primary's slots from the writes.
"""

import collections

import expression

from fescuestile import errors

STEP = "divert"
READS_PER_SLOT = 1.0
RETRY_SECONDS = 0.1
MOST_URGENT = 0


class DivertedReads:
    """Diverted reads that wait or run, by endpoint.

    The most urgent level is not bounded here; admission bounds it.
    """

    def __init__(self, per_slot: float = READS_PER_SLOT) -> None:
        """Start without any.

        :param per_slot: diverted reads that wait or run at a time, for
            each slot; at least one read
        """
        self._per_slot = per_slot
        self._counts: collections.Counter[str] = collections.Counter()

    def enter(
        self, endpoint: str, slots: int, level: int
    ) -> expression.Result[None, errors.NotRun]:
        """Count a read in; ``leave`` has to follow when it is let in.

        :param endpoint: unique name of the endpoint
        :param slots: statements that the endpoint runs at a time
        :param level: urgency, 0 for the most urgent
        :returns: nothing, or a refusal
        """
        allowed = max(1, int(self._per_slot * slots))
        if level > MOST_URGENT and self._counts[endpoint] >= allowed:
            return expression.Error(
                errors.NotRun(
                    message="the replicas are behind and the primary takes"
                    " no more of their reads",
                    step=STEP,
                    peer=endpoint,
                    retry_after=RETRY_SECONDS,
                )
            )
        self._counts[endpoint] += 1
        return expression.Ok(None)

    def leave(self, endpoint: str) -> None:
        """Count a read out."""
        self._counts[endpoint] -= 1
        if not self._counts[endpoint]:
            del self._counts[endpoint]
