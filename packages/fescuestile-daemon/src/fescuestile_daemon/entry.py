"""Filters of the entry daemon: session handling and routing."""

import asyncio
import dataclasses
import random

import expression

from fescuestile import admission
from fescuestile import clock
from fescuestile import diversion
from fescuestile import errors
from fescuestile import members
from fescuestile import requests
from fescuestile import results
from fescuestile import retries
from fescuestile import routing
from fescuestile import sessions
from fescuestile_daemon import dispatch
from fescuestile_daemon import execution
from fescuestile_daemon import filters
from fescuestile_daemon import published
from fescuestile_daemon import read_confirmations
from fescuestile_daemon import snapshot_store
from fescuestile_daemon import state_push
from fescuestile_daemon import transactions

MIN_RETRIES = 3
# Refusals by admission control: another endpoint would not help, so the
# caller has to wait.
NON_RETRYABLE_STEPS = (admission.STEP, diversion.STEP)


@dataclasses.dataclass
class EntryExchange:
    """A request on its way through the entry daemon.

    :ivar tracker: session of the stream that the request came on
    """

    request: requests.Request
    tracker: sessions.SessionTracker


class SessionFilter(filters.Filter[EntryExchange]):
    """Records the positions of answers in the session.

    A read of a database whose position the session no longer knows is
    made a current read.
    """

    async def handle(
        self,
        exchange: EntryExchange,
        proceed: filters.Proceed[EntryExchange],
    ) -> filters.Outcome:
        """Run the next filters, then record the answer's position."""
        request = exchange.request
        if exchange.tracker.session.needs_current(request.database):
            exchange.request = dataclasses.replace(request, staleness=0.0)
        outcome = await proceed(exchange)
        if outcome.is_ok():
            exchange.tracker.observe(request.database, outcome.ok.position)
        return outcome


@dataclasses.dataclass
class _RoutingState:
    """State of the routing of one request.

    :ivar number: number of the current attempt, from 1
    :ivar waited_for_replica: whether it waited for a replica to catch up
    :ivar stale: whether the last attempt's answer was too old
    :ivar excluded: replicas at which it failed
    """

    number: int = 0
    waited_for_replica: bool = False
    stale: bool = False
    excluded: set[str] = dataclasses.field(default_factory=set)


