"""First filter of the entry daemon: metrics and log context."""

from fescuestile import clock
from fescuestile import failures
from fescuestile import ports
from fescuestile_daemon import entry
from fescuestile_daemon import filters
from fescuestile_daemon import logs
from fescuestile_daemon import metric_names


class MetricsFilter(filters.Filter[entry.EntryExchange]):
    """Counts outcomes, measures latency and adds the request id to the log."""

    def __init__(
        self, sink: ports.MetricSink, time_source: clock.Clock
    ) -> None:
        """Initialize with the sink of the metrics and a clock."""
        self._sink = sink
        self._clock = time_source

    async def handle(
        self,
        exchange: entry.EntryExchange,
        proceed: filters.Proceed[entry.EntryExchange],
    ) -> filters.Outcome:
        """Run the request and record its outcome and latency."""
        logs.REQUEST_ID.set(exchange.request.request_id)
        started_at = self._clock.now()
        outcome = await proceed(exchange)
        self._sink.timing(
            metric_names.REQUEST_TIME, self._clock.now() - started_at
        )
        self._sink.count(_name_outcome(outcome))
        return outcome


def _name_outcome(outcome: filters.Outcome) -> str:
    if outcome.is_error():
        return metric_names.FAILED[failures.find_code(outcome.error)]
    if outcome.ok.replica:
        return metric_names.ANSWERED_BY_REPLICA
    return metric_names.ANSWERED_BY_PRIMARY
