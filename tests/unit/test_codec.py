from hypothesis import given
from hypothesis import strategies

from fescuestile import endpoint_codec
from fescuestile import endpoint_messages
from fescuestile import positions

CODEC = endpoint_codec.CODEC


def test_nested_messages_survive_a_round_trip():
    report = endpoint_messages.Report(
        id=3,
        endpoint="etna-1",
        verdict=endpoint_messages.Verdict.DONE,
        role=endpoint_messages.Role.PRIMARY,
        term=2,
        driver="d1",
        primary="etna-1",
        last=positions.Position(2, 7),
        starts=(positions.TermStart(2, 1),),
    )
    assert CODEC.decode(CODEC.encode(report)).ok == report


@given(strategies.binary(max_size=200))
def test_any_bytes_give_a_message_or_a_typed_error(frame):
    result = CODEC.decode(frame, peer="caller")
    assert result.is_ok() or result.error.peer == "caller"


def test_a_wrong_field_is_named():
    good = endpoint_messages.Heartbeat(id=1)
    frame = CODEC.encode(good).replace(b"\x01", b"\xf5")
    bad = frame[:-1] + b"\x61x"
    assert CODEC.decode(bad).error.field == "id"
