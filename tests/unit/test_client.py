import asyncio

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from fescuestile import errors
from fescuestile_api import fescuestile_pb2 as pb
from fescuestile_client import frames
from fescuestile_client import options
from fescuestile_client import session
from tests import fake_daemon

FAST = options.SessionOptions(
    timeout=5.0, connect_timeout=0.5, answer_grace=0.05
)


def build_session(*daemons, **changes):
    addresses = [daemon.address for daemon in daemons]
    return session.Session(addresses, "office", options=FAST, **changes)


async def write(open_session, text="PUT a 1", **changes):
    return await open_session.execute(
        "werkstatt-db", "dispatch", text, **changes
    )


async def wait_for(condition):
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.005)


async def test_pipelined_answers_are_matched_in_any_order():
    received = []

    async def answer_backwards(daemon, request, send):
        received.append(request)
        if len(received) == 20:
            for pending in reversed(received):
                text = pending.statement.text.encode()
                await send(fake_daemon.build_chunk(pending, text))

    async with (
        fake_daemon.FakeDaemon(handler=answer_backwards) as daemon,
        build_session(daemon) as caller,
    ):
        texts = [f"GET {number}" for number in range(20)]
        answers = await asyncio.gather(
            *(write(caller, text, read_only=True) for text in texts)
        )
    assert [answer.payload.decode() for answer in answers] == texts


@pytest.mark.parametrize(
    "numbers",
    [(0, 2, 3), (0, 0, 1, 2, 3), (1, 0, 2, 3), (0, 1, 3, 2)],
)
async def test_missing_or_misplaced_chunks_fail_their_request_alone(numbers):
    async def answer_in_chunks(daemon, request, send):
        broken = request.statement.text == "broken"
        for number in numbers if broken else range(4):
            await send(
                fake_daemon.build_chunk(
                    request, b"%d" % number, chunk=number, last=number == 3
                )
            )

    async with (
        fake_daemon.FakeDaemon(handler=answer_in_chunks) as daemon,
        session.Session(
            [daemon.address],
            "office",
            options=options.SessionOptions(settle_unknown=False),
        ) as caller,
    ):
        broken_task = asyncio.create_task(write(caller, "broken"))
        complete = await write(caller)
        with pytest.raises(errors.UnknownOutcome) as caught:
            await broken_task
    error = caught.value
    assert error.field == "chunk"
    assert error.peer == "daemon-1"
    assert complete.payload == b"0123"


@settings(derandomize=True)
@given(strategies.binary(max_size=50), strategies.integers(1, 7))
def test_chunks_are_reassembled_to_the_payload(payload, size):
    pieces = [
        payload[place : place + size]
        for place in range(0, max(1, len(payload)), size)
    ]
    assembler = frames.Assembler("daemon-1", 1000)
    for number, piece in enumerate(pieces):
        last = number == len(pieces) - 1
        result = assembler.add(
            pb.AnswerChunk(chunk=number, last=last, payload=piece)
        )
        if not last:
            assert result is None
    assert result is not None
    assert result.ok.payload == payload


def test_an_answer_above_the_limit_is_refused():
    assembler = frames.Assembler("daemon-1", 3)
    result = assembler.add(pb.AnswerChunk(payload=b"1234"))
    assert result is not None
    assert "larger" in result.error.message


async def test_a_late_or_repeated_answer_is_ignored():
    async def answer_twice(daemon, request, send):
        stray = pb.Request(sequence=request.sequence + 1)
        await send(fake_daemon.build_chunk(stray, b"stray"))
        for _ in range(2):
            text = request.statement.text.encode()
            await send(fake_daemon.build_chunk(request, text))

    async with (
        fake_daemon.FakeDaemon(handler=answer_twice) as daemon,
        build_session(daemon) as caller,
    ):
        for text in ("one", "two", "three"):
            assert (await write(caller, text)).payload == text.encode()


