"""Promotions that were requested and may still take effect.

A promotion may take effect seconds after its request, also when the request
got no answer or its driver has given up. Until then it decides what is safe:
its endpoint must hold every write that is acknowledged.
"""

import dataclasses
import math

# A request that has had no effect for this time is taken to have none.
PENDING_SECONDS = 12.0


@dataclasses.dataclass(frozen=True, slots=True)
class PendingPromotion:
    """A request as the record of a group's members holds it.

    :ivar endpoint: name of the endpoint to promote
    :ivar term: highest term that was known before the request
    :ivar id: unique to each request
    :ivar started_at: Unix milliseconds of the endpoint's start
    :ivar repeated: whether an earlier request may take effect, too
    """

    endpoint: str
    term: int
    id: str
    started_at: int = 0
    repeated: bool = False


class PromotionTracker:
    """The promotions of one group, as one daemon knows them.

    :ivar replaced_term: highest term in the record whose primary a promotion
        has replaced, or may have
    """

    def __init__(self) -> None:
        """Start without one."""
        self.replaced_term = 0
        self._pending: PendingPromotion | None = None
        self._seen_at = 0.0
        self._led: tuple[str, int] = ("", 0)
        self._refused: set[str] = set()

    def put(
        self,
        pending: PendingPromotion | None,
        now: float,
        replaced_term: int = 0,
    ) -> None:
        """Apply what the record holds.

        :param now: monotonic seconds
        :param replaced_term: as the record has it
        """
        self.replaced_term = max(self.replaced_term, replaced_term)
        if pending is not None and pending != self._pending:
            self._seen_at = now
        self._pending = pending

    def merge(
        self,
        pending: PendingPromotion | None,
        now: float,
        replaced_term: int,
    ) -> None:
        """Apply a record that may be older than the one before.

        It ends no promotion that is known here.

        :param now: monotonic seconds
        :param replaced_term: as the record has it
        """
        self.replaced_term = max(self.replaced_term, replaced_term)
        if (
            pending is not None
            and pending.id not in self._refused
            and self.find(now) is None
        ):
            self.put(pending, now)

    def refuse(self, now: float) -> None:
        """Record that the request was refused, so that it has no effect.

        :param now: monotonic seconds
        """
        if self._pending is not None:
            self._refused.add(self._pending.id)
        self.put(None, now)

    def end(self) -> None:
        """Record that the run of the endpoint has ended."""
        self._seen_at = -math.inf

    def record_primary(self, endpoint: str, term: int) -> None:
        """Record that an endpoint reported to lead a term."""
        if term > self._led[1]:
            self._led = endpoint, term

    def is_over(self, now: float) -> bool:
        """Return whether the record holds one that has no effect any more.

        :param now: monotonic seconds
        """
        return self._pending is not None and self.find(now) is None

    def find_replaced_term(self, now: float) -> int:
        """Return the term of the record once what is over has left it.

        :param now: monotonic seconds
        """
        pending = self._pending
        if pending is None or self.find(now) is not None:
            return self.replaced_term
        return max(self.replaced_term, pending.term)

    def find(self, now: float) -> PendingPromotion | None:
        """Return the promotion that may still take effect, if there is one.

        The endpoint that leads a later term shows that a request has taken
        effect, but not which one.

        :param now: monotonic seconds
        """
        pending = self._pending
        if pending is None or now - self._seen_at > PENDING_SECONDS:
            return None
        endpoint, term = self._led
        has_led = endpoint == pending.endpoint and term > pending.term
        return None if has_led and not pending.repeated else pending
