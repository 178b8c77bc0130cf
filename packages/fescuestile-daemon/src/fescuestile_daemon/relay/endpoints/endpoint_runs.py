"""Which connections to an endpoint show a run that may confirm writes.

An endpoint that starts again has lost its fence, and confirms writes that a
takeover under way does not know of. Its registry entry shows the new start
seconds later. A connection ends with the run that it was opened to, so an
answer on a known one vouches for all that were opened before the request.

A connection that replaces one which this daemon closed while it was idle
counts as that one, so a start in between is not noticed: where connections
are scarce, all daemons close theirs after each use.
"""

import math

from fescuestile_daemon.relay.core import ports


class EndpointRun:
    """The connections of one endpoint that are known."""

    def __init__(self) -> None:
        """Start without known connections."""
        self._known_until = self._answered_on = -math.inf

    @property
    def is_unknown(self) -> bool:
        """Whether the connection of the latest answer is not known."""
        return self._answered_on > self._known_until

    @property
    def has_been_known(self) -> bool:
        """Whether a connection was known before."""
        return self._known_until > -math.inf

    def record_answer(
        self, connection: ports.EndpointConnection, sent_at: float
    ) -> bool:
        """Record an answer; return whether its connection is known.

        :param sent_at: monotonic seconds at which the request was sent
        """
        self._answered_on = connection.opened_at
        if self.is_unknown:
            return False
        self.trust(sent_at)
        return True

    def trust(self, opened_until: float) -> None:
        """Make connections known.

        :param opened_until: monotonic seconds; those opened until then are
        """
        self._known_until = max(self._known_until, opened_until)