async def test_not_run_is_retried_with_the_same_id_after_its_delay():
    async def refuse_once(daemon, request, send):
        if len(daemon.requests) == 1:
            await send(fake_daemon.build_failure(request, pb.NOT_RUN, 20))
            return
        await fake_daemon.run_write(daemon, request, send)

    async with (
        fake_daemon.FakeDaemon(handler=refuse_once) as daemon,
        build_session(daemon) as caller,
    ):
        await write(caller)
    first, second = daemon.requests
    assert first.request_id == second.request_id
    assert second.deadline_ms <= first.deadline_ms - 20


@pytest.mark.parametrize("ran", [True, False])
@pytest.mark.parametrize("lost", ["answer", "stream"])
async def test_a_write_of_unknown_outcome_is_resolved_and_runs_once(ran, lost):
    log = fake_daemon.Log()

    async def fail(daemon, request, send):
        if ran:
            log.ran[request.request_id] = request.statement.text
        if lost == "stream":
            await daemon.stop()
            return
        await send(fake_daemon.build_failure(request, pb.UNKNOWN_OUTCOME))
        daemon.handler = fake_daemon.run_write

    async with (
        fake_daemon.FakeDaemon("daemon-2", log=log) as second,
        fake_daemon.FakeDaemon(handler=fail, log=log) as first,
        build_session(first, second) as caller,
    ):
        answer = await write(caller)
    assert answer.repeated == ran
    assert list(log.ran.values()) == ["PUT a 1"]
    assert len(log.never_run) == (not ran)


async def test_a_refused_resolve_does_not_count_as_never_runs():
    async def refuse_resolve(daemon, request, send):
        if request.HasField("resolve"):
            await send(fake_daemon.build_failure(request, pb.NOT_RUN, 50))
            return
        await send(fake_daemon.build_failure(request, pb.UNKNOWN_OUTCOME))

    async with (
        fake_daemon.FakeDaemon(handler=refuse_resolve) as daemon,
        build_session(daemon) as caller,
    ):
        with pytest.raises(errors.UnknownOutcome):
            await write(caller, timeout=0.3)
    statements = [r for r in daemon.requests if r.HasField("statement")]
    assert len(statements) == 1


async def test_a_write_of_unknown_outcome_can_be_resolved_by_its_id():
    async def never_answer(daemon, request, send):
        await asyncio.Event().wait()

    async with (
        fake_daemon.FakeDaemon(handler=never_answer) as daemon,
        build_session(daemon) as caller,
    ):
        with pytest.raises(errors.UnknownOutcome):
            await write(caller, request_id="r1", timeout=0.05)
        daemon.handler = fake_daemon.run_write
        answer = await caller.resolve("r1", "werkstatt-db", "dispatch")
    assert answer.never_runs


async def test_a_roaming_session_keeps_its_token():
    async with (
        fake_daemon.FakeDaemon() as first,
        fake_daemon.FakeDaemon("daemon-2") as second,
        build_session(first) as caller,
    ):
        await write(caller)
        assert caller.token == b"daemon-1"
        await caller.roam(second.address)
        assert caller.daemon == "daemon-2"
    assert second.open_messages[0].token == b"daemon-1"


async def test_a_draining_daemon_is_left_once_requests_have_ended():
    release = asyncio.Event()

    async def hold(daemon, request, send):
        await release.wait()
        await fake_daemon.run_write(daemon, request, send)

    async with (
        fake_daemon.FakeDaemon("daemon-2") as second,
        fake_daemon.FakeDaemon(handler=hold) as first,
    ):
        first.alternatives = [second.address]
        async with build_session(first) as caller:
            slow = asyncio.create_task(write(caller))
            await wait_for(lambda: first.requests)
            await first.roam()
            await wait_for(lambda: caller.draining)
            queued = asyncio.create_task(write(caller))
            assert caller.daemon == "daemon-1"
            release.set()
            await asyncio.gather(slow, queued)
            await wait_for(lambda: caller.daemon == "daemon-2")
    assert len(second.requests) == 1
    assert second.open_messages[0].token == b"daemon-1"


async def test_a_transaction_ends_where_it_began():
    async with (
        fake_daemon.FakeDaemon("daemon-2") as second,
        fake_daemon.FakeDaemon() as first,
    ):
        first.alternatives = [second.address]
        async with build_session(first) as caller:
            async with caller.transaction("db", "dispatch") as transaction:
                await first.roam()
                await transaction.execute("PUT a 1")
            await wait_for(lambda: caller.daemon == "daemon-2")
    transaction_ids = [request.transaction for request in first.requests]
    assert transaction_ids == ["", *[f"t-{first.requests[0].request_id}"] * 2]
    assert first.requests[-1].HasField("commit")
    assert not second.requests


