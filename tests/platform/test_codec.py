"""Decoding of arbitrary bytes, and statements forwarded unchanged."""

import contextlib

import hypothesis
from hypothesis import strategies
import pytest

from fescuestile import endpoint_messages
from fescuestile import positions
from fescuestile_daemon.relay.core import messages
from fescuestile_platform import codec

Kind = messages.Kind
Verb = messages.Verb


@hypothesis.given(strategies.lists(strategies.binary(max_size=80)))
@hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
def test_any_bytes_are_decoded_or_raise_malformed_line(chunks):
    reader = codec.LineReader()
    answers = codec.AnswerReader()
    try:
        for chunk in chunks:
            for line in reader.feed(chunk):
                answers.feed(line)
                codec.decode_statement(line)
    except codec.MalformedLine:
        pass


@hypothesis.given(strategies.text(alphabet="QUERY 01.READ-\t", max_size=60))
@hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
def test_any_status_is_decoded_or_raises_malformed_line(text):
    with contextlib.suppress(codec.MalformedLine):
        codec.decode_status(text)


@hypothesis.given(strategies.data())
@hypothesis.settings(max_examples=100, derandomize=True, deadline=None)
def test_lines_do_not_depend_on_chunk_boundaries(data):
    sent = b"QUERY 1 READ a\r\nQUERY 2 WRITE b some data\r\n\r\nTERMINATE\r\n"
    boundaries = sorted(data.draw(strategies.sets(strategies.integers(0, 55))))
    reader = codec.LineReader()
    lines = []
    for start, end in zip([0, *boundaries], [*boundaries, None], strict=True):
        lines.extend(reader.feed(sent[start:end]))
    assert lines == sent.decode().split("\r\n")[:-1]


def test_line_without_end_is_malformed():
    reader = codec.LineReader()
    for _ in range(10):
        reader.feed(b"x" * 100_000)
    with pytest.raises(codec.MalformedLine):
        reader.feed(b"x" * 100_000)


@pytest.mark.parametrize(
    ("text", "verb"),
    [
        ("BEGIN", Verb.BEGIN),
        ("BEGIN READ", Verb.BEGIN),
        ("COMMIT", Verb.COMMIT),
        ("ROLLBACK", Verb.ROLLBACK),
        ("READ 1a4", Verb.READ),
        ("WRITE 1a4 some data", Verb.WRITE),
        ("SET name a value", Verb.SET),
        ("PREPARE s1 WRITE q2c", Verb.PREPARE),
        ("EXECUTE s1 1a4 xk", Verb.EXECUTE),
        ("DEALLOC s1", Verb.DEALLOCATE),
        ("AFTERLSN 3.1 READ 1a4", Verb.UNKNOWN),
        ("STATUS", Verb.UNKNOWN),
        ("DEMOTE 9", Verb.UNKNOWN),
    ],
)
def test_verb_of_a_statement(text, verb):
    statement = codec.decode_statement(f"QUERY 5c0e {text}")
    assert statement.verb is verb
    assert statement.text == text
    assert statement.id == "5c0e"


def test_statement_is_forwarded_unchanged_except_for_the_position():
    statement = codec.decode_statement("QUERY 5c READ 1a4")
    run = messages.Run("5c", statement, "", positions.Position(3, 12))
    assert codec.encode_command(run) == b"QUERY 5c AFTERLSN 3.12 READ 1a4\r\n"
    assert codec.encode_command(messages.Run("5c", statement)) == (
        b"QUERY 5c READ 1a4\r\n"
    )


def test_prepared_name_is_replaced():
    statement = codec.decode_statement("QUERY 5c EXECUTE s1 1a4 a b")
    run = messages.Run("5c", statement, "w_q2c")
    assert codec.encode_command(run) == b"QUERY 5c EXECUTE w_q2c 1a4 a b\r\n"


def test_ready_without_complete_is_malformed():
    reader = codec.AnswerReader()
    connected = reader.feed("READY I -")
    assert connected is not None
    assert connected.kind is Kind.DONE
    assert reader.feed("ROW a") is None
    with pytest.raises(codec.MalformedLine):
        reader.feed("READY I 3.1")


def test_refused_connection_is_reported_by_its_error_code():
    outcome = codec.AnswerReader().feed("ERROR CONNLIMIT -")
    assert outcome is not None
    assert outcome.kind is Kind.TOO_MANY_CONNECTIONS


def test_paused_replica_is_reported_as_fenced():
    report = codec.make_report("i-1", "replica 3 3.1209 5 12 2 17")
    assert report.role is endpoint_messages.Role.FENCED
    assert report.term == 5
    assert report.last == positions.Position(3, 1209)
    assert report.connections == 17
