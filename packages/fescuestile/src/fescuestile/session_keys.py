"""Keys that session tokens are signed with, kept at ``keys/session``.

A new key is first staged: daemons accept it but do not sign with it until
it has had time to reach all of them. Two keys are valid at a time.
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
    :ivar changed_at: seconds since the epoch
    :ivar staged: ``previous`` holds the key that will sign next
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
    held: KeyObject | None, fresh: sessions.SigningKey, now: float
) -> KeyObject | None:
    """Return the next content, None while no change is due.

    :param fresh: a new key, used when one is due
    :param now: seconds since the epoch
    """
    if held is None:
        return KeyObject(1, fresh, None, now)
    age = now - held.changed_at
    if held.staged and held.previous and age >= STAGE_SECONDS:
        return KeyObject(held.number + 1, held.previous, held.current, now)
    if not held.staged and age >= ROTATION_SECONDS:
        return KeyObject(held.number + 1, held.current, fresh, now, True)
    return None


def encode(content: KeyObject) -> bytes:
    """Return the keys as bytes."""
    return cbor2.dumps(_ADAPTER.dump_python(content))


def decode(
    value: bytes, peer: str = ""
) -> expression.Result[KeyObject, errors.InvalidInput]:
    """Return the keys of some bytes."""
    try:
        return expression.Ok(_ADAPTER.validate_python(cbor2.loads(value)))
    except errors.InvalidInput as error:
        return expression.Error(error)
    except (cbor2.CBORDecodeError, ValueError):
        return expression.Error(
            errors.InvalidInput("garbled keys", STEP, peer, PATH)
        )


def make_entry(content: KeyObject) -> gossip_messages.Entry:
    """Return the gossip entry of the keys."""
    return gossip_messages.Entry(PATH, content.number, 0, encode(content))
