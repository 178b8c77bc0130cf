import asyncio

import expression
import pytest

from fescuestile import clock
from fescuestile import endpoint_messages
from fescuestile import errors
from fescuestile import positions
from fescuestile import requests
from fescuestile_daemon import endpoint_pool
from fescuestile_daemon import execution
from fescuestile_daemon import owner_filters
from fescuestile_daemon import write_confirmations
from tests import builders

Position = positions.Position
PLAN = builders.build_plan()
PRIMARY = "endpoint-1"
WRITTEN = Position(1, 11)
# The new primary has confirmed other entries in the place of the write.
REPLACED = {
    "term": 2,
    "primary": "endpoint-2",
    "last": Position(2, 12),
    "starts": (positions.TermStart(1, 1), positions.TermStart(2, 11)),
}
# The new primary has kept the write and confirmed an entry after it.
KEPT = REPLACED | {
    "last": Position(2, 12),
    "starts": (positions.TermStart(1, 1), positions.TermStart(2, 12)),
}


async def hold(answer, reports, term=1, max_wait=5.0, **request):
    """Return the outcome of a write that ran, after some reports."""
    wanted = []
    confirmations = write_confirmations.WriteConfirmations(
        lambda *args: wanted.append(args)
    )
    chain = owner_filters.WriteConfirmationFilter(
        confirmations, clock.SystemClock(), max_wait
    )
    deadline = clock.SystemClock().now() + 60.0
    exchange = execution.OwnerExchange(
        request=builders.build_request(deadline=deadline, **request),
        plan=PLAN,
        endpoint=PRIMARY,
        replica=False,
        term=term,
        pool=object.__new__(endpoint_pool.EndpointPool),
        peer="daemon-1",
    )

    async def proceed(_):
        return expression.Ok(answer)

    held = asyncio.create_task(chain.handle(exchange, proceed))
    while not wanted:
        await asyncio.sleep(0)
    for number, fields in reports:
        report = builders.build_report(number, **fields)
        confirmations.observe(PLAN.database, report)
    return await held


@pytest.mark.invariant_5
@pytest.mark.parametrize(
    "action", [requests.Action.STATEMENT, requests.Action.COMMIT]
)
async def test_a_write_that_a_later_term_replaced_did_not_run(action):
    """Nobody stored it, so it may be sent again to the new primary."""
    outcome = await hold(
        requests.Answer(b"", PRIMARY, WRITTEN),
        [(2, REPLACED), (3, REPLACED)],
        action=action,
        transaction="one" if action is requests.Action.COMMIT else "",
    )
    assert isinstance(outcome.error, errors.TermRefused)


async def test_a_write_that_a_later_term_kept_is_confirmed():
    outcome = await hold(
        requests.Answer(b"", PRIMARY, WRITTEN), [(2, KEPT), (3, KEPT)]
    )
    assert outcome.is_ok()


@pytest.mark.invariant_5
@pytest.mark.parametrize(
    "reports",
    [
        [],
        [(2, REPLACED)],
        [(2, REPLACED), (3, {"role": endpoint_messages.Role.FENCED})],
    ],
)
async def test_a_write_that_may_still_count_is_of_unknown_outcome(reports):
    """A later term replaces a write only once a majority has it."""
    outcome = await hold(
        requests.Answer(b"", PRIMARY, WRITTEN), reports, max_wait=0.01
    )
    assert isinstance(outcome.error, errors.UnknownOutcome)


@pytest.mark.invariant_5
async def test_a_replaced_repetition_says_nothing_of_the_first_run():
    """The first run's entry is older and may be in the later term's log."""
    term_three = {
        "term": 3,
        "primary": "endpoint-2",
        "last": Position(3, 12),
        "starts": (positions.TermStart(1, 1), positions.TermStart(3, 12)),
    }
    outcome = await hold(
        requests.Answer(b"", PRIMARY, Position(1, 10), repeated=True),
        [(2, term_three), (3, term_three)],
        term=2,
    )
    assert isinstance(outcome.error, errors.UnknownOutcome)
