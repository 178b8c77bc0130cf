"""Sessions and the signed tokens that carry them between daemons.

A token is a CBOR array of key id, body and HMAC-SHA-256 of both. Callers
return it unchanged; any daemon that has the key can accept it.
"""

import dataclasses
import hmac
import types
import typing

import cbor2
import expression

from fescuestile import errors
from fescuestile import positions
from fescuestile import results

STEP = "read token"
MAX_DATABASES = 16
MAX_TOKEN_BYTES = 8 * 1024
MIN_SECRET_BYTES = 16
_FORMAT = 1
_DIGEST = "sha256"


@dataclasses.dataclass(frozen=True, slots=True)
class SigningKey:
    """Key that tokens are signed with.

    :ivar id: name of the key, carried in each token
    :ivar secret: at least 16 bytes
    """

    id: str
    secret: bytes = dataclasses.field(repr=False)

    def __post_init__(self) -> None:
        """Check the id and the length of the secret.

        :raises InvalidInput: when the id is empty or the secret too short
        """
        if not self.id or len(self.secret) < MIN_SECRET_BYTES:
            raise errors.InvalidInput(
                message=(
                    "a key needs an id and a secret of at least "
                    f"{MIN_SECRET_BYTES} bytes"
                ),
                step="load signing key",
                field="signing key",
            )


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRing:
    """Keys that are valid at the same time.

    :ivar current: key that signs new tokens
    :ivar previous: key whose tokens are still accepted
    """

    current: SigningKey
    previous: SigningKey | None = None

    def find(self, key_id: str) -> SigningKey | None:
        """Return the valid key with this id, None when there is none."""
        for key in (self.current, self.previous):
            if key is not None and key.id == key_id:
                return key
        return None


@dataclasses.dataclass(frozen=True)
class Session:
    """Positions that the reads of a caller's session depend on.

    :ivar caller: caller that the session belongs to
    :ivar position_by_database: highest position written or read, the least
        recently advanced database first
    :ivar overflowed: whether positions of further databases were dropped;
        reads of a database that is not listed must then be current
    """

    caller: str
    position_by_database: typing.Mapping[str, positions.Position] = (
        dataclasses.field(default_factory=lambda: types.MappingProxyType({}))
    )
    overflowed: bool = False

    def find_minimum(self, database: str) -> positions.Position:
        """Return the position that reads of a database must cover."""
        return self.position_by_database.get(database, positions.START)

    def needs_current(self, database: str) -> bool:
        """Return whether reads of a database must be current for any kind."""
        return self.overflowed and database not in self.position_by_database

    def observe(
        self, database: str, position: positions.Position
    ) -> "Session":
        """Add a position that the session wrote or read.

        :returns: this session if it already depends on a position at least
            as high, else a new one; beyond ``MAX_DATABASES`` the least
            recently advanced database is dropped and the session is marked
            as overflowed
        """
        if position <= self.find_minimum(database):
            return self
        kept = dict(self.position_by_database)
        kept.pop(database, None)
        kept[database] = position
        overflowed = self.overflowed
        if len(kept) > MAX_DATABASES:
            del kept[next(iter(kept))]
            overflowed = True
        return Session(self.caller, types.MappingProxyType(kept), overflowed)


class SessionTracker:
    """Session of one open stream; caches its token while unchanged."""

    def __init__(self, session: Session) -> None:
        """Initialize with a session.

        :param session: a new session or one read from a token
        """
        self.session = session
        self._signed: Session | None = None
        self._key_id = ""
        self._token = b""

    def observe(self, database: str, position: positions.Position) -> None:
        """Add a position that an answer reported."""
        self.session = self.session.observe(database, position)

    def issue_token(self, ring: KeyRing) -> bytes:
        """Return the session's token.

        It is signed again only when the session or the key has changed.
        """
        unchanged = self._signed is self.session
        if not unchanged or self._key_id != ring.current.id:
            self._token = issue_token(ring, self.session)
            self._signed = self.session
            self._key_id = ring.current.id
        return self._token


def issue_token(ring: KeyRing, session: Session) -> bytes:
    """Return a session's token, signed with the current key."""
    listed = [
        (database, position.term, position.index)
        for database, position in session.position_by_database.items()
    ]
    body = cbor2.dumps((_FORMAT, session.caller, listed, session.overflowed))
    key = ring.current
    return cbor2.dumps((key.id, body, _sign(key, body)))


def read_token(
    ring: KeyRing, token: bytes, caller: str
) -> expression.Result[Session, errors.TokenRefused]:
    """Verify a token and return its session.

    :param ring: keys that are valid now
    :param token: token as the caller sent it
    :param caller: caller that sent it
    :returns: the session, or an error that says why the token is refused
    """
    if len(token) > MAX_TOKEN_BYTES:
        return _refuse("the token is too large", caller)
    try:
        key_id, body, signature = cbor2.loads(token)
    except Exception:
        return _refuse("the token is malformed", caller)
    if not isinstance(body, bytes) or not isinstance(signature, bytes):
        return _refuse("the token is malformed", caller)
    key = ring.find(key_id) if isinstance(key_id, str) else None
    if key is None:
        return _refuse("the token's key is not valid", caller)
    if not hmac.compare_digest(_sign(key, body), signature):
        return _refuse("the token's signature is wrong", caller)
    return _read_body(body, caller)


def _read_body(
    body: bytes, caller: str
) -> expression.Result[Session, errors.TokenRefused]:
    try:
        version, owner, listed, overflowed = cbor2.loads(body)
        if version != _FORMAT:
            return _refuse("the token's format is unknown", caller)
        found = {
            str(database): positions.Position(int(term), int(index))
            for database, term, index in listed
        }
    except (cbor2.CBORDecodeError, TypeError, ValueError):
        return _refuse("the token is malformed", caller)
    if owner != caller:
        return _refuse("the token belongs to another caller", caller)
    return results.succeed(
        Session(caller, types.MappingProxyType(found), bool(overflowed))
    )


def _sign(key: SigningKey, body: bytes) -> bytes:
    message = key.id.encode() + b"\x00" + body
    return hmac.digest(key.secret, message, _DIGEST)


def _refuse(
    message: str, caller: str
) -> expression.Result[Session, errors.TokenRefused]:
    return expression.Error(
        errors.TokenRefused(
            message=message, step=STEP, peer=caller, field="token"
        )
    )
