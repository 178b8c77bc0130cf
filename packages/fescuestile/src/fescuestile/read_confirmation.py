"""Confirms that a read was served by a primary that was not replaced.

A read that may not be stale is answered once a majority of endpoints have
reported, after the read began, that they still work under the term in which
it was served: any later primary was then elected after the read began. The
endpoints are queried in rounds; one round serves all reads that began
before it.
"""

import dataclasses
import math

from fescuestile import endpoint_messages
from fescuestile import plans


@dataclasses.dataclass(frozen=True, slots=True)
class ReadTicket:
    """What counts for a read.

    :ivar first_round: first round whose responses count
    :ivar began_at: monotonic seconds before the read was sent, infinite if
        only responses count
    """

    first_round: int
    began_at: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class _Response:
    """Term that an endpoint worked under when it replied to a round."""

    round: int
    term: int


class LeadershipRounds:
    """Query rounds to the endpoints of one group."""

    def __init__(self, plan: plans.Plan) -> None:
        """Start before the first round.

        :param plan: names the endpoints and their majority
        """
        self._plan = plan
        self._started = 0
        self._requested = 0
        self._responses: dict[str, _Response] = {}

    def set_plan(self, plan: plans.Plan) -> None:
        """Count the endpoints of another plan from now on."""
        self._plan = plan

    def begin_read(self, now: float = math.inf) -> ReadTicket:
        """Return the ticket of a read that begins now.

        :param now: monotonic seconds
        """
        self._requested = self._started + 1
        return ReadTicket(self._requested, now)

    def begin_round(self) -> int | None:
        """Start a round if a read waits for one.

        :returns: the round's number, None when no round is needed
        """
        if self._requested <= self._started:
            return None
        self._started = self._requested
        return self._started

    def observe(self, round_: int, report: endpoint_messages.Report) -> None:
        """Record an endpoint's reply to a round.

        Replies to earlier rounds than the latest one of this endpoint are
        ignored, and so are those of endpoints that lost their state or hold
        a later revision of the endpoints than the plan.

        :param round_: number of the round
        """
        known = self._responses.get(report.endpoint)
        if known is not None and known.round >= round_:
            return
        if report.role is endpoint_messages.Role.REJOINING:
            return
        if report.revision > self._plan.endpoints_revision:
            return
        self._responses[report.endpoint] = _Response(round_, report.term)

    def is_confirmed(
        self,
        ticket: ReadTicket,
        term: int,
        primary: str,
        endpoints_check_term: bool = True,
        quorum: int = 0,
    ) -> bool:
        """Return whether a read may be answered.

        :param ticket: from ``begin_read``, before the read was sent
        :param term: term in which the read was served
        :param primary: endpoint that served it
        :param endpoints_check_term: whether endpoints refuse reads of an
            ended term; the answer then counts as the primary's response,
            else the primary must have replied to a round too
        :param quorum: number of responses needed, 0 for a majority
        """
        names = {
            name
            for name, response in self._responses.items()
            if response.round >= ticket.first_round and response.term == term
        }
        known = self._plan.endpoint_by_name
        # An answer does not say which revision of the endpoints its primary
        # knows, so it does not count alone.
        if endpoints_check_term and len(self._plan.endpoints) > 1:
            names.add(primary)
        elif primary not in names:
            return False
        needed = quorum or self._plan.majority
        return len(names & known.keys()) >= needed

    def is_superseded(self, ticket: ReadTicket, term: int) -> bool:
        """Return whether a later term was reported.

        The read can't be confirmed any more then.
        """
        return any(
            response.round >= ticket.first_round and response.term > term
            for response in self._responses.values()
        )
