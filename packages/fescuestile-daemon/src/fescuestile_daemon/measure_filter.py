"""First filter of the entry daemon: measures and names each request."""

from fescuestile import clock
from fescuestile import failures
from fescuestile import ports
from fescuestile_daemon import entry
from fescuestile_daemon import filters
from fescuestile_daemon import logs
from fescuestile_daemon import metric_names


class MeasureFilter(filters.Filter[entry.EntryExchange]):
    """Counts outcomes, times requests and binds their id to the log."""

    def __init__(
        self, sink: ports.MetricSink, time_source: clock.Clock
    ) -> None:
        """Take where observations go, and the clock."""
        self._sink = sink
        self._clock = time_source

    async def handle(
        self,
        exchange: entry.EntryExchange,
        proceed: filters.Proceed[entry.EntryExchange],
    ) -> filters.Outcome:
        """Run the request and record how it went."""
        logs.REQUEST_ID.set(exchange.request.request_id)
        began = self._clock.now()
        outcome = await proceed(exchange)
        self._sink.timing(metric_names.REQUEST_TIME, self._clock.now() - began)
        self._sink.count(_name_outcome(outcome))
        return outcome


def _name_outcome(outcome: filters.Outcome) -> str:
    if outcome.is_error():
        return metric_names.FAILED[failures.find_code(outcome.error)]
    if outcome.ok.replica:
        return metric_names.ANSWERED_BY_REPLICA
    return metric_names.ANSWERED_BY_PRIMARY
