"""Filters on the entry daemon: session and route."""

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
from fescuestile_daemon import current_reads
from fescuestile_daemon import dispatch
from fescuestile_daemon import execution
from fescuestile_daemon import filters
from fescuestile_daemon import group_board
from fescuestile_daemon import published
from fescuestile_daemon import state_push
from fescuestile_daemon import transactions

RETRIES_FLOOR = 3
# Refusals that the caller has to heed; another route would not help.
FINAL_STEPS = (admission.STEP, diversion.STEP)


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


@dataclasses.dataclass
class _Progress:
    """How far the routing of one request came.

    :ivar number: attempts made so far
    :ivar waited: it waited for a replica to catch up
    :ivar stale: the last attempt's answer was too old
    :ivar avoided: replicas that failed it
    """

    number: int = 0
    waited: bool = False
    stale: bool = False
    avoided: set[str] = dataclasses.field(default_factory=set)


class RouteFilter(filters.Filter[EntryExchange]):
    """Chooses an endpoint and runs the request at its owner.

    A request that did not run is routed again, by the group's newest
    snapshot, within its deadline and the retry budget. A replica's answer
    that turns out too old is dropped and the read routed again, as is a
    current read whose primary was replaced.
    """

    def __init__(
        self,
        board: group_board.GroupBoard,
        dispatcher: dispatch.Dispatcher,
        interest: state_push.InterestKeeper,
        membership: published.Published[members.MembershipSnapshot],
        time_source: clock.Clock,
        source: random.Random | None = None,
    ) -> None:
        """Route by the snapshots on a board."""
        self._board = board
        self._dispatcher = dispatcher
        self._interest = interest
        self._zone = membership.get().own.zone
        self._clock = time_source
        self._random = source or random.Random()
        self._policy = retries.RetryPolicy(
            time_source,
            self._random,
            retries.RetryBudget(time_source, min_retries=RETRIES_FLOOR),
        )

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
        progress = _Progress()
        while True:
            progress.number += 1
            progress.stale = False
            routed = await self._route(request, progress)
            outcome = await self._run(request, routed, progress)
            delay = self._plan_retry(request, outcome, progress)
            if delay is None:
                return outcome
            if routed.is_error():
                await self._board.wait_change(request.database, delay)
            else:
                await asyncio.sleep(delay)

    async def _route(
        self, request: requests.Request, progress: _Progress
    ) -> routing.RoutingResult:
        routed = self._choose(request, progress)
        if routed.is_error() or not routed.ok.catch_up:
            return routed
        await self._wait_covered(request, routed.ok)
        progress.waited = True
        return self._choose(request, progress)

    def _choose(
        self, request: requests.Request, progress: _Progress
    ) -> routing.RoutingResult:
        group = self._board.get(request.database)
        if group is None:
            return expression.Error(_refuse_unknown(request))
        return routing.route(
            request,
            group,
            self._zone,
            self._clock.now(),
            self._random,
            progress.waited,
            frozenset(progress.avoided),
        )

    async def _wait_covered(
        self, request: requests.Request, routed: routing.RoutingDecision
    ) -> None:
        """Wait until the replica covers the session, in bounded time."""
        end = self._clock.now() + routed.catch_up
        name = routed.view.endpoint.name
        while (remaining := end - self._clock.now()) > 0:
            group = self._board.get(request.database)
            view = group.endpoints.get(name) if group else None
            if view is None or view.history.covers(request.minimum):
                return
            await self._board.wait_change(request.database, remaining)

    async def _run(
        self,
        request: requests.Request,
        routed: routing.RoutingResult,
        progress: _Progress,
    ) -> filters.Outcome:
        if routed.is_error():
            return expression.Error(routed.error)
        chosen = routed.ok
        name = chosen.view.endpoint.name
        if chosen.diverted:
            request = dataclasses.replace(request, diverted=True)
        outcome = await self._dispatcher.run(
            chosen.view.owner, name, chosen.term, request
        )
        if outcome.is_ok() and chosen.replica:
            outcome = self._check(request, outcome.ok, chosen)
            progress.stale = outcome.is_error()
        if outcome.is_error() and outcome.error.step == current_reads.STEP:
            # The answer of a primary that was replaced: dropped, too.
            progress.stale = request.read_only
        if outcome.is_error() and chosen.replica:
            progress.avoided.add(name)
        return outcome

    def _check(
        self,
        request: requests.Request,
        answer: requests.Answer,
        chosen: routing.RoutingDecision,
    ) -> filters.Outcome:
        group = self._board.get(request.database)
        if group is None:
            return expression.Error(_refuse_unknown(request))
        checked = routing.check_answer(
            request, answer, chosen, group, self._clock.now()
        )
        if checked.is_error():
            return expression.Error(checked.error)
        return results.succeed(answer)

    def _plan_retry(
        self,
        request: requests.Request,
        outcome: filters.Outcome,
        progress: _Progress,
    ) -> float | None:
        """Return the seconds until the next attempt, None for no more."""
        if outcome.is_ok():
            self._policy.record_success(request.level)
            return None
        error = outcome.error
        if error.step in FINAL_STEPS:
            return None
        reached = error.step == execution.STEP
        refused = isinstance(error, errors.TermRefused)
        replaced = error.step == current_reads.STEP
        return self._policy.next_delay(
            error,
            retries.Attempt(
                number=progress.number,
                rank=request.level,
                repeatable=progress.stale,
                deadline=request.deadline,
                charged=(progress.stale and not replaced)
                or (reached and not refused),
            ),
        )

    async def _continue_transaction(
        self, request: requests.Request
    ) -> filters.Outcome:
        name = transactions.parse_name(request.transaction)
        if name.is_error():
            return expression.Error(name.error)
        return await self._dispatcher.run(
            name.ok.owner, name.ok.endpoint, 0, request
        )


def _refuse_unknown(request: requests.Request) -> errors.NotRun:
    return errors.NotRun(
        message="the group is not known here",
        step=routing.STEP,
        peer=request.database,
        retry_after=routing.DEFAULTS.no_primary_delay,
    )
