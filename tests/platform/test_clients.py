"""Tests of the limits on clients, without connections."""

import asyncio
import typing

import pytest
import structlog

from fescuestile_daemon.relay.core import events
from fescuestile_daemon.relay.core import messages
from fescuestile_daemon.relay.core import options
from fescuestile_daemon.relay.statements import state_size
from fescuestile_platform import boot
from fescuestile_platform import callers
from fescuestile_platform import clients
from fescuestile_platform import codec

Verb = messages.Verb
MEGABYTE = 1024 * 1024


class FakeConnection(clients.Connection):
    def __init__(self):
        self.ended = False
        self.idle = False
        self.fault = ""
        self.finishing = False
        self.resumed = False

    def find_fault(self, now):
        return self.fault

    def is_idle(self, now):
        return self.idle

    def is_finishing(self):
        return self.finishing

    def resume(self):
        self.resumed = True

    def abort(self):
        self.ended = True


@pytest.fixture
def recorder():
    return events.Recorder()


@pytest.fixture
def registry(recorder):
    return clients.Clients(8, MEGABYTE, clients.CauseLog(recorder))


def add_opened(registry, count):
    added = [FakeConnection() for _ in range(count)]
    for connection in added:
        assert registry.add(connection)
        registry.open(connection)
    return added


def test_a_cause_is_logged_once_a_second_with_its_count(recorder):
    """Guards against a flood of log lines."""
    causes = clients.CauseLog(recorder)
    with structlog.testing.capture_logs() as logs:
        for _ in range(100):
            causes.add("x", 10.0)
        causes.flush(10.9)
        causes.flush(11.0)
        causes.flush(12.0)
    assert [line["count"] for line in logs] == [1, 99]
    assert recorder.counters["clients_limited", "x"] == 100


def test_the_oldest_idle_connection_is_closed_for_a_new_one(registry):
    """Guards against idle sessions that keep others out."""
    added = add_opened(registry, 8)
    added[3].idle = added[5].idle = True
    assert registry.add(FakeConnection())
    assert [c.ended for c in added].index(True) == 3
    assert sum(c.ended for c in added) == 1


def test_without_an_idle_connection_a_new_one_is_refused(registry):
    """Guards against closing a session that works."""
    added = add_opened(registry, 8)
    assert not registry.add(FakeConnection())
    assert not any(c.ended for c in added)


def test_connections_without_a_first_line_take_a_part_only(registry):
    """Guards against silent connections that take the place of sessions."""
    silent = [FakeConnection() for _ in range(3)]
    for connection in silent:
        assert registry.add(connection)
    assert [c.ended for c in silent] == [True, False, False]
    assert registry.count == 2


def test_the_connection_that_holds_most_is_closed(registry):
    """Guards against a total above the limit, and the closing of others."""
    small, large = add_opened(registry, 2)
    registry.report(large, MEGABYTE - 20_000)
    assert not large.ended
    registry.report(small, 30_000)
    assert large.ended
    assert not small.ended
    assert registry.total == 30_000


