"""Filters on the entry daemon: session and route."""

import dataclasses

import expression

from fescuestile import clock
from fescuestile import errors
from fescuestile import members
from fescuestile import requests
from fescuestile import sessions
from fescuestile import snapshots
from fescuestile_daemon import dispatch
from fescuestile_daemon import filters
from fescuestile_daemon import group_board
from fescuestile_daemon import published
from fescuestile_daemon import state_push
from fescuestile_daemon import transactions

STEP = "route"
MAX_ATTEMPTS = 8
ATTEMPT_PAUSE_SECONDS = 0.05
NO_PRIMARY_RETRY_SECONDS = 0.2


@dataclasses.dataclass
class EntryExchange:
    """A request on its way through the entry daemon.

    :ivar tracker: session of the stream that it came on
    """

    request: requests.Request
    tracker: sessions.SessionTracker


class SessionFilter(filters.Filter[EntryExchange]):
    """Takes the positions of answers into the session."""

    async def handle(
        self,
        exchange: EntryExchange,
        proceed: filters.Proceed[EntryExchange],
    ) -> filters.Outcome:
        """Run the rest, then note the answer's position."""
        request = exchange.request
        if exchange.tracker.session.needs_current(request.database):
            exchange.request = dataclasses.replace(request, staleness=0.0)
        outcome = await proceed(exchange)
        if outcome.is_ok():
            exchange.tracker.observe(request.database, outcome.ok.position)
        return outcome


class RouteFilter(filters.Filter[EntryExchange]):
    """Chooses an endpoint and runs the request at its owner.

    A request that did not run is routed again, with the group's newest
    snapshot, until its deadline.
    """

    def __init__(
        self,
        board: group_board.GroupBoard,
        dispatcher: dispatch.Dispatcher,
        interest: state_push.InterestKeeper,
        membership: published.Published[members.MembershipSnapshot],
        time_source: clock.Clock,
    ) -> None:
        """Route by the snapshots on a board."""
        self._board = board
        self._dispatcher = dispatcher
        self._interest = interest
        self._membership = membership
        self._clock = time_source

    async def handle(
        self,
        exchange: EntryExchange,
        proceed: filters.Proceed[EntryExchange],
    ) -> filters.Outcome:
        """Route and dispatch; the last filter of the entry's chain."""
        request = exchange.request
        await self._interest.use(request.database)
        if request.transaction:
            return await self._continue_transaction(request)
        outcome: filters.Outcome = expression.Error(_refuse_unknown(request))
        for _ in range(MAX_ATTEMPTS):
            group = self._board.get(request.database)
            view = _choose(group, request) if group else None
            if group is not None and view is not None:
                outcome = await self._dispatcher.run(
                    view.owner, view.endpoint.name, group.term, request
                )
                if not _may_reroute(outcome):
                    return outcome
            remaining = request.deadline - self._clock.now()
            if remaining <= 0:
                break
            pause = min(remaining, ATTEMPT_PAUSE_SECONDS)
            if view is None:
                pause = remaining
            await self._board.wait_change(request.database, pause)
        return outcome

    async def _continue_transaction(
        self, request: requests.Request
    ) -> filters.Outcome:
        name = transactions.parse_name(request.transaction)
        if name.is_error():
            return expression.Error(name.error)
        return await self._dispatcher.run(
            name.ok.owner, name.ok.endpoint, 0, request
        )


def _choose(
    group: snapshots.GroupSnapshot, request: requests.Request
) -> snapshots.EndpointView | None:
    stale_read = (
        request.action is requests.Action.STATEMENT
        and request.read_only
        and request.staleness > 0
    )
    if stale_read:
        for view in group.endpoints.values():
            fresh = view.history.covers(request.minimum)
            if fresh and view.endpoint.name != group.primary and view.owner:
                return view
    return group.endpoints.get(group.primary)


def _may_reroute(outcome: filters.Outcome) -> bool:
    if outcome.is_ok() or not isinstance(outcome.error, errors.NotRun):
        return False
    return outcome.error.step not in ("admit", "lease")


def _refuse_unknown(request: requests.Request) -> errors.NotRun:
    return errors.NotRun(
        message="the group has no known primary",
        step=STEP,
        peer=request.database,
        retry_after=NO_PRIMARY_RETRY_SECONDS,
    )