class RouteFilter(filters.Filter[EntryExchange]):
    """Chooses an endpoint and runs the request at its owner.

    A request that did not run is routed again by the group's latest
    snapshot, within its deadline and the retry budget. A replica's answer
    that turns out to be too old is dropped and the read is routed again; so
    is a current read whose primary was replaced.
    """

    def __init__(
        self,
        group_snapshots: snapshot_store.SnapshotStore,
        dispatcher: dispatch.Dispatcher,
        interest_manager: state_push.InterestManager,
        membership: published.Published[members.MembershipSnapshot],
        time_source: clock.Clock,
        random_source: random.Random | None = None,
    ) -> None:
        """Initialize with a full retry budget.

        :param random_source: source of randomness for routing and backoff
        """
        self._group_snapshots = group_snapshots
        self._dispatcher = dispatcher
        self._interest_manager = interest_manager
        self._zone = membership.get().own.zone
        self._clock = time_source
        self._random = random_source or random.Random()
        self._policy = retries.RetryPolicy(
            time_source,
            self._random,
            retries.RetryBudget(time_source, min_retries=MIN_RETRIES),
        )

    async def handle(
        self,
        exchange: EntryExchange,
        proceed: filters.Proceed[EntryExchange],
    ) -> filters.Outcome:
        """Route and dispatch; the last filter of the chain."""
        request = exchange.request
        await self._interest_manager.record_use(request.database)
        if request.transaction:
            return await self._continue_transaction(request)
        state = _RoutingState()
        while True:
            state.number += 1
            state.stale = False
            routed = await self._route(request, state)
            outcome = await self._run(request, routed, state)
            delay = self._find_retry_delay(request, outcome, state)
            if delay is None:
                return outcome
            if routed.is_error():
                await self._group_snapshots.wait_for_change(
                    request.database, delay
                )
            else:
                await asyncio.sleep(delay)

    async def _route(
        self, request: requests.Request, state: _RoutingState
    ) -> routing.RoutingResult:
        routed = self._route_once(request, state)
        if routed.is_error() or not routed.ok.catch_up:
            return routed
        await self._wait_for_catch_up(request, routed.ok)
        state.waited_for_replica = True
        return self._route_once(request, state)

    def _route_once(
        self, request: requests.Request, state: _RoutingState
    ) -> routing.RoutingResult:
        group = self._group_snapshots.get(request.database)
        if group is None:
            return expression.Error(_make_unknown_group_error(request))
        return routing.route(
            request,
            group,
            self._zone,
            self._clock.now(),
            self._random,
            state.waited_for_replica,
            frozenset(state.excluded),
        )

    async def _wait_for_catch_up(
        self, request: requests.Request, routed: routing.RoutingDecision
    ) -> None:
        """Wait until the replica has the session's position, or time out."""
        end = self._clock.now() + routed.catch_up
        name = routed.view.endpoint.name
        while (remaining := end - self._clock.now()) > 0:
            group = self._group_snapshots.get(request.database)
            view = group.endpoints.get(name) if group else None
            if view is None or view.history.covers(request.minimum):
                return
            await self._group_snapshots.wait_for_change(
                request.database, remaining
            )

    async def _run(
        self,
        request: requests.Request,
        routed: routing.RoutingResult,
        state: _RoutingState,
    ) -> filters.Outcome:
        if routed.is_error():
            return expression.Error(routed.error)
        decision = routed.ok
        name = decision.view.endpoint.name
        if decision.diverted:
            request = dataclasses.replace(request, diverted=True)
        outcome = await self._dispatcher.run(
            decision.view.owner, name, decision.term, request
        )
        if outcome.is_ok() and decision.replica:
            outcome = self._check_staleness(request, outcome.ok, decision)
            state.stale = outcome.is_error()
        if (
            outcome.is_error()
            and outcome.error.step == read_confirmations.STEP
        ):
            # The answer may come from a replaced primary and is dropped, too.
            state.stale = request.read_only
        if outcome.is_error() and decision.replica:
            state.excluded.add(name)
        return outcome

    def _check_staleness(
        self,
        request: requests.Request,
        answer: requests.Answer,
        decision: routing.RoutingDecision,
    ) -> filters.Outcome:
        group = self._group_snapshots.get(request.database)
        if group is None:
            return expression.Error(_make_unknown_group_error(request))
        checked = routing.check_answer(
            request, answer, decision, group, self._clock.now()
        )
        if checked.is_error():
            return expression.Error(checked.error)
        return results.succeed(answer)

    def _find_retry_delay(
        self,
        request: requests.Request,
        outcome: filters.Outcome,
        state: _RoutingState,
    ) -> float | None:
        """Return the seconds until the next attempt, None for no retry."""
        if outcome.is_ok():
            self._policy.record_success(request.level)
            return None
        error = outcome.error
        if error.step in NON_RETRYABLE_STEPS:
            return None
        at_endpoint = error.step == execution.STEP
        refused = isinstance(error, errors.TermRefused)
        replaced = error.step == read_confirmations.STEP
        return self._policy.next_delay(
            error,
            retries.Attempt(
                number=state.number,
                rank=request.level,
                repeatable=state.stale,
                deadline=request.deadline,
                charged=(state.stale and not replaced)
                or (at_endpoint and not refused),
            ),
        )

    async def _continue_transaction(
        self, request: requests.Request
    ) -> filters.Outcome:
        name = transactions.parse_id(request.transaction)
        if name.is_error():
            return expression.Error(name.error)
        return await self._dispatcher.run(
            name.ok.owner, name.ok.endpoint, 0, request
        )


def _make_unknown_group_error(request: requests.Request) -> errors.NotRun:
    return errors.NotRun(
        message="this daemon does not know the database",
        step=routing.STEP,
        peer=request.database,
        retry_after=routing.DEFAULTS.no_primary_delay,
    )