def test_reading_pauses_near_the_limit_and_goes_on_below(registry):
    """Guards against ending legal clients that together send too fast."""
    first, second, small = add_opened(registry, 3)
    assert registry.report(first, MEGABYTE // 2)
    assert not registry.report(second, MEGABYTE // 4)
    assert registry.report(small, 1000)
    registry.remove(first)
    registry.sweep(0.0)
    assert second.resumed
    assert not second.ended


def test_bytes_of_work_that_goes_on_are_held_after_the_end(registry):
    """Guards against clients that leave and come back with more."""
    (connection,) = add_opened(registry, 1)
    registry.report(connection, 50_000)
    connection.finishing = True
    registry.remove(connection)
    registry.sweep(0.0)
    assert registry.total == 50_000
    connection.finishing = False
    registry.sweep(0.0)
    assert registry.total == 0


def test_a_connection_over_a_time_limit_is_closed(registry):
    (connection,) = add_opened(registry, 1)
    registry.sweep(0.0)
    assert not connection.ended
    connection.fault = "unfinished line"
    registry.sweep(0.0)
    assert connection.ended
    assert registry.count == 0


def test_values_are_limited_in_number_and_bytes():
    size = state_size.StateSize(2, 1000)
    assert size.put(Verb.SET, "a", "x" * 300)
    assert size.put(Verb.PREPARE, "a", "x" * 300)
    assert not size.put(Verb.SET, "b", "x")
    assert size.put(Verb.SET, "a", "y")
    size.remove(Verb.PREPARE, "a")
    assert not size.put(Verb.SET, "b", "x" * 1000)
    assert size.put(Verb.SET, "b", "x")
    size.remove(Verb.SET, "a")
    size.remove(Verb.SET, "b")
    assert size.total == 0


def test_lines_that_were_not_asked_for_stay_buffered():
    """Guards against decoding thousands of short lines at once."""
    reader = codec.LineReader()
    assert reader.feed(b"a\r\nb\r\nc\r\nd", 2) == ["a", "b"]
    assert len(reader.buffer) == 4
    assert reader.feed(b"e\r", 0) == []
    assert reader.take(1) == ["c"]
    assert reader.feed(b"\n") == ["de"]
    assert not reader.buffer


def test_a_line_of_the_largest_size_is_accepted_and_no_longer_one():
    largest = b"x" * codec.MAX_LINE_BYTES
    reader = codec.LineReader()
    lines = [*reader.feed(largest[:-1]), *reader.feed(b"x\r\n")]
    assert [len(line) for line in lines] == [codec.MAX_LINE_BYTES]
    reader = codec.LineReader()
    reader.feed(largest)
    with pytest.raises(codec.MalformedLine):
        reader.feed(b"x\r\n")
    with pytest.raises(codec.MalformedLine):
        codec.LineReader().feed(largest + b"x\r\n")


def make_settings(**sections):
    return boot.Settings.model_validate(
        {
            "node": "n",
            "ip": "127.0.0.1",
            "zone": "a",
            "listen": {"front": "127.0.0.1:1", "ready": "127.0.0.1:2"},
            "platform": {"address": "127.0.0.1:3"},
            "cloud": {"address": "127.0.0.1:4"},
            **sections,
        }
    )


def test_defaults_follow_from_the_host():
    """Guards against defaults that ordinary clients reach."""
    made = make_settings(limits={"memory_mb": 200, "max_fds": 1024})
    limits = made.make_client_options()
    assert limits.sessions == 716
    assert limits.total_bytes == 48 * MEGABYTE
    assert limits.queued_statements >= 12
    assert limits.value_bytes > MEGABYTE


def test_settings_replace_the_derived_limits():
    made = make_settings(
        limits={"memory_mb": 200, "max_fds": 1024},
        client_limits={"sessions": 9, "stalled_seconds": 0.5},
    )
    assert made.make_client_options().sessions == 9
    assert made.make_client_options().stalled == 0.5
    with pytest.raises(ValueError, match="sessions"):
        make_settings(client_limits={"sessions": 0})


class FakeTransport:
    """Transport that takes nothing of what is written.

    :ivar unsent: bytes written
    """

    def __init__(self):
        self.unsent = 0
        self.reading = True
        self.closing = False

    def get_extra_info(self, _):
        return self

    def setsockopt(self, *_):
        pass

    def set_write_buffer_limits(self, high, low):
        pass

    def get_write_buffer_size(self):
        return self.unsent

    def is_closing(self):
        return self.closing

    def write(self, data):
        self.unsent += len(data)

    def pause_reading(self):
        assert self.reading
        self.reading = False

    def resume_reading(self):
        assert not self.reading
        self.reading = True

    def close(self):
        self.closing = True

    abort = close


class FakeSession:
    """Session that keeps statements until they are answered."""

    def __init__(self, caller):
        self.caller = caller
        self.received = []
        self.in_transaction = False
        self.state_bytes = 0

    @property
    def busy(self):
        return bool(self.received)

    def receive(self, statement):
        self.received.append(statement)

    def answer(self):
        self.received.pop(0)
        self.caller.answer(messages.Outcome(messages.Kind.DONE))


class FakeRelay:
    def __init__(self):
        self.client_options = options.ClientOptions(
            queued_statements=4, line=10.0, stalled=5.0, first_line=2.0
        )
        self.session = None

    def open_session(self, database, caller, key):
        self.session = FakeSession(caller)
        return self.session

    def remove_session(self, session):
        self.session = None


@pytest.fixture
async def caller(registry):
    relay: typing.Any = FakeRelay()
    transport: typing.Any = FakeTransport()
    made = callers.CallerProtocol(relay, registry)
    made.connection_made(transport)
    return made


async def open_session(caller):
    caller.data_received(b"CONNECT a b\r\n")
    return caller._relay.session


async def run_callbacks():
    for _ in range(3):
        await asyncio.sleep(0)


async def test_statements_ahead_stay_unread_and_in_order(caller):
    """Guards against a queue that grows with what a caller sends ahead."""
    session = await open_session(caller)
    texts = [f"READ k{number}" for number in range(11)]
    sent = "".join(f"QUERY f {text}\r\n" for text in texts).encode()
    caller.data_received(sent[:-5])
    assert len(session.received) == 4
    assert not caller._transport.reading
    seen = []
    while session.received:
        seen.append(session.received[0].text)
        session.answer()
        await run_callbacks()
    assert seen == texts[:10]
    assert caller._transport.reading
    caller.data_received(sent[-5:])
    assert session.received[0].text == texts[10]


async def test_a_caller_that_does_not_read_is_not_read(caller):
    """Guards against answers that pile up, and against a lost resumption."""
    session = await open_session(caller)
    caller.pause_writing()
    await run_callbacks()
    assert caller.is_stalled
    caller.data_received(b"QUERY f READ k\r\n")
    assert not session.received
    assert not caller._transport.reading
    caller.resume_writing()
    await run_callbacks()
    assert len(session.received) == 1
    assert caller._transport.reading


async def test_a_stalled_caller_has_a_fault_until_it_reads(caller):
    await open_session(caller)
    caller._transport.unsent = 1000
    assert not caller.find_fault(100.0)
    assert not caller.find_fault(104.0)
    caller._transport.unsent = 900
    assert not caller.find_fault(106.0)
    assert not caller.find_fault(110.0)
    assert caller.find_fault(112.0) == "answers not read"


async def test_a_line_has_to_be_finished_in_time(caller):
    await open_session(caller)
    caller._transport.unsent = 0
    caller.data_received(b"QUERY f READ k")
    started = caller._line_started_at
    assert not caller.find_fault(started + 9.0)
    assert caller.find_fault(started + 11.0) == "unfinished line"
    caller.data_received(b"\r\n")
    assert not caller.find_fault(started + 11.0)


async def test_a_first_line_has_to_come_in_time(caller):
    assert not caller.find_fault(caller.opened_at + 1.0)
    assert caller.find_fault(caller.opened_at + 3.0) == "no first line"


async def test_a_caller_with_a_statement_or_transaction_is_not_idle(caller):
    """Guards against closing sessions whose callers would notice."""
    session = await open_session(caller)
    now = caller._used_at + 5.0
    assert caller.is_idle(now)
    caller.data_received(b"QUERY f READ k\r\n")
    session.answer()
    assert not caller.is_idle(now)
    caller.find_fault(now)
    assert not caller.is_idle(now + 0.5)
    now += 2.0
    assert caller.is_idle(now)
    session.in_transaction = True
    assert not caller.is_idle(now)
    session.in_transaction = False
    caller.data_received(b"QUERY f READ k\r\n")
    assert not caller.is_idle(now)


async def test_a_caller_is_not_idle_right_after_a_long_statement(caller):
    """Guards against closing a caller that is about to send the next one."""
    session = await open_session(caller)
    caller.data_received(b"QUERY f READ k\r\n")
    now = caller._used_at
    for _ in range(12):
        now += 0.25
        caller.find_fault(now)
    session.answer()
    assert not caller.is_idle(now)
    caller.find_fault(now)
    assert not caller.is_idle(now + 0.9)
    assert caller.is_idle(now + 1.1)


async def test_a_malformed_line_ends_the_connection(caller, recorder):
    await open_session(caller)
    caller.data_received(b"x" * (codec.MAX_LINE_BYTES + 1))
    assert caller._transport.closing
    assert recorder.counters["clients_limited", "malformed line"] == 1