async def test_a_transaction_rolls_back_when_its_block_raises():
    async with (
        fake_daemon.FakeDaemon() as daemon,
        build_session(daemon) as caller,
    ):
        with pytest.raises(KeyError):
            async with caller.transaction("db", "dispatch"):
                raise KeyError
    assert daemon.requests[-1].HasField("rollback")


async def test_a_transaction_lost_before_its_commit_did_not_run():
    async def lose_daemon():
        async with caller.transaction("db", "dispatch") as transaction:
            await daemon.stop()
            await transaction.execute("PUT a 1")

    async with (
        fake_daemon.FakeDaemon() as daemon,
        build_session(daemon) as caller,
    ):
        with pytest.raises(errors.NotRun, match="no effect"):
            await lose_daemon()


async def test_a_transaction_with_a_statement_of_unknown_outcome_is_not_run():
    async def answer_unknown(daemon, request, send):
        if request.HasField("statement"):
            failure = fake_daemon.build_failure(request, pb.UNKNOWN_OUTCOME)
            await send(failure)
            return
        await fake_daemon.run_write(daemon, request, send)

    async with (
        fake_daemon.FakeDaemon(handler=answer_unknown) as daemon,
        build_session(daemon) as caller,
    ):
        with pytest.raises(errors.NotRun, match="no effect"):
            async with caller.transaction("db", "dispatch") as transaction:
                await transaction.execute("PUT a 1")
    assert daemon.requests[-1].HasField("rollback")


@pytest.mark.parametrize("ran", [True, False])
async def test_a_commit_without_an_answer_is_resolved(ran):
    log = fake_daemon.Log()

    async def lose_commit(daemon, request, send):
        if not request.HasField("commit"):
            await fake_daemon.run_write(daemon, request, send)
            return
        if ran:
            log.ran[request.request_id] = "committed"
        await daemon.stop()

    async with (
        fake_daemon.FakeDaemon("daemon-2", log=log) as second,
        fake_daemon.FakeDaemon(handler=lose_commit, log=log) as first,
        build_session(first, second) as caller,
    ):
        pending = caller.transaction("db", "dispatch")
        try:
            async with pending as transaction:
                await transaction.execute("PUT a 1")
            outcome = pending.answer.repeated
        except errors.NotRun:
            outcome = False
    assert outcome == ran
    assert len(log.never_run) == (not ran)


async def test_a_session_roams_away_from_an_unresponsive_daemon():
    async def never_answer(daemon, request, send):
        await asyncio.Event().wait()

    async with (
        fake_daemon.FakeDaemon("daemon-2") as second,
        fake_daemon.FakeDaemon(handler=never_answer) as first,
        build_session(first, second) as caller,
    ):
        with pytest.raises(errors.UnknownOutcome):
            await write(caller, timeout=0.05)
        await write(caller)
        assert caller.daemon == "daemon-2"


@pytest.mark.parametrize("state", ["unresponsive", "draining"])
async def test_another_daemon_is_tried_when_one_opens_no_session(state):
    async with (
        fake_daemon.FakeDaemon("daemon-2") as second,
        fake_daemon.FakeDaemon() as first,
    ):
        setattr(first, state, True)
        async with build_session(first, second) as caller:
            assert caller.daemon == "daemon-2"


async def test_start_raises_when_the_token_is_refused():
    async with fake_daemon.FakeDaemon() as daemon:
        caller = build_session(daemon, token=b"garbled")
        with pytest.raises(errors.TokenRefused) as caught:
            await caller.start()
    assert caught.value.peer == daemon.address


async def test_start_raises_not_run_when_no_daemon_is_reachable():
    caller = session.Session(
        ["127.0.0.1:9"],
        "office",
        options=options.SessionOptions(timeout=0.2),
    )
    with pytest.raises(errors.NotRun):
        await caller.start()
