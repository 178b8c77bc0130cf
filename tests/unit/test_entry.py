import asyncio
import dataclasses
import random
import types
import typing

import expression
import pytest

from fescuestile import clock
from fescuestile import endpoint_messages
from fescuestile import errors
from fescuestile import members
from fescuestile import positions
from fescuestile import requests
from fescuestile import sessions
from fescuestile import snapshots
from fescuestile_daemon import current_reads
from fescuestile_daemon import entry
from fescuestile_daemon import group_board
from fescuestile_daemon import published
from tests import builders

LAST = positions.Position(1, 10)
HISTORY = positions.TermHistory((positions.TermStart(1, 1),), LAST)
REFUSED = errors.NotRun("fenced", step="execute")
UNCLEAR = errors.UnknownOutcome("no answer", step="execute")
FULL = errors.NotRun("full", step="admit", retry_after=0.1)
OLD_TERM = errors.TermRefused("term 2 is promised", step="execute")


@dataclasses.dataclass
class FakeDispatcher:
    """Answers with what the test lists, then with the endpoint's log."""

    outcomes: list[errors.FescuestileError] = dataclasses.field(
        default_factory=list
    )
    asked: list[tuple[str, requests.Request]] = dataclasses.field(
        default_factory=list
    )
    position: positions.Position = LAST

    async def run(self, owner_id, endpoint, term, request):
        self.asked.append((endpoint, request))
        if self.outcomes:
            return expression.Error(self.outcomes.pop(0))
        return expression.Ok(
            requests.Answer(
                b"", endpoint, self.position, endpoint != "endpoint-1"
            )
        )


class FakeInterest:
    async def use(self, database):
        pass


def build_group(now, primary="endpoint-1"):
    views = {}
    for number in (1, 2, 3):
        endpoint = builders.build_endpoint(number)
        views[endpoint.name] = snapshots.EndpointView(
            endpoint,
            role=endpoint_messages.Role.PRIMARY
            if endpoint.name == primary
            else endpoint_messages.Role.REPLICA,
            term=1,
            history=HISTORY,
            reported_at=now,
            current_at=now,
            owner="daemon-1",
        )
    return snapshots.GroupSnapshot(
        builders.build_revision(), 1, primary, types.MappingProxyType(views)
    )


@dataclasses.dataclass
class Entry:
    """An entry's filters over fakes."""

    dispatcher: FakeDispatcher
    board: group_board.GroupBoard
    source: clock.Clock
    tracker: sessions.SessionTracker

    async def run(self, **changes) -> typing.Any:
        own = builders.build_member(2)
        route = entry.RouteFilter(
            self.board,
            self.dispatcher,  # type: ignore[arg-type]
            FakeInterest(),  # type: ignore[arg-type]
            published.Published(members.MembershipSnapshot(own, (own,))),
            self.source,
            random.Random(1),
        )

        async def end(exchange):
            return await route.handle(exchange, end)

        fields = {"deadline": self.source.now() + 1.0} | changes
        request = builders.build_request(**fields)
        exchange = entry.EntryExchange(request, self.tracker)
        return await entry.SessionFilter().handle(exchange, end)


@pytest.fixture
async def served():
    board = group_board.GroupBoard(asyncio.get_running_loop())
    source = clock.SystemClock()
    board.publish(build_group(source.now()))
    tracker = sessions.SessionTracker(sessions.Session("station-7"))
    return Entry(FakeDispatcher(), board, source, tracker)


def find_endpoints(served):
    return [endpoint for endpoint, _ in served.dispatcher.asked]


READ = {"read_only": True, "staleness": 5.0}


@pytest.mark.parametrize(
    ("error", "attempts"),
    [(REFUSED, 2), (OLD_TERM, 2), (UNCLEAR, 1), (FULL, 1)],
)
@pytest.mark.parametrize("changes", [{}, READ])
async def test_only_what_did_not_run_is_routed_again(
    served, error, attempts, changes
):
    served.dispatcher.outcomes = [error]
    outcome = await served.run(**changes)
    assert len(served.dispatcher.asked) == attempts
    assert outcome.is_ok() == (attempts == 2)
    ids = {request.request_id for _, request in served.dispatcher.asked}
    assert ids == {"request-1"}


@pytest.mark.invariant_2
async def test_a_read_of_a_replaced_primary_is_routed_again(served):
    replaced = errors.UnknownOutcome("replaced", step=current_reads.STEP)
    served.dispatcher.outcomes = [replaced] * 3
    assert (await served.run(read_only=True)).is_ok()
    assert len(served.dispatcher.asked) == 4
    served.dispatcher.outcomes = [replaced]
    assert (await served.run()).is_error()


async def test_a_replica_that_refused_is_avoided(served):
    served.dispatcher.outcomes = [REFUSED, REFUSED]
    await served.run(**READ)
    first, second, third = find_endpoints(served)
    assert {first, second} == {"endpoint-2", "endpoint-3"}
    assert third == "endpoint-1"
    assert served.dispatcher.asked[-1][1].diverted


async def test_an_answer_behind_the_session_is_never_given(served):
    served.tracker.observe("werkstatt-db", LAST)
    served.dispatcher.position = positions.Position(1, 9)
    outcome = await served.run(minimum=LAST, **READ)
    assert find_endpoints(served)[-1] == "endpoint-1"
    assert outcome.ok.endpoint == "endpoint-1"


async def test_a_session_that_forgot_a_database_reads_the_primary(served):
    session = sessions.Session("station-7", overflowed=True)
    served.tracker = sessions.SessionTracker(session)
    outcome = await served.run(**READ)
    assert outcome.ok.endpoint == "endpoint-1"
    assert served.tracker.session.find_minimum("werkstatt-db") == LAST


async def test_a_write_waits_for_the_next_primary(served):
    served.board.publish(build_group(served.source.now(), primary=""))
    asked = asyncio.create_task(served.run())
    await asyncio.sleep(0)
    found = build_group(served.source.now(), primary="endpoint-3")
    served.board.publish(found)
    assert (await asked).ok.endpoint == "endpoint-3"


async def test_without_a_primary_a_write_is_not_run_within_its_deadline(
    served,
):
    served.board.publish(build_group(served.source.now(), primary=""))
    began = served.source.now()
    outcome = await served.run(deadline=began + 0.5)
    assert isinstance(outcome.error, errors.NotRun)
    assert outcome.error.retry_after
    assert served.source.now() < began + 0.5
    assert not served.dispatcher.asked


async def test_a_replica_just_behind_is_waited_for(served):
    group = build_group(served.source.now())
    views = dict(group.endpoints)
    views["endpoint-1"] = dataclasses.replace(
        views["endpoint-1"], expected_wait=1.0
    )
    group = dataclasses.replace(group, endpoints=views)
    served.board.publish(group)
    minimum = positions.Position(1, 11)
    asked = asyncio.create_task(served.run(minimum=minimum, **READ))
    await asyncio.sleep(0.005)
    assert not served.dispatcher.asked
    history = dataclasses.replace(HISTORY, last=minimum)
    caught_up = {
        name: dataclasses.replace(view, history=history)
        for name, view in views.items()
    }
    served.dispatcher.position = minimum
    served.board.publish(dataclasses.replace(group, endpoints=caught_up))
    assert (await asked).ok.replica
