"""What shows that an endpoint answers in the run that its entry names.

An endpoint that starts again has lost its fence, and confirms writes that a
takeover under way does not know of. Its registry entry shows the new start
seconds later. A connection ends with the run that it was opened to, so an
answer on a known one vouches for all that were opened before the request.

A connection that replaces one which this daemon closed while it was idle
counts as that one, so a start in between is not noticed: where connections
are scarce, all daemons close theirs after each use.

A log only grows while its endpoint follows one term. One that is shorter than
before therefore shows a start without the log, also where no connection does.
"""

import math

from fescuestile import endpoint_messages
from fescuestile import positions
from fescuestile_daemon.relay.core import ports


class EndpointRun:
    """The known connections of one endpoint, and the log that it has shown."""

    def __init__(self) -> None:
        """Start without known connections."""
        self._known_until = self._answered_on = -math.inf
        # Latest term that it followed, and the end of its log in that term.
        self._shown = (0, positions.START)

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

    def record_report(
        self,
        connection: ports.EndpointConnection,
        sent_at: float,
        report: endpoint_messages.Report,
    ) -> None:
        """Record an answer and the end of the log that it shows.

        :param sent_at: monotonic seconds at which the request was sent
        """
        self.record_answer(connection, sent_at)
        self._shown = max(self._shown, _get_log_end(report))

    def record_position(self, position: positions.Position) -> None:
        """Record a position that its log holds."""
        self._shown = max(self._shown, (position.term, position))

    @property
    def log_end(self) -> positions.Position:
        """End of the longest log that it has shown."""
        return self._shown[1]

    def has_kept_log(self, report: endpoint_messages.Report) -> bool:
        """Return whether the log of a report holds all that was shown.

        Reports may arrive out of order, so a shorter log shows a start
        without the log only if nothing was added to it meanwhile, as behind a
        fence.
        """
        return _get_log_end(report) >= self._shown


def _get_log_end(
    report: endpoint_messages.Report,
) -> tuple[int, positions.Position]:
    """Return the term that an endpoint follows, and the end of its log."""
    return max(report.followed, report.last.term), report.last
