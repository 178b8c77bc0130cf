from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from fescuestile import errors
from fescuestile import positions
from fescuestile import sessions

OLD = sessions.SigningKey("k1", b"1" * 32)
KEY = sessions.SigningKey("k2", b"2" * 32)
NEXT = sessions.SigningKey("k3", b"3" * 32)
RING = sessions.KeyRing(current=KEY, previous=OLD)
SESSION = sessions.Session("office").observe(
    "werkstatt-db-1", positions.Position(2, 9)
)
TOKEN = sessions.issue_token(RING, SESSION)


def test_a_token_carries_the_session():
    assert sessions.read_token(RING, TOKEN, "office").ok == SESSION


def test_tokens_outlive_one_rotation_but_not_two():
    once = sessions.KeyRing(current=NEXT, previous=KEY)
    twice = sessions.KeyRing(current=OLD, previous=NEXT)
    assert sessions.read_token(once, TOKEN, "office").is_ok()
    assert "key" in sessions.read_token(twice, TOKEN, "office").error.message


@pytest.mark.parametrize(
    ("token", "caller", "reason"),
    [
        (TOKEN, "station", "another caller"),
        (TOKEN[:-1], "office", "malformed"),
        (TOKEN[:-1] + b"!", "office", "signature"),
        (b"", "office", "malformed"),
        (b"\x83" * 9000, "office", "large"),
        (b"\x83\x01\x02\x03", "office", "malformed"),
        (
            sessions.issue_token(
                sessions.KeyRing(sessions.SigningKey("k2", b"x" * 32)),
                SESSION,
            ),
            "office",
            "signature",
        ),
    ],
)
def test_other_tokens_are_refused(token, caller, reason):
    error = sessions.read_token(RING, token, caller).error
    assert isinstance(error, errors.TokenRefused)
    assert reason in error.message
    assert error.peer == caller


@settings(derandomize=True)
@given(strategies.integers(0, len(TOKEN) - 1), strategies.integers(1, 255))
def test_any_changed_byte_is_refused(index, change):
    garbled = bytearray(TOKEN)
    garbled[index] ^= change
    assert sessions.read_token(RING, bytes(garbled), "office").is_error()


def test_a_session_never_depends_on_less():
    older = SESSION.observe("werkstatt-db-1", positions.Position(1, 50))
    assert older is SESSION
    newer = SESSION.observe("werkstatt-db-1", positions.Position(3, 4))
    assert newer.find_minimum("werkstatt-db-1") == positions.Position(3, 4)


def test_a_dropped_database_has_to_be_read_as_current():
    session = sessions.Session("office")
    for number in range(sessions.MAX_DATABASES + 1):
        session = session.observe(f"db{number}", positions.Position(1, 1))
    read = sessions.read_token(
        RING, sessions.issue_token(RING, session), "office"
    ).ok
    assert read.needs_current("db0")
    assert not read.needs_current("db1")
    assert len(read.position_by_database) == sessions.MAX_DATABASES


def test_a_token_is_signed_anew_only_after_a_change():
    tracker = sessions.SessionTracker(SESSION)
    first = tracker.issue_token(RING)
    tracker.observe("werkstatt-db-1", positions.Position(2, 8))
    assert tracker.issue_token(RING) is first
    tracker.observe("werkstatt-db-1", positions.Position(2, 10))
    assert tracker.issue_token(RING) != first
    rotated = sessions.KeyRing(current=NEXT, previous=KEY)
    assert tracker.issue_token(rotated) != tracker.issue_token(RING)


def test_a_short_secret_is_refused():
    with pytest.raises(errors.InvalidInput):
        sessions.SigningKey("k", b"short")
