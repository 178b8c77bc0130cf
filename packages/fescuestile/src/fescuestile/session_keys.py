"""Rotation of the keys that sign session tokens.

The keys are stored in the object ``keys/session``. A new key is first
staged: daemons accept it but do not sign with it until it has had time to
reach all of them. Two keys are valid at a time.
"""

import dataclasses

import cbor2
import expression
import pydantic

from fescuestile import errors
from fescuestile import gossip_messages
from fescuestile import sessions

PATH = "keys/session"
STEP = "read session keys"
ROTATION_SECONDS = 24 * 3600.0
STAGE_SECONDS = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class KeyObject:
    """Content of ``keys/session``.

    :ivar number: grows with each change
    :ivar current: key that signs new tokens
    :ivar previous: second valid key: the former or, while staged, the next
        one
    :ivar changed_at: seconds since the epoch
    :ivar staged: whether ``previous`` is the key that will sign next
    """

    number: int
    current: sessions.SigningKey
    previous: sessions.SigningKey | None
    changed_at: float
    staged: bool = False

    @property
    def ring(self) -> sessions.KeyRing:
        """Keys valid now."""
        return sessions.KeyRing(self.current, self.previous)


_ADAPTER = pydantic.TypeAdapter(KeyObject)


def rotate(
    stored: KeyObject | None, new_key: sessions.SigningKey, now: float
) -> KeyObject | None:
    """Return the next content, None while no change is due.

    :param stored: stored content, None when there is none yet
    :param new_key: new key, used when a rotation starts
    :param now: seconds since the epoch
    """
    if stored is None:
        return KeyObject(1, new_key, None, now)
    age = now - stored.changed_at
    if stored.staged and stored.previous and age >= STAGE_SECONDS:
        return KeyObject(
            stored.number + 1, stored.previous, stored.current, now
        )
    if not stored.staged and age >= ROTATION_SECONDS:
        return KeyObject(stored.number + 1, stored.current, new_key, now, True)
    return None


def encode(content: KeyObject) -> bytes:
    """Encode the content as it is stored and gossiped."""
    return cbor2.dumps(_ADAPTER.dump_python(content))


def decode(
    value: bytes, peer: str = ""
) -> expression.Result[KeyObject, errors.InvalidInput]:
    """Decode stored content.

    :param peer: where it came from, for the error
    :returns: the content, or an error when it is malformed
    """
    try:
        return expression.Ok(_ADAPTER.validate_python(cbor2.loads(value)))
    except errors.InvalidInput as error:
        return expression.Error(error)
    except (cbor2.CBORDecodeError, ValueError):
        return expression.Error(
            errors.InvalidInput("malformed session keys", STEP, peer, PATH)
        )


def encode_entry(content: KeyObject) -> gossip_messages.Entry:
    """Return the gossip entry that carries the content."""
    return gossip_messages.Entry(PATH, content.number, 0, encode(content))
