"""Confirms that a read came from a primary that was not replaced.

A read that may not be stale is answered once a majority of endpoints said,
after the read began, that they still work under the term it was served
under: any later primary was then elected after the read began. Words are
asked for in rounds, and one round serves all reads that began before it.
"""

import dataclasses

from fescuestile import endpoint_messages
from fescuestile import plans


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """First round whose words count for a read."""

    round: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Word:
    """Term that an endpoint worked under when a round reached it."""

    round: int
    term: int


class ReadRounds:
    """Rounds of one group."""

    def __init__(self, plan: plans.Plan) -> None:
        """Start before the first round.

        :param plan: names the endpoints and their majority
        """
        self._plan = plan
        self._sent = 0
        self._wanted = 0
        self._words: dict[str, _Word] = {}

    def set_plan(self, plan: plans.Plan) -> None:
        """Count the endpoints of another plan from now on."""
        self._plan = plan

    def begin_read(self) -> Ticket:
        """Return the ticket of a read that begins now."""
        self._wanted = self._sent + 1
        return Ticket(self._wanted)

    def begin_round(self) -> int | None:
        """Return the number of a round to send now, None for no need."""
        if self._wanted <= self._sent:
            return None
        self._sent = self._wanted
        return self._sent

    def observe(self, round_: int, report: endpoint_messages.Report) -> None:
        """Take an endpoint's reply to a round.

        :param round_: number that the round began with
        """
        known = self._words.get(report.endpoint)
        if known is not None and known.round >= round_:
            return
        if report.role is endpoint_messages.Role.REJOINING:
            return
        self._words[report.endpoint] = _Word(round_, report.term)

    def is_confirmed(
        self,
        ticket: Ticket,
        term: int,
        primary: str,
        answers_by_term: bool = True,
        quorum: int = 0,
    ) -> bool:
        """Tell whether a read may be answered.

        :param ticket: ticket taken before the read was sent
        :param term: term that the read was served under
        :param primary: endpoint that served it
        :param answers_by_term: endpoints refuse reads of an ended term, so
            that the answer is the primary's word; else the primary must
            have spoken in a round too
        :param quorum: endpoints whose word is needed, a majority by default
        """
        names = {
            name
            for name, word in self._words.items()
            if word.round >= ticket.round and word.term == term
        }
        known = self._plan.endpoint_by_name
        if answers_by_term:
            names.add(primary)
        elif primary not in names:
            return False
        needed = quorum or self._plan.majority
        return len(names & known.keys()) >= needed

    def is_refuted(self, ticket: Ticket, term: int) -> bool:
        """Tell whether a later term was seen: the read can't be confirmed."""
        return any(
            word.round >= ticket.round and word.term > term
            for word in self._words.values()
        )
